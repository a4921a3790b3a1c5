"""Run a request with an idempotency key at most once across all entries and targets."""

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
# Between two instances' clocks; also covers the duration of a claim's last write.
MAX_CLOCK_SKEW_MS = 5000
# One write acquires the claim and one finishes it.
WRITES_PER_CLAIM = 2
PART = "CLAIMS"


class HeldClaim:
    """Represent the exclusive right to run one keyed request."""

    __slots__ = ("claim", "key", "version")

    def __init__(self, key: str, version: int, claim: Claim) -> None:
        self.key = key
        self.version = version
        self.claim = claim


class Claims:
    """Claim idempotency keys by conditional create in the object API.

    A request whose claim can't be confirmed is refused as not run: running it without a claim
    would let a retry through another entry run it again.
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
        """Return a held claim, or a finished one whose answer is to be replayed.

        Raise MimosaspurError if there is neither; deadline_ms is the time left to run.
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
        """Store the answer for later requests with the same key."""
        stored_body = body if len(body) <= MAX_KEPT_BODY_BYTES else b""
        finished = Claim(
            attempt_id=held.claim.attempt_id,
            request_digest=held.claim.request_digest,
            target=self.target,
            state=ClaimState.DONE,
            at_ms=self.clock.wall_ms(),
            status=status,
            content_type=content_type,
            body=base64.b64encode(stored_body).decode(),
            kept=len(stored_body) == len(body),
        )
        self._write(held, finished)

    def release(self, held: HeldClaim) -> None:
        """Delete the claim of a request that certainly did not run."""
        try:
            self.store.delete(held.key, held.version)
        except (StoreUnavailable, VersionConflict):
            self.abandoned.add(held.key, held.claim)

    def mark_unknown(self, held: HeldClaim) -> None:
        """Record that it is unknown whether the request ran, for later requests with its key."""
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
                # Only the holder writes, so an earlier attempt of ours succeeded.
                return
            except StoreUnavailable:
                continue
        # The claim remains unfinished: later requests with its key get an unknown outcome.
        log(PART, "Could not update a claim; retries get an unknown outcome.", key=held.key)

    def _check_reachable(self) -> None:
        # Fails fast for a second after the API timed out, so that few requests wait for it.
        if not self.unavailable_until.has_passed():
            raise _platform_unavailable()

    def _check_rate(self) -> None:
        if not self.rate_limit.take():
            retry_ms = max(RETRY_AFTER_MS, self.rate_limit.wait_ms())
            raise MimosaspurError(ResultCode.CLAIM_RATE, retry_after_ms=retry_ms)

    def _create(self, key: str, claim: Claim) -> HeldClaim | Claim:
        retry_window = Deadline(self.clock, RETRY_WINDOW_MS)
        for attempt in range(MAX_STORE_ATTEMPTS):
            try:
                return HeldClaim(key, self.store.create(key, claim.to_value()), claim)
            except VersionConflict:
                # The existing claim may be our own, from an attempt whose answer was lost.
                return self._resolve_existing(self._read(key, claim), claim)
            except StoreUnavailable:
                # Always makes a second attempt: it uses a new connection, not a stale one.
                if attempt and retry_window.has_passed():
                    break
        raise self._abandon(key, claim)

    def _read(self, key: str, claim: Claim) -> StoredObject | None:
        retry_window = Deadline(self.clock, RETRY_WINDOW_MS)
        for attempt in range(MAX_STORE_ATTEMPTS):
            try:
                return self.store.get(key)
            except StoreUnavailable:
                # Always makes a second attempt: it uses a new connection, not a stale one.
                if attempt and retry_window.has_passed():
                    break
        raise self._abandon(key, claim)

    def _abandon(self, key: str, claim: Claim) -> MimosaspurError:
        self.abandoned.add(key, claim)
        self.unavailable_until = Deadline(self.clock, RETRY_AFTER_MS)
        return _platform_unavailable()

    def _resolve_existing(self, existing: StoredObject | None, own: Claim) -> HeldClaim | Claim:
        if existing is None:
            # Released between our create and our read: the caller may retry.
            raise MimosaspurError(ResultCode.CLAIM_IN_PROGRESS, retry_after_ms=RETRY_AFTER_MS)
        claim = Claim.from_value(existing.value)
        if claim.attempt_id == own.attempt_id:
            return HeldClaim(existing.key, existing.version, claim)
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
            f"Target {claim.target} holds the claim.",
            retry_after_ms=RETRY_AFTER_MS,
            outcome=Outcome.UNKNOWN,
        )


def is_expired(claim: Claim, wall_ms: int) -> bool:
    """Return whether the run of a claim's holder must have ended by this time."""
    return wall_ms > claim.at_ms + claim.deadline_ms + MAX_CLOCK_SKEW_MS


def answer_body(claim: Claim) -> bytes:
    """Return the answer stored in a finished claim."""
    return base64.b64decode(claim.body)


def request_digest(work: Work) -> str:
    """Return a digest of the fields in which two requests must agree to be the same."""
    content = hashlib.sha256()
    for part in (work.kind.value, work.name, work.method, work.path):
        content.update(part.encode() + b"\0")
    content.update(work.body)
    return content.hexdigest()


def _platform_unavailable() -> MimosaspurError:
    return MimosaspurError(ResultCode.PLATFORM_DOWN, retry_after_ms=RETRY_AFTER_MS)
