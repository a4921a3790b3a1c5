"""Release claims that may exist although their requests were refused as not run."""

import threading
from collections import deque
from dataclasses import dataclass

from mimosaspur_state.clock import Clock
from mimosaspur_state.clock import Deadline
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.errors import VersionConflict
from mimosaspur_state.log import log
from mimosaspur_state.objects import ObjectStore
from mimosaspur_state.records import Claim

# How long an unanswered write may still take effect.
LATE_WRITE_MS = 30_000
MAX_ABANDONED = 50
CHECK_INTERVAL_S = 1.0
PART = "CLAIMS"


@dataclass(slots=True, frozen=True)
class AbandonedClaim:
    """Identify an abandoned claim and until when a late write may still create it."""

    key: str
    attempt_id: str
    late_write_deadline: Deadline


class AbandonedClaims:
    """Track claims whose writes had no answer and delete those that were created.

    Such a claim would block a retry of the refused request. If one is missed, later requests with
    its key get an unknown outcome.
    """

    def __init__(self, store: ObjectStore, clock: Clock) -> None:
        self.store = store
        self.clock = clock
        self.claims: deque[AbandonedClaim] = deque(maxlen=MAX_ABANDONED)

    def add(self, key: str, claim: Claim) -> None:
        """Track the claim of a request that did not run and never will."""
        log(PART, "A claim may exist although its request was refused; deleting it later.", key=key)
        deadline = Deadline(self.clock, LATE_WRITE_MS)
        self.claims.append(AbandonedClaim(key, claim.attempt_id, deadline))

    def run(self, stop: threading.Event) -> None:
        """Delete the tracked claims as they appear, until stopped."""
        while not stop.wait(CHECK_INTERVAL_S):
            for _ in range(len(self.claims)):
                claim = self.claims.popleft()
                if not self._try_resolve(claim):
                    self.claims.append(claim)

    def _try_resolve(self, claim: AbandonedClaim) -> bool:
        try:
            stored = self.store.get(claim.key)
            if stored and Claim.from_value(stored.value).attempt_id == claim.attempt_id:
                self.store.delete(claim.key, stored.version)
                return True
        except VersionConflict:
            return True
        except StoreUnavailable:
            return False
        # Absent, or held by another attempt: our write may still take effect later.
        return claim.late_write_deadline.has_passed()
