"""Have callers' requests run at targets, trying another only after "not run"."""

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
    """Serve callers' requests through the targets of this region."""

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
        """Have a request run and return its answer; raise MimosaspurError."""
        self.budget.record_request()
        journey = RequestState(work, Deadline(self.clock, deadline_ms), gone)
        model = self._demand_name(work)
        self.demand.count_request(model)
        began_ms = self.clock.now_ms()
        try:
            answer = self._try_targets(journey)
        except MimosaspurError as found:
            error = correct_outcome(journey, found)
            self.metrics.count(f"entry.result.{error.code.name.lower()}")
            if error.outcome is Outcome.NOT_RUN:
                self.demand.count_refusal(model)
            raise error from found
        self.metrics.timing("entry.first", self.clock.now_ms() - began_ms)
        return answer

    def models(self) -> list[ModelCard]:
        """Return what the bundle in force serves."""
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
        """Return the generation in force here, 0 before the first."""
        return self.holder.generation()

    def ready(self) -> bool:
        """Tell whether callers may be sent here."""
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
                raise MimosaspurError(ResultCode.UNKNOWN_SERVICE, f"It is {work.name!r}.")
            return work.name
        served = index.served.get(work.name)
        if served is None:
            raise MimosaspurError(ResultCode.UNKNOWN_MODEL, f"It is {work.name!r}.")
        return served.model.name

    def _candidates(self, index: BundleIndex, work: Work) -> list[Candidate]:
        if work.kind is RequestKind.SERVICE:
            return self.directory.for_service(work.name)
        served = index.served.get(work.name)
        if served is None:
            raise MimosaspurError(ResultCode.UNKNOWN_MODEL, f"It is {work.name!r}.")
        return self.directory.for_model(served)

    def _try_targets(self, journey: RequestState) -> Answer:
        while True:
            index = self._require_index()
            candidate = self._choose(index, journey)
            if candidate is None:
                self._wait_for_target(journey)
                continue
            link = self.links.get(candidate.hint)
            attempt = self._submit(journey, index, candidate, link)
            if attempt is None:
                journey.tried.add(candidate.hint.name)
                continue
            answer = self._await_answer(journey, attempt, link, candidate)
            if answer:
                return answer
            self._check_retry(journey)

    def _choose(self, index: BundleIndex, journey: RequestState) -> Candidate | None:
        return self.router.choose(
            self._candidates(index, journey.work),
            tried=journey.tried,
            prefix=journey.work.prefix,
            now_ms=self.clock.now_ms(),
        )

    def _wait_for_target(self, journey: RequestState) -> None:
        """Wait a little for a target to be ready; raise the refusal when that is over.

        A target that is replaced is back in a second: far less than a deadline mostly leaves.
        Few may wait at once, so that an unreachable model can't take the places of others.
        """
        if journey.wait_deadline is None:
            wait_ms = min(self.wait_ready_ms, journey.deadline.remaining_ms() // 2)
            journey.wait_deadline = Deadline(self.clock, wait_ms)
        if journey.wait_deadline.has_passed() or not journey.can_wait_for_target():
            raise error_from_refusal(journey)
        if not self.waiting_slots.acquire(blocking=False):
            raise error_from_refusal(journey)
        try:
            threading.Event().wait(READY_POLL_INTERVAL_S)
        finally:
            self.waiting_slots.release()
        if journey.caller_disconnected():
            raise MimosaspurError(ResultCode.CANCELLED)
        journey.tried.clear()

    def _submit(
        self, journey: RequestState, index: BundleIndex, candidate: Candidate, link: TargetLink
    ) -> Attempt | None:
        journey.attempts += 1
        left_ms = journey.deadline.remaining_ms()
        if left_ms == 0:
            raise error_from_refusal(journey, ResultCode.DEADLINE_UNREACHABLE)
        journey.generation = index.generation
        submit = Submit(
            journey.attempts, index.generation, left_ms, candidate.resident, journey.work
        )
        return link.submit(submit, wait_ms=min(left_ms, self.links.settings.connect_ms))

    def _await_answer(
        self, journey: RequestState, attempt: Attempt, link: TargetLink, candidate: Candidate
    ) -> Answer | None:
        """Return the answer once it has begun, or None when another target may be tried."""
        try:
            event = self._next_event(journey, attempt)
            if isinstance(event, Started):
                chunks = self._chunks(journey, attempt, link)
                return Answer(event.status, event.content_type, event.replayed, chunks)
        except BaseException:
            link.finish(attempt)
            raise
        link.finish(attempt)
        if isinstance(event, Refused):
            self._record_refusal(journey, event, candidate)
            return None
        assert isinstance(event, Failed)
        journey.tried.add(candidate.hint.name)
        journey.may_have_run = True
        # A deadline that has passed here has passed everywhere.
        if not journey.work.idempotent or event.code is ResultCode.DEADLINE_PASSED:
            raise error_from_failure(event)
        return None

    def _record_refusal(
        self, journey: RequestState, refusal: Refused, candidate: Candidate
    ) -> None:
        self.metrics.count(f"entry.refused.{refusal.code.name.lower()}")
        journey.last_refusal = refusal
        if refusal.code is ResultCode.STALE_GENERATION:
            self.holder.wait_for(journey.generation + 1, GENERATION_WAIT_S)
            return
        if refusal.code is ResultCode.DRAINING:
            candidate.hint.draining = True
        known = journey.retry_after_ms
        journey.retry_after_ms = min(known or refusal.retry_after_ms, refusal.retry_after_ms)
        if refusal.code in FINAL_REFUSALS:
            raise error_from_refusal(journey)
        if not self._may_have_newer_version(refusal, candidate, journey):
            journey.tried.add(candidate.hint.name)

    def _may_have_newer_version(
        self, refusal: Refused, candidate: Candidate, journey: RequestState
    ) -> bool:
        """Tell whether a target refused only the older version that was asked of it."""
        index = self.holder.current()
        served = index.served.get(journey.work.name) if index else None
        older = served is not None and served.resident_id() != candidate.resident
        return older and refusal.code is ResultCode.NOT_READY_HERE

    def _check_retry(self, journey: RequestState) -> None:
        refusal = journey.last_refusal
        # Being behind is nobody's load: it costs no retry of the budget.
        free = refusal is not None and refusal.code is ResultCode.STALE_GENERATION
        if journey.attempts >= MAX_ATTEMPTS or not (free or self.budget.try_spend()):
            raise error_from_refusal(journey, ResultCode.RETRIES_EXHAUSTED)

    def _next_event(self, journey: RequestState, attempt: Attempt) -> Event:
        while True:
            try:
                return attempt.events.get(timeout=DISCONNECT_POLL_INTERVAL_S)
            except queue.Empty:
                self._check_cancelled_or_expired(journey)

    def _check_cancelled_or_expired(self, journey: RequestState) -> None:
        if journey.caller_disconnected():
            raise MimosaspurError(ResultCode.CANCELLED, outcome=Outcome.UNKNOWN)
        if journey.deadline.has_passed():
            raise MimosaspurError(ResultCode.DEADLINE_PASSED, outcome=Outcome.UNKNOWN)

    def _chunks(self, journey: RequestState, attempt: Attempt, link: TargetLink) -> Iterator[bytes]:
        try:
            while True:
                event = self._next_chunk(journey, attempt)
                if isinstance(event, Chunk):
                    yield event.data
                elif isinstance(event, End):
                    return
                elif isinstance(event, Failed):
                    raise error_from_failure(event)
        finally:
            link.finish(attempt)

    def _next_chunk(self, journey: RequestState, attempt: Attempt) -> Event:
        while True:
            try:
                return attempt.events.get(timeout=DISCONNECT_POLL_INTERVAL_S)
            except queue.Empty:
                if journey.caller_disconnected():
                    raise MimosaspurError(ResultCode.CANCELLED, outcome=Outcome.UNKNOWN) from None
