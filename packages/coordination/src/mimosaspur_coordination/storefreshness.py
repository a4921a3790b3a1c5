"""Track the age of the data from the store, read here or received from the coordinator."""

from mimosaspur_state.clock import Clock

# Shares of the time within which a leaving target must be known. Data from the coordinator older
# than the first one makes an entry read the store itself; the rest leaves time for a retried list.
MAX_AGE_SHARE = 0.6
# Watch timeouts, and the pause between watches of targets, when reading for other entries: with
# the delay of a heartbeat, the data stays within MAX_AGE_SHARE.
TARGETS_WATCH_SHARE = 0.2
TARGETS_PAUSE_SHARE = 0.2
CONFIGURATION_WATCH_SHARE = 0.4
DISTANT_PAST_MS = -1_000_000_000


def answer_age_ms(*, asked_ms: int, wait_ms: int, timed_out: bool, now_ms: int) -> int:
    """Return the age that the answer to a watch may have.

    The network may have held it, or this process may have stood still, since the store sent it:
    as soon as there was a change, or at the end of the wait.
    """
    sent_ms = asked_ms + wait_ms
    return now_ms - (sent_ms if timed_out and sent_ms <= now_ms else asked_ms)


class StoreFreshness:
    """Track when the store last confirmed the data, to this process or to the coordinator."""

    __slots__ = (
        "clock",
        "confirmed_ms",
        "coordinator_confirmed_ms",
        "coordinator_version",
        "max_age_ms",
        "version_seen_ms",
    )

    def __init__(self, *, bound_ms: int, clock: Clock) -> None:
        # Must count time in suspend: other entries take its ages for those of their own lists.
        self.clock = clock
        self.max_age_ms = round(bound_ms * MAX_AGE_SHARE)
        # When this process last got a response, by kind of data.
        self.confirmed_ms: dict[str, int] = {}
        self.coordinator_confirmed_ms = DISTANT_PAST_MS
        # The newest configuration version that the coordinator has, and when it was first seen.
        self.coordinator_version = 0
        self.version_seen_ms = DISTANT_PAST_MS

    def confirm(self, kind: str, *, age_ms: int) -> None:
        """Record a response to a read, and the age of its data."""
        self.confirmed_ms[kind] = self.clock.now_ms() - age_ms

    def may_share(self, kinds: tuple[str, ...]) -> bool:
        """Return whether this process' own reads are recent enough to share with other entries."""
        return self.age_ms(kinds) < self.max_age_ms

    def age_ms(self, kinds: tuple[str, ...]) -> int:
        """Return the age of the oldest of this process' own last reads of the given kinds."""
        oldest_ms = min(self.confirmed_ms.get(kind, DISTANT_PAST_MS) for kind in kinds)
        return self.clock.now_ms() - oldest_ms

    def confirm_by_coordinator(self, *, age_ms: int) -> None:
        """Record an update from the coordinator and the age of its data."""
        self.coordinator_confirmed_ms = max(
            self.coordinator_confirmed_ms, self.clock.now_ms() - age_ms
        )

    def record_version(self, version: int) -> None:
        """Record that the coordinator has a version of the configuration."""
        if version > self.coordinator_version:
            self.coordinator_version = version
            self.version_seen_ms = self.clock.now_ms()

    def version_age_ms(self) -> int:
        """Return the time since the coordinator's newest version was first seen."""
        return self.clock.now_ms() - self.version_seen_ms

    def confirmation_age_ms(self, kind: str) -> int:
        """Return the time since a kind of data was last confirmed, here or to the coordinator."""
        return self.clock.now_ms() - max(
            self.confirmed_ms.get(kind, DISTANT_PAST_MS), self.coordinator_confirmed_ms
        )

    def coordinator_is_fresh(self) -> bool:
        """Return whether the coordinator's data is recent enough to rely on."""
        return self.clock.now_ms() - self.coordinator_confirmed_ms < self.max_age_ms
