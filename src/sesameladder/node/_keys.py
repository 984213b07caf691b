"""Layout of the product's keys in the platform's store."""

ROLE_PREFIX = "own/"
"""Holder of each role; the key goes with its holder's lease."""

FLEET_ROLE = "fleet"
POOL_ROLE_PREFIX = "pool."


def role_key(role: str) -> str:
    """Return the key that names a role's holder."""
    return f"{ROLE_PREFIX}{role}"


def term_key(role: str) -> str:
    """Return the key that counts a role's holders."""
    return f"term/{role}"


def pool_role(pool: str) -> str:
    """Return the role of a pool's owner."""
    return f"{POOL_ROLE_PREFIX}{pool}"


def inbox_prefix(pool: str) -> str:
    """Return the prefix that a pool's owner watches."""
    return f"pool/{pool}/"


def submission_key(pool: str, job: str) -> str:
    """Return the key of an accepted job."""
    return f"pool/{pool}/in/{job}"


def cancel_key(pool: str, job: str) -> str:
    """Return the key that says that a job is cancelled."""
    return f"pool/{pool}/cancel/{job}"


def orders_key(pool: str) -> str:
    """Return the key with what the fleet role tells a pool's owner."""
    return f"pool/{pool}/orders"


def progress_prefix(pool: str) -> str:
    """Return the prefix of a pool's progress records."""
    return f"progress/{pool}/"


def progress_key(pool: str, job: str) -> str:
    """Return the key of a job's progress."""
    return f"progress/{pool}/{job}"


def sequence_key(pool: str) -> str:
    """Return the key that orders the writes of a pool's owners."""
    return f"sequence/{pool}"


def tracked_workers_key(pool: str) -> str:
    """Return the key with the workers on which a pool's runs may be present."""
    return f"tracked/{pool}"


SUMMARY_PREFIX = "summary/"


def summary_key(pool: str) -> str:
    """Return the key with what a pool's owner tells of the pool."""
    return f"{SUMMARY_PREFIX}{pool}"


MAINTENANCE_PREFIX = "upkeep/"


def maintenance_key(wave: int) -> str:
    """Return the key with the VMs of a wave that have begun their upkeep."""
    return f"{MAINTENANCE_PREFIX}{wave}"


BASE_SIZES_KEY = "fleet/base"
"""Number of VMs that each pool keeps when none is lent."""
