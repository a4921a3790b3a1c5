"""Forward the stream of events with which a target answers a request."""

import asyncio

from mimosaspur_coordination.requestoutcome import RunEnd
from mimosaspur_daemon.direct.attempt import Attempt
from mimosaspur_daemon.direct.attemptlog import log_pausing_engine
from mimosaspur_daemon.direct.attemptresult import AttemptResult
from mimosaspur_daemon.direct.entrystate import LATE_RANK
from mimosaspur_daemon.direct.responseheads import is_authentic
from mimosaspur_daemon.direct.silencecheck import SilenceCheck
from mimosaspur_protocol.completeness import Completeness
from mimosaspur_protocol.completeness import stream_completeness
from mimosaspur_protocol.eventbuffer import EventMissing
from mimosaspur_protocol.eventbuffer import EventTooLong
from mimosaspur_transport.dialect import end_to_end_headers
from mimosaspur_transport.httpchannel import ChannelBroken
from mimosaspur_transport.httpchannel import EndlessResponse
from mimosaspur_transport.httpchannel import ResponseHead

EVENT_END = b"\n\n"
# A caller that takes this long to accept an event delays the reading of the next one.
SLOW_SEND_S = 0.005


class StreamForwarding:
    """Forward a target's stream to the caller, and measure it."""

    __slots__ = ("attempt", "handler", "silence", "view")

    def __init__(self, attempt: Attempt, silence: SilenceCheck) -> None:
        self.attempt = attempt
        self.handler = attempt.handler
        self.view = attempt.view
        self.silence = silence

    async def run(self, head: ResponseHead) -> AttemptResult:
        """Pass the events on until the stream ends."""
        handler = self.handler
        if not is_authentic(head, handler.state.dependencies.dialect):
            raise ChannelBroken("response is encoded or lacks the target's proof header")
        try:
            while (chunk := await self.silence.read_chunk()) is not None:
                events = self.attempt.events.feed(chunk)
                if not events:
                    # A target that writes, but no event, is as late as one that writes nothing.
                    self.silence.check_again()
                else:
                    handler.runs.claim(self.attempt)
                    self._record_first_token()
                    self.view.on_heard()
                    self._record_event(events)
                    await self._start_response(head)
                    handler.continuation.on_event(self.attempt.version)
                    await self._send(events)
        except EventMissing as error:
            raise ChannelBroken(str(error)) from error
        except EventTooLong as error:
            raise EndlessResponse("event", str(error)) from error
        if await self.attempt.was_moved():
            # A response without a length ends with its connection, even if its run was stopped.
            self.attempt.record_end(RunEnd.MOVED)
            self.attempt.channel.close()
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
            self.attempt.pauses.on_taken(asyncio.get_running_loop().time() * 1000)
            if asyncio.get_running_loop().time() - self.attempt.last_event_s > SLOW_SEND_S:
                # The next event may have waited here.
                self.attempt.gaps.skip()

    async def _end_stream(self, head: ResponseHead) -> AttemptResult:
        """End the caller's response if the target's is known, or may be taken, to be complete."""
        handler, attempt = self.handler, self.attempt
        completeness = await self._completeness()
        if completeness is Completeness.BROKEN:
            raise ChannelBroken("the target broke off its stream")
        # An earlier target's framing requires a mark, which only a complete stream may get.
        needs_mark = handler.started and not handler.caller.ends_with_connection
        if completeness is Completeness.UNKNOWN and needs_mark:
            attempt.offer.cause = "nothing proves that the stream is complete"
            return AttemptResult.BROKEN
        attempt.record_end(RunEnd.ANSWERED)
        handler.runs.claim(attempt)
        await self._start_response(head)
        if held := attempt.events.held():
            await handler.caller.send_chunk(held)
        await handler.caller.end_response()
        self.view.health.record_success()
        # A stream may be complete without an event.
        handler.target_selector.share.on_served()
        lasted_ms = (asyncio.get_running_loop().time() - attempt.first_token_s) * 1000
        if attempt.first_token:
            self.view.record_stream(lasted_ms)
            self.view.record_gaps(attempt.gaps)
        handler.record_duration(attempt.first_token_s or attempt.sent_s)
        return AttemptResult.DONE

    async def _completeness(self) -> Completeness:
        """Judge the stream that has ended without an error."""
        handler, attempt = self.handler, self.attempt
        last_id = attempt.events.last_id
        resumes = last_id is not None and not attempt.first_token
        # Two targets that have nothing after the same event prove that it was the last one.
        agreed = resumes and handler.started and handler.unconfirmed_end == last_id
        completeness = stream_completeness(
            marked=attempt.channel.marks_end() or agreed,
            inside_event=attempt.events.ends_inside_event(),
            has_events=attempt.first_token,
            may_be_empty=resumes and not handler.started,
        )
        if completeness is not Completeness.UNKNOWN:
            return completeness
        if attempt.may_be_stopped:
            return Completeness.BROKEN
        handler.unconfirmed_end = last_id
        detector = handler.state.quarantine.detector
        detector.on_unmarked_end(self.view, handler.traits, served=attempt.was_served)
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
                mark_end=self.attempt.channel.marks_end(),
            )

    def _record_first_token(self) -> None:
        attempt = self.attempt
        if attempt.first_token:
            return
        attempt.first_token = attempt.was_served = True
        self.view.awaited_streams += 1
        now_s = attempt.first_token_s = asyncio.get_running_loop().time()
        self.handler.first_ms = round((now_s - self.handler.request.arrived_s) * 1000)
        took_ms = (now_s - attempt.sent_s) * 1000
        self.view.on_prefill_end(unread=attempt.unread, rank=attempt.rank)
        handler = self.handler
        handler.target_selector.share.on_served()
        if attempt.rank != LATE_RANK:
            # The wait of a late request depends on requests that arrive after it.
            self.view.on_first_token(
                handler.prompt,
                unread=attempt.unread,
                predicted_ms=attempt.predicted_ms,
                took_ms=took_ms,
            )

    def _record_event(self, events: bytes) -> None:
        """Record that events were received, and the pause before them as the caller sees it."""
        now_s = self.attempt.last_event_s = asyncio.get_running_loop().time()
        count = events.count(EVENT_END)
        self.attempt.gaps.on_events(
            count, now_ms=now_s * 1000, is_reading=self.view.reads_prompts()
        )
        handler = self.handler
        if self.attempt.pauses.on_event(now_s * 1000):
            log_pausing_engine(self.attempt)
        if handler.last_event_s:
            paused_ms = round((now_s - handler.last_event_s) * 1000)
            handler.longest_pause_ms = max(handler.longest_pause_ms, paused_ms)
        handler.last_event_s = now_s
        handler.target_selector.on_event(now_s)
