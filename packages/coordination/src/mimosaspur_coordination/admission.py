"""Queue requests at a target by priority and deadline, rejecting those that cannot be served."""

import heapq
import itertools
import threading
from dataclasses import dataclass
from dataclasses import field

from mimosaspur_state.clock import Clock
from mimosaspur_state.clock import Deadline
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import MimosaspurError

SMOOTHING_FACTOR = 0.2
MIN_RETRY_AFTER_MS = 200


@dataclass(slots=True, order=True)
class Ticket:
    """Represent a request in the queue; the lowest ticket is granted a slot first."""

    priority: int
    deadline_at_ms: int
    sequence: int
    cancelled: threading.Event = field(compare=False)
    granted: bool = field(default=False, compare=False)


class AdmissionQueue:
    """Limit the running and the queued requests of one target.

    A request is rejected when the queue is full, or as soon as its predicted completion time
    exceeds its deadline. The prediction uses the queue position and a moving average of the
    service time.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        slots: int,
        max_waiting: int,
        service_time_ms: int,
        naive: bool = False,
    ) -> None:
        self.clock = clock
        self.slots = slots
        self.max_waiting = max_waiting
        self.naive = naive
        self.service_time_ms = float(service_time_ms)
        self.active = 0
        self.waiting: list[Ticket] = []
        self.sequence = itertools.count()
        self.closed = False
        self.changed = threading.Condition()

    def acquire(self, priority: int, deadline: Deadline, cancelled: threading.Event) -> Ticket:
        """Wait for a slot and occupy it; raise MimosaspurError (not run) when rejected."""
        with self.changed:
            ticket = Ticket(priority, deadline.expires_at_ms, next(self.sequence), cancelled)
            self._check_open()
            if self.active < self.slots and not self.waiting:
                self.active += 1
                ticket.granted = True
                return ticket
            self._check_capacity(ticket, deadline)
            heapq.heappush(self.waiting, ticket)
            self._await_grant(ticket, deadline)
            return ticket

    def release(self, ticket: Ticket, took_ms: int | None) -> None:
        """Release the slot; took_ms is the service time of a request that succeeded."""
        with self.changed:
            if not ticket.granted:
                return
            ticket.granted = False
            self.active -= 1
            if took_ms is not None:
                self.service_time_ms += SMOOTHING_FACTOR * (took_ms - self.service_time_ms)
            self._grant()
            self.changed.notify_all()

    def recheck_waiting(self) -> None:
        """Wake queued requests so that they check for cancellation."""
        with self.changed:
            self.changed.notify_all()

    def close(self) -> None:
        """Reject new requests; queued ones still run."""
        with self.changed:
            self.closed = True

    def open(self) -> None:
        """Accept new requests again."""
        with self.changed:
            self.closed = False

    def idle(self) -> bool:
        """Return whether no request is running or queued."""
        with self.changed:
            return self.active == 0 and not self.waiting

    def predicted_wait_ms(self, priority: int) -> int:
        """Predict the queueing time of a new request of this priority."""
        with self.changed:
            return self._predict_wait_ms(
                sum(1 for other in self.waiting if other.priority <= priority)
            )

    def _check_open(self) -> None:
        if self.closed:
            raise MimosaspurError(ResultCode.DRAINING, retry_after_ms=MIN_RETRY_AFTER_MS)

    def _check_capacity(self, ticket: Ticket, deadline: Deadline) -> None:
        if len(self.waiting) >= self.max_waiting:
            wait_ms = self._predict_wait_ms(len(self.waiting))
            raise MimosaspurError(
                ResultCode.QUEUE_FULL, retry_after_ms=self._retry_after_ms(wait_ms)
            )
        if not self.naive:
            self._check_deadline(ticket, deadline)

    def _check_deadline(self, ticket: Ticket, deadline: Deadline) -> None:
        ahead = sum(1 for other in self.waiting if other < ticket)
        needed_ms = self._predict_wait_ms(ahead) + self.service_time_ms
        short_ms = int(needed_ms - deadline.remaining_ms())
        if short_ms > 0:
            raise MimosaspurError(
                ResultCode.DEADLINE_UNREACHABLE,
                f"The request needs {int(needed_ms)} ms but {deadline.remaining_ms()} ms are left.",
                retry_after_ms=self._retry_after_ms(short_ms),
            )

    def _await_grant(self, ticket: Ticket, deadline: Deadline) -> None:
        while not ticket.granted:
            try:
                self._check_still_admissible(ticket, deadline)
            except MimosaspurError:
                self.waiting.remove(ticket)
                heapq.heapify(self.waiting)
                raise
            self.changed.wait(deadline.remaining_s())

    def _check_still_admissible(self, ticket: Ticket, deadline: Deadline) -> None:
        if ticket.cancelled.is_set():
            raise MimosaspurError(ResultCode.CANCELLED)
        if deadline.has_passed():
            raise MimosaspurError(
                ResultCode.DEADLINE_UNREACHABLE, retry_after_ms=MIN_RETRY_AFTER_MS
            )
        if not self.naive:
            self._check_deadline(ticket, deadline)

    def _grant(self) -> None:
        while self.waiting and self.active < self.slots:
            ticket = heapq.heappop(self.waiting)
            ticket.granted = True
            self.active += 1

    def _predict_wait_ms(self, ahead: int) -> int:
        if self.active < self.slots:
            return 0
        return int((ahead + 1) * self.service_time_ms / max(1, self.slots))

    def _retry_after_ms(self, wait_ms: int) -> int:
        return max(MIN_RETRY_AFTER_MS, wait_ms)
