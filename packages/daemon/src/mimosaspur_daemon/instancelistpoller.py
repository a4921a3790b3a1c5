"""Poll the platform's instance list to keep an entry's target directory current."""

import random
import threading

from mimosaspur_coordination.listreadlimiter import ListReadLimiter
from mimosaspur_coordination.mirror import Mirror
from mimosaspur_coordination.targetdirectory import TargetDirectory
from mimosaspur_daemon.linkpool import LinkPool
from mimosaspur_state.clock import Clock
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.log import log
from mimosaspur_state.objects import StoredObject
from mimosaspur_state.settings import PlatformSettings
from mimosaspur_transport.instancelist import InstanceListClient

PART = "ENTRY"
MS_PER_SECOND = 1000
# Connected targets send the bundle and their residents, which the store can't during an outage.
MAX_OUTAGE_CONNECTS = 64


class InstanceListPoller:
    """Read the instance list at a rate limited by its size; a single task calls `run`."""

    def __init__(
        self,
        instance_list: InstanceListClient,
        directory: TargetDirectory,
        mirror: Mirror,
        links: LinkPool,
        *,
        clock: Clock,
        settings: PlatformSettings,
    ) -> None:
        self.instance_list = instance_list
        self.directory = directory
        self.mirror = mirror
        self.links = links
        self.clock = clock
        self.poll_interval_ms = settings.instance_list_ms
        self.read_limiter = ListReadLimiter(
            interval_ms=settings.instance_list_ms,
            bytes_per_second=settings.instance_list_bytes_per_second,
        )
        self.wake = threading.Event()

    def on_placement_change(self, item: StoredObject) -> None:
        """Wake the poller early if a placement record names an unknown target."""
        if self.directory.on_placement_change(item):
            self.wake.set()

    def run(self, stop: threading.Event) -> None:
        """Poll until stopped; returns within one poll interval."""
        while not stop.is_set():
            if self.read_limiter.is_due(self.clock.now_ms(), self.directory.unresolved_targets()):
                self._read_list()
            # The list may be down together with the object API, so use the targets already known.
            if not self.mirror.reachable:
                self._connect_to_targets()
            self.wake.wait(self.poll_interval_ms / MS_PER_SECOND)
            self.wake.clear()

    def _read_list(self) -> None:
        try:
            instances = self.instance_list.instances()
        except StoreUnavailable as error:
            log(PART, "Could not read the instance list; will retry.", error=str(error))
            self.read_limiter.record_failure(self.clock.now_ms())
            return
        self.directory.update(instances)
        size_bytes = self.instance_list.size_bytes
        self.read_limiter.record_read(
            self.clock.now_ms(), size_bytes, self.directory.unresolved_targets()
        )
        self.directory.stop_resolving(self.read_limiter.exhausted())

    def _connect_to_targets(self) -> None:
        hints = list(self.directory.hints.values())
        random.shuffle(hints)
        for hint in hints[:MAX_OUTAGE_CONNECTS]:
            self.links.get(hint).connect_in_background()
