"""Select the target for a request, and wait for one while it can still be in time."""

import asyncio
import contextlib
import math
from collections.abc import Iterator
from collections.abc import Sequence

from mimosaspur_coordination.evenload import spread_ms
from mimosaspur_coordination.fleetview import Prompt
from mimosaspur_coordination.fleetview import TargetView
from mimosaspur_coordination.fleetview import targets_holding
from mimosaspur_coordination.scheduling.callertimes import event_timeout_s
from mimosaspur_coordination.scheduling.callertimes import retry_after_s
from mimosaspur_coordination.scheduling.cooldowns import Cooldowns
from mimosaspur_coordination.scheduling.loadoutlook import LEAST_FORECAST_SHARE
from mimosaspur_coordination.scheduling.loadoutlook import MAX_HOLD_SHARE
from mimosaspur_coordination.scheduling.loadoutlook import shortest_load_ms
from mimosaspur_coordination.scheduling.scheduler import HELD_RECHECK_S
from mimosaspur_coordination.scheduling.scheduler import QueuedRequest
from mimosaspur_coordination.targetchoice import choose_emptiest
from mimosaspur_coordination.targetchoice import choose_engine
from mimosaspur_coordination.targetchoice import choose_plain_target
from mimosaspur_daemon.direct.entrystate import LATE_RANK
from mimosaspur_daemon.direct.entrystate import RESUMED_RANK
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.permitchoice import PermitChoice
from mimosaspur_daemon.direct.refusal import RequestFailed
from mimosaspur_daemon.direct.streamcontinuation import StreamContinuation
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.policy import Mechanism
from mimosaspur_state.routes import EngineSpec
from mimosaspur_state.routes import Route
from mimosaspur_state.routes import ServiceSpec
from mimosaspur_state.workspaces import Workspace

# Maximum interval between checks of a waiting request.
RECHECK_INTERVAL_S = 0.25
# Minimum time to the first token once a model is loaded.
MIN_FIRST_TOKEN_S = 0.1
# Delay before a target that refused or failed a request is tried again.
NOT_RUN_COOLDOWN_S = 0.1
FAILED_COOLDOWN_S = 0.1
DEFAULT_RETRY_S = 0.5
# A longer wait for a permit counts as a wait for the model, which another engine could load.
MAX_PERMIT_WAIT_S = 0.3


class TargetSelector:
    """Select the targets for one request, one after another."""

    __slots__ = (
        "arrived_s",
        "continuation",
        "cooldowns",
        "deadline_s",
        "digest",
        "event_deadline_s",
        "has_events",
        "isolated",
        "load_age_ms",
        "on_time_deadline_s",
        "patience_s",
        "permits",
        "prompt",
        "queued",
        "rank",
        "resumed",
        "retried",
        "route",
        "service",
        "silent",
        "spec",
        "state",
        "waiting_since_s",
        "workspace",
    )

    def __init__(
        self,
        state: EntryState,
        route: Route,
        service: str,
        spec: ServiceSpec | None,
        prompt: Prompt,
        *,
        continuation: StreamContinuation | None = None,
        request: str,
        digest: bytes = b"",
        workspace: Workspace | None,
        arrived_s: float,
        deadline_s: float,
    ) -> None:
        self.state = state
        self.workspace = workspace
        self.route = route
        self.service = service
        self.spec = spec
        self.prompt = prompt
        # Knows at which software versions the request's stream may run; None if at any.
        self.continuation = continuation
        self.digest = digest
        # Both on the event loop's clock.
        self.arrived_s = arrived_s
        self.deadline_s = deadline_s
        # For how long the caller waits for an event.
        self.patience_s = event_timeout_s(route)
        # Until when it waits for the next one.
        self.event_deadline_s = min(deadline_s, arrived_s + self.patience_s)
        # Since when it waits for its model, which the scheduler's own holds don't count towards.
        self.waiting_since_s = arrived_s
        # Whether it got an event of this response.
        self.has_events = False
        self.on_time_deadline_s = arrived_s + route.objective_ms / 1000
        # The request's rank in engine queues.
        self.rank = self._rank()
        # The request in the order of those that wait.
        self.queued = QueuedRequest(
            prompt,
            rank=self.rank,
            objective_ms=route.objective_ms,
            due_ms=state.clock.now_ms() + (self.on_time_deadline_s - _now_s()) * 1000,
            workspace=workspace.name if workspace else "",
        )
        self.resumed = False
        # Whether the request was sent to a target before.
        self.retried = False
        self.permits = PermitChoice(state.notices, request=request, rank=self._permit_rank)
        # The age of what was known of the other entries' work at the last choice.
        self.load_age_ms = 0
        # Whether the request may crash its target, so that it should run beside few others.
        self.isolated = False
        # A target that the request is at, which isn't chosen again.
        self.silent: TargetView | None = None
        # On the event loop's clock.
        self.cooldowns = Cooldowns()

    def cool_down(self, view: TargetView, seconds: float) -> None:
        """Exclude a target from selection for a while."""
        self.cooldowns.ends_s[view.record.identity] = _now_s() + seconds

    async def next_target(self, *, resumed: bool = False) -> TargetView:
        """Return the next target; raise RequestFailed if none will be available in time."""
        self.resumed = resumed
        self._check_version()
        if self.state.notices.any_held():
            self.permits.record_chance(self._holders() if self.prompt.model else self._available())
        if not self._needs_engine():
            return await self._next_plain()
        view = await self._next_engine()
        if self.queued.reason:
            view = await self._in_turn()
        self.state.scheduler.on_sent(self.queued)
        return view

    def target_now(self, *, resumed: bool = False) -> TargetView | None:
        """Return a target that takes the request now, if any; raise RequestFailed."""
        self.resumed = resumed
        self._check_version()
        return self._choose() if self._needs_engine() else self._choose_plain()

    def _needs_engine(self) -> bool:
        """Return whether the request is for a model."""
        return bool(self._engine() and self.prompt.model)

    def _engine(self) -> EngineSpec | None:
        return self.spec.engine if self.spec else None

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

    def predicted_first_event_ms(self) -> float:
        """Return the predicted time to the first event, 0 for a plain service."""
        if self.spec is None or self.spec.engine is None or not self.prompt.model:
            return 0.0
        holders = [view for view in self._available() if view.can_run(self.prompt)]
        predicted = [view.first_token_ms(self.prompt, rank=self.rank) for view in holders]
        return min(predicted, default=float("inf"))

    def remaining_s(self) -> float:
        """Return the seconds until the request's deadline."""
        return self.deadline_s - _now_s()

    def refusal(self, code: ResultCode, *, wanted_s: float = DEFAULT_RETRY_S) -> RequestFailed:
        """Return the refusal of a request that has not run."""
        spread, left_s = self.state.uses(Mechanism.DEFERRAL), self.remaining_s()
        return RequestFailed(
            code, retry_after_s=retry_after_s(wanted_s, left_s=left_s, spread=spread)
        )

    async def _next_engine(self) -> TargetView:
        view = self._choose()
        if view is not None:
            return view
        state = self.state
        self.waiting_since_s = _now_s()
        with self._waiting():
            while True:
                self._check_version()
                if state.fleet.only_leaving(self.service):
                    raise self.refusal(ResultCode.NO_READY_TARGET)
                wait_until_s = min(self.event_deadline_s, state.balancer_noticed_s)
                left_s = wait_until_s - MIN_FIRST_TOKEN_S - _now_s()
                held = self.permits.held(self._holders())
                expected_s = self._expected_wait_s(held)
                if left_s <= max(0.0, self._least_wait_s(expected_s, held)):
                    if held:
                        raise self._held_refusal(held, expected_s)
                    raise self._unloaded_refusal(expected_s, is_early=left_s > 0)
                self.permits.ask(held)
                await self.state.changes.wait(
                    min(left_s, self._recheck_delay_s()),
                    order=state.scheduler.order(self.queued),
                )
                view = self._choose()
                if view is not None:
                    return view

    async def _in_turn(self) -> TargetView:
        """Return the request's engine once it delays no more urgent ones, or is due itself."""
        scheduler, queued, since_s = self.state.scheduler, self.queued, _now_s()
        reason = queued.reason
        with scheduler.holding(queued):
            while queued.reason:
                await self.state.changes.wait(HELD_RECHECK_S, order=scheduler.order(queued))
                view = await self._next_engine()
        scheduler.on_released(view)
        held_ms = round((_now_s() - since_s) * 1000)
        request = self.permits.request
        self.state.log.write("deferred", request=request, reason=reason, held_ms=held_ms)
        self.state.log.counters.count("requests_deferred")
        return view

    async def _next_plain(self) -> TargetView:
        view = self._choose_plain()
        if view is not None:
            return view
        with self.permits.waiting():
            while view is None:
                held = self.permits.held(self._available())
                if held:
                    await self._wait_for_permit(held)
                else:
                    await self._wait_for_cooldown()
                view = self._choose_plain()
        return view

    async def _wait_for_permit(self, held: Sequence[TargetView]) -> None:
        expected_s = min(self.permits.expected_wait_s(held), self._cooldown_wait_s())
        if expected_s >= self.event_deadline_s - RECHECK_INTERVAL_S - _now_s():
            raise self._held_refusal(held, expected_s)
        self.permits.ask(held)
        await self.state.changes.wait(self._recheck_delay_s())

    def _held_refusal(self, held: Sequence[TargetView], expected_s: float) -> RequestFailed:
        self.permits.log_rejection(held, expected_s)
        limited = any(self.state.notices.limit_per_s(view.record) is not None for view in held)
        code = ResultCode.TARGET_LIMITED if limited else ResultCode.TARGET_RESTING
        return self.refusal(code, wanted_s=expected_s)

    @contextlib.contextmanager
    def _waiting(self) -> Iterator[None]:
        """Count the request as waiting for its model, and for a permit, within the context."""
        held = self.permits.held(self._holders())
        with contextlib.ExitStack() as stack:
            if not held or self.permits.expected_wait_s(held) > MAX_PERMIT_WAIT_S:
                model, adapter = self.prompt.model, self.prompt.adapter
                request = self.state.unmet_request(self.route, self.workspace, self.service, model)
                stack.enter_context(self.state.waiting_for(model, adapter, request))
            stack.enter_context(self.permits.waiting())
            yield

    def _expected_wait_s(self, held: Sequence[TargetView]) -> float:
        """Return the expected wait for a permit, or for the model on another engine."""
        if not held:
            return self._model_wait_s()
        ready_ms = self.state.load_outlook.loading_ms(self.prompt.model)
        permit_s = min(self.permits.expected_wait_s(held), self._cooldown_wait_s())
        return permit_s if ready_ms is None else min(permit_s, ready_ms / 1000)

    def _least_wait_s(self, expected_s: float, held: Sequence[TargetView]) -> float:
        """Return the shortest wait that is likely, for a refusal that must not come too early."""
        outlook, model = self.state.load_outlook, self.prompt.model
        is_forecast = model in outlook.forecasts and outlook.loading_ms(model) is None
        return expected_s * LEAST_FORECAST_SHARE if is_forecast and not held else expected_s

    def _model_wait_s(self) -> float:
        """Return the least time until an engine holds the model, 0 if unknown, inf if none will."""
        outlook, model = self.state.load_outlook, self.prompt.model
        # What waits for an adapter or a busy holder, or continues a stream, isn't refused early.
        is_held = any(
            model in view.residents and model not in view.unloading
            for view in self._allowed_by_version()
        )
        if is_held:
            return 0.0
        if self.retried or self.resumed or not self.state.uses(Mechanism.DEFERRAL):
            return (outlook.loading_ms(model) or 0) / 1000
        wait_ms = outlook.wait_ms(
            model,
            held_ms=(_now_s() - self.waiting_since_s) * 1000,
            objective_ms=self.route.objective_ms,
            engine=self._engine(),
            returned=self.state.refused.has_returned(self.digest),
        )
        return wait_ms / 1000

    def _unloaded_refusal(self, expected_s: float, *, is_early: bool) -> RequestFailed:
        """Return the refusal of a request whose model won't be ready in time."""
        if not math.isfinite(expected_s):
            expected_s = shortest_load_ms(self._engine(), self.prompt.model) / 1000
        failure = self.refusal(ResultCode.NO_READY_TARGET, wanted_s=expected_s or 1.0)
        if is_early and self.state.uses(Mechanism.DEFERRAL):
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

    def _cooldown_wait_s(self) -> float:
        """Return the time until a target that has refused the request may be asked again."""
        identities = (
            view.record.identity
            for view in self._allowed_by_version()
            if (not self.prompt.model or view.can_run(self.prompt))
            and not self.state.notices.is_held(view.record)
        )
        return self.cooldowns.shortest_s(identities, _now_s())

    def _permit_rank(self) -> int:
        """Return the request's rank for permits: retries take none from first attempts."""
        if self.resumed:
            return RESUMED_RANK
        return LATE_RANK if self.retried else self._rank()

    def _choose(self) -> TargetView | None:
        """Choose an engine and the request's rank there.

        A request that will be late anyway ranks behind those that can still be on time: under
        overload the engines would otherwise serve every request late.
        """
        holders = self._with_room(self.permits.sendable(self._holders()))
        permitted = self.permits.preferred(holders)
        return self._choose_engine(permitted, on_time_only=True) or self._choose_engine(holders)

    def _with_room(self, holders: Sequence[TargetView]) -> Sequence[TargetView]:
        """Return the engines at which the request delays no more urgent ones, or all if none."""
        self.queued.reason = ""
        engine = self._engine()
        goes_on = self.retried or self.resumed or self.isolated or self.state.leaving
        goes_on |= self.state.refused.has_returned(self.digest)
        if goes_on or not engine or not self.state.uses(Mechanism.DEFERRAL):
            return holders
        held_ms = (_now_s() - self.arrived_s) * 1000
        return self.state.scheduler.narrow(
            holders, self.queued, held_ms=held_ms, slots=engine.slots
        )

    def _choose_engine(
        self, holders: Sequence[TargetView], *, on_time_only: bool = False
    ) -> TargetView | None:
        engine = self.spec.engine if self.spec else None
        ranks = (RESUMED_RANK,) if self.resumed else (self._rank(), self._late_rank())
        over_s = 0.0
        for index, rank in enumerate(ranks):
            may_be_late = self.resumed or index > 0
            view = (
                choose_emptiest(holders)
                if self.isolated
                else choose_engine(
                    holders,
                    self.prompt,
                    rank=rank,
                    domain=self.state.settings.failure_domain,
                    kv_tokens=engine.kv_cache_tokens if engine else 0,
                    gap_objective_ms=self._gap_objective_ms(),
                    spare_ms=(self.on_time_deadline_s - _now_s()) * 1000,
                    spread_ms=0.0 if may_be_late else self._spread_ms(),
                )
            )
            if view is None:
                return None
            limit_s = self.event_deadline_s if may_be_late else self.on_time_deadline_s
            over_s = _now_s() + view.first_token_ms(self.prompt, rank=rank) / 1000 - limit_s
            if over_s <= 0:
                self.rank = rank
                return view
            if on_time_only:
                return None
        raise self.refusal(ResultCode.DEADLINE_UNREACHABLE, wanted_s=over_s + DEFAULT_RETRY_S)

    def _gap_objective_ms(self) -> int:
        """Return the longest pause to choose an engine for, 0 if pauses aren't weighed."""
        weighed = self.state.uses(Mechanism.STREAM_PAUSES) and not self.resumed
        return self.route.gap_objective_ms if weighed else 0

    def _holders(self) -> list[TargetView]:
        """Return the engines that could run the request."""
        # If a model's only engine is unreachable, the model is soon loaded on another one.
        now_ms = self.state.clock.now_ms()
        return [
            view
            for view in targets_holding(self._available(), self.prompt)
            if view.health.cooldown_until_ms <= now_ms
        ]

    def _choose_plain(self) -> TargetView | None:
        available = self.permits.sendable(self._available())
        available = self.permits.preferred(available) or available
        if self.isolated:
            return choose_emptiest(available)
        return choose_plain_target(
            available,
            domain=self.state.settings.failure_domain,
            spread_ms=self._spread_ms(),
        )

    def _spread_ms(self) -> float:
        """Return by how much a target may cost more than the cheapest, 0 for no spread."""
        state = self.state
        self.load_age_ms = state.load_age.age_ms()
        if not state.uses(Mechanism.EVEN_LOAD):
            return 0.0
        return spread_ms(
            entries=state.staying_entries,
            age_ms=state.load_age.highest_age_ms(),
            spare_ms=(self.on_time_deadline_s - _now_s()) * 1000,
        )

    def _late_rank(self) -> int:
        return LATE_RANK if self.state.uses(Mechanism.DEMOTE_LATE) else self._rank()

    def _rank(self) -> int:
        return self.state.rank_of(self.route, self.workspace)

    def _available(self) -> list[TargetView]:
        allowed = self._allowed_by_version()
        if not self.cooldowns.ends_s and self.silent is None:
            return allowed
        now_s = _now_s()
        return [
            view
            for view in allowed
            if self.cooldowns.is_over(view.record.identity, now_s) and view is not self.silent
        ]

    def _allowed_by_version(self) -> list[TargetView]:
        """Return the serving targets at whose version the stream may begin or go on."""
        views = self.state.fleet.serving_targets(self.service)
        if self.continuation is None:
            return views
        return [view for view in views if self.continuation.allows(view.record.version)]

    def _check_version(self) -> None:
        """Raise RequestFailed if a stream has to go on where no target can run it."""
        if self.continuation is None or self.continuation.version is None:
            return
        views = self._allowed_by_version()
        if not self._needs_engine():
            can_go_on = bool(views)
        else:
            # A model that no target holds is loaded again, at this version if there is no other.
            is_only = len(views) == len(self.state.fleet.serving_targets(self.service))
            can_go_on = any(view.can_run(self.prompt) or is_only for view in views)
        if not can_go_on:
            raise self.refusal(ResultCode.STREAM_VERSION_GONE)

    def _recheck_delay_s(self) -> float:
        now_s = _now_s()
        ends_s = [now_s + RECHECK_INTERVAL_S, *self.cooldowns.ends_s.values()]
        ends_s.append(self.arrived_s + MAX_HOLD_SHARE * self.route.objective_ms / 1000)
        return max(0.01, min(end_s - now_s for end_s in ends_s if end_s > now_s))

    async def _wait_for_cooldown(self) -> None:
        self._check_version()
        serving = self._allowed_by_version()
        if not serving or self.remaining_s() < RECHECK_INTERVAL_S:
            raise self.refusal(ResultCode.NO_READY_TARGET)
        await self.state.changes.wait(self._recheck_delay_s())


def _now_s() -> float:
    return asyncio.get_running_loop().time()
