"""Provide clocks and deadlines in milliseconds."""

import time
from typing import Protocol


class Clock(Protocol):
    """Provide monotonic and wall time in milliseconds."""

    def now_ms(self) -> int:
        """Return monotonic time; only differences are meaningful."""
        ...

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch, for human-readable records."""
        ...


class SystemClock:
    """Read the operating system's clocks."""

    __slots__ = ()

    def now_ms(self) -> int:
        """Return monotonic time; only differences are meaningful."""
        return time.monotonic_ns() // 1_000_000

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch, for human-readable records."""
        return time.time_ns() // 1_000_000


class BoottimeClock:
    """Read a clock that keeps running while the machine is suspended; used for leases."""

    __slots__ = ()

    def now_ms(self) -> int:
        """Return milliseconds since boot, including time in suspend."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch, for human-readable records."""
        return time.time_ns() // 1_000_000


class Deadline:
    """Represent a point in monotonic time at which a wait must end."""

    __slots__ = ("expires_at_ms", "clock")

    def __init__(self, clock: Clock, timeout_ms: int) -> None:
        self.clock = clock
        self.expires_at_ms = clock.now_ms() + timeout_ms

    def remaining_ms(self) -> int:
        """Return the remaining milliseconds, at least 0."""
        return max(0, self.expires_at_ms - self.clock.now_ms())

    def remaining_s(self) -> float:
        """Return the remaining seconds, at least 0."""
        return self.remaining_ms() / 1000

    def has_passed(self) -> bool:
        """Return whether the deadline has passed."""
        return self.remaining_ms() == 0
