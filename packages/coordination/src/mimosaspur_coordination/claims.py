"""Let a keyed request run at most once, whichever entry and target it comes through."""

import base64
import hashlib

from mimosaspur_state import keys
from mimosaspur_state.clock import Clock
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

KEPT_BODY_BYTES = 256_000
RETRY_AFTER_MS = 1000
SETTLE_TRIES = 3
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

    def __init__(self, store: ObjectStore, clock: Clock, *, target: str) -> None:
        self.store = store
        self.clock = clock
        self.target = target

    def take(self, work: Work, attempt_id: str) -> HeldClaim | Claim:
        """Return the right to run, or a finished claim whose answer is to be replayed."""
        key = keys.claim(work.idempotency_key)
        claim = Claim(
            attempt_id=attempt_id,
            request_digest=request_digest(work),
            target=self.target,
            state=ClaimState.CLAIMED,
            at_ms=self.clock.wall_ms(),
        )
        try:
            return HeldClaim(key, self.store.create(key, claim.to_value()), claim)
        except VersionConflict:
            return self._found(self._read(key), claim)
        except StoreUnavailable:
            return self._settle(key, claim)

    def finish(self, held: HeldClaim, status: int, content_type: str, body: bytes) -> None:
        """Keep the answer for later requests with the same key."""
        kept = body if len(body) <= KEPT_BODY_BYTES else b""
        done = Claim(
            attempt_id=held.claim.attempt_id,
            request_digest=held.claim.request_digest,
            target=self.target,
            state=ClaimState.DONE if len(kept) == len(body) else ClaimState.UNKNOWN,
            at_ms=self.clock.wall_ms(),
            status=status,
            content_type=content_type,
            body=base64.b64encode(kept).decode(),
        )
        self._write(held, done)

    def release(self, held: HeldClaim) -> None:
        """Give the key back after the request was proved not run."""
        try:
            self.store.delete(held.key, held.version)
        except (StoreUnavailable, VersionConflict):
            # The claim stays: a retry is told that the outcome is unknown, which is safe.
            log(PART, "Could not release a claim.", key=held.key)

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
        for _ in range(SETTLE_TRIES):
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

    def _settle(self, key: str, claim: Claim) -> HeldClaim | Claim:
        for _ in range(SETTLE_TRIES):
            try:
                found = self.store.get(key)
            except StoreUnavailable:
                continue
            if found is not None:
                return self._found(found, claim)
            break
        raise MimosaspurError(ResultCode.PLATFORM_DOWN, retry_after_ms=RETRY_AFTER_MS)

    def _read(self, key: str) -> StoredObject | None:
        try:
            return self.store.get(key)
        except StoreUnavailable as error:
            raise MimosaspurError(
                ResultCode.PLATFORM_DOWN, retry_after_ms=RETRY_AFTER_MS
            ) from error

    def _found(self, found: StoredObject | None, own: Claim) -> HeldClaim | Claim:
        if found is None:
            # Released between our create and our read: the caller may simply ask again.
            raise MimosaspurError(ResultCode.CLAIM_IN_PROGRESS, retry_after_ms=RETRY_AFTER_MS)
        claim = Claim.from_value(found.value)
        if claim.attempt_id == own.attempt_id:
            return HeldClaim(found.key, found.version, claim)
        if claim.request_digest != own.request_digest:
            raise MimosaspurError(ResultCode.KEY_REUSED)
        if claim.state is ClaimState.DONE:
            return claim
        if claim.state is ClaimState.UNKNOWN:
            raise MimosaspurError(ResultCode.OUTCOME_UNKNOWN, outcome=Outcome.UNKNOWN)
        raise MimosaspurError(
            ResultCode.CLAIM_IN_PROGRESS,
            f"The target {claim.target} took it on.",
            retry_after_ms=RETRY_AFTER_MS,
            outcome=Outcome.UNKNOWN,
        )


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
