"""Narrow a request's choice to the targets that take it now, and wait for the others."""

import contextlib
import math
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence

from mimosaspur_coordination.fleetview import TargetView
from mimosaspur_coordination.limits.permitholder import PermitWaiter
from mimosaspur_daemon.direct.targetnotices import TargetNotices


class PermitChoice:
    """Apply the limits and rests of targets to the choice for one request."""

    __slots__ = ("notices", "rank", "request", "waiter")

    def __init__(self, notices: TargetNotices, *, request: str, rank: Callable[[], int]) -> None:
        self.notices = notices
        # The request's ID, for the log.
        self.request = request
        # Returns the request's rank among those that wait for permits.
        self.rank = rank
        # The request's place among them, while it waits.
        self.waiter: PermitWaiter | None = None

    def held(self, views: Sequence[TargetView]) -> list[TargetView]:
        """Return the targets that name a limit or rest."""
        if not self.notices.any_held():
            return []
        return [view for view in views if self.notices.is_held(view.record)]

    def sendable(self, views: Sequence[TargetView]) -> list[TargetView]:
        """Return the targets that the request may be sent to now."""
        if not self.notices.any_held():
            return list(views)
        rank = self.rank()
        return [
            view
            for view in views
            if self.notices.may_send(view.record, rank=rank, waiter=self.waiter)
        ]

    def preferred(self, views: Sequence[TargetView]) -> list[TargetView]:
        """Return the sendable targets that name a limit, unless another one has less work.

        An unused permit is lost, and only a response tells that the limit has ended.
        """
        held = self.held(views)
        if not held:
            return []
        least = min((view.request_count() for view in views if view not in held), default=0)
        return [view for view in held if view.request_count() <= least]

    def record_chance(self, views: Sequence[TargetView]) -> None:
        """Count the request at the held targets among those that could run it."""
        held = self.held(views)
        if not held:
            return
        for view in held:
            self.notices.record_chance(view.record)
        sendable = self.sendable(views)
        passed_over = [view for view in held if view not in sendable]
        if sendable and passed_over:
            self._log("elsewhere", passed_over)

    def log_rejection(self, held: Sequence[TargetView], expected_s: float) -> None:
        """Log that no target could take the request in time."""
        expected_ms = round(expected_s * 1000) if math.isfinite(expected_s) else None
        self._log("rejected", held, expected_ms=expected_ms, rank=self.rank())

    def expected_wait_s(self, held: Sequence[TargetView]) -> float:
        """Return the shortest expected wait until one of these targets takes the request."""
        rank = self.rank()
        waits_ms = [
            self.notices.expected_wait_ms(view.record, rank=rank, waiter=self.waiter)
            for view in held
        ]
        return min(waits_ms) / 1000

    @contextlib.contextmanager
    def waiting(self) -> Iterator[None]:
        """Let the request wait for permits within the context."""
        with self.notices.waiting(self.rank()) as self.waiter:
            try:
                yield
            finally:
                self.waiter = None

    def ask(self, held: Sequence[TargetView]) -> None:
        """Ask for a permit of any of these targets."""
        assert self.waiter
        self.notices.set_targets(self.waiter, [view.record for view in held])

    def _log(self, outcome: str, views: Sequence[TargetView], **fields: object) -> None:
        targets = [view.record.incarnation for view in views]
        self.notices.log.write(
            "limited", request=self.request, outcome=outcome, targets=targets, **fields
        )
