"""Pool an entry's links to targets, created on demand."""

import threading

from mimosaspur_coordination.generation import BundleHolder
from mimosaspur_coordination.hints import TargetHint
from mimosaspur_state.clock import Clock
from mimosaspur_state.settings import PeerSettings
from mimosaspur_transport.targetlink import TargetLink


class LinkPool:
    """Keep one link per target; a new hint, as after an address change, replaces the link."""

    def __init__(
        self,
        *,
        instance: str,
        incarnation: str,
        settings: PeerSettings,
        idle_ms: int,
        clock: Clock,
        holder: BundleHolder,
    ) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self.settings = settings
        self.idle_ms = idle_ms
        self.clock = clock
        self.holder = holder
        self.lock = threading.Lock()
        self.links: dict[str, TargetLink] = {}

    def get(self, hint: TargetHint) -> TargetLink:
        """Return the link to a target, creating it unconnected if needed."""
        with self.lock:
            link = self.links.get(hint.name)
            if link is None or link.hint is not hint:
                link = self._create(hint)
                self.links[hint.name] = link
            return link

    def stop(self) -> None:
        """Close all links."""
        with self.lock:
            links = list(self.links.values())
        for link in links:
            link.stop()

    def _create(self, hint: TargetHint) -> TargetLink:
        return TargetLink(
            hint,
            instance=self.instance,
            incarnation=self.incarnation,
            settings=self.settings,
            idle_ms=self.idle_ms,
            clock=self.clock,
            holder=self.holder,
        )
