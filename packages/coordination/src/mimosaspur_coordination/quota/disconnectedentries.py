"""Reserve the quota that disconnected entries may still be spending."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class _Reservation:
    """Hold the time of a disconnection and the reserved amount per second."""

    since_ms: int
    per_s: Mapping[str, float]


class DisconnectedEntries:
    """Reserve the shares of disconnected entries.

    A partitioned entry continues to spend its share. After a whole window it is assumed dead.
    """

    __slots__ = ("reservations", "window_ms")

    def __init__(self, window_ms: int) -> None:
        self.window_ms = window_ms
        self.reservations: dict[str, _Reservation] = {}

    def add(self, entry: str, per_s: Mapping[str, float], now_ms: int) -> None:
        """Reserve an entry's shares, in amounts per second by workspace."""
        self.reservations[entry] = _Reservation(now_ms, per_s)

    def remove(self, entry: str, now_ms: int) -> dict[str, float]:
        """End an entry's reservation; return the reserved amounts, as it reports what it spent."""
        reservation = self.reservations.pop(entry, None)
        if reservation is None:
            return {}
        disconnected_s = (now_ms - reservation.since_ms) / 1000
        return {workspace: per_s * disconnected_s for workspace, per_s in reservation.per_s.items()}

    def expire(self, now_ms: int) -> bool:
        """Drop reservations that are a whole window old; return whether there were any."""
        expired = [
            entry
            for entry, reservation in self.reservations.items()
            if now_ms - reservation.since_ms >= self.window_ms
        ]
        for entry in expired:
            del self.reservations[entry]
        return bool(expired)

    def reserved_per_s(self, workspace: str) -> float:
        """Return the reserved amount per second of a workspace's quota."""
        return sum(
            reservation.per_s.get(workspace, 0.0) for reservation in self.reservations.values()
        )
