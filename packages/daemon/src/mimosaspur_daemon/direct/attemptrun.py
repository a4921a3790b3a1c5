"""Send a request to one target and forward the response."""

import asyncio

from mimosaspur_coordination.quarantine.crashledger import Stage
from mimosaspur_coordination.requestoutcome import RunEnd
from mimosaspur_daemon.direct.attempt import Attempt
from mimosaspur_daemon.direct.attemptlog import log_endless
from mimosaspur_daemon.direct.attemptresult import AttemptResult
from mimosaspur_daemon.direct.attemptresult import TargetResponse
from mimosaspur_daemon.direct.responseheads import is_authentic
from mimosaspur_daemon.direct.responseheads import is_event_stream
from mimosaspur_daemon.direct.responseheads import is_not_run
from mimosaspur_daemon.direct.responseheads import target_notices
from mimosaspur_daemon.direct.silencecheck import SilenceCheck
from mimosaspur_daemon.direct.streamforwarding import StreamForwarding
from mimosaspur_daemon.direct.targetheaders import target_headers
from mimosaspur_protocol.numbers import parse_number
from mimosaspur_state.routes import RouteKind
from mimosaspur_transport.callerconnection import CallerDisconnected
from mimosaspur_transport.dialect import header
from mimosaspur_transport.httpchannel import ChannelBroken
from mimosaspur_transport.httpchannel import EndlessResponse
from mimosaspur_transport.httpchannel import ResponseHead

# Limit on the response of a plain service, which is buffered before it is forwarded.
MAX_RESPONSE_BYTES = 8_000_000
# Limit on the body of a rejection, and on the time for it. Its head says all that is needed.
MAX_REJECTION_BYTES = 65_536
REJECTION_BODY_S = 0.2
# Another target at the address answers so, which may not know the ID's header.
MISDIRECTED_STATUS = 421
# Limit on the responses to other requests that precede the response to this one.
MAX_FOREIGN_RESPONSES = 8
# A run that crashes its target ends as it begins to write; one that has written for so long counts
# as if it had not begun.
LONG_WRITTEN_MS = 500


class AttemptRun:
    """Run a request once at one target."""

    __slots__ = ("attempt", "handler", "silence", "view")

    def __init__(self, attempt: Attempt) -> None:
        self.attempt = attempt
        self.handler = attempt.handler
        self.view = attempt.view
        self.silence = SilenceCheck(attempt)

    async def run(self) -> AttemptResult:
        """Send the request and forward the response."""
        handler = self.handler
        request = handler.request
        self.attempt.record_sent()
        try:
            await self.attempt.channel.send(
                request.method, request.target, target_headers(self.attempt), request.body
            )
            head = await self.silence.read_first(self._read_own_head())
            self.view.on_heard()
            self.attempt.head_received = True
            self.attempt.status = head.status
            self.attempt.says = target_notices(head, handler.state.dependencies.dialect)
            if is_not_run(head, handler.state.dependencies.dialect):
                await self._discard_rejection()
                return AttemptResult.NOT_RUN
            if continued := self.attempt.offer.continued:
                handler.copies.pop(continued.handle, None)
            if handler.route.kind is RouteKind.STREAM and is_event_stream(head):
                return await StreamForwarding(self.attempt, self.silence).run(head)
            return await self._forward_whole(head)
        except asyncio.CancelledError:
            self.silence.on_deadline()
            raise
        except ChannelBroken as error:
            self.attempt.record_end(RunEnd.BROKEN)
            self.attempt.channel.close()
            if await self.attempt.was_moved():
                self.attempt.record_end(RunEnd.MOVED)
                return AttemptResult.MOVED
            self.attempt.offer.cause = str(error)
            self.view.health.record_failure()
            if isinstance(error, EndlessResponse):
                # The entry closed the connection, so its end is no evidence of a crash.
                log_endless(self.attempt, part=error.part, cause=str(error))
                return AttemptResult.BROKEN
            begins = self.attempt.head_received and self.attempt.written_ms() < LONG_WRITTEN_MS
            stage = Stage.RUNNING if begins else Stage.QUEUED
            quarantine = handler.state.quarantine
            quarantine.on_written(handler.traits, self.attempt.written_ms())
            quarantine.detector.on_connection_lost(self.view, handler.traits, stage)
            return AttemptResult.BROKEN

    async def _discard_rejection(self) -> None:
        """Read the body of a rejection; give its connection up if it has no end."""
        try:
            async with asyncio.timeout(REJECTION_BODY_S):
                await self.attempt.channel.read_body(MAX_REJECTION_BYTES)
        except (ChannelBroken, TimeoutError) as error:
            self.attempt.channel.close()
            if isinstance(error, ChannelBroken) and not isinstance(error, EndlessResponse):
                # The head alone tells that the request has not run.
                return
            self.attempt.offer.cause = "the body of the rejection doesn't end"
            if isinstance(error, EndlessResponse) or self.silence.is_sending():
                self.view.health.record_failure()
                log_endless(self.attempt, part="rejection", cause=self.attempt.offer.cause)

    async def _read_own_head(self) -> ResponseHead:
        """Return the head of this request's response; skip responses to other requests.

        Targets echo the ID. One that doesn't can only be trusted on a connection that has carried
        no other request.
        """
        dialect = self.handler.state.dependencies.dialect
        name = dialect.request_id
        mine = header(self.handler.request.headers, name)
        for _ in range(MAX_FOREIGN_RESPONSES + 1):
            head = await self.attempt.channel.read_head()
            theirs = header(head.headers, name)
            not_run = is_not_run(head, dialect)
            own = theirs is None or mine is None or theirs == mine
            self._apply_notices(head, proves_end=own and not not_run)
            if theirs is None and mine is not None:
                # It may be a late one of an earlier request, so it proves nothing of this one.
                if self.attempt.channel.requests > 1:
                    raise ChannelBroken("a response without an ID on a connection used before")
                if not_run and head.status != MISDIRECTED_STATUS:
                    raise ChannelBroken("a rejection without the request's ID")
            if own:
                if not_run:
                    self.attempt.record_end(RunEnd.NOT_RUN)
                    self.attempt.channel.rejected.add(mine)
                return head
            await self.attempt.channel.skip_response()
        raise EndlessResponse("foreign", "responses to other requests don't end")

    def _apply_notices(self, head: ResponseHead, *, proves_end: bool) -> None:
        self.handler.state.notices.on_head(
            self.view.record,
            head.status,
            head.headers,
            sent_version=self.attempt.limit_version,
            proves_end=proves_end,
        )

    async def _forward_whole(self, head: ResponseHead) -> AttemptResult:
        handler = self.handler
        # Outside of the check for silence: a target isn't silent while its answer finds no memory.
        length = min(
            parse_number(header(head.headers, b"content-length") or b"") or 0, MAX_RESPONSE_BYTES
        )
        await handler.caller.hold_answer(length)
        body = await self.silence.read_first(
            self.attempt.channel.read_body(
                MAX_RESPONSE_BYTES, held_bytes=length, hold=handler.caller.hold_answer
            )
        )
        if head.status < 400 and not is_authentic(head, handler.state.dependencies.dialect):
            raise ChannelBroken("response is encoded or lacks the target's proof header")
        self.attempt.record_end(RunEnd.ANSWERED)
        # An error took room as well: otherwise callers' mistakes would look like a shortage.
        handler.target_selector.share.on_served()
        response = TargetResponse(head, body, marked=self.attempt.channel.marks_end())
        # A backup's error doesn't replace what the first run may still answer.
        is_spare = self.attempt.offer.is_backup and len(handler.runs.active) > 1
        if head.status >= 500 or (head.status >= 400 and is_spare):
            if head.status >= 500:
                self.view.health.record_failure()
            handler.failure = response
            return AttemptResult.FAILED
        self.view.health.record_success()
        self.attempt.was_served = head.status < 300
        if handler.started:
            raise ChannelBroken("target answered a resumed stream with a whole response")
        handler.runs.claim(self.attempt)
        try:
            await handler.forward_response(response)
        except (CallerDisconnected, asyncio.CancelledError) as error:
            # Tasks and errors hold each other, and tracebacks the frames: the body would stay until
            # the garbage collector finds it.
            del response, body
            raise error.with_traceback(None) from None
        handler.record_duration(self.attempt.sent_s)
        return AttemptResult.DONE
