"""Judge a target by what becomes of the requests that were sent to it."""

from mimosaspur_state.clock import Clock

# Weight of the newest outcome in the failing share.
OUTCOME_WEIGHT = 0.25
# Without new outcomes the failing share halves in this time, so that the target is tried again.
FAILURE_HALF_LIFE_MS = 2_500
# A target that fails more than this share is avoided while others are better.
MAX_FAILURE_SHARE = 0.45
# After a connection could not be opened, the target rests; twice as long each time.
INITIAL_COOLDOWN_MS = 400
MAX_COOLDOWN_MS = 3_000


class TargetHealth:
    """Keep the failing share of late outcomes, and rest a target that can't be reached."""

    __slots__ = ("clock", "last_failure_share", "cooldown_ms", "cooldown_until_ms", "updated_ms")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.last_failure_share = 0.0
        self.updated_ms = clock.now_ms()
        self.cooldown_ms = 0
        self.cooldown_until_ms = 0

    def record_success(self) -> None:
        """Count a request that went well."""
        self._record(0.0)
        self.cooldown_ms = 0

    def record_failure(self) -> None:
        """Count a request that the target failed."""
        self._record(1.0)

    def record_unreachable(self) -> None:
        """Rest the target after a connection could not be opened."""
        self._record(1.0)
        self.cooldown_ms = min(MAX_COOLDOWN_MS, max(INITIAL_COOLDOWN_MS, self.cooldown_ms * 2))
        self.cooldown_until_ms = self.clock.now_ms() + self.cooldown_ms

    def failure_share(self) -> float:
        """Return the share of late requests that failed, fading with time."""
        age_ms = self.clock.now_ms() - self.updated_ms
        return float(self.last_failure_share * 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS))

    def is_cooling_down(self) -> bool:
        """Tell whether a connection couldn't be opened a short while ago."""
        return self.clock.now_ms() < self.cooldown_until_ms

    def is_avoided(self) -> bool:
        """Tell whether others are to be preferred."""
        return self.is_cooling_down() or self.failure_share() > MAX_FAILURE_SHARE

    def _record(self, outcome: float) -> None:
        self.last_failure_share = (
            self.failure_share() * (1 - OUTCOME_WEIGHT) + outcome * OUTCOME_WEIGHT
        )
        self.updated_ms = self.clock.now_ms()
