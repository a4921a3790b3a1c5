"""Choose the target for a request among those that could take it now, without effects."""

import asyncio
import math
from collections.abc import Sequence
from dataclasses import dataclass

from mimosaspur_coordination.evenload import Candidate
from mimosaspur_coordination.evenload import draw
from mimosaspur_coordination.evenload import spread_ms
from mimosaspur_coordination.fleetview import Prompt
from mimosaspur_coordination.fleetview import TargetView
from mimosaspur_coordination.fleetview import targets_holding
from mimosaspur_coordination.scheduling.callertimes import event_timeout_s
from mimosaspur_coordination.scheduling.callertimes import retry_after_s
from mimosaspur_coordination.scheduling.cooldowns import Cooldowns
from mimosaspur_coordination.scheduling.loadoutlook import LEAST_FORECAST_SHARE
from mimosaspur_coordination.scheduling.loadoutlook import shortest_load_ms
from mimosaspur_coordination.scheduling.scheduler import MAX_HELD_SHARE
from mimosaspur_coordination.scheduling.scheduler import QueuedRequest
from mimosaspur_coordination.targetchoice import choose_emptiest
from mimosaspur_coordination.targetchoice import engine_candidates
from mimosaspur_coordination.targetchoice import plain_candidates
from mimosaspur_daemon.direct.entrystate import LATE_RANK
from mimosaspur_daemon.direct.entrystate import RESUMED_RANK
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.permitchoice import PermitChoice
from mimosaspur_daemon.direct.refusal import RequestFailed
from mimosaspur_daemon.direct.sharechoice import ShareChoice
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
DEFAULT_RETRY_S = 0.5


def now_s() -> float:
    """Return the time on the event loop's clock."""
    return asyncio.get_running_loop().time()


@dataclass(slots=True, frozen=True)
class Wait:
    """Describe what a request that no target takes now waits for, and whether it is in vain."""

    # Targets that hold it back by a limit or a rest.
    held: Sequence[TargetView]
    # The expected time until a target takes it: 0 if unknown, inf if none will.
    expected_s: float
    # The least time that is likely, for a refusal that must not come too early.
    least_s: float
    # The time in which the first event is of use to the caller.
    left_s: float

    @property
    def is_in_vain(self) -> bool:
        """Return whether no target is expected to take the request in time."""
        return self.left_s <= max(0.0, self.least_s)


class TargetChooser:
    """Choose among the targets for one request as they are now, without effects."""

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
        "share",
        "silent",
        "spec",
        "state",
        "waiting_since_s",
        "weighed",
        "weighed_rank",
        "workspace",
    )

    # Whether a choice counts towards the workspace's share. Without effects, as in an explanation,
    # the costs of engines that can't be drawn are of interest too.
    has_effects = False

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
        self.share = ShareChoice(
            state,
            service,
            prompt,
            workspace=workspace,
            request=request,
            counts=self.has_effects,
        )
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
            due_ms=state.clock.now_ms()
            + (min(self.on_time_deadline_s, deadline_s) - now_s()) * 1000,
            workspace=workspace.name if workspace else "",
            weight=state.shares.weights.get(workspace.name, 1.0) if workspace else 1.0,
            limit_ms=(deadline_s - arrived_s) * 1000,
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
        # The targets among which the last choice was made, and the spread of that choice.
        self.weighed: tuple[Sequence[Candidate[TargetView]], float] = ((), 0.0)
        # The rank that the last choice was made for, also if it ended in a refusal.
        self.weighed_rank = self.rank

    def cool_down(self, view: TargetView, seconds: float) -> None:
        """Exclude a target from selection for a while."""
        self.cooldowns.ends_s[view.record.identity] = now_s() + seconds

    def target_now(self, *, resumed: bool = False) -> TargetView | None:
        """Return a target that takes the request now, if any; raise RequestFailed."""
        self.resumed = resumed
        self.check_version()
        return self._choose() if self.needs_engine() else self._choose_plain()

    def needs_engine(self) -> bool:
        """Return whether the request is for a model."""
        return bool(self._engine() and self.prompt.model)

    def _engine(self) -> EngineSpec | None:
        return self.spec.engine if self.spec else None

    def predicted_first_event_ms(self) -> float:
        """Return the predicted time to the first event, 0 for a plain service."""
        if self.spec is None or self.spec.engine is None or not self.prompt.model:
            return 0.0
        holders = [view for view in self.available() if view.can_run(self.prompt)]
        predicted = [view.first_token_ms(self.prompt, rank=self.rank) for view in holders]
        return min(predicted, default=float("inf"))

    def remaining_s(self) -> float:
        """Return the seconds until the request's deadline."""
        return self.deadline_s - now_s()

    def refusal(self, code: ResultCode, *, wanted_s: float = DEFAULT_RETRY_S) -> RequestFailed:
        """Return the refusal of a request that has not run."""
        spread, left_s = self.state.uses(Mechanism.DEFERRAL), self.remaining_s()
        return RequestFailed(
            code, retry_after_s=retry_after_s(wanted_s, left_s=left_s, spread=spread)
        )

    def engine_wait(self) -> Wait:
        """Return what a request for a model waits for; raise RequestFailed without a target."""
        self.check_version()
        if self.state.fleet.only_leaving(self.service):
            raise self.refusal(ResultCode.NO_READY_TARGET)
        wait_until_s = min(self.event_deadline_s, self.state.balancer_noticed_s)
        left_s = wait_until_s - MIN_FIRST_TOKEN_S - now_s()
        held = self.permits.held(self.holders())
        expected_s = self._expected_wait_s(held)
        return Wait(held, expected_s, self._least_wait_s(expected_s, held), left_s)

    def plain_wait(self) -> Wait:
        """Return what a request to a plain service waits for."""
        held = self.permits.held(self.available())
        if held:
            expected_s = min(self.permits.expected_wait_s(held), self._cooldown_wait_s())
            left_s = self.event_deadline_s - RECHECK_INTERVAL_S - now_s()
            return Wait(held, expected_s, expected_s, left_s)
        self.check_version()
        serving = self.allowed_by_version()
        if not serving or self.remaining_s() < RECHECK_INTERVAL_S:
            raise self.refusal(ResultCode.NO_READY_TARGET)
        return Wait((), self._cooldown_wait_s(), 0.0, self.remaining_s())

    def refusal_in_vain(self, wait: Wait) -> RequestFailed:
        """Return the refusal of a request for which no target is ready in time."""
        expected_s = wait.expected_s
        if wait.held:
            limited = any(
                self.state.notices.limit_per_s(view.record) is not None for view in wait.held
            )
            code = ResultCode.TARGET_LIMITED if limited else ResultCode.TARGET_RESTING
            return self.refusal(code, wanted_s=expected_s)
        if not math.isfinite(expected_s):
            expected_s = shortest_load_ms(self._engine(), self.prompt.model) / 1000
        return self.refusal(ResultCode.NO_READY_TARGET, wanted_s=expected_s or 1.0)

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
        # What waits for an adapter, a busy holder or one that may return, or continues a stream,
        # isn't refused early.
        is_held = any(
            (model in view.residents and model not in view.unloading) or model in view.out_of_reach
            for view in self.allowed_by_version()
        )
        if is_held:
            return 0.0
        version_s = self._version_wait_s()
        if version_s is not None:
            return version_s
        if self.retried or self.resumed or not self.state.uses(Mechanism.DEFERRAL):
            return (outlook.loading_ms(model) or 0) / 1000
        wait_ms = outlook.wait_ms(
            model,
            held_ms=(now_s() - self.waiting_since_s) * 1000,
            objective_ms=self.route.objective_ms,
            engine=self._engine(),
            returned=self.state.refused.has_returned(self.digest),
        )
        return wait_ms / 1000

    def _cooldown_wait_s(self) -> float:
        """Return the time until a target that has refused the request may be asked again."""
        identities = (
            view.record.identity
            for view in self.allowed_by_version()
            if (not self.prompt.model or view.can_run(self.prompt))
            and not self.state.notices.is_held(view.record)
        )
        return self.cooldowns.shortest_s(identities, now_s())

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
        sendable = self.permits.sendable(self.holders())
        # A stream that a caller resumes has run before, so that it isn't put behind others.
        is_resumption = self.continuation is not None and self.continuation.is_resumption
        if sendable and not (self.resumed or is_resumption) and self.share.check():
            self.queued.set_rank(self._rank())
        holders = self._with_room(sendable)
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
        held_ms = (now_s() - self.arrived_s) * 1000
        roomy = self.state.scheduler.narrow(
            holders, self.queued, held_ms=held_ms, slots=engine.slots
        )
        if self.queued.reason:
            self.share.on_wait()
        return roomy

    def _choose_engine(
        self, holders: Sequence[TargetView], *, on_time_only: bool = False
    ) -> TargetView | None:
        engine = self.spec.engine if self.spec else None
        ranks = (RESUMED_RANK,) if self.resumed else (self._rank(), self._late_rank())
        over_s = 0.0
        for index, rank in enumerate(ranks):
            may_be_late = self.resumed or index > 0
            self.weighed_rank = rank
            if self.isolated:
                view = self._choose_emptiest(holders)
            else:
                spread_ms = 0.0 if may_be_late else self._spread_ms()
                candidates = engine_candidates(
                    holders,
                    self.prompt,
                    rank=rank,
                    domain=self.state.settings.failure_domain,
                    kv_tokens=engine.kv_cache_tokens if engine else 0,
                    gap_objective_ms=self._gap_objective_ms(),
                    spare_ms=(self.on_time_deadline_s - now_s()) * 1000,
                    spread_ms=spread_ms,
                    reach_ms=None if self.has_effects else math.inf,
                )
                view = self._draw(candidates, spread_ms)
            if view is None:
                return None
            limit_s = self.event_deadline_s if may_be_late else self.on_time_deadline_s
            predicted_ms = view.first_token_ms(self.prompt, rank=rank)
            over_s = now_s() + predicted_ms / 1000 - limit_s
            if over_s <= 0:
                self.rank = rank
                return view
            if not may_be_late:
                over_ms = over_s * 1000
                self.share.on_late(view, self.prompt, predicted_ms=predicted_ms, over_ms=over_ms)
            if on_time_only:
                return None
        if self.share.exceeded and not self.retried:
            raise self.share.refusal(left_s=self.remaining_s())
        raise self.refusal(ResultCode.DEADLINE_UNREACHABLE, wanted_s=over_s + DEFAULT_RETRY_S)

    def _gap_objective_ms(self) -> int:
        """Return the longest pause to choose an engine for, 0 if pauses aren't weighed."""
        weighed = self.state.uses(Mechanism.STREAM_PAUSES) and not self.resumed
        return self.route.gap_objective_ms if weighed else 0

    def leaves_room(self, view: TargetView) -> bool:
        """Return whether the request, as it exceeds its workspace's share, waits for now."""
        if self.retried or self.resumed or self.isolated or self.state.leaving:
            return False
        held_ms = (now_s() - self.arrived_s) * 1000
        return self.share.must_wait(view, held_ms=held_ms, most_ms=self.longest_hold_s() * 1000)

    def longest_hold_s(self) -> float:
        """Return for how long after its arrival a request is held for others at most."""
        # A caller's own time limit may be shorter than the route's objective.
        limit_s = self.deadline_s - self.arrived_s
        return MAX_HELD_SHARE * min(self.route.objective_ms / 1000, limit_s)

    def holders(self) -> list[TargetView]:
        """Return the engines that could run the request."""
        # If a model's only engine is unreachable, the model is soon loaded on another one.
        now_ms = self.state.clock.now_ms()
        return [
            view
            for view in targets_holding(self.available(), self.prompt)
            if view.health.cooldown_until_ms <= now_ms
        ]

    def _choose_plain(self) -> TargetView | None:
        available = self.permits.sendable(self.available())
        available = self.permits.preferred(available) or available
        if self.isolated:
            return self._choose_emptiest(available)
        domain = self.state.settings.failure_domain
        return self._draw(plain_candidates(available, domain=domain), self._spread_ms())

    def _choose_emptiest(self, views: Sequence[TargetView]) -> TargetView | None:
        # Crashed targets look empty, and stay registered for some seconds.
        crashes = self.state.quarantine.ledger.crashes
        running = [view for view in views if view.record.incarnation not in crashes]
        view = choose_emptiest(running or views)
        self.weighed = ([(0.0, 1.0, view)] if view else [], 0.0)
        return view

    def _draw(
        self, candidates: Sequence[Candidate[TargetView]], spread_ms: float
    ) -> TargetView | None:
        self.weighed = (candidates, spread_ms)
        return draw(candidates, spread=spread_ms)

    def _spread_ms(self) -> float:
        """Return by how much a target may cost more than the cheapest, 0 for no spread."""
        state = self.state
        self.load_age_ms = state.load_age.age_ms()
        if not state.uses(Mechanism.EVEN_LOAD):
            return 0.0
        return spread_ms(
            entries=state.staying_entries,
            age_ms=state.load_age.highest_age_ms(),
            spare_ms=(self.on_time_deadline_s - now_s()) * 1000,
        )

    def _late_rank(self) -> int:
        return LATE_RANK if self.state.uses(Mechanism.DEMOTE_LATE) else self._rank()

    def _rank(self) -> int:
        return LATE_RANK if self.share.exceeded else self.state.rank_of(self.route, self.workspace)

    def available(self) -> list[TargetView]:
        """Return the serving targets that haven't just refused or failed the request."""
        allowed = self.allowed_by_version()
        if not self.cooldowns.ends_s and self.silent is None:
            return allowed
        at_s = now_s()
        return [
            view
            for view in allowed
            if self.cooldowns.is_over(view.record.identity, at_s) and view is not self.silent
        ]

    def allowed_by_version(self) -> list[TargetView]:
        """Return the serving targets at whose version the stream may begin or go on."""
        views = self.state.fleet.serving_targets(self.service)
        if self.continuation is None:
            return views
        return [view for view in views if self.continuation.allows(view.record.version)]

    def check_version(self) -> None:
        """Raise RequestFailed if a stream has to go on where no target can run it."""
        if self.continuation is None or self.continuation.version is None:
            return
        views = self.allowed_by_version()
        if not self.needs_engine():
            can_go_on = bool(views)
        else:
            # A model that no target holds is loaded again, at this version if there is no other.
            is_only = len(views) == len(self.state.fleet.serving_targets(self.service))
            can_go_on = any(self._holds_model(view) or is_only for view in views)
        if can_go_on:
            return
        loading_s = self._version_wait_s()
        if loading_s is None:
            raise self.refusal(ResultCode.STREAM_VERSION_GONE)
        if now_s() + loading_s + MIN_FIRST_TOKEN_S >= self.event_deadline_s:
            raise self.refusal(ResultCode.STREAM_VERSION_GONE, wanted_s=loading_s)

    def _holds_model(self, view: TargetView) -> bool:
        """Return whether a target holds the request's model; a missing adapter is soon there."""
        model = self.prompt.model
        return model in view.residents and model not in view.unloading

    def _version_wait_s(self) -> float | None:
        """Return the time until a load at the stream's version ends, None if there is none."""
        if self.continuation is None or self.continuation.version is None:
            return None
        loading_ms = self.state.load_outlook.version_loading_ms(
            self.prompt.model, self.continuation.version
        )
        return None if loading_ms is None else loading_ms / 1000
