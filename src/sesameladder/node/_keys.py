"""Keys of the records that this system keeps in the platform's store."""

from hashlib import blake2b

ROLE_PREFIX = "own/"
"""Prefix of the keys that name role holders; each expires with the holder's lease."""

FLEET_ROLE = "fleet"
POOL_ROLE_PREFIX = "pool."


def role_key(role: str) -> str:
    """Return the key that names the holder of a role."""
    return f"{ROLE_PREFIX}{role}"


def term_key(role: str) -> str:
    """Return the key that counts the successive holders of a role."""
    return f"term/{role}"


def pool_role(pool: str) -> str:
    """Return the role of a pool's owner."""
    return f"{POOL_ROLE_PREFIX}{pool}"


def inbox_prefix(pool: str) -> str:
    """Return the prefix of the records that a pool's owner watches."""
    return f"pool/{pool}/"


def submission_key(pool: str, job: str) -> str:
    """Return the key of an accepted job."""
    return f"pool/{pool}/in/{job}"


def accepted_key(job: str) -> str:
    """Return the key that names the pool of an accepted job.

    It is written with the submission and removed with the progress. A job's identifier
    is accepted once, whatever pools its queue's route leads to.
    """
    return f"accepted/{job}"


def cancel_key(pool: str, job: str) -> str:
    """Return the key that marks a job as cancelled."""
    return f"pool/{pool}/cancel/{job}"


def orders_key(pool: str) -> str:
    """Return the key of the fleet role's orders to a pool's owner."""
    return f"pool/{pool}/orders"


def progress_prefix(pool: str) -> str:
    """Return the prefix of a pool's progress records."""
    return f"progress/{pool}/"


def progress_key(pool: str, job: str) -> str:
    """Return the key of a job's progress."""
    return f"progress/{pool}/{job}"


def sequence_key(pool: str) -> str:
    """Return the key that each write of a pool's owner checks and rewrites."""
    return f"sequence/{pool}"


def tracked_workers_key(pool: str) -> str:
    """Return the key of the list of workers that may have runs of a pool."""
    return f"tracked/{pool}"


SUMMARY_PREFIX = "summary/"


def summary_key(pool: str) -> str:
    """Return the key of the summary that a pool's owner stores."""
    return f"{SUMMARY_PREFIX}{pool}"


CAP_PREFIX = "cap/"
CAP_DIGEST_BYTES = 16


def cap_key(organisation: str) -> str:
    """Return the key of what each pool is granted of an organisation's cap.

    Names of organisations may have characters that keys can't.
    """
    digest = blake2b(organisation.encode(), digest_size=CAP_DIGEST_BYTES)
    return f"{CAP_PREFIX}{digest.hexdigest()}"


MAINTENANCE_PREFIX = "upkeep/"


def maintenance_key(wave: int) -> str:
    """Return the key of the list of a wave's VMs whose maintenance has started."""
    return f"{MAINTENANCE_PREFIX}{wave}"


BASE_SIZES_KEY = "fleet/base"
"""Key of the number of VMs that each pool has while none is lent."""

ORDERED_VMS_KEY = "fleet/ordered"
"""VMs that the fleet role's holder has ordered in the last seconds, with its term."""

FLEET_SEQUENCE_KEY = "fleet/sequence"
"""Key that each write of the fleet role's holder checks and rewrites."""
