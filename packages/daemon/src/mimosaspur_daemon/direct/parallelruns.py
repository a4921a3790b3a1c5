"""Run a request at a second target while the first one is silent, and keep what answers first."""

import asyncio
from typing import TYPE_CHECKING

from mimosaspur_daemon.direct.attemptlog import log_attempt
from mimosaspur_daemon.direct.attemptlog import log_silence
from mimosaspur_daemon.direct.attemptresult import AttemptResult
from mimosaspur_daemon.direct.offer import Offer

if TYPE_CHECKING:
    from mimosaspur_daemon.direct.attempt import Attempt
    from mimosaspur_daemon.direct.requesthandler import RequestHandler

# Limit on the backups of one request.
MAX_BACKUPS = 2
# Time until a backup is sought again after none could be begun.
RETRY_S = 0.25
# Why the run at a target was ended.
ANSWERED_ELSEWHERE = "another run of the request answered first"


class ParallelRuns:
    """Hold the runs of one request that are under way.

    There is one, and a backup beside it while its target is silent. The first of them to go on with
    the response ends the other one, so that a run is never given up before another one has
    taken its place.
    """

    __slots__ = ("active", "backups", "dropped", "ended", "handler", "logged", "next_try_s")

    def __init__(self, handler: "RequestHandler") -> None:
        self.handler = handler
        # The oldest first.
        self.active: dict[asyncio.Task[AttemptResult], Offer] = {}
        # Tasks that have been cancelled but may not have ended.
        self.dropped: set[asyncio.Task[AttemptResult]] = set()
        # Tasks that have ended by themselves.
        self.ended: asyncio.Queue[asyncio.Task[AttemptResult]] = asyncio.Queue()
        # Number of backups so far.
        self.backups = 0
        # The attempt whose silence was logged last.
        self.logged: Attempt | None = None
        # When a backup is sought again, on the event loop's clock.
        self.next_try_s = 0.0

    @property
    def leading(self) -> "Attempt | None":
        """Return the oldest attempt, None while nothing has been sent."""
        return next((offer.attempt for offer in self.active.values() if offer.attempt), None)

    def start(self, offer: Offer) -> None:
        """Start a run."""
        task = asyncio.get_running_loop().create_task(offer.run())
        self.active[task] = offer
        task.add_done_callback(self._on_done)

    async def next_ended(self) -> tuple[Offer, AttemptResult]:
        """Wait until a run has ended by itself; raise what it raised."""
        while True:
            task = await self.ended.get()
            if task not in self.active:
                continue
            if len(self.active) > 1 and (error := task.exception()):
                # The other run may still answer the request.
                offer = self.active.pop(task)
                offer.cause = repr(error)
                return offer, AttemptResult.BROKEN
            offer = self.active.pop(task)
            try:
                return offer, task.result()
            finally:
                # An error's traceback would hold the task, and the task the error: what the frames
                # hold, bodies among it, would stay until the garbage collector finds the cycle.
                del task

    def claim(self, attempt: "Attempt") -> None:
        """Let one run go on with the response, and end the others."""
        if len(self.active) > 1:
            for task, offer in list(self.active.items()):
                if offer.attempt is not attempt and not task.done():
                    self._drop(task, offer)
        self.handler.cutter = attempt.events

    def on_silence(self, attempt: "Attempt") -> None:
        """Start a backup of a run whose target is silent, if it may have one."""
        now_s = asyncio.get_running_loop().time()
        if len(self.active) > 1 or now_s < self.next_try_s:
            return
        self.next_try_s = now_s + RETRY_S
        reason = self._backup_obstacle(attempt)
        view = None if reason else self.handler.target_selector.backup_target(attempt.view)
        if view and not self._may_back_up_at(view.record.version, attempt):
            view = None
        if view is None:
            reason = reason or "no target"
        elif not self.handler.retries.spend(1, what="backup"):
            view, reason = None, "retry budget"
        if view or self.logged is not attempt:
            log_silence(attempt, backup=view, reason=reason)
        self.logged = attempt
        if view:
            self.backups += 1
            self.start(Offer(self.handler, view, number=self.handler.next_offer(), is_backup=True))

    async def close(self) -> None:
        """End all runs."""
        for task in self.active:
            task.cancel()
        await asyncio.gather(*self.active, *self.dropped, return_exceptions=True)
        self.active.clear()

    def _backup_obstacle(self, attempt: "Attempt") -> str:
        """Return why a run can't have a backup, empty if it can."""
        handler = self.handler
        if not handler.route.repeatable or not handler.cutter.can_resume:
            return "runs once"
        if handler.outcome.run_count() >= handler.route.max_attempts:
            return "route's attempts"
        if self.backups >= MAX_BACKUPS:
            return "backups"
        if attempt.is_moving():
            return "moved"
        # A request that crashes targets would crash two.
        return "suspected" if handler.state.quarantine.is_suspected(handler.traits) else ""

    def _may_back_up_at(self, version: str, attempt: "Attempt") -> bool:
        """Return whether other entries may hear of a version before the stream has begun."""
        return version == attempt.version or not self.handler.continuation.resumable

    def _drop(self, task: "asyncio.Task[AttemptResult]", offer: Offer) -> None:
        was_first = offer is next(iter(self.active.values()))
        del self.active[task]
        sent = offer.in_flight
        offer.cause = ANSWERED_ELSEWHERE
        log_attempt(offer, AttemptResult.LEFT)
        if was_first:
            offer.view.health.record_failure()
        self.dropped.add(task)
        task.cancel()
        if sent:
            self.handler.on_left(offer)

    def _on_done(self, task: "asyncio.Task[AttemptResult]") -> None:
        self.dropped.discard(task)
        if task in self.active:
            self.ended.put_nowait(task)
        elif not task.cancelled():
            # The response that is kept decides; what ended the other run is no error.
            task.exception()
