"""Simulate the engine's prefix cache and its event stream, with lag and gaps."""

import threading
from collections import OrderedDict
from dataclasses import dataclass

from .base import now_ms

PREFIX_CHARACTERS = 64
MAX_PREFIXES = 32


@dataclass(slots=True)
class CacheEvent:
    """Describe a published event of the cache."""

    sequence: int
    id: str
    prefix: str
    kind: str


class PrefixCache:
    """Cache prefixes per resident; drop every `gap_every`th event (0: none)."""

    def __init__(self, *, lag_ms: float, gap_every: int) -> None:
        self.lag_ms = lag_ms
        self.gap_every = gap_every
        self.lock = threading.Lock()
        self.prefixes: dict[str, OrderedDict[str, None]] = {}
        self.events: list[tuple[float, CacheEvent]] = []

    def lookup(self, resident: str, text: str) -> bool:
        """Return whether the text's prefix is cached, and mark it most recently used."""
        prefix = text[:PREFIX_CHARACTERS]
        with self.lock:
            cached = self.prefixes.get(resident, OrderedDict())
            if prefix not in cached:
                return False
            cached.move_to_end(prefix)
            return True

    def store(self, resident: str, text: str) -> None:
        """Cache the text's prefix, evicting the least recently used when full."""
        prefix = text[:PREFIX_CHARACTERS]
        with self.lock:
            cached = self.prefixes.setdefault(resident, OrderedDict())
            if prefix in cached:
                return
            cached[prefix] = None
            self.publish(resident, prefix, "stored")
            if len(cached) > MAX_PREFIXES:
                oldest, _ = cached.popitem(last=False)
                self.publish(resident, oldest, "evicted")

    def evict_resident(self, resident: str) -> None:
        """Evict all prefixes of a resident."""
        with self.lock:
            for prefix in self.prefixes.pop(resident, OrderedDict()):
                self.publish(resident, prefix, "evicted")

    def publish(self, resident: str, prefix: str, kind: str) -> None:
        """Add an event; the caller must hold the lock."""
        event = CacheEvent(len(self.events) + 1, resident, prefix, kind)
        self.events.append((now_ms() + self.lag_ms, event))

    def events_since(self, first: int) -> tuple[int, list[CacheEvent]]:
        """Return the next sequence number to request, and the published events from `first` on."""
        now = now_ms()
        with self.lock:
            start = max(0, first - 1)
            published = [event for due_ms, event in self.events[start:] if due_ms <= now]
        found = [event for event in published if not self.is_dropped(event)]
        return start + len(published) + 1, found

    def is_dropped(self, event: CacheEvent) -> bool:
        """Return whether the event is dropped to form a gap."""
        return self.gap_every > 0 and event.sequence % self.gap_every == 0
