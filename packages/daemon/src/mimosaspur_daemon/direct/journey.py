"""Carry one request from its caller to targets and the answer back."""

import asyncio

from mimosaspur_coordination.fleetview import TargetView
from mimosaspur_daemon.direct.attempt import Attempt
from mimosaspur_daemon.direct.attempt import Result
from mimosaspur_daemon.direct.attemptlog import log_attempt
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.evacuation import MovedRun
from mimosaspur_daemon.direct.prompts import read_prompt
from mimosaspur_daemon.direct.refusal import GivenUp
from mimosaspur_daemon.direct.repeats import Repeats
from mimosaspur_daemon.direct.targeting import FAILED_REST_S
from mimosaspur_daemon.direct.targeting import NOT_RUN_REST_S
from mimosaspur_daemon.direct.targeting import Targeting
from mimosaspur_protocol.eventcut import EventCutter
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.policy import Mechanism
from mimosaspur_state.routes import Route
from mimosaspur_state.routes import RouteKind
from mimosaspur_state.workspaces import Workspace
from mimosaspur_transport.callerconnection import CallerConnection
from mimosaspur_transport.callerconnection import CallerRequest
from mimosaspur_transport.channelpool import FRESH_MS
from mimosaspur_transport.dialect import end_to_end
from mimosaspur_transport.dialect import header
from mimosaspur_transport.httpchannel import AnswerHead
from mimosaspur_transport.httpchannel import ChannelBroken

# Targets are asked so often at most for one request, the refusals of targets included.
MOST_OFFERS = 6
# After each refusal a target is left alone longer, so that the offers last for a load that takes
# longer than foreseen.
REST_GROWTH = 1.7
# A process that ends cuts what it has not ended. So it takes only what would end in time if it
# lasted so many times the longest that is expected: with one time, a stream was cut on one of 20
# days.
SURELY_TIMES = 3.0


class Journey:
    """Serve one request."""

    __slots__ = (
        "attempt",
        "caller",
        "cause",
        "charged",
        "credentialed",
        "cutter",
        "deadline_s",
        "ended",
        "failure",
        "first_ms",
        "limit",
        "longest_pause_ms",
        "moved",
        "over",
        "predicted_ms",
        "prompt",
        "repeats",
        "request",
        "route",
        "runs",
        "sent",
        "service",
        "started",
        "state",
        "targeting",
        "unsure",
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
        # What was taken for it from the workspace's quota.
        self.charged = 0.0
        self.route = route
        self.service = service
        self.request = request
        self.caller = caller
        dialect = state.outside.dialect
        self.prompt = read_prompt(request.headers, dialect)
        self.deadline_s = request.arrived_s + self._time_limit_ms() / 1000
        configuration = state.configuration
        # Whether a caller's key means something here, and so must not be passed on.
        self.credentialed = bool(configuration and configuration.workspaces is not None)
        self.targeting = Targeting(
            state,
            route,
            service,
            configuration.services.get(service) if configuration else None,
            self.prompt,
            workspace=workspace,
            arrived_s=request.arrived_s,
            deadline_s=self.deadline_s,
        )
        last_id = header(request.headers, dialect.last_event_id) or b""
        self.cutter = EventCutter(int(last_id) if last_id.isdigit() else None)
        # Whether the caller has got the head of an answer.
        self.started = False
        self.repeats = Repeats(
            state.retry_window(service), state.log, service=service, request=self.identity()
        )
        # Whether a target has it now.
        self.sent = False
        self.limit: asyncio.Timeout | None = None
        # The attempt that runs now, and the stopped run that goes on next.
        self.attempt: Attempt | None = None
        self.moved: MovedRun | None = None
        # Whether nothing is sent for it any more.
        self.over = False
        # Whether it is ended because this process ends.
        self.ended = False
        # Attempts after which the request may have run.
        self.runs = 0
        self.unsure = False
        # For the log: from the caller's request to the last offer and to the first event, and what
        # was predicted from the offer to the first event.
        self.waited_ms = 0
        self.predicted_ms = 0
        self.first_ms = 0
        self.longest_pause_ms = 0
        # Why the last attempt broke.
        self.cause = ""
        # A target's own failure, to be passed on if nothing better comes.
        self.failure: tuple[AnswerHead, bytes] | None = None

    async def run(self) -> None:
        """Answer the request; raise GivenUp with the answer of our own."""
        self.repeats.window.count_request()
        if self.prompt.model:
            self.state.count_asked(
                self.prompt.model,
                self.prompt.adapter,
                tokens=1 + round(self.prompt.prompt_tokens * self._pace()),
                objective_ms=self.route.objective_ms,
            )
        try:
            async with asyncio.timeout_at(self.deadline_s) as self.limit:
                await self._attempts()
        except TimeoutError:
            raise self._out_of_time() from None
        finally:
            self.over = True
            self.repeats.settle()
            if self.moved:
                self.state.drop_copy(self.moved.source.record, self.moved.handle)

    def identity(self) -> str:
        """Return the id that the caller gave the request."""
        name = self.state.outside.dialect.request_id
        return (header(self.request.headers, name) or b"").decode("latin-1")

    def may_have_run(self) -> bool:
        """Tell whether a target may have run the request, or runs it now."""
        return self.started or self.unsure or self.sent or self.failure is not None

    def ends_in_time(self) -> bool:
        """Tell whether the request will surely end before this process does."""
        if not self.state.uses(Mechanism.LEAVING_TAKES):
            return False
        if self.route.kind is RouteKind.STREAM and not self.state.needed():
            return False
        left_ms = (self.state.end_s - asyncio.get_running_loop().time()) * 1000
        longest_ms = self.state.durations.upper_bound_ms(
            self.route.name, tokens=self.prompt.output_tokens
        )
        lasts_ms = float(self.route.timeout_ms)
        if longest_ms is not None:
            lasts_ms = min(lasts_ms, SURELY_TIMES * longest_ms)
        return lasts_ms + self.targeting.foreseen_ms() <= left_ms

    def note_duration(self, began_s: float) -> None:
        """Learn how long the request lasted since an engine's first event, or since it was sent."""
        lasted_ms = (asyncio.get_running_loop().time() - began_s) * 1000
        tokens = self.prompt.output_tokens
        self.state.durations.record(self.route.name, lasted_ms, tokens=tokens)

    def end_now(self) -> None:
        """End the request at once, since this process ends."""
        if self.limit and not self.limit.expired():
            self.ended = True
            self.limit.reschedule(asyncio.get_running_loop().time())

    def _out_of_time(self) -> GivenUp:
        if self.unsure or self.sent:
            code = ResultCode.OUTCOME_UNKNOWN if self.ended else ResultCode.DEADLINE_PASSED
            return GivenUp(code)
        code = ResultCode.DRAINING if self.ended else ResultCode.NO_READY_TARGET
        return self.targeting.refusal(code)

    async def _attempts(self) -> None:
        for offer in range(MOST_OFFERS):
            continued, self.moved = self.moved, None
            if self.repeats.arrivals and not continued and not self.repeats.spend(1, what="offer"):
                break
            try:
                view = continued.view if continued else await self._next_target()
            except GivenUp:
                if self.unsure or self.failure:
                    break
                raise
            result = await self._attempt(view, continued)
            log_attempt(self, view, result, offer, continued=continued is not None)
            if result is Result.DONE:
                return
            if result is Result.MOVED or self._goes_back(continued, result):
                continue
            if result is Result.NOT_RUN and (continued is None or self.route.repeatable):
                self.targeting.rest(view, NOT_RUN_REST_S * REST_GROWTH**offer)
                continue
            self.runs += 1
            self.unsure = True
            self.targeting.rest(view, FAILED_REST_S)
            if not self.route.repeatable or self.runs >= self.route.max_attempts:
                break
        await self._conclude()

    async def _next_target(self) -> TargetView:
        return await self.targeting.next(resumed=self.started)

    def _goes_back(self, continued: MovedRun | None, result: Result) -> bool:
        """Tell whether a stopped run that another target refused goes on where it ran."""
        if continued is None or result is not Result.NOT_RUN:
            return False
        if continued.view is continued.source:
            self.state.drop_copy(continued.source.record, continued.handle)
            return False
        self.moved = MovedRun(continued.source, continued.source, continued.handle)
        return True

    async def _conclude(self) -> None:
        if self.failure and not self.started:
            head, body = self.failure
            await self.pass_on(head, body)
            return
        if self.unsure:
            raise GivenUp(ResultCode.OUTCOME_UNKNOWN)
        raise self.targeting.refusal(ResultCode.RETRIES_EXHAUSTED)

    async def _attempt(self, view: TargetView, continued: MovedRun | None = None) -> Result:
        pool = self.state.pool(view.record)
        max_idle_ms = None if self.route.repeatable else FRESH_MS
        try:
            channel, _ = await pool.take(max_idle_ms=max_idle_ms)
        except ChannelBroken:
            view.health.record_unreachable()
            self.state.unreachable.add(view.record.identity)
            self.state.report_now.set()
            return Result.NOT_RUN
        self.repeats.arrivals += 1
        attempt = self.attempt = Attempt(self, view, channel, continued)
        self.waited_ms = round((attempt.sent_s - self.request.arrived_s) * 1000)
        self.predicted_ms = round(attempt.predicted_ms)
        finished = False
        try:
            result = await attempt.run()
            finished = True
            self.sent = False
        finally:
            attempt.end()
            self.attempt = None
            # A connection whose answer wasn't read to its end must not be used again, and closing
            # it is what tells the target to stop.
            if finished and channel.sent_all():
                pool.give_back(channel)
            else:
                pool.discard(channel)
        return result

    async def pass_on(self, head: AnswerHead, body: bytes) -> None:
        """Send a target's whole answer to the caller."""
        self.started = True
        await self.caller.answer(
            head.status, end_to_end(head.headers), body, close=self.state.leaving
        )

    def _pace(self) -> float:
        return self.state.fleet.paces.token_cost(self.prompt.model)

    def _time_limit_ms(self) -> int:
        value = header(self.request.headers, self.state.outside.dialect.deadline_ms) or b""
        if value.isdigit():
            return min(int(value), self.route.timeout_ms)
        return self.route.timeout_ms
