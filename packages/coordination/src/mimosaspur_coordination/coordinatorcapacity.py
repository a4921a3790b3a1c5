"""Estimate how well this machine can act as coordinator beside serving its callers.

The coordinator exchanges messages with all entries: a few tenths of a core and a few Mbit/s for
hundreds of entries. On a machine with less, updates are delayed and its own callers wait.
"""

from mimosaspur_state.directsettings import DirectSettings

# A machine of this size coordinates a hundred entries with a quarter of its capacity.
FULL_CAPACITY_CORES = 0.8
FULL_CAPACITY_LINK_MBPS = 50.0
# Delay of the smallest machines. It bounds how much longer a fleet of small machines is without a
# coordinator.
MAX_CANDIDACY_DELAY_S = 1.0
# Share of the link for updates to the other entries; callers' answers need the rest.
MAX_UPDATE_LINK_SHARE = 0.25
# Limit for each receiving entry. The budget for control traffic is 10 KB per second and daemon, of
# which the daemon's own reports need a part.
MAX_UPDATE_BYTES_PER_S = 7_000


def candidacy_delay_s(settings: DirectSettings) -> float:
    """Return how long this machine waits before it contends to be the coordinator."""
    ratios = [1.0]
    if settings.cores:
        ratios.append(settings.cores / FULL_CAPACITY_CORES)
    if settings.link_mbps:
        ratios.append(settings.link_mbps / FULL_CAPACITY_LINK_MBPS)
    return MAX_CANDIDACY_DELAY_S * (1.0 - min(ratios))


def update_pause_s(settings: DirectSettings, *, sent_bytes: int, recipients: int) -> float:
    """Return the minimum pause after an update of this size to this many recipients."""
    if not recipients:
        return 0.0
    pause_s = sent_bytes / recipients / MAX_UPDATE_BYTES_PER_S
    if settings.link_mbps:
        pause_s = max(
            pause_s, sent_bytes * 8 / (settings.link_mbps * 1_000_000 * MAX_UPDATE_LINK_SHARE)
        )
    return pause_s
