"""Select the target for a request, and wait for one while it can still be in time."""

import contextlib
from collections.abc import Iterator

from mimosaspur_coordination.fleetview import TargetView
from mimosaspur_coordination.scheduling.loadoutlook import MAX_HOLD_SHARE
from mimosaspur_coordination.scheduling.scheduler import HELD_RECHECK_S
from mimosaspur_daemon.direct.refusal import RequestFailed
from mimosaspur_daemon.direct.targetchooser import RECHECK_INTERVAL_S
from mimosaspur_daemon.direct.targetchooser import TargetChooser
from mimosaspur_daemon.direct.targetchooser import Wait
from mimosaspur_daemon.direct.targetchooser import now_s
from mimosaspur_state.policy import Mechanism

# Delay before a target that refused or failed a request is tried again.
NOT_RUN_COOLDOWN_S = 0.1
FAILED_COOLDOWN_S = 0.1
# A longer wait for a permit counts as a wait for the model, which another engine could load.
MAX_PERMIT_WAIT_S = 0.3


class TargetSelector(TargetChooser):
    """Select the targets for one request, one after another."""

    __slots__ = ()

    has_effects = True

    async def next_target(self, *, resumed: bool = False) -> TargetView:
        """Return the next target; raise RequestFailed if none will be available in time."""
        self.resumed = resumed
        self.check_version()
        if self.state.notices.any_held():
            self.permits.record_chance(self.holders() if self.prompt.model else self.available())
        if not self.needs_engine():
            view = await self._next_plain()
            self.share.on_sent()
            return view
        view = await self._next_engine()
        if self.queued.reason:
            view = await self._in_turn()
        self.share.on_sent()
        self.state.scheduler.on_sent(self.queued)
        return view

    def backup_target(self, silent: TargetView) -> TargetView | None:
        """Choose a target beside a silent one that is expected to answer in time, None without.

        As with each choice, the request's rank at the target is kept for the attempt.
        """
        self.silent = silent
        self.retried = True
        try:
            view = self.target_now(resumed=self.has_events)
        except RequestFailed:
            return None
        finally:
            self.silent = None
        return view if view and not view.health.is_cooling_down() and not view.is_silent() else None

    def on_event(self, now_s: float) -> None:
        """Count the time for which the caller waits for an event from the one it got now."""
        self.has_events = True
        self.event_deadline_s = min(self.deadline_s, now_s + self.patience_s)

    async def _next_engine(self) -> TargetView:
        view = self._choose()
        if view is not None:
            return view
        state = self.state
        self.waiting_since_s = now_s()
        with self._waiting():
            while True:
                wait = self.engine_wait()
                if wait.is_in_vain:
                    raise self._refuse_in_vain(wait)
                self.permits.ask(wait.held)
                await self.state.changes.wait(
                    min(wait.left_s, self._recheck_delay_s()),
                    order=state.scheduler.order(self.queued),
                )
                view = self._choose()
                if view is not None:
                    return view

    async def _in_turn(self) -> TargetView:
        """Return the request's engine once it delays no more urgent ones, or is due itself."""
        scheduler, queued, since_s = self.state.scheduler, self.queued, now_s()
        reason = queued.reason
        with scheduler.holding(queued):
            while queued.reason:
                await self.state.changes.wait(HELD_RECHECK_S, order=scheduler.order(queued))
                view = await self._next_engine()
        scheduler.on_released(view)
        held_ms = round((now_s() - since_s) * 1000)
        request = self.permits.request
        self.state.log.write("deferred", request=request, reason=reason, held_ms=held_ms)
        self.state.log.counters.count("requests_deferred")
        return view

    async def _next_plain(self) -> TargetView:
        view = self._choose_plain()
        if view is not None and not self.leaves_room(view):
            return view
        with self.permits.waiting():
            while view is None or self.leaves_room(view):
                left_s = self.arrived_s + self.longest_hold_s() - now_s()
                delay_s = max(0.001, min(HELD_RECHECK_S, left_s))
                if view is None:
                    wait = self.plain_wait()
                    if wait.held:
                        if wait.is_in_vain:
                            raise self._refuse_in_vain(wait)
                        self.permits.ask(wait.held)
                    delay_s = self._recheck_delay_s()
                await self.state.changes.wait(delay_s)
                view = self._choose_plain()
        return view

    def _refuse_in_vain(self, wait: Wait) -> RequestFailed:
        """Count and log a request that is refused, and return its refusal."""
        failure = self.refusal_in_vain(wait)
        if wait.held:
            self.permits.log_rejection(wait.held, wait.expected_s)
        elif wait.left_s > 0 and self.state.uses(Mechanism.DEFERRAL):
            self.state.refused.add(self.digest, left_s=self.remaining_s())
            model = self.prompt.model
            self.state.count_refused(
                model,
                self.prompt.adapter,
                self.state.unmet_request(self.route, self.workspace, self.service, model),
                returns_s=failure.retry_after_s or 0.0,
            )
            self.state.log.counters.count("requests_rejected_early")
        return failure

    @contextlib.contextmanager
    def _waiting(self) -> Iterator[None]:
        """Count the request as waiting for its model, and for a permit, within the context."""
        held = self.permits.held(self.holders())
        with contextlib.ExitStack() as stack:
            if not held or self.permits.expected_wait_s(held) > MAX_PERMIT_WAIT_S:
                model, adapter = self.prompt.model, self.prompt.adapter
                request = self.state.unmet_request(self.route, self.workspace, self.service, model)
                stack.enter_context(self.state.waiting_for(model, adapter, request))
            stack.enter_context(self.permits.waiting())
            yield

    def _recheck_delay_s(self) -> float:
        at_s = now_s()
        ends_s = [at_s + RECHECK_INTERVAL_S, *self.cooldowns.ends_s.values()]
        ends_s.append(self.arrived_s + MAX_HOLD_SHARE * self.route.objective_ms / 1000)
        return max(0.01, min(end_s - at_s for end_s in ends_s if end_s > at_s))
