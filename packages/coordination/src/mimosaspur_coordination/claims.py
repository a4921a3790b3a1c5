"""Let a keyed request run at most once, whichever entry and target it comes through."""

import base64
import hashlib

from mimosaspur_coordination.abandonedclaims import AbandonedClaims
from mimosaspur_coordination.buckets import TokenBucket
from mimosaspur_state import keys
from mimosaspur_state.clock import Clock
from mimosaspur_state.clock import Deadline
from mimosaspur_state.codes import Outcome
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import MimosaspurError
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.errors import VersionConflict
from mimosaspur_state.log import log
from mimosaspur_state.objects import ObjectStore
from mimosaspur_state.objects import StoredObject
from mimosaspur_state.records import Claim
from mimosaspur_state.records import ClaimState
from mimosaspur_state.requests import Work

MAX_KEPT_BODY_BYTES = 256_000
RETRY_AFTER_MS = 1000
MAX_STORE_ATTEMPTS = 3
RETRY_WINDOW_MS = 1000
# What two instances' clocks may differ by, and a claim's last write may take.
MAX_CLOCK_SKEW_MS = 5000
# Each claim is written twice: when it is taken and when it is finished.
WRITES_PER_CLAIM = 2
PART = "CLAIMS"


class HeldClaim:
    """Hold the sole right to run one keyed request."""

    __slots__ = ("claim", "key", "version")

    def __init__(self, key: str, version: int, claim: Claim) -> None:
        self.key = key
        self.version = version
        self.claim = claim


class Claims:
    """Claim keys by conditional create in the object API.

    A key that can't be claimed for sure is refused as not run: serving a first attempt
    unclaimed would let a retry through another entry run it again.
    """

    def __init__(
        self, store: ObjectStore, clock: Clock, *, target: str, writes_per_second: float = 0
    ) -> None:
        self.store = store
        self.clock = clock
        self.target = target
        per_second = writes_per_second / WRITES_PER_CLAIM
        self.rate_limit = TokenBucket(per_second, clock=clock, burst=per_second)
        self.unavailable_until = Deadline(clock, 0)
        self.abandoned = AbandonedClaims(store, clock)

    def acquire(self, work: Work, attempt_id: str, deadline_ms: int) -> HeldClaim | Claim:
        """Return the right to run, or a finished claim whose answer is to be replayed.

        Raise MimosaspurError when there is neither; deadline_ms is the time left to run.
        """
        self._check_reachable()
        self._check_rate()
        key = keys.claim(work.idempotency_key)
        claim = Claim(
            attempt_id=attempt_id,
            request_digest=request_digest(work),
            target=self.target,
            state=ClaimState.CLAIMED,
            at_ms=self.clock.wall_ms(),
            deadline_ms=deadline_ms,
        )
        return self._create(key, claim)

    def finish(self, held: HeldClaim, status: int, content_type: str, body: bytes) -> None:
        """Keep the answer for later requests with the same key."""
        kept = body if len(body) <= MAX_KEPT_BODY_BYTES else b""
        done = Claim(
            attempt_id=held.claim.attempt_id,
            request_digest=held.claim.request_digest,
            target=self.target,
            state=ClaimState.DONE,
            at_ms=self.clock.wall_ms(),
            status=status,
            content_type=content_type,
            body=base64.b64encode(kept).decode(),
            kept=len(kept) == len(body),
        )
        self._write(held, done)

    def release(self, held: HeldClaim) -> None:
        """Give the key back after the request was proved not run."""
        try:
            self.store.delete(held.key, held.version)
        except (StoreUnavailable, VersionConflict):
            self.abandoned.add(held.key, held.claim)

    def mark_unknown(self, held: HeldClaim) -> None:
        """Tell later requests with this key that nobody knows whether it ran."""
        claim = held.claim
        self._write(
            held,
            Claim(
                attempt_id=claim.attempt_id,
                request_digest=claim.request_digest,
                target=self.target,
                state=ClaimState.UNKNOWN,
                at_ms=self.clock.wall_ms(),
            ),
        )

    def _write(self, held: HeldClaim, claim: Claim) -> None:
        for _ in range(MAX_STORE_ATTEMPTS):
            try:
                held.version = self.store.update(held.key, claim.to_value(), held.version)
                return
            except VersionConflict:
                # Only the holder writes, so an earlier try of ours took effect.
                return
            except StoreUnavailable:
                continue
        # The claim stays as it is, which later requests are told as an unknown outcome.
        log(PART, "Could not finish a claim.", key=held.key)

    def _check_reachable(self) -> None:
        # Only one second's requests wait for a silent API to time out; the rest hear at once.
        if not self.unavailable_until.has_passed():
            raise _platform_unavailable()

    def _check_rate(self) -> None:
        if not self.rate_limit.take():
            retry_ms = max(RETRY_AFTER_MS, self.rate_limit.wait_ms())
            raise MimosaspurError(ResultCode.CLAIM_RATE, retry_after_ms=retry_ms)

    def _create(self, key: str, claim: Claim) -> HeldClaim | Claim:
        patience = Deadline(self.clock, RETRY_WINDOW_MS)
        for number in range(MAX_STORE_ATTEMPTS):
            try:
                return HeldClaim(key, self.store.create(key, claim.to_value()), claim)
            except VersionConflict:
                # It may be our own, from a try whose answer was lost.
                return self._resolve_existing(self._read(key, claim), claim)
            except StoreUnavailable:
                # A second try goes over a new connection, so it tells silence from an outage.
                if number and patience.has_passed():
                    break
        raise self._abandon(key, claim)

    def _read(self, key: str, claim: Claim) -> StoredObject | None:
        patience = Deadline(self.clock, RETRY_WINDOW_MS)
        for number in range(MAX_STORE_ATTEMPTS):
            try:
                return self.store.get(key)
            except StoreUnavailable:
                # A second try goes over a new connection, so it tells silence from an outage.
                if number and patience.has_passed():
                    break
        raise self._abandon(key, claim)

    def _abandon(self, key: str, claim: Claim) -> MimosaspurError:
        self.abandoned.add(key, claim)
        self.unavailable_until = Deadline(self.clock, RETRY_AFTER_MS)
        return _platform_unavailable()

    def _resolve_existing(self, found: StoredObject | None, own: Claim) -> HeldClaim | Claim:
        if found is None:
            # Released between our create and our read: the caller may simply ask again.
            raise MimosaspurError(ResultCode.CLAIM_IN_PROGRESS, retry_after_ms=RETRY_AFTER_MS)
        claim = Claim.from_value(found.value)
        if claim.attempt_id == own.attempt_id:
            return HeldClaim(found.key, found.version, claim)
        if claim.request_digest != own.request_digest:
            raise MimosaspurError(ResultCode.KEY_REUSED)
        if claim.state is ClaimState.DONE and not claim.kept:
            raise MimosaspurError(ResultCode.ANSWER_NOT_KEPT, outcome=Outcome.DONE)
        if claim.state is ClaimState.DONE:
            return claim
        if claim.state is ClaimState.UNKNOWN or is_expired(claim, self.clock.wall_ms()):
            raise MimosaspurError(ResultCode.OUTCOME_UNKNOWN, outcome=Outcome.UNKNOWN)
        raise MimosaspurError(
            ResultCode.CLAIM_IN_PROGRESS,
            f"The target {claim.target} took it on.",
            retry_after_ms=RETRY_AFTER_MS,
            outcome=Outcome.UNKNOWN,
        )


def is_expired(claim: Claim, wall_ms: int) -> bool:
    """Tell whether whoever took a claim must have ended its run by this time."""
    return wall_ms > claim.at_ms + claim.deadline_ms + MAX_CLOCK_SKEW_MS


def answer_body(claim: Claim) -> bytes:
    """Return the answer kept in a finished claim."""
    return base64.b64decode(claim.body)


def request_digest(work: Work) -> str:
    """Return a digest of what makes two requests the same."""
    content = hashlib.sha256()
    for part in (work.kind.value, work.name, work.method, work.path):
        content.update(part.encode() + b"\0")
    content.update(work.body)
    return content.hexdigest()


def _platform_unavailable() -> MimosaspurError:
    return MimosaspurError(ResultCode.PLATFORM_DOWN, retry_after_ms=RETRY_AFTER_MS)
