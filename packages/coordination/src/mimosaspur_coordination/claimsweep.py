"""Remove claims that no retry will ask for any more."""

import threading
from collections.abc import Callable
from typing import Protocol

from mimosaspur_coordination.claims import is_over
from mimosaspur_state import keys
from mimosaspur_state.clock import Clock
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.errors import VersionConflict
from mimosaspur_state.objects import Snapshot
from mimosaspur_state.objects import StoredObject
from mimosaspur_state.records import Claim

STEP_S = 1.0
# Where there are no claims none is old before a new one has been kept for its time: an idle site
# isn't asked each second, but no later than this.
EMPTY_STEP_S = 10.0


class PagedStore(Protocol):
    """List objects page by page and delete them; every call may raise StoreUnavailable."""

    def page(self, prefix: str, *, after: str, limit: int) -> Snapshot:
        """Return the first objects by key after a key, none at the end."""
        ...

    def delete(self, key: str, version: int) -> None:
        """Delete the object at this version; raise VersionConflict at another one."""
        ...


class ClaimSweep:
    """Go through the claims without end, one small page a second.

    A page holds whole answers, so its length bounds memory as well as deletions a second.
    """

    def __init__(
        self,
        store: PagedStore,
        clock: Clock,
        *,
        keep_ms: int,
        per_second: int,
        is_on_duty: Callable[[], bool],
    ) -> None:
        self.store = store
        self.clock = clock
        self.keep_ms = keep_ms
        self.per_second = max(1, per_second)
        self.is_on_duty = is_on_duty
        self.after = ""

    def run(self, stop: threading.Event) -> None:
        """Sweep while on duty, until told to stop."""
        pause_s = STEP_S
        while not stop.wait(pause_s):
            pause_s = STEP_S
            if self.is_on_duty() and not self.step():
                pause_s = max(STEP_S, min(EMPTY_STEP_S, self.keep_ms / 1000))

    def step(self) -> bool:
        """Remove what is old of the next page, from the start after the end; tell if any is left.

        A store that doesn't answer has told nothing of that.
        """
        from_start = not self.after
        try:
            page = self.store.page(keys.CLAIMS, after=self.after, limit=self.per_second).objects
            for found in page:
                if self._is_old(Claim.from_value(found.value)):
                    self._delete(found)
        except StoreUnavailable:
            return True
        self.after = page[-1].key if page else ""
        return bool(page) or not from_start

    def _is_old(self, claim: Claim) -> bool:
        wall_ms = self.clock.wall_ms()
        return wall_ms - claim.at_ms > self.keep_ms and is_over(claim, wall_ms)

    def _delete(self, found: StoredObject) -> None:
        try:
            self.store.delete(found.key, found.version)
        except VersionConflict:
            # Its holder or another region's sweep was quicker.
            return
