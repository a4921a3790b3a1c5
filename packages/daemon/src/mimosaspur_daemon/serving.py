"""Run requests at a target: admit, claim, run, answer."""

import threading
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from mimosaspur_coordination.admission import AdmissionQueue
from mimosaspur_coordination.claims import Claims
from mimosaspur_coordination.claims import HeldClaim
from mimosaspur_coordination.claims import answer_body
from mimosaspur_coordination.generation import BundleHolder
from mimosaspur_daemon.attempts import RunningAttempt
from mimosaspur_state.clock import Clock
from mimosaspur_state.clock import Deadline
from mimosaspur_state.codes import Outcome
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import MimosaspurError
from mimosaspur_state.load import Load
from mimosaspur_state.log import log
from mimosaspur_state.metrics import Metrics
from mimosaspur_state.records import Claim

PART = "SERVING"
GENERATION_WAIT_S = 1.0
DEFAULT_PRIORITY = 5


class Runner(Protocol):
    """Run one admitted request at what stands behind the target."""

    def run(self, attempt: RunningAttempt, deadline: Deadline) -> None:
        """Run it and write its answer; raise MimosaspurError with what is known of it."""
        ...

    def adopt(self, attempt: RunningAttempt) -> None:
        """Go on with what a predecessor of this process began; raise MimosaspurError."""
        ...

    def cancel(self, attempt: RunningAttempt) -> None:
        """End the work if it can be ended."""
        ...


class Serving:
    """Decide about every attempt that reaches this target; one task for each."""

    def __init__(
        self,
        *,
        queue: AdmissionQueue,
        claims: Claims,
        holder: BundleHolder,
        runner: Runner,
        clock: Clock,
        metrics: Metrics,
        residents: Callable[[], tuple[str, ...]],
    ) -> None:
        self.queue = queue
        self.claims = claims
        self.holder = holder
        self.runner = runner
        self.clock = clock
        self.metrics = metrics
        self.residents = residents
        self.draining = False
        self.lock = threading.Lock()
        self.closed_residents: set[str] = set()
        self.in_flight: Counter[str] = Counter()

    def start(self, attempt: RunningAttempt) -> None:
        """Serve a new attempt in a task of its own."""
        threading.Thread(target=self._serve, args=(attempt,), daemon=True).start()

    def adopt(self, attempt: RunningAttempt) -> None:
        """Go on with a predecessor's attempt in a task of its own."""
        threading.Thread(target=self._adopt, args=(attempt,), daemon=True).start()

    def cancel(self, attempt: RunningAttempt) -> None:
        """End an attempt that nobody waits for."""
        attempt.cancelled.set()
        self.queue.recheck_waiting()
        self.runner.cancel(attempt)

    def drain(self) -> None:
        """Take nothing new from now on."""
        self.draining = True
        self.queue.close()

    def undrain(self) -> None:
        """Take new work again."""
        self.draining = False
        self.queue.open()

    def close_resident(self, resident: str) -> None:
        """Refuse new requests for a resident that is about to be unloaded."""
        with self.lock:
            self.closed_residents.add(resident)

    def reopen_resident(self, resident: str) -> None:
        """Take requests for a resident again."""
        with self.lock:
            self.closed_residents.discard(resident)

    def in_flight_count(self, resident: str) -> int:
        """Count the requests that run on a resident or wait for it."""
        with self.lock:
            return self.in_flight[resident]

    def load(self) -> Load:
        """Report the load."""
        return Load(
            active=self.queue.active,
            queued=len(self.queue.waiting),
            slots=self.queue.slots,
            predicted_wait_ms=self.queue.predicted_wait_ms(DEFAULT_PRIORITY),
        )

    def _serve(self, attempt: RunningAttempt) -> None:
        submit = attempt.submit
        deadline = Deadline(self.clock, submit.deadline_ms)
        try:
            self._check_generation(submit.generation)
            self._acquire_resident(submit.resident)
            try:
                self._admit(attempt, deadline)
            finally:
                self._release_resident(submit.resident)
        except MimosaspurError as error:
            self._fail(attempt, error)
        except Exception as error:  # noqa: BLE001  (the entry must hear of every end)
            log(PART, "A request met a fault of ours.", error=repr(error))
            self._fail(attempt, _internal_error(error))

    def _adopt(self, attempt: RunningAttempt) -> None:
        try:
            self.runner.adopt(attempt)
            attempt.finish()
            if attempt.submit.work.idempotency_key:
                held = self.claims.acquire(
                    attempt.submit.work, run_id(attempt), attempt.submit.deadline_ms
                )
                self._finish_claim(attempt, held)
        except MimosaspurError as error:
            self._fail(attempt, error)
        except Exception as error:  # noqa: BLE001  (the entry must hear of every end)
            log(PART, "A resumed request met a fault of ours.", error=repr(error))
            self._fail(attempt, _internal_error(error))

    def _check_generation(self, generation: int) -> None:
        own = self.holder.generation()
        if own > generation:
            raise MimosaspurError(ResultCode.STALE_GENERATION, f"It is {own} here.")
        if own < generation and not self.holder.wait_for(generation, GENERATION_WAIT_S):
            raise MimosaspurError(ResultCode.NOT_READY_HERE, f"It is {own} here.")

    def _acquire_resident(self, resident: str) -> None:
        with self.lock:
            if self.draining:
                raise MimosaspurError(ResultCode.DRAINING)
            if resident in self.closed_residents or resident not in self.residents():
                raise MimosaspurError(ResultCode.NOT_READY_HERE, f"No {resident} here.")
            self.in_flight[resident] += 1

    def _release_resident(self, resident: str) -> None:
        with self.lock:
            self.in_flight[resident] -= 1

    def _admit(self, attempt: RunningAttempt, deadline: Deadline) -> None:
        priority = attempt.submit.work.priority
        ticket = self.queue.acquire(priority, deadline, attempt.cancelled)
        began_ms = self.clock.now_ms()
        took_ms: int | None = None
        try:
            self._claim_and_run(attempt, deadline)
            took_ms = self.clock.now_ms() - began_ms
            self.metrics.timing("target.run", took_ms)
        finally:
            self.queue.release(ticket, took_ms)

    def _claim_and_run(self, attempt: RunningAttempt, deadline: Deadline) -> None:
        work = attempt.submit.work
        if not work.idempotency_key:
            self._check_still_valid(attempt, deadline)
            self.runner.run(attempt, deadline)
            attempt.finish()
            return
        held = self.claims.acquire(work, run_id(attempt), deadline.remaining_ms())
        if isinstance(held, Claim):
            _replay(attempt, held)
            return
        self._run_claimed(attempt, deadline, held)

    def _run_claimed(self, attempt: RunningAttempt, deadline: Deadline, held: HeldClaim) -> None:
        try:
            self._check_still_valid(attempt, deadline)
            self.runner.run(attempt, deadline)
        except MimosaspurError as error:
            if error.outcome is Outcome.NOT_RUN:
                self.claims.release(held)
            else:
                self.claims.mark_unknown(held)
            raise
        # The caller comes first: the object API may be slow or down.
        attempt.finish()
        self._finish_claim(attempt, held)

    def _finish_claim(self, attempt: RunningAttempt, held: HeldClaim | Claim) -> None:
        started = attempt.started
        if isinstance(held, HeldClaim) and started:
            body = bytes(attempt.buffer)
            self.claims.finish(held, started.status, started.content_type, body)

    def _check_still_valid(self, attempt: RunningAttempt, deadline: Deadline) -> None:
        # The process may have been paused since the request was admitted.
        if attempt.cancelled.is_set():
            raise MimosaspurError(ResultCode.CANCELLED)
        if deadline.has_passed():
            raise MimosaspurError(ResultCode.DEADLINE_UNREACHABLE)

    def _fail(self, attempt: RunningAttempt, error: MimosaspurError) -> None:
        self.metrics.count(f"target.result.{error.code.name.lower()}")
        attempt.fail(error)


def run_id(attempt: RunningAttempt) -> str:
    """Name an attempt's run, the same after this process is replaced."""
    request_id, number = attempt.key()
    return f"{request_id}-{number}"


def _replay(attempt: RunningAttempt, claim: Claim) -> None:
    attempt.start(claim.status, claim.content_type, replayed=True)
    attempt.append(answer_body(claim))
    attempt.finish()


def _internal_error(error: Exception) -> MimosaspurError:
    return MimosaspurError(ResultCode.INTERNAL, f"{type(error).__name__}.", outcome=Outcome.UNKNOWN)
