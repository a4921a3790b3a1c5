"""Delete claims whose retention has expired."""

import threading
from collections.abc import Callable
from typing import Protocol

from mimosaspur_coordination.claims import is_expired
from mimosaspur_state import keys
from mimosaspur_state.clock import Clock
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.errors import VersionConflict
from mimosaspur_state.objects import Snapshot
from mimosaspur_state.objects import StoredObject
from mimosaspur_state.records import Claim

SWEEP_INTERVAL_S = 1.0
# Without any claims the next one can't expire before the retention time has passed, so that an idle
# site is polled less often.
MAX_IDLE_INTERVAL_S = 10.0


class PagedStore(Protocol):
    """List objects page by page and delete them; every call may raise StoreUnavailable."""

    def page(self, prefix: str, *, after: str, limit: int) -> Snapshot:
        """Return the first objects by key after a key, none at the end."""
        ...

    def delete(self, key: str, version: int) -> None:
        """Delete the object at this version; raise VersionConflict at another one."""
        ...


class ClaimSweep:
    """Scan the claims repeatedly, one page per second.

    A page contains complete answers, so its size limits memory as well as deletions per second.
    """

    def __init__(
        self,
        store: PagedStore,
        clock: Clock,
        *,
        retention_ms: int,
        page_size: int,
        holds_lease: Callable[[], bool],
    ) -> None:
        self.store = store
        self.clock = clock
        self.retention_ms = retention_ms
        self.page_size = max(1, page_size)
        self.holds_lease = holds_lease
        self.cursor = ""

    def run(self, stop: threading.Event) -> None:
        """Sweep while the lease is held, until stopped."""
        pause_s = SWEEP_INTERVAL_S
        while not stop.wait(pause_s):
            pause_s = SWEEP_INTERVAL_S
            if self.holds_lease() and not self.sweep_page():
                pause_s = max(SWEEP_INTERVAL_S, min(MAX_IDLE_INTERVAL_S, self.retention_ms / 1000))

    def sweep_page(self) -> bool:
        """Delete expired claims of the next page; return False if there are no claims at all.

        Starts over after the last page, and returns True if the store is unavailable.
        """
        from_start = not self.cursor
        try:
            page = self.store.page(keys.CLAIMS, after=self.cursor, limit=self.page_size).objects
            for item in page:
                if self._is_removable(Claim.from_value(item.value)):
                    self._delete(item)
        except StoreUnavailable:
            return True
        self.cursor = page[-1].key if page else ""
        return bool(page) or not from_start

    def _is_removable(self, claim: Claim) -> bool:
        wall_ms = self.clock.wall_ms()
        return wall_ms - claim.at_ms > self.retention_ms and is_expired(claim, wall_ms)

    def _delete(self, item: StoredObject) -> None:
        try:
            self.store.delete(item.key, item.version)
        except VersionConflict:
            # Its holder or another region's sweep changed it first.
            return
