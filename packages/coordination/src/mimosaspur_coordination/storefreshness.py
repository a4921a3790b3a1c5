"""Know how old what is known of the store is, read here or told by the coordinator."""

from mimosaspur_state.clock import Clock

# An entry reads the store itself once what it was told is older than this part of the time in which
# a leaving target must be known. What is left is for a list, and for one that fails.
FRESH_PART = 0.6
# Whoever reads for others waits so long in a watch, and pauses so long between two for targets, in
# parts of the same time: with a heartbeat to the others it stays within what counts as fresh.
TARGETS_WAIT_PART = 0.2
TARGETS_PAUSE_PART = 0.2
CONFIGURATION_WAIT_PART = 0.4
NEVER = -1_000_000_000


class StoreFreshness:
    """Hold when the store last confirmed what is known, by this process or by the coordinator."""

    __slots__ = ("clock", "confirmed", "fresh_ms", "newer_ms", "told_ms", "version")

    def __init__(self, *, bound_ms: int, clock: Clock) -> None:
        self.clock = clock
        self.fresh_ms = round(bound_ms * FRESH_PART)
        # When this process had the last answer, by what it asked for.
        self.confirmed: dict[str, int] = {}
        self.told_ms = NEVER
        # The version of the configuration that the coordinator knows.
        self.version = 0
        # Since when it has known that one.
        self.newer_ms = NEVER

    def confirm(self, what: str, *, asked_ms: int) -> None:
        """Take note of an answer to what was asked at a time."""
        self.confirmed[what] = asked_ms

    def may_tell(self, wanted: tuple[str, ...]) -> bool:
        """Tell whether others may rely on what this process has read."""
        return self.age_ms(wanted) < self.fresh_ms

    def age_ms(self, wanted: tuple[str, ...]) -> int:
        """Return the age of the oldest of this process's own last answers."""
        oldest_ms = min(self.confirmed.get(what, NEVER) for what in wanted)
        return self.clock.now_ms() - oldest_ms

    def tell(self, *, age_ms: int) -> None:
        """Take the coordinator's word, and the age of what it rests on."""
        self.told_ms = max(self.told_ms, self.clock.now_ms() - age_ms)

    def tell_version(self, version: int) -> None:
        """Take the coordinator's word that it knows a version of the configuration."""
        if version > self.version:
            self.version = version
            self.newer_ms = self.clock.now_ms()

    def newer_for_ms(self) -> int:
        """Return for how long the newest known version has been known to exist."""
        return self.clock.now_ms() - self.newer_ms

    def known_ms_ago(self, what: str) -> int:
        """Return how long ago the store last confirmed something, here or to the coordinator."""
        return self.clock.now_ms() - max(self.confirmed.get(what, NEVER), self.told_ms)

    def told_lately(self) -> bool:
        """Tell whether the coordinator's word is fresh enough."""
        return self.clock.now_ms() - self.told_ms < self.fresh_ms
