"""Track the run of a request at one target, and move it to another."""

import asyncio
from typing import TYPE_CHECKING

from mimosaspur_coordination.enginespeed.decodepace import StreamGaps
from mimosaspur_coordination.fleetports import StopUnconfirmed
from mimosaspur_coordination.fleetview import TargetView
from mimosaspur_coordination.requestoutcome import RunEnd
from mimosaspur_coordination.requestoutcome import SentRun
from mimosaspur_coordination.streampauses import StreamPauses
from mimosaspur_daemon.direct.evacuation import MovedRun
from mimosaspur_protocol.eventbuffer import EventBuffer
from mimosaspur_transport.dialect import header
from mimosaspur_transport.httpchannel import HttpChannel

if TYPE_CHECKING:
    from mimosaspur_daemon.direct.offer import Offer

# A moved run is sent to its new target, and back to its source if that refuses it.
MOVE_RETRY_COUNT = 2


class Attempt:
    """Track one run of a request at one target."""

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
        "move_ended",
        "moved",
        "offer",
        "pauses",
        "predicted_ms",
        "rank",
        "says",
        "sent",
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
        # Set when a move that has begun ends; None while none has.
        self.move_ended: asyncio.Event | None = None
        # Where the run goes on once it is known to be stopped.
        self.moved: MovedRun | None = None
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
        # What is known of this run; None until the request is sent.
        self.sent: SentRun | None = None
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
        # Whether the target began to write an answer, and not only an error.
        self.was_served = False

    def record_sent(self) -> None:
        """Record that the request is about to be sent here."""
        self.sent = self.handler.outcome.on_sent(
            self.view.record.identity,
            connection=self.channel.local_port(),
            continues=self.offer.continued is not None,
        )

    def record_end(self, end: RunEnd) -> None:
        """Record what tells how the run has ended."""
        if self.sent:
            self.sent.end = end

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
        # The run may end meanwhile, and what waits for the move with it.
        self.move_ended = asyncio.Event()
        engines = handler.state.engines
        try:
            stopped = await engines.stop_and_copy(self.view.record, request, to.record)
        except StopUnconfirmed:
            self.may_be_stopped = True
        else:
            if stopped:
                view = to if stopped.copied else self.view
                self.moved = MovedRun(view, self.view, stopped.handle)
                handler.keep_copy(self.moved)
        finally:
            self.move_ended.set()
        return self.moved is not None

    def is_moving(self) -> bool:
        """Return whether the run is being stopped, or was stopped, to go on elsewhere."""
        ended = self.move_ended
        return ended is not None and (not ended.is_set() or self.moved is not None)

    async def was_moved(self) -> bool:
        """Return whether the stream ended because the run was moved."""
        if self.move_ended is None:
            return False
        await self.move_ended.wait()
        self.handler.moved = self.moved
        return self.moved is not None
