"""Organisations of the fault soak: which keys are in force, and what calls may get."""

import random
from dataclasses import dataclass
from math import inf
from threading import Lock
from typing import Any

KEY_HEADER = "X-Sesameladder-Credential"
KEY_PREFIX = "sk-soak-"  # no log line may hold it
KEPT_KEY = f"{KEY_PREFIX}kept"
REVOCATION_S = 2.5  # the settings of the soak; shorter than usual, for more checks
# A VM refuses a key as unknown only by a configuration that is at most this old.
ADDITION_S = 1.5
REFUSALS = 0, 401, 503  # 0: the connection broke
CURRENT_SHARE, WITHDRAWN_SHARE, STRANGER_SHARE = 0.6, 0.3, 0.05
RECENT_KEYS = 3  # only those withdrawn lately can be in force on some process
ODD_ROWS: tuple[Any, ...] = (
    7,
    {"apiKeys": [f"{KEY_PREFIX}nameless"]},
    {"name": "odd", "apiKeys": [f"{KEY_PREFIX}odd", ""]},
    {"name": "odd", "apiKeys": [f"{KEY_PREFIX}odd"], "weight": -1},
    {"name": "odd", "apiKeys": [f"{KEY_PREFIX}odd"], "cap": "none"},
)
REFUSED_KEYS = tuple(f"{KEY_PREFIX}{name}" for name in ("nameless", "odd", "stranger"))


@dataclass(slots=True)
class KeyTimes:
    """When a key was added and withdrawn, in seconds of the test's clock."""

    organisation: str
    added_at: float = inf
    """Time of the store's answer to the addition."""

    withdrawal_began_at: float = inf
    """Time before the withdrawal was written."""

    withdrawn_at: float = inf
    """Time of the store's answer to the withdrawal."""


class KeyRing:
    """The keys of all organisations; thread-safe."""

    def __init__(self, organisations: int, seed: int) -> None:
        self.random = random.Random(f"{seed}/keys")
        self.lock = Lock()
        self.names = [f"o{number}" for number in range(organisations)]
        self.keys: dict[str, KeyTimes] = {}
        for name in self.names:
            self.add(name)

    def add(self, name: str) -> str:
        """Add a key to an organisation; the next configuration holds it."""
        key = f"{KEY_PREFIX}{len(self.keys)}"
        with self.lock:
            self.keys[key] = KeyTimes(name)
        return key

    def withdraw(self, key: str, now: float) -> None:
        """Withdraw a key; the next configuration doesn't hold it."""
        with self.lock:
            self.keys[key].withdrawal_began_at = now

    def list_current(self) -> list[str]:
        """Return the keys that are not withdrawn."""
        with self.lock:
            return [k for k, times in self.keys.items() if times.withdrawn_at == inf]

    def build_rows(self) -> list[Any]:
        """Return the rows of a configuration, among them an odd one."""
        with self.lock:
            rows: list[Any] = [
                {
                    "name": name,
                    "apiKeys": [
                        key
                        for key, times in self.keys.items()
                        if times.organisation == name
                        and times.withdrawal_began_at == inf
                    ],
                }
                for name in self.names
            ]
        rows.append({"name": "kept", "apiKeys": [KEPT_KEY]})
        rows.insert(self.random.randrange(len(rows)), self.random.choice(ODD_ROWS))
        return rows

    def acknowledge(self, now: float) -> None:
        """Take note that the store has answered the latest configuration."""
        with self.lock:
            for times in self.keys.values():
                if times.added_at == inf:
                    times.added_at = now
                if times.withdrawal_began_at < inf and times.withdrawn_at == inf:
                    times.withdrawn_at = now

    def choose(self, source: random.Random) -> str | None:
        """Return a key for a call, mostly one in force; None for no key."""
        share = source.random()
        with self.lock:
            withdrawn = sorted(
                (k for k, t in self.keys.items() if t.withdrawn_at < inf),
                key=lambda k: self.keys[k].withdrawn_at,
            )[-RECENT_KEYS:]
            current = [k for k, t in self.keys.items() if t.withdrawn_at == inf]
        if share < CURRENT_SHARE:
            return source.choice(current)
        if share < CURRENT_SHARE + WITHDRAWN_SHARE and withdrawn:
            return source.choice(withdrawn)
        if share < CURRENT_SHARE + WITHDRAWN_SHARE + STRANGER_SHARE:
            return source.choice(REFUSED_KEYS)
        return None

    def find_fault(
        self, key: str | None, status: int, sent_at: float, answered_at: float
    ) -> str | None:
        """Return what is wrong with an answer to a call with a key.

        Every answer but those of ``REFUSALS`` comes after the key was accepted.
        """
        is_accepted = status not in REFUSALS
        if key is None or key in REFUSED_KEYS:
            return f"{status} for key {key}" if is_accepted else None
        if key == KEPT_KEY:
            return None
        with self.lock:
            times = self.keys[key]
        late_s = sent_at - times.withdrawn_at
        if is_accepted and late_s > REVOCATION_S:
            return f"{status} for {key}, sent {late_s:.3f} s after its withdrawal"
        age_s = sent_at - times.added_at
        is_in_force = answered_at < times.withdrawal_began_at
        if status == 401 and age_s > ADDITION_S and is_in_force:
            return f"401 for {key}, sent {age_s:.3f} s after its addition"
        return None
