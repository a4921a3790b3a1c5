"""Remember which targets have said that they leave.

Nothing takes that back but the end of the target's lifetime: a registration may be older than the
answer, and a store that is unreachable or was restored may list the target as ready for long.
"""

from collections.abc import Collection

from mimosaspur_state.clock import Clock

# What is known of a target that isn't registered is kept this long: it may be registered again.
UNREGISTERED_RETENTION_MS = 600_000


class LeavingTargets:
    """Hold the incarnations of targets that have said that they leave."""

    __slots__ = ("clock", "noted_ms", "unreported")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        # When each was last known to be registered.
        self.noted_ms: dict[str, int] = {}
        self.unreported: set[str] = set()

    def __contains__(self, incarnation: object) -> bool:
        return incarnation in self.noted_ms

    def add(self, incarnation: str, *, report: bool) -> bool:
        """Record that a target leaves; return whether that is new."""
        if incarnation in self.noted_ms:
            return False
        self.noted_ms[incarnation] = self.clock.now_ms()
        if report:
            self.unreported.add(incarnation)
        return True

    def take_unreported(self) -> list[str]:
        """Return the targets added since the last call."""
        added = sorted(self.unreported)
        self.unreported.clear()
        return added

    def report_all(self) -> None:
        """Report all that is known with the next call of `take_unreported`."""
        self.unreported.update(self.noted_ms)

    def retain(self, registered: Collection[str]) -> None:
        """Drop the targets that haven't been registered for long."""
        now_ms = self.clock.now_ms()
        for incarnation in list(self.noted_ms):
            if incarnation in registered:
                self.noted_ms[incarnation] = now_ms
            elif now_ms - self.noted_ms[incarnation] >= UNREGISTERED_RETENTION_MS:
                del self.noted_ms[incarnation]
                self.unreported.discard(incarnation)
