"""Offer one request to one target: permit, connection, attempt."""

from typing import TYPE_CHECKING

from mimosaspur_coordination.fleetview import TargetView
from mimosaspur_daemon.direct.attempt import Attempt
from mimosaspur_daemon.direct.attemptlog import log_endless
from mimosaspur_daemon.direct.attemptresult import AttemptResult
from mimosaspur_daemon.direct.attemptrun import AttemptRun
from mimosaspur_daemon.direct.evacuation import MovedRun
from mimosaspur_state.domaintraffic import TrafficPurpose
from mimosaspur_transport.channelpool import NON_REPEATABLE_MAX_IDLE_MS
from mimosaspur_transport.httpchannel import ChannelBroken
from mimosaspur_transport.httpchannel import ConnectionEnd
from mimosaspur_transport.httpchannel import Framing
from mimosaspur_transport.httpchannel import HttpChannel

if TYPE_CHECKING:
    from mimosaspur_daemon.direct.requesthandler import RequestHandler

# Why a request wasn't sent to a target that names a request limit.
NO_PERMIT = "the target's limit permits no request now"
# Why a request wasn't sent once there was a connection.
SUSPECTED = "it has become suspected of crashing targets meanwhile"
# Why a request wasn't sent to a target of another version than the one before.
VERSION_ANNOUNCED = "another entry may know an earlier version of the stream"


class Offer:
    """Run a request at one target, unless the target doesn't take it."""

    __slots__ = (
        "attempt",
        "cause",
        "channel",
        "continued",
        "handler",
        "in_flight",
        "is_backup",
        "number",
        "pool",
        "view",
    )

    def __init__(
        self,
        handler: "RequestHandler",
        view: TargetView,
        *,
        number: int,
        continued: MovedRun | None = None,
        is_backup: bool = False,
    ) -> None:
        self.handler = handler
        self.view = view
        # Among the offers of its request, from 0.
        self.number = number
        # The stopped run that continues here.
        self.continued = continued
        # Whether it runs beside another run whose target is silent.
        self.is_backup = is_backup
        # None until the request is sent.
        self.attempt: Attempt | None = None
        self.channel: HttpChannel | None = None
        # The registration, and with it the pool, may go while the request runs.
        self.pool = handler.state.pool(view.record)
        # Whether the request is at the target now.
        self.in_flight = False
        # Why the request wasn't sent, or failed.
        self.cause = ""

    @property
    def framing(self) -> Framing | None:
        """Return how the response was framed, None if there was none."""
        return self.channel.framing if self.channel else None

    @property
    def connection_end(self) -> ConnectionEnd:
        """Return how the target ended its connection."""
        return self.channel.connection_end if self.channel else ConnectionEnd.NONE

    async def run(self) -> AttemptResult:
        """Send the request, if the target takes it, and forward the response."""
        handler, view, state = self.handler, self.view, self.handler.state
        channel = await self._open_channel()
        if channel is None:
            return AttemptResult.NOT_RUN
        self.channel = channel
        handler.retries.attempts += 1
        attempt = self.attempt = Attempt(self, channel)
        finished = False
        try:
            with state.quarantine.at_target(handler.traits):
                self.in_flight = True
                result = await AttemptRun(attempt).run()
                if result is AttemptResult.BROKEN:
                    # The report that tells of its end is to bear the crash as well.
                    await state.quarantine.detector.wait_for_first_probe(view)
            finished = True
            self.in_flight = False
        finally:
            attempt.end()
            sent, received = channel.take_byte_counts()
            domain = self.view.record.failure_domain
            state.traffic.add_sent(TrafficPurpose.REQUESTS, domain, sent)
            state.traffic.add_received(TrafficPurpose.ANSWERS, domain, received)
            # A connection with an unread response must not be reused, and closing it makes the
            # target stop the run.
            pool = self.pool
            if finished and result is AttemptResult.DONE and channel.has_unexpected_bytes():
                view.health.record_failure()
                log_endless(attempt, part="trailing", cause="bytes follow a complete response")
            if finished and channel.is_fully_sent():
                pool.release(channel)
            else:
                pool.discard(channel)
        return result

    async def _open_channel(self) -> HttpChannel | None:
        """Return a connection on which the request may be sent at once, None if it may not."""
        handler, view = self.handler, self.view
        if not await handler.continuation.before_send(view.record.version):
            self.cause = VERSION_ANNOUNCED
            return None
        notices = handler.state.notices
        continued = self.continued
        returns = continued is not None and continued.view is continued.source
        permit = notices.take(view.record, returns=returns)
        if permit is None:
            # A moved run goes to its target without a choice.
            self.cause = NO_PERMIT
            return None
        pool = self.pool
        max_idle_ms = None if handler.route.repeatable else NON_REPEATABLE_MAX_IDLE_MS
        used = False
        try:
            request = handler.request_id().encode("latin-1") or None
            channel, _ = await pool.acquire(max_idle_ms=max_idle_ms, request=request)
            if continued is None and not handler.state.quarantine.may_send(handler):
                self.cause = SUSPECTED
            elif notices.begin_send(permit):
                used = True
                return channel
            else:
                used = True
                self.cause = NO_PERMIT
            pool.release(channel)
        except ChannelBroken as error:
            self.cause = str(error)
            view.health.record_unreachable()
            handler.state.unreachable.add(view.record.identity)
            handler.state.report_requested.set()
        finally:
            if not used:
                notices.put_back(permit)
        return None
