"""Send a request to one target and forward the response."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

from mimosaspur_coordination.enginespeed.decodepace import StreamGaps
from mimosaspur_coordination.fleetports import StopUnconfirmed
from mimosaspur_coordination.fleetview import TargetView
from mimosaspur_coordination.quarantine.crashledger import Stage
from mimosaspur_coordination.streampauses import StreamPauses
from mimosaspur_daemon.direct.attemptlog import log_endless
from mimosaspur_daemon.direct.attemptlog import log_pausing_engine
from mimosaspur_daemon.direct.entrystate import LATE_RANK
from mimosaspur_daemon.direct.evacuation import MovedRun
from mimosaspur_daemon.direct.targetheaders import target_headers
from mimosaspur_protocol.completeness import Completeness
from mimosaspur_protocol.completeness import stream_completeness
from mimosaspur_protocol.eventbuffer import EventBuffer
from mimosaspur_protocol.eventbuffer import EventMissing
from mimosaspur_protocol.eventbuffer import EventTooLong
from mimosaspur_state.routes import RouteKind
from mimosaspur_transport.dialect import RETRY_AFTER
from mimosaspur_transport.dialect import end_to_end_headers
from mimosaspur_transport.dialect import header
from mimosaspur_transport.httpchannel import ChannelBroken
from mimosaspur_transport.httpchannel import EndlessResponse
from mimosaspur_transport.httpchannel import HttpChannel
from mimosaspur_transport.httpchannel import ResponseHead

if TYPE_CHECKING:
    from mimosaspur_daemon.direct.offer import Offer

T = TypeVar("T")

# Limit on the response of a plain service, which is buffered before it is forwarded.
MAX_RESPONSE_BYTES = 8_000_000
# Limit on the body of a rejection, and on the time for it. Its head says all that is needed.
MAX_REJECTION_BYTES = 65_536
REJECTION_BODY_S = 0.2
# Limit on the responses to other requests that precede the response to this one.
MAX_FOREIGN_RESPONSES = 8
EVENT_STREAM_TYPE = b"text/event-stream"
EVENT_END = b"\n\n"
# A caller that takes this long to accept an event delays the reading of the next one.
SLOW_SEND_S = 0.005
# A repeatable request gets a backup when its first event takes this many times its predicted time.
SILENCE_TIMEOUT_FACTOR = 3.0
MIN_SILENCE_TIMEOUT_MS = 900
# A stream that has begun gets a backup after a pause of this many gap objectives, or of the minimum
# if that is longer, but while its caller still waits.
STALL_TIMEOUT_FACTOR = 5
MIN_STALL_TIMEOUT_MS = 2_000
MAX_STALL_PATIENCE_SHARE = 0.6
# A stream's target that has paused for this long is probed, and the stream gets a backup if the
# target's machine is out of reach.
PROBE_AFTER_MS = 600
# Interval between checks of a run whose target is silent.
SILENCE_CHECK_S = 0.1
# A target that has sent something within this time is still sending.
STILL_SENDING_S = 0.1
# It sends no answer if its last event, or the request, is older than that data by this time.
MIN_SENDING_MS = 150
# A run that crashes its target ends as it begins to write; one that has written for so long counts
# as if it had not begun.
LONG_WRITTEN_MS = 500
# A moved run is sent to its new target, and back to its source if that refuses it.
MOVE_RETRY_COUNT = 2


class AttemptResult(Enum):
    """List the outcomes of an attempt."""

    DONE = "done"
    # The target did not run the request.
    NOT_RUN = "not_run"
    # The request may have run; a resumable stream can be continued elsewhere.
    BROKEN = "broken"
    # The run was stopped and continues at another target from its memory.
    MOVED = "moved"
    # The target responded with an error, which may be forwarded.
    FAILED = "failed"
    # Another run of the request answered first.
    LEFT = "left"


@dataclass(slots=True, frozen=True)
class TargetResponse:
    """Hold a target's response, and whether its framing marked its end."""

    head: ResponseHead
    body: bytes
    marked: bool


def _is_event_stream(head: ResponseHead) -> bool:
    content_type = header(head.headers, b"content-type") or EVENT_STREAM_TYPE
    return 200 <= head.status < 300 and content_type.lower().startswith(EVENT_STREAM_TYPE)


class Attempt:
    """Run a request once at one target."""

    __slots__ = (
        "channel",
        "ended",
        "events",
        "first_token",
        "first_token_s",
        "gaps",
        "handler",
        "head_received",
        "last_event_s",
        "limit_version",
        "may_be_stopped",
        "next_check_s",
        "offer",
        "pauses",
        "pending_move",
        "predicted_ms",
        "rank",
        "says",
        "sent_s",
        "status",
        "unread",
        "version",
        "view",
        "was_served",
    )

    def __init__(self, offer: "Offer", channel: HttpChannel) -> None:
        handler, view = offer.handler, offer.view
        self.offer = offer
        self.handler = handler
        self.view = view
        # The registration may change while the request runs.
        self.version = view.record.version
        self.channel = channel
        # The stream's events, from the last one that was passed on.
        self.events = EventBuffer(handler.cutter.last_id)
        self.ended = False
        # Resolved when a move that has begun ends.
        self.pending_move: asyncio.Future[MovedRun | None] | None = None
        # Whether the run may have been stopped to be moved, so that its end proves nothing.
        self.may_be_stopped = False
        self.rank = handler.target_selector.rank
        self.predicted_ms = view.first_token_ms(handler.prompt, rank=self.rank)
        self.pauses = StreamPauses(
            view, handler.prompt, gap_objective_ms=handler.route.gap_objective_ms
        )
        self.unread = view.on_sent(handler.prompt, rank=self.rank)
        self.sent_s = asyncio.get_running_loop().time()
        handler.waited_ms = round((self.sent_s - handler.request.arrived_s) * 1000)
        # What was known of the target's limit when the request was sent.
        self.limit_version = handler.state.notices.version(view.record)
        # Whether the target began to respond, its status, and the headers by which it tells of
        # itself.
        self.head_received = False
        self.status: int | None = None
        self.says: dict[str, str] = {}
        self.first_token = False
        self.first_token_s = 0.0
        self.last_event_s = 0.0
        self.gaps = StreamGaps()
        # When data without an event leads to the next check for silence.
        self.next_check_s = 0.0
        # Whether the target began to write an answer, and not only an error.
        self.was_served = False

    def end(self) -> None:
        """Remove the request from the target's work."""
        if self.first_token:
            self.view.awaited_streams -= 1
            self.pauses.on_end()
        else:
            self.view.on_prefill_end(unread=self.unread, rank=self.rank)
        self.view.on_end(self.handler.prompt)
        self.ended = True

    def written_ms(self) -> int:
        """Return for how long the target has been sending events."""
        if not self.first_token:
            return 0
        return round((asyncio.get_running_loop().time() - self.first_token_s) * 1000)

    def silent_ms(self) -> int:
        """Return the time since the last complete event, or since the request was sent."""
        since_s = self.last_event_s or self.sent_s
        return round((asyncio.get_running_loop().time() - since_s) * 1000)

    async def move(self, to: TargetView) -> bool:
        """Stop the run to continue it at another target; return whether it was stopped."""
        handler = self.handler
        request = header(handler.request.headers, handler.state.dependencies.dialect.request_id)
        if len(handler.runs.active) > 1:
            # A backup goes on from the events that the caller has, and needs no move.
            return False
        # If both refuse it, a stream that may be resumed goes on elsewhere.
        count = MOVE_RETRY_COUNT + handler.route.repeatable
        if not request or not handler.retries.spend(count, what="move"):
            return False
        self.pending_move = asyncio.get_running_loop().create_future()
        engines = handler.state.engines
        moved = None
        try:
            stopped = await engines.stop_and_copy(self.view.record, request, to.record)
        except StopUnconfirmed:
            self.may_be_stopped = True
        else:
            if stopped:
                moved = MovedRun(to if stopped.copied else self.view, self.view, stopped.handle)
        finally:
            self.pending_move.set_result(moved)
        if moved and handler.done:
            await engines.drop_copy(self.view.record, moved.handle)
        return moved is not None

    def is_moving(self) -> bool:
        """Return whether the run is being stopped, or was stopped, to go on elsewhere."""
        move = self.pending_move
        return move is not None and (not move.done() or move.result() is not None)

    async def _was_moved(self) -> bool:
        """Return whether the stream ended because the run was moved."""
        if self.pending_move is None:
            return False
        moved = await self.pending_move
        self.handler.moved = moved
        return moved is not None

    async def run(self) -> AttemptResult:
        """Send the request and forward the response."""
        handler = self.handler
        request = handler.request
        try:
            await self.channel.send(
                request.method, request.target, target_headers(self), request.body
            )
            head = await self._read_first(self._read_own_head())
            self.view.on_heard()
            self.head_received = True
            self.status = head.status
            self.says = self._notices(head)
            if self._is_not_run(head):
                await self._discard_rejection()
                return AttemptResult.NOT_RUN
            if handler.route.kind is RouteKind.STREAM and _is_event_stream(head):
                return await self._forward_stream(head)
            return await self._forward_whole(head)
        except asyncio.CancelledError:
            self._on_deadline()
            raise
        except ChannelBroken as error:
            self.channel.close()
            if await self._was_moved():
                return AttemptResult.MOVED
            self.offer.cause = str(error)
            self.view.health.record_failure()
            if isinstance(error, EndlessResponse):
                # The entry closed the connection, so its end is no evidence of a crash.
                log_endless(self, part=error.part, cause=str(error))
                return AttemptResult.BROKEN
            begins = self.head_received and self.written_ms() < LONG_WRITTEN_MS
            stage = Stage.RUNNING if begins else Stage.QUEUED
            quarantine = handler.state.quarantine
            quarantine.on_written(handler.traits, self.written_ms())
            quarantine.detector.on_connection_lost(self.view, handler.traits, stage)
            return AttemptResult.BROKEN

    async def _read_first(self, read: Coroutine[Any, Any, T]) -> T:
        """Read the first data of a response; ask for a backup while it is late."""
        reading = asyncio.get_running_loop().create_task(read)
        try:
            while not (await asyncio.wait({reading}, timeout=SILENCE_CHECK_S))[0]:
                self._check_silence()
            return reading.result()
        finally:
            reading.cancel()

    def _check_silence(self) -> None:
        """Ask for a backup if the response, or all that its target writes, has paused for long."""
        silent_ms = self.silent_ms()
        waits_for_silent = (
            self.handler.route.kind is RouteKind.STREAM
            and not self.first_token
            and self.view.is_silent()
        )
        if (
            silent_ms >= self._silence_timeout_ms()
            or waits_for_silent
            or (self.first_token and silent_ms >= PROBE_AFTER_MS and self._is_out_of_reach())
        ):
            self.handler.runs.on_silence(self)

    def _check_silence_again(self) -> None:
        """Check for silence unless that was done a moment ago."""
        now_s = asyncio.get_running_loop().time()
        if now_s >= self.next_check_s:
            self.next_check_s = now_s + SILENCE_CHECK_S
            self._check_silence()

    def _on_deadline(self) -> None:
        """Count a target as failing that still sends as the request's time has passed."""
        if asyncio.get_running_loop().time() < self.handler.deadline_s or not self._is_sending():
            return
        if self.first_token and not self.events.held():
            # Its events may only be more than fit into the time.
            return
        self.view.health.record_failure()
        part = "body" if self.head_received else "head"
        log_endless(self, part=part, cause="it doesn't end within the request's time")

    def _is_sending(self) -> bool:
        """Return whether data of the response still comes, but no event."""
        channel = self.channel
        idle_s = asyncio.get_running_loop().time() - channel.last_read_s
        return (
            channel.received_bytes > 0
            and idle_s < STILL_SENDING_S
            and self.silent_ms() > idle_s * 1000 + MIN_SENDING_MS
        )

    def _is_out_of_reach(self) -> bool:
        return self.handler.state.reachability.is_out_of_reach(self.view.record)

    async def _read_body(self) -> bytes:
        return await self.channel.read_body(MAX_RESPONSE_BYTES)

    async def _discard_rejection(self) -> None:
        """Read the body of a rejection; give its connection up if it has no end."""
        try:
            async with asyncio.timeout(REJECTION_BODY_S):
                await self.channel.read_body(MAX_REJECTION_BYTES)
        except (ChannelBroken, TimeoutError) as error:
            self.channel.close()
            if isinstance(error, ChannelBroken) and not isinstance(error, EndlessResponse):
                # The head alone tells that the request has not run.
                return
            self.offer.cause = "the body of the rejection doesn't end"
            if isinstance(error, EndlessResponse) or self._is_sending():
                self.view.health.record_failure()
                log_endless(self, part="rejection", cause=self.offer.cause)

    async def _read_own_head(self) -> ResponseHead:
        """Return the head of this request's response; skip responses to other requests."""
        name = self.handler.state.dependencies.dialect.request_id
        mine = header(self.handler.request.headers, name)
        for _ in range(MAX_FOREIGN_RESPONSES + 1):
            head = await self.channel.read_head()
            theirs = header(head.headers, name)
            own = theirs is None or mine is None or theirs == mine
            self._apply_notices(head, proves_end=own and not self._is_not_run(head))
            if own:
                return head
            await self.channel.skip_response()
        raise EndlessResponse("foreign", "responses to other requests don't end")

    def _apply_notices(self, head: ResponseHead, *, proves_end: bool) -> None:
        self.handler.state.notices.on_head(
            self.view.record,
            head.status,
            head.headers,
            sent_version=self.limit_version,
            proves_end=proves_end,
        )

    def _notices(self, head: ResponseHead) -> dict[str, str]:
        """Return the headers by which the target tells of itself, for the log."""
        dialect = self.handler.state.dependencies.dialect
        names = (dialect.request_limit, dialect.leaving, RETRY_AFTER)
        return {
            name.decode(): value.decode("latin-1")
            for name in names
            if (value := header(head.headers, name)) is not None
        }

    def _is_not_run(self, head: ResponseHead) -> bool:
        dialect = self.handler.state.dependencies.dialect
        return head.status == 421 or header(head.headers, dialect.not_run) is not None

    def _is_authentic(self, head: ResponseHead) -> bool:
        """Return whether a successful response comes from the target itself."""
        proof = self.handler.state.dependencies.dialect.proof
        encoded = header(head.headers, b"content-encoding")
        return not encoded and (not proof or header(head.headers, proof) is not None)

    async def _forward_whole(self, head: ResponseHead) -> AttemptResult:
        handler = self.handler
        body = await self._read_first(self._read_body())
        if head.status < 400 and not self._is_authentic(head):
            raise ChannelBroken("response is encoded or lacks the target's proof header")
        # An error took room as well: otherwise callers' mistakes would look like a shortage.
        handler.target_selector.share.on_served()
        response = TargetResponse(head, body, marked=self.channel.marks_end())
        # A backup's error doesn't replace what the first run may still answer.
        is_spare = self.offer.is_backup and len(handler.runs.active) > 1
        if head.status >= 500 or (head.status >= 400 and is_spare):
            if head.status >= 500:
                self.view.health.record_failure()
            handler.failure = response
            return AttemptResult.FAILED
        self.view.health.record_success()
        self.was_served = head.status < 300
        if handler.started:
            raise ChannelBroken("target answered a resumed stream with a whole response")
        handler.runs.claim(self)
        await handler.forward_response(response)
        handler.record_duration(self.sent_s)
        return AttemptResult.DONE

    async def _forward_stream(self, head: ResponseHead) -> AttemptResult:
        handler = self.handler
        if not self._is_authentic(head):
            raise ChannelBroken("response is encoded or lacks the target's proof header")
        try:
            while (chunk := await self._read_chunk()) is not None:
                events = self.events.feed(chunk)
                if not events:
                    # A target that writes, but no event, is as late as one that writes nothing.
                    self._check_silence_again()
                else:
                    handler.runs.claim(self)
                    self._record_first_token()
                    self.view.on_heard()
                    self._record_event(events)
                    await self._start_response(head)
                    handler.continuation.on_event(self.version)
                    await self._send(events)
        except EventMissing as error:
            raise ChannelBroken(str(error)) from error
        except EventTooLong as error:
            raise EndlessResponse("event", str(error)) from error
        if await self._was_moved():
            # A response without a length ends with its connection, even if its run was stopped.
            self.channel.close()
            return AttemptResult.MOVED
        return await self._end_stream(head)

    async def _send(self, events: bytes) -> None:
        """Pass events on; a target isn't silent while a caller doesn't take what it wrote."""
        self.view.awaited_streams -= 1
        try:
            await self.handler.caller.send_chunk(events)
        finally:
            self.view.awaited_streams += 1
            self.view.heard_ms = self.view.health.clock.now_ms()
            self.pauses.on_taken(asyncio.get_running_loop().time() * 1000)
            if asyncio.get_running_loop().time() - self.last_event_s > SLOW_SEND_S:
                # The next event may have waited here.
                self.gaps.skip()

    async def _end_stream(self, head: ResponseHead) -> AttemptResult:
        """End the caller's response if the target's is known, or may be taken, to be complete."""
        handler = self.handler
        completeness = await self._completeness()
        if completeness is Completeness.BROKEN:
            raise ChannelBroken("the target broke off its stream")
        # An earlier target's framing requires a mark, which only a complete stream may get.
        needs_mark = handler.started and not handler.caller.ends_with_connection
        if completeness is Completeness.UNKNOWN and needs_mark:
            self.offer.cause = "nothing proves that the stream is complete"
            return AttemptResult.BROKEN
        handler.runs.claim(self)
        await self._start_response(head)
        if held := self.events.held():
            await handler.caller.send_chunk(held)
        await handler.caller.end_response()
        self.view.health.record_success()
        # A stream may be complete without an event.
        handler.target_selector.share.on_served()
        lasted_ms = (asyncio.get_running_loop().time() - self.first_token_s) * 1000
        if self.first_token:
            self.view.record_stream(lasted_ms)
            self.view.record_gaps(self.gaps)
        handler.record_duration(self.first_token_s or self.sent_s)
        return AttemptResult.DONE

    async def _completeness(self) -> Completeness:
        """Judge the stream that has ended without an error."""
        handler = self.handler
        last_id = self.events.last_id
        resumes = last_id is not None and not self.first_token
        # Two targets that have nothing after the same event prove that it was the last one.
        agreed = resumes and handler.started and handler.unconfirmed_end == last_id
        completeness = stream_completeness(
            marked=self.channel.marks_end() or agreed,
            inside_event=self.events.ends_inside_event(),
            has_events=self.first_token,
            may_be_empty=resumes and not handler.started,
        )
        if completeness is not Completeness.UNKNOWN:
            return completeness
        if self.may_be_stopped:
            return Completeness.BROKEN
        handler.unconfirmed_end = last_id
        detector = handler.state.quarantine.detector
        detector.on_unmarked_end(self.view, handler.traits, served=self.was_served)
        await detector.wait_for_first_probe(self.view)
        return Completeness.BROKEN if detector.has_crashed(self.view) else completeness

    async def _start_response(self, head: ResponseHead) -> None:
        handler = self.handler
        if not handler.started:
            handler.started = True
            await handler.caller.send_head(
                head.status,
                end_to_end_headers(head.headers),
                close=handler.state.leaving,
                mark_end=self.channel.marks_end(),
            )

    async def _read_chunk(self) -> bytes | None:
        while True:
            try:
                # A cancelled read has consumed nothing, so it can be repeated.
                async with asyncio.timeout(SILENCE_CHECK_S):
                    return await self.channel.read_chunk()
            except TimeoutError:
                self._check_silence()

    def _record_first_token(self) -> None:
        if self.first_token:
            return
        self.first_token = self.was_served = True
        self.view.awaited_streams += 1
        now_s = self.first_token_s = asyncio.get_running_loop().time()
        self.handler.first_ms = round((now_s - self.handler.request.arrived_s) * 1000)
        took_ms = (now_s - self.sent_s) * 1000
        self.view.on_prefill_end(unread=self.unread, rank=self.rank)
        handler = self.handler
        handler.target_selector.share.on_served()
        if self.rank != LATE_RANK:
            # The wait of a late request depends on requests that arrive after it.
            self.view.on_first_token(
                handler.prompt,
                unread=self.unread,
                predicted_ms=self.predicted_ms,
                took_ms=took_ms,
            )

    def _record_event(self, events: bytes) -> None:
        """Record that events were received, and the pause before them as the caller sees it."""
        now_s = self.last_event_s = asyncio.get_running_loop().time()
        count = events.count(EVENT_END)
        self.gaps.on_events(count, now_ms=now_s * 1000, is_reading=self.view.reads_prompts())
        handler = self.handler
        if self.pauses.on_event(now_s * 1000):
            log_pausing_engine(self)
        if handler.last_event_s:
            paused_ms = round((now_s - handler.last_event_s) * 1000)
            handler.longest_pause_ms = max(handler.longest_pause_ms, paused_ms)
        handler.last_event_s = now_s
        handler.target_selector.on_event(now_s)

    def _silence_timeout_ms(self) -> float:
        """Return the time after which a response that has paused, or not begun, needs a backup."""
        route = self.handler.route
        if self.first_token:
            pause_ms = max(MIN_STALL_TIMEOUT_MS, STALL_TIMEOUT_FACTOR * route.gap_objective_ms)
            patience_ms = self.handler.target_selector.patience_s * 1000
            return min(pause_ms, MAX_STALL_PATIENCE_SHARE * patience_ms)
        if route.kind is not RouteKind.STREAM:
            return route.objective_ms
        wait_ms = max(MIN_SILENCE_TIMEOUT_MS, self.predicted_ms * SILENCE_TIMEOUT_FACTOR)
        return wait_ms + route.objective_ms
