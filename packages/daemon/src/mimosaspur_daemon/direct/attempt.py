"""Run a request once at one target, and pass the answer on."""

import asyncio
from collections.abc import Coroutine
from enum import Enum
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

from mimosaspur_coordination.fleetview import TargetView
from mimosaspur_daemon.direct.entrystate import LATE_RANK
from mimosaspur_daemon.direct.evacuation import MovedRun
from mimosaspur_daemon.direct.targetheaders import target_headers
from mimosaspur_protocol.eventbuffer import EventMissing
from mimosaspur_state.routes import RouteKind
from mimosaspur_transport.dialect import end_to_end_headers
from mimosaspur_transport.dialect import header
from mimosaspur_transport.httpchannel import ChannelBroken
from mimosaspur_transport.httpchannel import HttpChannel
from mimosaspur_transport.httpchannel import ResponseHead

if TYPE_CHECKING:
    from mimosaspur_daemon.direct.requesthandler import RequestHandler

T = TypeVar("T")

# An answer of a plain service is passed on when it is whole, if it is no larger.
MAX_RESPONSE_BYTES = 8_000_000
# A target that says nothing for this many times what was predicted is given up, if the request
# may be repeated.
SILENCE_TIMEOUT_FACTOR = 3.0
MIN_SILENCE_TIMEOUT_MS = 900
# A begun stream that pauses for this many times the route's longest pause is resumed elsewhere.
STALL_TIMEOUT_FACTOR = 3
MIN_STALL_TIMEOUT_MS = 1_000
# A moved run comes to its new target, and back to where it ran if that refuses it.
MOVE_RETRY_COUNT = 2


class AttemptResult(Enum):
    """Say what became of an attempt."""

    DONE = "done"
    # The target did not run the request.
    NOT_RUN = "not_run"
    # The request may have run; what the caller got so far can be continued.
    BROKEN = "broken"
    # The run was stopped, and goes on elsewhere from its memory.
    MOVED = "moved"
    # The target answered with a failure, which may be passed on.
    FAILED = "failed"


class Attempt:
    """Run a journey's request once at one target."""

    __slots__ = (
        "channel",
        "continued",
        "ended",
        "last_event_s",
        "first_token",
        "first_token_s",
        "pending_move",
        "handler",
        "predicted_ms",
        "rank",
        "sent_s",
        "unread",
        "view",
    )

    def __init__(
        self,
        journey: "RequestHandler",
        view: TargetView,
        channel: HttpChannel,
        continued: MovedRun | None = None,
    ) -> None:
        self.handler = journey
        self.view = view
        self.channel = channel
        # The stopped run that goes on here.
        self.continued = continued
        self.ended = False
        # The end of a move that has begun.
        self.pending_move: asyncio.Future[MovedRun | None] | None = None
        self.rank = journey.target_selector.rank
        self.predicted_ms = view.first_token_ms(journey.prompt, rank=self.rank)
        self.unread = view.on_sent(journey.prompt, rank=self.rank)
        self.sent_s = asyncio.get_running_loop().time()
        self.first_token = False
        self.first_token_s = 0.0
        # When the last event came.
        self.last_event_s = 0.0

    def end(self) -> None:
        """Count the request out of the target's work."""
        if not self.first_token:
            self.view.on_prefill_end(unread=self.unread, rank=self.rank)
        self.view.on_end(self.handler.prompt)
        self.ended = True

    async def move(self, to: TargetView) -> bool:
        """Stop the run and let it go on at another target; tell whether it was stopped."""
        journey = self.handler
        request = header(journey.request.headers, journey.state.dependencies.dialect.request_id)
        if not request or not journey.retries.spend(MOVE_RETRY_COUNT, what="move"):
            return False
        self.pending_move = asyncio.get_running_loop().create_future()
        engines = journey.state.dependencies.engines
        moved = None
        try:
            stopped = await engines.stop_and_copy(self.view.record, request, to.record)
            if stopped:
                moved = MovedRun(to if stopped.copied else self.view, self.view, stopped.handle)
        finally:
            self.pending_move.set_result(moved)
        if moved and journey.done:
            await engines.drop_copy(self.view.record, moved.handle)
        return moved is not None

    async def _was_moved(self) -> bool:
        """Tell whether the stream has ended because the run goes on elsewhere."""
        if self.pending_move is None:
            return False
        moved = await self.pending_move
        self.handler.moved = moved
        return moved is not None

    async def run(self) -> AttemptResult:
        """Send the request and pass the answer on."""
        journey = self.handler
        request = journey.request
        try:
            journey.in_flight = True
            await self.channel.send(
                request.method, request.target, target_headers(self), request.body
            )
            head = await self._read_with_timeout(self._read_own_head(), self._silence_timeout_s())
            if self._is_not_run(head):
                await self._read_with_timeout(self._read_body(), self._silence_timeout_s())
                return AttemptResult.NOT_RUN
            if journey.route.kind is RouteKind.STREAM and 200 <= head.status < 300:
                return await self._forward_stream(head)
            return await self._forward_whole(head)
        except ChannelBroken as error:
            self.channel.close()
            if await self._was_moved():
                return AttemptResult.MOVED
            journey.cause = str(error)
            self.view.health.record_failure()
            return AttemptResult.BROKEN
        except TimeoutError:
            if asyncio.get_running_loop().time() >= journey.deadline_s:
                raise
            journey.cause = "silent for too long"
            self.view.health.record_failure()
            self.channel.close()
            return AttemptResult.BROKEN

    async def _read_with_timeout(self, read: Coroutine[Any, Any, T], limit_s: float | None) -> T:
        """Read from the target, beyond the limit too while no other one can take the request."""
        reading = asyncio.get_running_loop().create_task(read)
        try:
            while not (await asyncio.wait({reading}, timeout=limit_s))[0]:
                self._raise_if_replaceable()
            return reading.result()
        finally:
            reading.cancel()

    def _raise_if_replaceable(self) -> None:
        """Raise TimeoutError if a target that has been silent for too long is to be given up.

        A target that is only slow ends the answer late. Without another one that can take the
        request, giving it up would end the answer instead.
        """
        journey = self.handler
        if journey.target_selector.has_other(self.view) and journey.retries.window.allows():
            raise TimeoutError

    async def _read_body(self) -> bytes:
        return await self.channel.read_body(MAX_RESPONSE_BYTES)

    async def _read_own_head(self) -> ResponseHead:
        """Return the head of the answer to this request; others may come before it."""
        name = self.handler.state.dependencies.dialect.request_id
        mine = header(self.handler.request.headers, name)
        while True:
            head = await self.channel.read_head()
            theirs = header(head.headers, name)
            if theirs is None or mine is None or theirs == mine:
                return head
            await self.channel.skip_response()

    def _is_not_run(self, head: ResponseHead) -> bool:
        dialect = self.handler.state.dependencies.dialect
        return head.status == 421 or header(head.headers, dialect.not_run) is not None

    def _is_authentic(self, head: ResponseHead) -> bool:
        """Tell whether a success is the target's own."""
        proof = self.handler.state.dependencies.dialect.proof
        encoded = header(head.headers, b"content-encoding")
        return not encoded and (not proof or header(head.headers, proof) is not None)

    async def _forward_whole(self, head: ResponseHead) -> AttemptResult:
        journey = self.handler
        body = await self._read_with_timeout(self._read_body(), self._silence_timeout_s())
        if head.status < 400 and not self._is_authentic(head):
            raise ChannelBroken("the answer is not the target's")
        if head.status >= 500:
            self.view.health.record_failure()
            journey.failure = (head, body)
            return AttemptResult.FAILED
        self.view.health.record_success()
        if journey.started:
            raise ChannelBroken("a resumed stream was answered otherwise")
        await journey.forward_response(head, body)
        journey.record_duration(self.sent_s)
        return AttemptResult.DONE

    async def _forward_stream(self, head: ResponseHead) -> AttemptResult:
        journey = self.handler
        if not self._is_authentic(head):
            raise ChannelBroken("the answer is not the target's")
        journey.cutter.discard_incomplete()
        try:
            while (piece := await self._read_chunk()) is not None:
                before = journey.cutter.last_id
                events = journey.cutter.feed(piece)
                if events:
                    self._record_first_token()
                    self._record_pause(before, journey.cutter.last_id)
                    await self._start_response(head)
                    await journey.caller.send_chunk(events)
        except EventMissing as error:
            raise ChannelBroken(str(error)) from error
        if await self._was_moved():
            # An answer without a length ends with its connection, also when its run was stopped.
            self.channel.close()
            return AttemptResult.MOVED
        await self._start_response(head)
        if journey.cutter.incomplete:
            await journey.caller.send_chunk(journey.cutter.incomplete)
        await journey.caller.end_response()
        self.view.health.record_success()
        lasted_ms = (asyncio.get_running_loop().time() - self.first_token_s) * 1000
        if self.first_token:
            self.view.record_stream(lasted_ms)
        journey.record_duration(self.first_token_s or self.sent_s)
        return AttemptResult.DONE

    async def _start_response(self, head: ResponseHead) -> None:
        journey = self.handler
        if not journey.started:
            journey.started = True
            headers = end_to_end_headers(head.headers)
            await journey.caller.send_head(head.status, headers, close=journey.state.leaving)

    async def _read_chunk(self) -> bytes | None:
        limit_s = self._stall_timeout_s() if self.first_token else self._silence_timeout_s()
        while True:
            try:
                # A read that was cancelled has taken nothing, and may begin again.
                async with asyncio.timeout(limit_s):
                    return await self.channel.read_chunk()
            except TimeoutError:
                self._raise_if_replaceable()

    def _record_first_token(self) -> None:
        if self.first_token:
            return
        self.first_token = True
        now_s = self.first_token_s = asyncio.get_running_loop().time()
        self.handler.first_ms = round((now_s - self.handler.request.arrived_s) * 1000)
        took_ms = (now_s - self.sent_s) * 1000
        self.view.on_prefill_end(unread=self.unread, rank=self.rank)
        journey = self.handler
        if self.rank != LATE_RANK:
            # How long what is late waits depends on what comes after it.
            self.view.on_first_token(
                journey.prompt,
                unread=self.unread,
                predicted_ms=self.predicted_ms,
                took_ms=took_ms,
            )

    def _record_pause(self, before: int | None, last: int | None) -> None:
        """Note how long the stream paused before the events that have just come."""
        if last is None:
            return
        now_s = asyncio.get_running_loop().time()
        if before is not None and self.last_event_s:
            paused_ms = (now_s - self.last_event_s) * 1000
            journey = self.handler
            journey.longest_pause_ms = max(journey.longest_pause_ms, round(paused_ms))
        self.last_event_s = now_s

    def _silence_timeout_s(self) -> float | None:
        """Return how long the target may say nothing, None for as long as it takes."""
        journey = self.handler
        if not journey.route.repeatable or journey.possible_runs + 1 >= journey.route.max_attempts:
            return None
        if journey.route.kind is RouteKind.STREAM:
            wait_ms = max(MIN_SILENCE_TIMEOUT_MS, self.predicted_ms * SILENCE_TIMEOUT_FACTOR)
            return (wait_ms + journey.route.objective_ms) / 1000
        return journey.route.objective_ms / 1000

    def _stall_timeout_s(self) -> float | None:
        journey = self.handler
        if not journey.route.repeatable or journey.possible_runs + 1 >= journey.route.max_attempts:
            return None
        return (
            max(MIN_STALL_TIMEOUT_MS, STALL_TIMEOUT_FACTOR * journey.route.gap_objective_ms) / 1000
        )
