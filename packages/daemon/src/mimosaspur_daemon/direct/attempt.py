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
from mimosaspur_daemon.direct.sentheaders import sent_headers
from mimosaspur_protocol.eventcut import EventMissing
from mimosaspur_state.routes import RouteKind
from mimosaspur_transport.dialect import end_to_end
from mimosaspur_transport.dialect import header
from mimosaspur_transport.httpchannel import AnswerHead
from mimosaspur_transport.httpchannel import ChannelBroken
from mimosaspur_transport.httpchannel import HttpChannel

if TYPE_CHECKING:
    from mimosaspur_daemon.direct.journey import Journey

T = TypeVar("T")

# An answer of a plain service is passed on when it is whole, if it is no larger.
WHOLE_ANSWER_BYTES = 8_000_000
# A target that says nothing for this many times what was predicted is given up, if the request
# may be repeated.
SILENCE_TIMES = 3.0
LEAST_SILENCE_MS = 900
# A begun stream that pauses for this many times the route's longest pause is resumed elsewhere.
STALL_TIMES = 3
LEAST_STALL_MS = 1_000
# A moved run comes to its new target, and back to where it ran if that refuses it.
MOVE_ARRIVALS = 2


class Result(Enum):
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
        "event_s",
        "first_token",
        "first_token_s",
        "moving",
        "journey",
        "predicted_ms",
        "rank",
        "sent_s",
        "unread",
        "view",
    )

    def __init__(
        self,
        journey: "Journey",
        view: TargetView,
        channel: HttpChannel,
        continued: MovedRun | None = None,
    ) -> None:
        self.journey = journey
        self.view = view
        self.channel = channel
        # The stopped run that goes on here.
        self.continued = continued
        self.ended = False
        # The end of a move that has begun.
        self.moving: asyncio.Future[MovedRun | None] | None = None
        self.rank = journey.targeting.rank
        self.predicted_ms = view.first_token_ms(journey.prompt, rank=self.rank)
        self.unread = view.on_sent(journey.prompt, rank=self.rank)
        self.sent_s = asyncio.get_running_loop().time()
        self.first_token = False
        self.first_token_s = 0.0
        # When the last event came.
        self.event_s = 0.0

    def end(self) -> None:
        """Count the request out of the target's work."""
        if not self.first_token:
            self.view.on_prefill_end(unread=self.unread, rank=self.rank)
        self.view.on_end(self.journey.prompt)
        self.ended = True

    async def move(self, to: TargetView) -> bool:
        """Stop the run and let it go on at another target; tell whether it was stopped."""
        journey = self.journey
        request = header(journey.request.headers, journey.state.outside.dialect.request_id)
        if not request or not journey.repeats.spend(MOVE_ARRIVALS, what="move"):
            return False
        self.moving = asyncio.get_running_loop().create_future()
        engines = journey.state.outside.engines
        moved = None
        try:
            stopped = await engines.stop_and_copy(self.view.record, request, to.record)
            if stopped:
                moved = MovedRun(to if stopped.copied else self.view, self.view, stopped.handle)
        finally:
            self.moving.set_result(moved)
        if moved and journey.over:
            await engines.drop_copy(self.view.record, moved.handle)
        return moved is not None

    async def _was_moved(self) -> bool:
        """Tell whether the stream has ended because the run goes on elsewhere."""
        if self.moving is None:
            return False
        moved = await self.moving
        self.journey.moved = moved
        return moved is not None

    async def run(self) -> Result:
        """Send the request and pass the answer on."""
        journey = self.journey
        request = journey.request
        try:
            journey.sent = True
            await self.channel.send(
                request.method, request.target, sent_headers(self), request.body
            )
            head = await self._patiently(self._own_head(), self._silence_s())
            if self._says_not_run(head):
                await self._patiently(self._rest(), self._silence_s())
                return Result.NOT_RUN
            if journey.route.kind is RouteKind.STREAM and 200 <= head.status < 300:
                return await self._relay(head)
            return await self._whole(head)
        except ChannelBroken as error:
            self.channel.close()
            if await self._was_moved():
                return Result.MOVED
            journey.cause = str(error)
            self.view.health.record_failure()
            return Result.BROKEN
        except TimeoutError:
            if asyncio.get_running_loop().time() >= journey.deadline_s:
                raise
            journey.cause = "silent for too long"
            self.view.health.record_failure()
            self.channel.close()
            return Result.BROKEN

    async def _patiently(self, read: Coroutine[Any, Any, T], limit_s: float | None) -> T:
        """Read from the target, beyond the limit too while no other one can take the request."""
        reading = asyncio.get_running_loop().create_task(read)
        try:
            while not (await asyncio.wait({reading}, timeout=limit_s))[0]:
                self._give_up_silent()
            return reading.result()
        finally:
            reading.cancel()

    def _give_up_silent(self) -> None:
        """Raise TimeoutError if a target that has been silent for too long is to be given up.

        A target that is only slow ends the answer late. Without another one that can take the
        request, giving it up would end the answer instead.
        """
        journey = self.journey
        if journey.targeting.has_other(self.view) and journey.repeats.window.allows():
            raise TimeoutError

    async def _rest(self) -> bytes:
        return await self.channel.rest(WHOLE_ANSWER_BYTES)

    async def _own_head(self) -> AnswerHead:
        """Return the head of the answer to this request; others may come before it."""
        name = self.journey.state.outside.dialect.request_id
        mine = header(self.journey.request.headers, name)
        while True:
            head = await self.channel.head()
            theirs = header(head.headers, name)
            if theirs is None or mine is None or theirs == mine:
                return head
            await self.channel.skip_answer()

    def _says_not_run(self, head: AnswerHead) -> bool:
        dialect = self.journey.state.outside.dialect
        return head.status == 421 or header(head.headers, dialect.not_run) is not None

    def _genuine(self, head: AnswerHead) -> bool:
        """Tell whether a success is the target's own."""
        proof = self.journey.state.outside.dialect.proof
        encoded = header(head.headers, b"content-encoding")
        return not encoded and (not proof or header(head.headers, proof) is not None)

    async def _whole(self, head: AnswerHead) -> Result:
        journey = self.journey
        body = await self._patiently(self._rest(), self._silence_s())
        if head.status < 400 and not self._genuine(head):
            raise ChannelBroken("the answer is not the target's")
        if head.status >= 500:
            self.view.health.record_failure()
            journey.failure = (head, body)
            return Result.FAILED
        self.view.health.record_success()
        if journey.started:
            raise ChannelBroken("a resumed stream was answered otherwise")
        await journey.pass_on(head, body)
        journey.note_duration(self.sent_s)
        return Result.DONE

    async def _relay(self, head: AnswerHead) -> Result:
        journey = self.journey
        if not self._genuine(head):
            raise ChannelBroken("the answer is not the target's")
        journey.cutter.restart()
        try:
            while (piece := await self._piece()) is not None:
                before = journey.cutter.last_id
                events = journey.cutter.feed(piece)
                if events:
                    self._note_first_token()
                    self._note_events(before, journey.cutter.last_id)
                    await self._start(head)
                    await journey.caller.send(events)
        except EventMissing as error:
            raise ChannelBroken(str(error)) from error
        if await self._was_moved():
            # An answer without a length ends with its connection, also when its run was stopped.
            self.channel.close()
            return Result.MOVED
        await self._start(head)
        if journey.cutter.begun:
            await journey.caller.send(journey.cutter.begun)
        await journey.caller.finish()
        self.view.health.record_success()
        lasted_ms = (asyncio.get_running_loop().time() - self.first_token_s) * 1000
        if self.first_token:
            self.view.record_stream(lasted_ms)
        journey.note_duration(self.first_token_s or self.sent_s)
        return Result.DONE

    async def _start(self, head: AnswerHead) -> None:
        journey = self.journey
        if not journey.started:
            journey.started = True
            headers = end_to_end(head.headers)
            await journey.caller.start(head.status, headers, close=journey.state.leaving)

    async def _piece(self) -> bytes | None:
        limit_s = self._stall_s() if self.first_token else self._silence_s()
        while True:
            try:
                # A read that was cancelled has taken nothing, and may begin again.
                async with asyncio.timeout(limit_s):
                    return await self.channel.piece()
            except TimeoutError:
                self._give_up_silent()

    def _note_first_token(self) -> None:
        if self.first_token:
            return
        self.first_token = True
        now_s = self.first_token_s = asyncio.get_running_loop().time()
        self.journey.first_ms = round((now_s - self.journey.request.arrived_s) * 1000)
        took_ms = (now_s - self.sent_s) * 1000
        self.view.on_prefill_end(unread=self.unread, rank=self.rank)
        journey = self.journey
        if self.rank != LATE_RANK:
            # How long what is late waits depends on what comes after it.
            self.view.on_first_token(
                journey.prompt,
                unread=self.unread,
                predicted_ms=self.predicted_ms,
                took_ms=took_ms,
            )

    def _note_events(self, before: int | None, last: int | None) -> None:
        """Note how long the stream paused before the events that have just come."""
        if last is None:
            return
        now_s = asyncio.get_running_loop().time()
        if before is not None and self.event_s:
            paused_ms = (now_s - self.event_s) * 1000
            journey = self.journey
            journey.longest_pause_ms = max(journey.longest_pause_ms, round(paused_ms))
        self.event_s = now_s

    def _silence_s(self) -> float | None:
        """Return how long the target may say nothing, None for as long as it takes."""
        journey = self.journey
        if not journey.route.repeatable or journey.runs + 1 >= journey.route.max_attempts:
            return None
        if journey.route.kind is RouteKind.STREAM:
            wait_ms = max(LEAST_SILENCE_MS, self.predicted_ms * SILENCE_TIMES)
            return (wait_ms + journey.route.objective_ms) / 1000
        return journey.route.objective_ms / 1000

    def _stall_s(self) -> float | None:
        journey = self.journey
        if not journey.route.repeatable or journey.runs + 1 >= journey.route.max_attempts:
            return None
        return max(LEAST_STALL_MS, STALL_TIMES * journey.route.gap_objective_ms) / 1000
