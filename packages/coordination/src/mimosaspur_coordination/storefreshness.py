"""Know how old what is known of the store is, read here or told by the coordinator."""

from mimosaspur_state.clock import Clock

# An entry reads the store itself once what it was told is older than this part of the time in which
# a leaving target must be known. What is left is for a list, and for one that fails.
MAX_AGE_SHARE = 0.6
# Whoever reads for others waits so long in a watch, and pauses so long between two for targets, in
# parts of the same time: with a heartbeat to the others it stays within what counts as fresh.
TARGETS_WATCH_SHARE = 0.2
TARGETS_PAUSE_SHARE = 0.2
CONFIGURATION_WATCH_SHARE = 0.4
DISTANT_PAST_MS = -1_000_000_000


class StoreFreshness:
    """Hold when the store last confirmed what is known, by this process or by the coordinator."""

    __slots__ = (
        "clock",
        "confirmed_ms",
        "max_age_ms",
        "version_seen_ms",
        "coordinator_confirmed_ms",
        "coordinator_version",
    )

    def __init__(self, *, bound_ms: int, clock: Clock) -> None:
        self.clock = clock
        self.max_age_ms = round(bound_ms * MAX_AGE_SHARE)
        # When this process had the last answer, by what it asked for.
        self.confirmed_ms: dict[str, int] = {}
        self.coordinator_confirmed_ms = DISTANT_PAST_MS
        # The version of the configuration that the coordinator knows.
        self.coordinator_version = 0
        # Since when it has known that one.
        self.version_seen_ms = DISTANT_PAST_MS

    def confirm(self, what: str, *, asked_ms: int) -> None:
        """Take note of an answer to what was asked at a time."""
        self.confirmed_ms[what] = asked_ms

    def may_share(self, wanted: tuple[str, ...]) -> bool:
        """Tell whether others may rely on what this process has read."""
        return self.age_ms(wanted) < self.max_age_ms

    def age_ms(self, wanted: tuple[str, ...]) -> int:
        """Return the age of the oldest of this process's own last answers."""
        oldest_ms = min(self.confirmed_ms.get(what, DISTANT_PAST_MS) for what in wanted)
        return self.clock.now_ms() - oldest_ms

    def confirm_by_coordinator(self, *, age_ms: int) -> None:
        """Take the coordinator's word, and the age of what it rests on."""
        self.coordinator_confirmed_ms = max(
            self.coordinator_confirmed_ms, self.clock.now_ms() - age_ms
        )

    def record_version(self, version: int) -> None:
        """Take the coordinator's word that it knows a version of the configuration."""
        if version > self.coordinator_version:
            self.coordinator_version = version
            self.version_seen_ms = self.clock.now_ms()

    def version_age_ms(self) -> int:
        """Return for how long the newest known version has been known to exist."""
        return self.clock.now_ms() - self.version_seen_ms

    def confirmation_age_ms(self, what: str) -> int:
        """Return how long ago the store last confirmed something, here or to the coordinator."""
        return self.clock.now_ms() - max(
            self.confirmed_ms.get(what, DISTANT_PAST_MS), self.coordinator_confirmed_ms
        )

    def coordinator_is_fresh(self) -> bool:
        """Tell whether the coordinator's word is fresh enough."""
        return self.clock.now_ms() - self.coordinator_confirmed_ms < self.max_age_ms
