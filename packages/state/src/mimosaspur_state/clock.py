"""Tell the time in milliseconds."""

import time
from typing import Protocol


class Clock(Protocol):
    """Give monotonic and wall time in milliseconds."""

    def now_ms(self) -> int:
        """Return monotonic time; only differences mean anything."""
        ...

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch, for records that people read."""
        ...


class SystemClock:
    """Read the machine's clocks."""

    __slots__ = ()

    def now_ms(self) -> int:
        """Return monotonic time; only differences mean anything."""
        return time.monotonic_ns() // 1_000_000

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch, for records that people read."""
        return time.time_ns() // 1_000_000


class BoottimeClock:
    """Read a clock that goes on while the machine is suspended, for leases."""

    __slots__ = ()

    def now_ms(self) -> int:
        """Return milliseconds since boot, those of a suspended machine included."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch, for records that people read."""
        return time.time_ns() // 1_000_000


class Deadline:
    """Hold a point in monotonic time after which a wait must end."""

    __slots__ = ("expires_at_ms", "clock")

    def __init__(self, clock: Clock, timeout_ms: int) -> None:
        self.clock = clock
        self.expires_at_ms = clock.now_ms() + timeout_ms

    def remaining_ms(self) -> int:
        """Return the milliseconds left, never below zero."""
        return max(0, self.expires_at_ms - self.clock.now_ms())

    def remaining_s(self) -> float:
        """Return the seconds left, for library calls that take seconds."""
        return self.remaining_ms() / 1000

    def has_passed(self) -> bool:
        """Tell whether the deadline has passed."""
        return self.remaining_ms() == 0
