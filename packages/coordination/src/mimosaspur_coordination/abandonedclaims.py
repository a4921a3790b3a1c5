"""Release claims that may stand though their requests were refused as not run."""

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

# How long a write that had no answer may still take effect, and how many are followed up.
LATE_WRITE_MS = 30_000
MAX_ABANDONED = 50
CHECK_INTERVAL_S = 1.0
PART = "CLAIMS"


@dataclass(slots=True, frozen=True)
class AbandonedClaim:
    """Remember one such claim until a late write of it is no longer to be feared."""

    key: str
    attempt_id: str
    late_write_deadline: Deadline


class AbandonedClaims:
    """Follow up claims whose writes had no answer.

    Such a claim would keep the retry, which the refusal invites, from running. One that is
    missed for good only has later requests told that the outcome is unknown.
    """

    def __init__(self, store: ObjectStore, clock: Clock) -> None:
        self.store = store
        self.clock = clock
        self.claims: deque[AbandonedClaim] = deque(maxlen=MAX_ABANDONED)

    def add(self, key: str, claim: Claim) -> None:
        """Follow up a claim of a request that was not run and never will be."""
        log(PART, "A claim may stand though its request was refused.", key=key)
        late = Deadline(self.clock, LATE_WRITE_MS)
        self.claims.append(AbandonedClaim(key, claim.attempt_id, late))

    def run(self, stop: threading.Event) -> None:
        """Release what is found until told to stop."""
        while not stop.wait(CHECK_INTERVAL_S):
            for _ in range(len(self.claims)):
                claim = self.claims.popleft()
                if not self._try_resolve(claim):
                    self.claims.append(claim)

    def _try_resolve(self, claim: AbandonedClaim) -> bool:
        try:
            found = self.store.get(claim.key)
            if found and Claim.from_value(found.value).attempt_id == claim.attempt_id:
                self.store.delete(claim.key, found.version)
                return True
        except VersionConflict:
            return True
        except StoreUnavailable:
            return False
        # Not there, or another's: ours can still arrive once the other's is released.
        return claim.late_write_deadline.has_passed()
