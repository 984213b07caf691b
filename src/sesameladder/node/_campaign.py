"""Which process takes a vacant role first.

All load of a pool is on its owner's VM: in a demand peak it sends about a thousand
starts a second, 1 to 2 MB/s. VMs differ by a factor of 20 in their links and of 4 in
their processors, so the processes on stronger VMs ask first. Weaker ones follow, so
that a role is never left vacant.
"""

from collections.abc import Iterable

from sesameladder.node._vm_load import VmSize

# A VM of this size carries the owner of a pool of 80 workers in a demand peak.
SUFFICIENT_CORES = 1.0
SUFFICIENT_LINK_MBPS = 50.0
WEAKNESS_DELAY_S = 1.0  # beyond the delay of a stronger VM that holds three roles
CAMPAIGN_DELAY_PER_ROLE_S = 0.25  # per role held, so that roles spread over processes


def compute_strength(size: VmSize) -> float:
    """Return the share of a pool's peak load that a VM can carry, at most 1.

    An unknown size counts as sufficient.
    """
    shares = [1.0]
    if size.cores > 0:
        shares.append(size.cores / SUFFICIENT_CORES)
    if size.link_mbps > 0:
        shares.append(size.link_mbps / SUFFICIENT_LINK_MBPS)
    return min(shares)


def compute_campaign_delay(
    own_strength: float, held_roles: int, holder_strengths: Iterable[float]
) -> float:
    """Return how long to wait before asking for a vacant role, in seconds.

    ``holder_strengths`` are those of the latest holders of all roles. They tell
    whether stronger VMs exist; without any, stronger ones are expected.
    """
    strongest = max(holder_strengths, default=1.0)
    weakness = max(0.0, 1.0 - own_strength / strongest) if strongest > 0 else 0.0
    return CAMPAIGN_DELAY_PER_ROLE_S * held_roles + WEAKNESS_DELAY_S * weakness
