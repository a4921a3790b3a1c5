"""Set aside what entries may spend that the coordinator doesn't hear any more."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class _Reservation:
    """Hold since when an entry is absent, and what a second is set aside for it."""

    since_ms: int
    per_s: Mapping[str, float]


class DisconnectedEntries:
    """Keep the shares of entries whose links have ended.

    One that is only cut off goes on to spend its share, as long as its callers reach it. After a
    whole window it is taken for gone.
    """

    __slots__ = ("reservations", "window_ms")

    def __init__(self, window_ms: int) -> None:
        self.window_ms = window_ms
        self.reservations: dict[str, _Reservation] = {}

    def add(self, entry: str, per_s: Mapping[str, float], now_ms: int) -> None:
        """Set aside an entry's shares, in amounts a second by workspace."""
        self.reservations[entry] = _Reservation(now_ms, per_s)

    def remove(self, entry: str, now_ms: int) -> dict[str, float]:
        """Set nothing more aside for an entry; return what was, which it accounts for itself."""
        absent = self.reservations.pop(entry, None)
        if absent is None:
            return {}
        absent_s = (now_ms - absent.since_ms) / 1000
        return {workspace: per_s * absent_s for workspace, per_s in absent.per_s.items()}

    def expire(self, now_ms: int) -> bool:
        """Take those for gone that are absent for a whole window; tell whether there were any."""
        gone = [
            entry
            for entry, absent in self.reservations.items()
            if now_ms - absent.since_ms >= self.window_ms
        ]
        for entry in gone:
            del self.reservations[entry]
        return bool(gone)

    def reserved_per_s(self, workspace: str) -> float:
        """Return what a second of a workspace's quota is set aside."""
        return sum(absent.per_s.get(workspace, 0.0) for absent in self.reservations.values())
