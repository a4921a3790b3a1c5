"""Order the requests that wait at an entry, and hold back those that would delay more urgent ones.

Addresses bursts of requests that can wait, 2 to 4 times their usual rate, at engines that also
serve requests with a short objective. An entry holds up to a few hundred of them.
"""

import contextlib
import math
from collections.abc import Container
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence

from mimosaspur_coordination.fleetview import Prompt
from mimosaspur_coordination.fleetview import TargetView
from mimosaspur_coordination.quota.decayingrate import DecayingRate
from mimosaspur_coordination.scheduling.recentkinds import Kind
from mimosaspur_coordination.scheduling.recentkinds import RecentKinds
from mimosaspur_coordination.scheduling.recentkinds import Urgency
from mimosaspur_state.clock import Clock
from mimosaspur_state.routes import ServiceSpec

# A request is held for at most this share of its objective or time limit, so that none is starved.
MAX_HELD_SHARE = 3 / 4
# The first event at a slow engine takes up to about twice the predicted time.
PREDICTION_RESERVE = 2.0
# Share of an engine's slots kept for more urgent requests: the reports on its load are up to 300 ms
# old, in which all entries together send it a few.
RESERVED_SLOTS_SHARE = 1 / 8
# Maximum interval between checks of a held request.
HELD_RECHECK_S = 0.05
# Objectives that end within the same step, about the age of reports, count as equally urgent.
ORDER_STEP_MS = 250
# An engine gets one held request in this time: a request counts as its work only once it is sent.
RELEASE_INTERVAL_MS = 10

# Nothing queues at this rank: a prediction for it is that of an idle engine.
BEFORE_ALL_RANKS = -1

# Priority, time left, share of the workspace; the lowest goes first.
Order = tuple[int, int, float]


class QueuedRequest:
    """Describe a request to the scheduler."""

    __slots__ = (
        "due_ms",
        "engines",
        "objective_ms",
        "on_time_ms",
        "order",
        "prompt",
        "rank",
        "reason",
        "urgency",
        "weight",
        "workspace",
    )

    def __init__(
        self,
        prompt: Prompt,
        *,
        rank: int,
        objective_ms: float,
        due_ms: float,
        workspace: str,
        weight: float = 1.0,
        limit_ms: float = math.inf,
    ) -> None:
        self.prompt = prompt
        self.objective_ms = objective_ms
        # The caller's own time limit may be shorter than the objective. It isn't part of the
        # urgency: each limit would be a kind of requests of its own.
        self.on_time_ms = min(objective_ms, limit_ms)
        self.set_rank(rank)
        # When its objective, or its time limit, ends, on the scheduler's clock.
        self.due_ms = due_ms
        self.workspace = workspace
        # Of its workspace, for its share.
        self.weight = weight
        # The engines that could run it at the last check.
        self.engines: frozenset[str] = frozenset()
        # Its place among those that wait, as of the last check.
        self.order: Order = (rank, 0, 0.0)
        # Why it is held back; empty if it isn't.
        self.reason = ""

    def set_rank(self, rank: int) -> None:
        """Set the rank, which changes while the request exceeds its workspace's share."""
        self.rank = rank
        self.urgency: Urgency = rank, self.objective_ms


def longest_hold_ms(on_time_ms: float, predicted_ms: float) -> float:
    """Return for how long after its arrival a request may be held and is still on time."""
    latest_ms = on_time_ms - PREDICTION_RESERVE * predicted_ms
    return min(MAX_HELD_SHARE * on_time_ms, latest_ms)


def _predicted_ms(views: Sequence[TargetView], queued: QueuedRequest) -> float:
    return min(view.first_token_ms(queued.prompt, rank=queued.rank) for view in views)


class RequestScheduler:
    """Decide when the requests that wait at an entry are sent."""

    __slots__ = (
        "clock",
        "first_held",
        "held",
        "indexed_count",
        "indexed_ms",
        "kinds",
        "released_ms",
        "served",
    )

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.kinds = RecentKinds(clock=clock)
        # Tokens of the requests sent recently, by workspace.
        self.served: dict[str, DecayingRate] = {}
        self.held: set[QueuedRequest] = set()
        # The first held requests by engine and kind, of how many, and when they were found.
        self.first_held: dict[str, dict[Urgency, list[QueuedRequest]]] = {}
        self.indexed_count = 0
        self.indexed_ms = 0
        # When each engine last got a held request.
        self.released_ms: dict[str, int] = {}

    def order(self, queued: QueuedRequest) -> Order:
        """Return the sort key of a request among those that wait."""
        served = self.served.get(queued.workspace)
        per_s = served.at(self.clock.now_ms()) if served else 0.0
        return queued.rank, int(queued.due_ms // ORDER_STEP_MS), per_s / queued.weight

    def record_kind(self, queued: QueuedRequest, service: ServiceSpec | None) -> None:
        """Record that a request of this kind has come for its model, if the service has it."""
        prompt = queued.prompt
        if service and service.engine and prompt.model in service.engine.models:
            self.kinds.record(prompt.model, queued.urgency, prompt_tokens=prompt.prompt_tokens)

    def on_sent(self, queued: QueuedRequest) -> None:
        """Count a request that is sent to its workspace's share."""
        now_ms = self.clock.now_ms()
        served = self.served.setdefault(queued.workspace, DecayingRate(now_ms))
        served.add(queued.prompt.prompt_tokens + queued.prompt.output_tokens, now_ms)

    def narrow(
        self, views: Sequence[TargetView], queued: QueuedRequest, *, held_ms: float, slots: int
    ) -> Sequence[TargetView]:
        """Return the engines at which a request delays no more urgent ones.

        If there are none, the request is to be held back for `queued.reason`, and all engines are
        returned.
        """
        queued.reason = ""
        urgent = self.kinds.any_more_urgent(queued.urgency)
        if urgent or queued in self.held:
            queued.engines = frozenset(view.record.identity for view in views)
        if not urgent:
            return views
        queued.order = self.order(queued)
        taken = self._taken_engines(queued)
        kinds = self._more_urgent(queued)
        reasons = [self._reason(view, queued, kinds, slots, taken) for view in views]
        if not any(reasons):
            return views
        roomy = [view for view, reason in zip(views, reasons, strict=True) if not reason]
        if roomy:
            is_on_time = _predicted_ms(roomy, queued) <= queued.on_time_ms - held_ms
            return roomy if is_on_time else views
        predicted_ms = _predicted_ms(views, queued)
        if held_ms < longest_hold_ms(queued.on_time_ms, predicted_ms):
            queued.reason = reasons[0]
        return views

    @contextlib.contextmanager
    def holding(self, queued: QueuedRequest) -> Iterator[None]:
        """Keep a request in the order of those that are held within the context."""
        self.held.add(queued)
        try:
            yield
        finally:
            self.held.discard(queued)

    def on_released(self, view: TargetView) -> None:
        """Record that a held request is sent to an engine."""
        now_ms = self.clock.now_ms()
        recent = {
            engine: at_ms
            for engine, at_ms in self.released_ms.items()
            if 0 <= now_ms - at_ms < RELEASE_INTERVAL_MS
        }
        self.released_ms = recent | {view.record.identity: now_ms}

    def _more_urgent(self, queued: QueuedRequest) -> dict[str, list[tuple[Kind, Prompt]]]:
        """Return the more urgent kinds that have recently come, by model."""
        found: dict[str, list[tuple[Kind, Prompt]]] = {}
        for kind in self.kinds.more_urgent(self.kinds.by_model, queued.urgency):
            prompt = Prompt(kind.model, prompt_tokens=round(kind.prompt_tokens))
            found.setdefault(kind.model, []).append((kind, prompt))
        return found

    def _reason(
        self,
        view: TargetView,
        queued: QueuedRequest,
        urgent: Mapping[str, Sequence[tuple[Kind, Prompt]]],
        slots: int,
        taken: Container[str],
    ) -> str:
        """Return why a request shouldn't be sent to an engine now, or an empty string."""
        kinds = [kind for model in view.residents for kind in urgent.get(model, ())]
        # Nothing is gained by a wait for an idle engine.
        if not kinds or not view.request_count():
            return ""
        if slots and view.request_count() >= slots * (1 - RESERVED_SLOTS_SHARE):
            return "slots"
        for kind, prompt in kinds:
            if view.first_token_ms(prompt, rank=kind.rank) <= kind.objective_ms:
                continue
            # A kind that is late at an idle engine too isn't helped by a wait.
            if view.first_token_ms(prompt, rank=BEFORE_ALL_RANKS) <= kind.objective_ms:
                return "urgent"
        return "order" if view.record.identity in taken else ""

    def _taken_engines(self, queued: QueuedRequest) -> set[str]:
        """Return the engines at which a request that is held goes first, or has just gone."""
        now_ms = self.clock.now_ms()
        taken = {
            engine
            for engine, at_ms in self.released_ms.items()
            if 0 <= now_ms - at_ms < RELEASE_INTERVAL_MS
        }
        is_old = abs(now_ms - self.indexed_ms) >= RELEASE_INTERVAL_MS
        if is_old or len(self.held) != self.indexed_count:
            self._index_held(now_ms)
        for engine in queued.engines:
            first = self.first_held.get(engine, {})
            # One of a less urgent kind may itself be held back for this request's kind.
            if any(
                each is not queued and urgency <= queued.urgency and each.order < queued.order
                for urgency, pair in first.items()
                for each in pair
            ):
                taken.add(engine)
        return taken

    def _index_held(self, now_ms: int) -> None:
        """Find the first two held requests of each kind at each engine.

        Each of some hundred held requests looks at the others every HELD_RECHECK_S: without the
        index that took most of a core.
        """
        self.indexed_ms, self.indexed_count = now_ms, len(self.held)
        self.first_held = {}
        for each in sorted(self.held, key=lambda held: held.order):
            for engine in each.engines:
                pair = self.first_held.setdefault(engine, {}).setdefault(each.urgency, [])
                if len(pair) < 2:
                    pair.append(each)
