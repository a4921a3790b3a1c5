"""Forward one request to targets and the response to its caller."""

import asyncio

from mimosaspur_coordination.fleetview import TargetView
from mimosaspur_coordination.requestoutcome import RequestOutcome
from mimosaspur_coordination.workspaces.ranks import priority_of
from mimosaspur_daemon.direct.attemptlog import log_attempt
from mimosaspur_daemon.direct.attemptresult import AttemptResult
from mimosaspur_daemon.direct.attemptresult import TargetResponse
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.evacuation import MovedRun
from mimosaspur_daemon.direct.offer import Offer
from mimosaspur_daemon.direct.parallelruns import ParallelRuns
from mimosaspur_daemon.direct.prompts import read_prompt
from mimosaspur_daemon.direct.prompts import time_limit_ms
from mimosaspur_daemon.direct.refusal import NOT_RUN_STATUSES
from mimosaspur_daemon.direct.refusal import RequestFailed
from mimosaspur_daemon.direct.requestdigest import request_traits
from mimosaspur_daemon.direct.requestretries import RequestRetries
from mimosaspur_daemon.direct.streamcontinuation import StreamContinuation
from mimosaspur_daemon.direct.takeups import record_take_up
from mimosaspur_daemon.direct.targetselector import FAILED_COOLDOWN_S
from mimosaspur_daemon.direct.targetselector import NOT_RUN_COOLDOWN_S
from mimosaspur_daemon.direct.targetselector import TargetSelector
from mimosaspur_protocol.eventbuffer import EventBuffer
from mimosaspur_protocol.numbers import parse_number
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.fleet import TargetRecord
from mimosaspur_state.routes import Route
from mimosaspur_state.workspaces import Workspace
from mimosaspur_transport.callerconnection import CallerConnection
from mimosaspur_transport.callerconnection import CallerRequest
from mimosaspur_transport.dialect import end_to_end_headers
from mimosaspur_transport.dialect import header
from mimosaspur_transport.httpchannel import Framing

# Limit on the targets tried for one request, including those that refuse it.
MAX_OFFERS = 6
# Another entry may know what this one doesn't.
OTHER_ENTRY_RETRY_S = 0.05
# The share of the time left in which other entries may answer; the rest is for the run.
LOOKUP_TIME_SHARE = 0.5
# Refusals of requests that no target was found for in time.
UNSERVED_CODES = frozenset((ResultCode.NO_READY_TARGET, ResultCode.DEADLINE_UNREACHABLE))
# Cooldowns grow with each refusal, so that the offers outlast a model load that is slower than
# predicted.
COOLDOWN_GROWTH_FACTOR = 1.7


class RequestHandler:
    """Handle one request, with retries at other targets."""

    __slots__ = (
        "caller",
        "continuation",
        "copies",
        "cutter",
        "deadline_s",
        "done",
        "ended_by_quarantine",
        "ended_by_shutdown",
        "failure",
        "first_ms",
        "longest_pause_ms",
        "last_event_s",
        "moved",
        "offers",
        "outcome",
        "prompt",
        "refusal",
        "quota_charged",
        "request",
        "resumed_after",
        "retries",
        "route",
        "runs",
        "service",
        "started",
        "state",
        "strips_credential",
        "target_selector",
        "timeout",
        "traits",
        "unconfirmed_end",
        "waited_ms",
        "workspace",
    )

    def __init__(
        self,
        state: EntryState,
        route: Route,
        service: str,
        request: CallerRequest,
        caller: CallerConnection,
        workspace: Workspace | None = None,
    ) -> None:
        self.state = state
        self.workspace = workspace
        # Cost taken from the workspace's quota.
        self.quota_charged = 0.0
        self.route = route
        self.service = service
        self.request = request
        self.caller = caller
        dialect = state.dependencies.dialect
        self.prompt = read_prompt(request.headers, dialect)
        self.traits = request_traits(request, workspace, self.prompt)
        self.deadline_s = request.arrived_s + time_limit_ms(request, route, dialect) / 1000
        configuration = state.configuration
        # Whether callers' keys are credentials here, which must not be forwarded.
        self.strips_credential = bool(configuration and configuration.workspaces is not None)
        self.continuation = StreamContinuation(
            state.stream_versions,
            request.headers,
            dialect,
            route=route,
            service=service,
        )
        self.target_selector = TargetSelector(
            state,
            route,
            service,
            configuration.services.get(service) if configuration else None,
            self.prompt,
            continuation=self.continuation,
            request=self.request_id(),
            digest=self.traits.digest,
            workspace=workspace,
            arrived_s=request.arrived_s,
            deadline_s=self.deadline_s,
        )
        last_id = header(request.headers, dialect.last_event_id) or b""
        # The event after which a caller resumes a stream, for the log.
        self.resumed_after = parse_number(last_id)
        self.cutter = EventBuffer(self.resumed_after)
        # Whether the head of a response was sent to the caller.
        self.started = False
        self.retries = RequestRetries(
            state.retry_window(service), state.log, service=service, request=self.request_id()
        )
        self.timeout: asyncio.Timeout | None = None
        self.outcome = RequestOutcome()
        self.runs = ParallelRuns(self)
        # Number of offers to targets so far.
        self.offers = 0
        # The stopped run to continue next.
        self.moved: MovedRun | None = None
        # By handle, the targets with memory of stopped runs that no run is known to go on from.
        self.copies: dict[str, TargetRecord] = {}
        # Whether the request has ended.
        self.done = False
        # Whether the request was ended because the process exits.
        self.ended_by_shutdown = False
        # Whether the request was ended because it crashes targets.
        self.ended_by_quarantine = False
        # Why no other target takes it, if it ends because none does.
        self.refusal: ResultCode | None = None
        # For the log: times from the caller's request to its last send, and to the first event.
        self.waited_ms = 0
        self.first_ms = 0
        self.longest_pause_ms = 0
        # When the caller got its last event, on the event loop's clock; 0 before the first.
        self.last_event_s = 0.0
        # An error response of a target, forwarded if no other attempt succeeds.
        self.failure: TargetResponse | None = None
        # The last event of a stream whose end nothing proved; None if there was none.
        self.unconfirmed_end: int | None = None

    async def run(self) -> None:
        """Answer the request; raise RequestFailed if no target's response can be forwarded."""
        self.retries.window.count_request()
        if self.prompt.model:
            self.state.record_demand(
                self.prompt.model,
                self.prompt.adapter,
                tokens=1 + round(self.prompt.prompt_tokens * self._pace()),
                objective_ms=self.route.objective_ms,
                priority=priority_of(self.route, self.workspace)[0],
            )
            self.state.scheduler.record_kind(self.target_selector.queued, self.target_selector.spec)
        try:
            async with asyncio.timeout_at(self.deadline_s) as self.timeout:
                with self.state.quarantine.handling(self):
                    await self._find_stream_version()
                    await self._run_attempts()
            record_take_up(self, None)
        except TimeoutError:
            failure = self._timeout_failure()
            record_take_up(self, failure.code)
            raise failure from None
        except RequestFailed as error:
            record_take_up(self, error.code)
            if self.may_have_run():
                raise self._without_promise(error) from error
            if self.prompt.model and error.code in UNSERVED_CODES:
                self.state.record_rejection(
                    self.route, self.workspace, self.service, self.prompt.model
                )
            raise
        finally:
            self.done = True
            self.retries.refund_unused()
            if not self.may_have_run():
                self.target_selector.share.put_back()
            self._drop_copies()

    def keep_copy(self, moved: MovedRun) -> None:
        """Keep the memory of a stopped run until a run goes on from it, or the request ends."""
        self.copies[moved.handle] = moved.source.record
        if self.done:
            self._drop_copies()

    def _drop_copies(self) -> None:
        while self.copies:
            handle, source = self.copies.popitem()
            self.state.drop_copy(source, handle)

    def request_id(self) -> str:
        """Return the request ID set by the caller."""
        name = self.state.dependencies.dialect.request_id
        return (header(self.request.headers, name) or b"").decode("latin-1")

    def resumes(self) -> str:
        """Return the ID of the request whose stream the caller resumes, as the caller names it."""
        name = self.state.dependencies.dialect.resumes
        return (header(self.request.headers, name) or b"").decode("latin-1")

    def may_have_run(self) -> bool:
        """Return whether a target may have run the request or is running it."""
        return self.outcome.may_have_run()

    def record_duration(self, began_s: float) -> None:
        """Record the request's duration since an engine's first event, or since it was sent."""
        lasted_ms = (asyncio.get_running_loop().time() - began_s) * 1000
        tokens = self.prompt.output_tokens
        self.state.durations.record(self.route.name, lasted_ms, tokens=tokens)

    def end_now(self) -> None:
        """End the request at once because the process exits."""
        if self._expire_timeout():
            self.ended_by_shutdown = True

    def end_quarantined(self) -> None:
        """End the request at once because it crashes targets."""
        if self._expire_timeout():
            self.ended_by_quarantine = True

    def _expire_timeout(self) -> bool:
        if self.timeout is None or self.timeout.expired():
            return False
        self.timeout.reschedule(asyncio.get_running_loop().time())
        return True

    def _timeout_failure(self) -> RequestFailed:
        if self.ended_by_quarantine:
            return RequestFailed(ResultCode.REQUEST_QUARANTINED)
        if self.may_have_run():
            code = (
                ResultCode.OUTCOME_UNKNOWN if self.ended_by_shutdown else ResultCode.DEADLINE_PASSED
            )
            return RequestFailed(code)
        code = ResultCode.DRAINING if self.ended_by_shutdown else ResultCode.NO_READY_TARGET
        return self.target_selector.refusal(code)

    def _without_promise(self, failure: RequestFailed) -> RequestFailed:
        """Return the failure of a request that may have run, without a status that denies it."""
        if failure.status not in NOT_RUN_STATUSES:
            return failure
        self.refusal = failure.code
        return RequestFailed(ResultCode.OUTCOME_UNKNOWN, detail=failure.detail)

    async def _find_stream_version(self) -> None:
        """Find the version at which a caller's resumption has to go on; raise RequestFailed."""
        continuation = self.continuation
        if not continuation.is_resumption:
            return
        now_s = asyncio.get_running_loop().time()
        until_s = now_s + (self.deadline_s - now_s) * LOOKUP_TIME_SHARE
        source = await continuation.resolve(until_s=until_s)
        self.state.log.write(
            "resumption",
            request=self.request_id(),
            resumes=self.resumes(),
            resumed_after=self.resumed_after,
            key=(continuation.key or b"").hex(),
            version=continuation.version,
            result=source.value if source else "unknown",
        )
        if source is None:
            raise self.target_selector.refusal(
                ResultCode.STREAM_VERSION_UNKNOWN, wanted_s=OTHER_ENTRY_RETRY_S
            )

    async def _run_attempts(self) -> None:
        try:
            for _ in range(MAX_OFFERS):
                continued, self.moved = self.moved, None
                if not continued and not self.retries.cover_next(what="offer"):
                    break
                try:
                    view = continued.view if continued else await self._next_target()
                except RequestFailed as error:
                    quarantined = error.code is ResultCode.REQUEST_QUARANTINED
                    if not quarantined and self.may_have_run():
                        self.refusal = error.code
                        break
                    raise
                number = self.next_offer()
                self.runs.start(Offer(self, view, number=number, continued=continued))
                if await self._is_answered():
                    return
                if self.may_have_run() and not self.moved and not self._may_run_again():
                    break
        finally:
            await self.runs.close()
        await self._finish()

    def next_offer(self) -> int:
        """Return the number of the next offer to a target."""
        self.offers += 1
        return self.offers - 1

    def on_left(self, offer: Offer) -> None:
        """Leave out the target of a run that was ended because another one answered first."""
        self.target_selector.cool_down(offer.view, FAILED_COOLDOWN_S)

    async def _is_answered(self) -> bool:
        """Wait until a run has answered the request, or all have ended; return whether one has."""
        while self.runs.active:
            offer, result = await self.runs.next_ended()
            log_attempt(offer, result)
            await self.state.quarantine.end_turn(self, offer.view)
            if result in (AttemptResult.DONE, AttemptResult.FAILED):
                self._on_run_ended(offer)
            if result is AttemptResult.DONE:
                return True
            if result is not AttemptResult.MOVED:
                await self._on_run_failed(offer, result)
        return False

    async def _on_run_failed(self, offer: Offer, result: AttemptResult) -> None:
        """Record a run without a response that can be forwarded."""
        continued, view = offer.continued, offer.view
        if self._returns_to_source(offer, result):
            return
        if result is AttemptResult.NOT_RUN and (continued is None or self.route.repeatable):
            self.target_selector.cool_down(
                view, NOT_RUN_COOLDOWN_S * COOLDOWN_GROWTH_FACTOR**offer.number
            )
            return
        self.target_selector.cool_down(view, FAILED_COOLDOWN_S)
        if self._may_run_again() and not self.runs.active:
            await self.state.quarantine.detector.wait_for_first_probe(view)

    def _may_run_again(self) -> bool:
        if self.outcome.run_count() >= self.route.max_attempts:
            return False
        return self.route.repeatable and self.cutter.can_resume

    def _on_run_ended(self, offer: Offer) -> None:
        """Clear a request that was served of crashes, or check first whether its target crashed."""
        quarantine = self.state.quarantine
        was_served = offer.attempt is not None and offer.attempt.was_served
        if offer.framing is Framing.CONNECTION:
            quarantine.detector.on_unmarked_end(offer.view, self.traits, served=was_served)
        elif was_served:
            quarantine.on_completed(self.traits)

    async def _next_target(self) -> TargetView:
        """Return the next target once the request may be sent, or raise RequestFailed."""
        quarantine, selector = self.state.quarantine, self.target_selector
        while True:
            await quarantine.wait_for_verdict(self)
            selector.isolated = quarantine.is_isolated(self.traits)
            selector.retried = self.retries.attempts > 0
            view: TargetView | None
            if quarantine.turns.has_turn(self):
                view = selector.target_now(resumed=self.started)
            else:
                view = await selector.next_target(resumed=self.started)
            # It may have become suspected while it waited for a target.
            if view and quarantine.may_send(self):
                return view
            quarantine.turns.end(self)
            if view and not quarantine.is_held(self.traits):
                await quarantine.turns.wait(self)

    def _returns_to_source(self, offer: Offer, result: AttemptResult) -> bool:
        """Return whether a moved run that was refused, or not sent, continues at its source."""
        continued = offer.continued
        if continued is None or result is not AttemptResult.NOT_RUN:
            return False
        refused = offer.attempt is not None
        if continued.view is continued.source and refused:
            self._drop_copies()
            return False
        self.moved = MovedRun(continued.source, continued.source, continued.handle)
        return True

    async def _finish(self) -> None:
        if self.failure and not self.started:
            await self.forward_response(self.failure)
            return
        if self.may_have_run():
            raise RequestFailed(ResultCode.OUTCOME_UNKNOWN)
        raise self.target_selector.refusal(ResultCode.RETRIES_EXHAUSTED)

    async def forward_response(self, response: TargetResponse) -> None:
        """Send a target's whole response to the caller.

        Raise RequestFailed for a status that promises what the target hasn't stated: that a request
        which may run once has not run.
        """
        if not self.route.repeatable and response.head.status in NOT_RUN_STATUSES:
            raise RequestFailed(ResultCode.OUTCOME_UNKNOWN, detail="a rejection without a proof")
        self.started = True
        await self.caller.send_response(
            response.head.status,
            end_to_end_headers(response.head.headers),
            response.body,
            close=self.state.leaving,
            mark_end=response.marked,
        )

    def _pace(self) -> float:
        return self.state.fleet.paces.token_cost(self.prompt.model)
