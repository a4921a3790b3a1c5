"""Track the health of a target from the outcomes of its requests."""

from mimosaspur_state.clock import Clock

# Weight of the newest outcome in the moving average.
OUTCOME_WEIGHT = 0.25
# The failure share decays without new outcomes, so that the target is tried again.
FAILURE_HALF_LIFE_MS = 2_500
# Targets above this share are avoided.
MAX_FAILURE_SHARE = 0.45
# Cooldown after a connection could not be opened; it doubles with each further failure.
INITIAL_COOLDOWN_MS = 400
MAX_COOLDOWN_MS = 3_000


class TargetHealth:
    """Track the moving share of failed requests and the cooldown of an unreachable target."""

    __slots__ = ("clock", "cooldown_ms", "cooldown_until_ms", "last_failure_share", "updated_ms")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.last_failure_share = 0.0
        self.updated_ms = clock.now_ms()
        self.cooldown_ms = 0
        self.cooldown_until_ms = 0

    def record_success(self) -> None:
        """Record a successful request."""
        self._record(0.0)
        self.cooldown_ms = 0

    def record_failure(self) -> None:
        """Record a request that failed at the target."""
        self._record(1.0)

    def record_unreachable(self) -> None:
        """Record that a connection could not be opened and begin a cooldown."""
        self._record(1.0)
        if self.is_cooling_down():
            # An attempt that began before the last one failed shows nothing new.
            return
        self.cooldown_ms = min(MAX_COOLDOWN_MS, max(INITIAL_COOLDOWN_MS, self.cooldown_ms * 2))
        self.cooldown_until_ms = self.clock.now_ms() + self.cooldown_ms

    def failure_share(self) -> float:
        """Return the moving share of failed requests, decayed over time."""
        age_ms = self.clock.now_ms() - self.updated_ms
        return float(self.last_failure_share * 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS))

    def is_cooling_down(self) -> bool:
        """Return whether the target is in its cooldown."""
        return self.clock.now_ms() < self.cooldown_until_ms

    def is_avoided(self) -> bool:
        """Return whether other targets should be preferred."""
        return self.is_cooling_down() or self.failure_share() > MAX_FAILURE_SHARE

    def _record(self, outcome: float) -> None:
        self.last_failure_share = (
            self.failure_share() * (1 - OUTCOME_WEIGHT) + outcome * OUTCOME_WEIGHT
        )
        self.updated_ms = self.clock.now_ms()
