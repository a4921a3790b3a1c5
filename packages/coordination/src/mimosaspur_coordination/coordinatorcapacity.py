"""Know which machines can carry the coordinator's duty beside their callers.

The coordinator hears all entries and tells all of them: some tenths of a core and some Mbit/s for
hundreds of entries. On a machine with little of either, news gets old and its own callers wait.
"""

from mimosaspur_state.directsettings import DirectSettings

# A machine with so much carries the duty for a hundred entries in a quarter of it.
FULL_CAPACITY_CORES = 0.8
FULL_CAPACITY_LINK_MBPS = 50.0
# A machine that offers next to nothing lets others contend for so much longer. It bounds how much
# later a fleet of small machines has its next coordinator.
MAX_CANDIDACY_DELAY_S = 1.0
# The part of a link that news to the other entries may take, since callers' answers need it too.
MAX_UPDATE_LINK_SHARE = 0.25
# What news may take at each entry that gets it: control is allowed 10 KB a second for a daemon, and
# its own reports need some of it. Traffic between failure domains is paid for.
MAX_UPDATE_BYTES_PER_S = 7_000


def candidacy_delay_s(settings: DirectSettings) -> float:
    """Return how long this machine lets others take the duty first."""
    parts = [1.0]
    if settings.cores:
        parts.append(settings.cores / FULL_CAPACITY_CORES)
    if settings.link_mbps:
        parts.append(settings.link_mbps / FULL_CAPACITY_LINK_MBPS)
    return MAX_CANDIDACY_DELAY_S * (1.0 - min(parts))


def update_pause_s(settings: DirectSettings, *, sent_bytes: int, recipients: int) -> float:
    """Return how long news of this size is to be followed by none."""
    if not recipients:
        return 0.0
    pause_s = sent_bytes / recipients / MAX_UPDATE_BYTES_PER_S
    if settings.link_mbps:
        pause_s = max(
            pause_s, sent_bytes * 8 / (settings.link_mbps * 1_000_000 * MAX_UPDATE_LINK_SHARE)
        )
    return pause_s
