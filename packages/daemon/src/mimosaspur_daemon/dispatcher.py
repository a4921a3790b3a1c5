"""Dispatch callers' requests to targets.

A request that isn't idempotent is retried only after an attempt that did not run.
"""

import queue
import threading
from collections.abc import Callable
from collections.abc import Iterator

from mimosaspur_coordination.demandcounter import DemandCounter
from mimosaspur_coordination.generation import BundleHolder
from mimosaspur_coordination.ports import Answer
from mimosaspur_coordination.ports import ModelCard
from mimosaspur_coordination.retrybudget import RetryBudget
from mimosaspur_coordination.routing import Candidate
from mimosaspur_coordination.routing import Router
from mimosaspur_coordination.targetdirectory import TargetDirectory
from mimosaspur_daemon.linkpool import LinkPool
from mimosaspur_daemon.requeststate import DEFAULT_RETRY_AFTER_MS
from mimosaspur_daemon.requeststate import FINAL_REFUSALS
from mimosaspur_daemon.requeststate import RequestState
from mimosaspur_daemon.requeststate import correct_outcome
from mimosaspur_daemon.requeststate import error_from_failure
from mimosaspur_daemon.requeststate import error_from_refusal
from mimosaspur_protocol.messages import Chunk
from mimosaspur_protocol.messages import End
from mimosaspur_protocol.messages import Failed
from mimosaspur_protocol.messages import Refused
from mimosaspur_protocol.messages import Started
from mimosaspur_protocol.messages import Submit
from mimosaspur_state.bundle import BundleIndex
from mimosaspur_state.clock import Clock
from mimosaspur_state.clock import Deadline
from mimosaspur_state.codes import Outcome
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import MimosaspurError
from mimosaspur_state.metrics import Metrics
from mimosaspur_state.requests import RequestKind
from mimosaspur_state.requests import Work
from mimosaspur_transport.attempt import Attempt
from mimosaspur_transport.attempt import Event
from mimosaspur_transport.targetlink import TargetLink

DISCONNECT_POLL_INTERVAL_S = 0.2
GENERATION_WAIT_S = 1.0
READY_POLL_INTERVAL_S = 0.1
MAX_ATTEMPTS = 8


class EntryDispatcher:
    """Route callers' requests to the targets of this region, with retries."""

    def __init__(
        self,
        *,
        holder: BundleHolder,
        directory: TargetDirectory,
        router: Router,
        links: LinkPool,
        budget: RetryBudget,
        demand: DemandCounter,
        clock: Clock,
        metrics: Metrics,
        wait_ready_ms: int,
        max_waiting: int,
    ) -> None:
        self.holder = holder
        self.directory = directory
        self.router = router
        self.links = links
        self.budget = budget
        self.demand = demand
        self.clock = clock
        self.metrics = metrics
        self.wait_ready_ms = wait_ready_ms
        self.waiting_slots = threading.BoundedSemaphore(max(1, max_waiting))
        self.stopping = False

    def dispatch(self, work: Work, deadline_ms: int, gone: Callable[[], bool]) -> Answer:
        """Run a request at a target and return its answer; raise MimosaspurError on failure."""
        self.budget.record_request()
        state = RequestState(work, Deadline(self.clock, deadline_ms), gone)
        model = self._demand_name(work)
        self.demand.count_request(model)
        began_ms = self.clock.now_ms()
        try:
            answer = self._try_targets(state)
        except MimosaspurError as cause:
            error = correct_outcome(state, cause)
            self.metrics.count(f"entry.result.{error.code.name.lower()}")
            if error.outcome is Outcome.NOT_RUN:
                self.demand.count_refusal(model)
            raise error from cause
        self.metrics.timing("entry.first", self.clock.now_ms() - began_ms)
        return answer

    def models(self) -> list[ModelCard]:
        """Return the models and adapters of the current bundle."""
        index = self.holder.current()
        if index is None:
            return []
        return [
            ModelCard(
                name,
                served.adapter.version if served.adapter else served.model.version,
                served.model.name if served.adapter else "",
            )
            for name, served in sorted(index.served.items())
        ]

    def generation(self) -> int:
        """Return the current bundle generation, 0 before the first bundle."""
        return self.holder.generation()

    def ready(self) -> bool:
        """Return whether this entry accepts callers: it has a bundle and isn't stopping."""
        return self.holder.current() is not None and not self.stopping

    def _require_index(self) -> BundleIndex:
        index = self.holder.current()
        if index is None:
            raise MimosaspurError(ResultCode.NO_BUNDLE, retry_after_ms=DEFAULT_RETRY_AFTER_MS)
        return index

    def _demand_name(self, work: Work) -> str:
        index = self._require_index()
        if work.kind is RequestKind.SERVICE:
            if work.name not in index.services:
                raise MimosaspurError(
                    ResultCode.UNKNOWN_SERVICE, f"The requested name is {work.name!r}."
                )
            return work.name
        served = index.served.get(work.name)
        if served is None:
            raise MimosaspurError(ResultCode.UNKNOWN_MODEL, f"The requested name is {work.name!r}.")
        return served.model.name

    def _candidates(self, index: BundleIndex, work: Work) -> list[Candidate]:
        if work.kind is RequestKind.SERVICE:
            return self.directory.for_service(work.name)
        served = index.served.get(work.name)
        if served is None:
            raise MimosaspurError(ResultCode.UNKNOWN_MODEL, f"The requested name is {work.name!r}.")
        return self.directory.for_model(served)

    def _try_targets(self, state: RequestState) -> Answer:
        while True:
            index = self._require_index()
            candidate = self._choose(index, state)
            if candidate is None:
                self._wait_for_target(state)
                continue
            link = self.links.get(candidate.hint)
            attempt = self._submit(state, index, candidate, link)
            if attempt is None:
                state.tried.add(candidate.hint.name)
                continue
            answer = self._await_answer(state, attempt, link, candidate)
            if answer:
                return answer
            self._check_retry(state)

    def _choose(self, index: BundleIndex, state: RequestState) -> Candidate | None:
        return self.router.choose(
            self._candidates(index, state.work),
            tried=state.tried,
            prefix=state.work.prefix,
            now_ms=self.clock.now_ms(),
        )

    def _wait_for_target(self, state: RequestState) -> None:
        """Sleep for one poll interval; raise the refusal once the wait is used up.

        Waiting requests are limited so that an unavailable model can't take all in-flight slots.
        """
        if state.wait_deadline is None:
            wait_ms = min(self.wait_ready_ms, state.deadline.remaining_ms() // 2)
            state.wait_deadline = Deadline(self.clock, wait_ms)
        if state.wait_deadline.has_passed() or not state.can_wait_for_target():
            raise error_from_refusal(state)
        if not self.waiting_slots.acquire(blocking=False):
            raise error_from_refusal(state)
        try:
            threading.Event().wait(READY_POLL_INTERVAL_S)
        finally:
            self.waiting_slots.release()
        if state.caller_disconnected():
            raise MimosaspurError(ResultCode.CANCELLED)
        state.tried.clear()

    def _submit(
        self, state: RequestState, index: BundleIndex, candidate: Candidate, link: TargetLink
    ) -> Attempt | None:
        state.attempts += 1
        remaining_ms = state.deadline.remaining_ms()
        if remaining_ms == 0:
            raise error_from_refusal(state, ResultCode.DEADLINE_UNREACHABLE)
        state.generation = index.generation
        submit = Submit(
            state.attempts, index.generation, remaining_ms, candidate.resident, state.work
        )
        return link.submit(submit, wait_ms=min(remaining_ms, self.links.settings.connect_ms))

    def _await_answer(
        self, state: RequestState, attempt: Attempt, link: TargetLink, candidate: Candidate
    ) -> Answer | None:
        """Return the answer once it has started, or None if another target may be tried."""
        try:
            event = self._next_event(state, attempt)
            if isinstance(event, Started):
                chunks = self._chunks(state, attempt, link)
                return Answer(event.status, event.content_type, event.replayed, chunks)
        except BaseException:
            link.finish(attempt)
            raise
        link.finish(attempt)
        if isinstance(event, Refused):
            self._record_refusal(state, event, candidate)
            return None
        assert isinstance(event, Failed)
        state.tried.add(candidate.hint.name)
        state.may_have_run = True
        # A passed deadline rules out another target, too.
        if not state.work.idempotent or event.code is ResultCode.DEADLINE_PASSED:
            raise error_from_failure(event)
        return None

    def _record_refusal(self, state: RequestState, refusal: Refused, candidate: Candidate) -> None:
        self.metrics.count(f"entry.refused.{refusal.code.name.lower()}")
        state.last_refusal = refusal
        if refusal.code is ResultCode.STALE_GENERATION:
            self.holder.wait_for(state.generation + 1, GENERATION_WAIT_S)
            return
        if refusal.code is ResultCode.DRAINING:
            candidate.hint.draining = True
        previous_ms = state.retry_after_ms
        state.retry_after_ms = min(previous_ms or refusal.retry_after_ms, refusal.retry_after_ms)
        if refusal.code in FINAL_REFUSALS:
            raise error_from_refusal(state)
        if not self._may_have_newer_version(refusal, candidate, state):
            state.tried.add(candidate.hint.name)

    def _may_have_newer_version(
        self, refusal: Refused, candidate: Candidate, state: RequestState
    ) -> bool:
        """Return whether the target refused only a version that a newer bundle has replaced."""
        index = self.holder.current()
        served = index.served.get(state.work.name) if index else None
        was_replaced = served is not None and served.resident_id() != candidate.resident
        return was_replaced and refusal.code is ResultCode.NOT_READY_HERE

    def _check_retry(self, state: RequestState) -> None:
        refusal = state.last_refusal
        # A stale generation is no sign of overload, so it doesn't use up the retry budget.
        is_free = refusal is not None and refusal.code is ResultCode.STALE_GENERATION
        if state.attempts >= MAX_ATTEMPTS or not (is_free or self.budget.try_spend()):
            raise error_from_refusal(state, ResultCode.RETRIES_EXHAUSTED)

    def _next_event(self, state: RequestState, attempt: Attempt) -> Event:
        while True:
            try:
                return attempt.events.get(timeout=DISCONNECT_POLL_INTERVAL_S)
            except queue.Empty:
                self._check_cancelled_or_expired(state)

    def _check_cancelled_or_expired(self, state: RequestState) -> None:
        if state.caller_disconnected():
            raise MimosaspurError(ResultCode.CANCELLED, outcome=Outcome.UNKNOWN)
        if state.deadline.has_passed():
            raise MimosaspurError(ResultCode.DEADLINE_PASSED, outcome=Outcome.UNKNOWN)

    def _chunks(self, state: RequestState, attempt: Attempt, link: TargetLink) -> Iterator[bytes]:
        try:
            while True:
                event = self._next_chunk(state, attempt)
                if isinstance(event, Chunk):
                    yield event.data
                elif isinstance(event, End):
                    return
                elif isinstance(event, Failed):
                    raise error_from_failure(event)
        finally:
            link.finish(attempt)

    def _next_chunk(self, state: RequestState, attempt: Attempt) -> Event:
        while True:
            try:
                return attempt.events.get(timeout=DISCONNECT_POLL_INTERVAL_S)
            except queue.Empty:
                if state.caller_disconnected():
                    raise MimosaspurError(ResultCode.CANCELLED, outcome=Outcome.UNKNOWN) from None
