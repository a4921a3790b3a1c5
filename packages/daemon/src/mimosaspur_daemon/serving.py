"""Run requests at a target: admit, claim, run and answer them."""

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
    """Run one admitted request on the target's upstream."""

    def run(self, attempt: RunningAttempt, deadline: Deadline) -> None:
        """Run it and send its answer; raise MimosaspurError with the known outcome."""
        ...

    def adopt(self, attempt: RunningAttempt) -> None:
        """Continue a run that a predecessor of this process started; raise MimosaspurError."""
        ...

    def cancel(self, attempt: RunningAttempt) -> None:
        """Cancel the run if the upstream supports it."""
        ...


class Serving:
    """Admit and run the attempts that reach this target, in one thread each."""

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
        """Serve a new attempt in its own thread."""
        threading.Thread(target=self._serve, args=(attempt,), daemon=True).start()

    def adopt(self, attempt: RunningAttempt) -> None:
        """Continue a predecessor's attempt in its own thread."""
        threading.Thread(target=self._adopt, args=(attempt,), daemon=True).start()

    def cancel(self, attempt: RunningAttempt) -> None:
        """Cancel an attempt."""
        attempt.cancelled.set()
        self.queue.recheck_waiting()
        self.runner.cancel(attempt)

    def drain(self) -> None:
        """Refuse new requests."""
        self.draining = True
        self.queue.close()

    def undrain(self) -> None:
        """Accept new requests again."""
        self.draining = False
        self.queue.open()

    def close_resident(self, resident: str) -> None:
        """Refuse new requests for a resident that is about to be unloaded."""
        with self.lock:
            self.closed_residents.add(resident)

    def reopen_resident(self, resident: str) -> None:
        """Accept requests for a resident again."""
        with self.lock:
            self.closed_residents.discard(resident)

    def in_flight_count(self, resident: str) -> int:
        """Return the number of requests that run on a resident or wait for it."""
        with self.lock:
            return self.in_flight[resident]

    def load(self) -> Load:
        """Return the current load."""
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
        except Exception as error:  # noqa: BLE001  (every failure must be reported to the entry)
            log(
                PART,
                "A request failed with an unexpected exception; answering INTERNAL.",
                error=repr(error),
            )
            self._fail(attempt, _internal_error(error))

    def _adopt(self, attempt: RunningAttempt) -> None:
        try:
            self.runner.adopt(attempt)
            attempt.finish()
            if attempt.submit.work.idempotency_key:
                claim = self.claims.acquire(
                    attempt.submit.work, run_id(attempt), attempt.submit.deadline_ms
                )
                self._finish_claim(attempt, claim)
        except MimosaspurError as error:
            self._fail(attempt, error)
        except Exception as error:  # noqa: BLE001  (every failure must be reported to the entry)
            log(
                PART,
                "An adopted request failed with an unexpected exception; answering INTERNAL.",
                error=repr(error),
            )
            self._fail(attempt, _internal_error(error))

    def _check_generation(self, generation: int) -> None:
        own_generation = self.holder.generation()
        if own_generation > generation:
            raise MimosaspurError(
                ResultCode.STALE_GENERATION, f"The target has generation {own_generation}."
            )
        if own_generation < generation and not self.holder.wait_for(generation, GENERATION_WAIT_S):
            raise MimosaspurError(
                ResultCode.NOT_READY_HERE, f"The target has generation {own_generation}."
            )

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
        claim = self.claims.acquire(work, run_id(attempt), deadline.remaining_ms())
        if isinstance(claim, Claim):
            _replay(attempt, claim)
            return
        self._run_claimed(attempt, deadline, claim)

    def _run_claimed(self, attempt: RunningAttempt, deadline: Deadline, claim: HeldClaim) -> None:
        try:
            self._check_still_valid(attempt, deadline)
            self.runner.run(attempt, deadline)
        except MimosaspurError as error:
            if error.outcome is Outcome.NOT_RUN:
                self.claims.release(claim)
            else:
                self.claims.mark_unknown(claim)
            raise
        # Answer the caller before the store is written, which may be slow or unavailable.
        attempt.finish()
        self._finish_claim(attempt, claim)

    def _finish_claim(self, attempt: RunningAttempt, claim: HeldClaim | Claim) -> None:
        started = attempt.started
        if isinstance(claim, HeldClaim) and started:
            body = bytes(attempt.buffer)
            self.claims.finish(claim, started.status, started.content_type, body)

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
    """Return an attempt's run id, which stays the same after this process is replaced."""
    request_id, number = attempt.key()
    return f"{request_id}-{number}"


def _replay(attempt: RunningAttempt, claim: Claim) -> None:
    attempt.start(claim.status, claim.content_type, replayed=True)
    attempt.append(answer_body(claim))
    attempt.finish()


def _internal_error(error: Exception) -> MimosaspurError:
    return MimosaspurError(ResultCode.INTERNAL, f"{type(error).__name__}.", outcome=Outcome.UNKNOWN)
