"""Keep the engine's prefix cache and publish its events, late and with gaps."""

import threading
from collections import OrderedDict
from dataclasses import dataclass

from .base import now_ms

PREFIX_CHARACTERS = 64
MAX_PREFIXES = 32


@dataclass(slots=True)
class CacheEvent:
    """Hold one published event of the cache."""

    sequence: int
    id: str
    prefix: str
    kind: str


class PrefixCache:
    """Remember prefixes per resident; every `gap_every`th event is lost (0: none)."""

    def __init__(self, *, lag_ms: float, gap_every: int) -> None:
        self.lag_ms = lag_ms
        self.gap_every = gap_every
        self.lock = threading.Lock()
        self.prefixes: dict[str, OrderedDict[str, None]] = {}
        self.events: list[tuple[float, CacheEvent]] = []

    def lookup(self, resident: str, text: str) -> bool:
        """Tell whether the text's prefix is cached and make it the newest."""
        prefix = text[:PREFIX_CHARACTERS]
        with self.lock:
            known = self.prefixes.get(resident, OrderedDict())
            if prefix not in known:
                return False
            known.move_to_end(prefix)
            return True

    def store(self, resident: str, text: str) -> None:
        """Cache the text's prefix and evict the oldest beyond the room."""
        prefix = text[:PREFIX_CHARACTERS]
        with self.lock:
            known = self.prefixes.setdefault(resident, OrderedDict())
            if prefix in known:
                return
            known[prefix] = None
            self.publish(resident, prefix, "stored")
            if len(known) > MAX_PREFIXES:
                oldest, _ = known.popitem(last=False)
                self.publish(resident, oldest, "evicted")

    def evict_resident(self, resident: str) -> None:
        """Evict all of a resident."""
        with self.lock:
            for prefix in self.prefixes.pop(resident, OrderedDict()):
                self.publish(resident, prefix, "evicted")

    def publish(self, resident: str, prefix: str, kind: str) -> None:
        """Add an event; the caller holds the lock."""
        event = CacheEvent(len(self.events) + 1, resident, prefix, kind)
        self.events.append((now_ms() + self.lag_ms, event))

    def events_since(self, first: int) -> tuple[int, list[CacheEvent]]:
        """Give the next sequence to ask for, and the events out from `first` on."""
        now = now_ms()
        with self.lock:
            start = max(0, first - 1)
            out = [event for due_ms, event in self.events[start:] if due_ms <= now]
        found = [event for event in out if not self.is_dropped(event)]
        return start + len(out) + 1, found

    def is_dropped(self, event: CacheEvent) -> bool:
        """Tell whether the event falls into a gap."""
        return self.gap_every > 0 and event.sequence % self.gap_every == 0
