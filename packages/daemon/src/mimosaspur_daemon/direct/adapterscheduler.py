"""Keep adapters in their places on engines: those that are waited for, then the likely ones."""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence

from mimosaspur_coordination.adapterdemand import AdapterDemand
from mimosaspur_coordination.adapterplacement import Adapter
from mimosaspur_coordination.adapterplacement import AdapterEngine
from mimosaspur_coordination.adapterplacement import AdapterMove
from mimosaspur_coordination.adapterplacement import AdapterPlacement
from mimosaspur_coordination.modeldemand import ModelDemand
from mimosaspur_daemon.direct.enginecontroller import EngineController
from mimosaspur_state.eventlog import EventLog
from mimosaspur_state.routes import EngineSpec

# Requests a second for an adapter that nobody has asked for yet, for each token a second that its
# model is asked for: one request in ten names an adapter, and a request has some 2,000 tokens.
UNSEEN_REQUESTS_PER_TOKEN = 0.1 / 2_000
# What is asked of a model's other adapters counts for this one too, in this part.
SIBLING_DEMAND_SHARE = 0.5


class AdapterScheduler:
    """Start the adapters' moves, one at a time on each engine."""

    def __init__(
        self,
        *,
        demand: AdapterDemand,
        model_demand: ModelDemand,
        log: EventLog,
        spawn: Callable[["asyncio._CoroutineLike[None]"], None],
        on_change: Callable[[], None],
    ) -> None:
        self.demand = demand
        self.model_demand = model_demand
        self.log = log
        self.spawn = spawn
        self.on_change = on_change

    def place_waiting(
        self, spec: EngineSpec, desks: Sequence[EngineController], waiting: Collection[Adapter]
    ) -> None:
        """Begin the moves for adapters that requests wait for."""
        if not waiting:
            return
        placement = self._placement(spec, desks)
        for wanted in sorted(waiting):
            move = placement.for_waiting(wanted)
            if move:
                self._start_move(desks, move, spec, waiting=True)
                placement = self._placement(spec, desks)

    def preload(self, spec: EngineSpec, desks: Sequence[EngineController]) -> bool:
        """Begin the moves for adapters that are likely to be asked for; tell if there were any."""
        names = {model: each.adapters for model, each in spec.models.items() if each.adapters}
        if not names or any(desk.recently_unanswered() for desk in desks):
            return False
        placement = self._placement(spec, desks)
        begun = False
        for engine in placement.engines:
            move = placement.preload(engine, names)
            if move:
                begun = True
                self._start_move(desks, move, spec, waiting=False)
        return begun

    def _shared_rate(self, model: str) -> float:
        """Return the rate that all adapters of a model can expect together."""
        unseen = self.model_demand.current(model).fast_tokens * UNSEEN_REQUESTS_PER_TOKEN
        return unseen + self.demand.model_rate(model) * SIBLING_DEMAND_SHARE

    def _placement(self, spec: EngineSpec, desks: Sequence[EngineController]) -> AdapterPlacement:
        shared: dict[str, float] = {}

        def expected(model: str, adapter: str) -> float:
            if model not in shared:
                siblings = len(spec.models[model].adapters) if model in spec.models else 0
                shared[model] = self._shared_rate(model) / max(1, siblings)
            return self.demand.rate(model, adapter) + shared[model]

        engines = [
            AdapterEngine(
                desk.record.identity,
                desk.adapters_held(),
                spec.adapter_slots,
                desk.accepts_adapters(),
                desk.recent_adapters(),
            )
            for desk in desks
            if desk.usable()
        ]
        return AdapterPlacement(engines, expected)

    def _start_move(
        self,
        desks: Sequence[EngineController],
        move: AdapterMove,
        spec: EngineSpec,
        *,
        waiting: bool,
    ) -> None:
        desk = next(each for each in desks if each.record.identity == move.identity)
        desk.placing_adapter = (move.model, move.adapter)
        self.log.write(
            "adapter",
            target=move.identity,
            model=move.model,
            adapter=move.adapter,
            victim=move.victim,
            waiting=waiting,
            requests_per_s=round(self.demand.rate(move.model, move.adapter), 2),
        )
        self.spawn(self._load(desk, move, spec.adapter_slots))

    async def _load(self, desk: EngineController, move: AdapterMove, slots: int) -> None:
        try:
            await desk.load_adapter(move.model, move.adapter, slots=slots, victim=move.victim)
        finally:
            desk.placing_adapter = None
            self.on_change()
