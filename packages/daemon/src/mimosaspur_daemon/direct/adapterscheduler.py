"""Schedule adapter loads on engines: for waiting requests first, then for expected demand."""

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

# Requests a second that name any adapter of a model, per token a second of the model's demand: one
# request in ten names an adapter, and a request has some 2,000 tokens.
UNSEEN_REQUESTS_PER_TOKEN = 0.1 / 2_000
# Share of the demand for a model's adapters that is spread evenly over all of them.
SIBLING_DEMAND_SHARE = 0.5


class AdapterScheduler:
    """Start adapter loads and evictions, one at a time on each engine."""

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
        self,
        spec: EngineSpec,
        controllers: Sequence[EngineController],
        waiting: Collection[Adapter],
    ) -> None:
        """Start the moves for adapters that requests wait for."""
        if not waiting:
            return
        placement = self._placement(spec, controllers)
        for wanted in sorted(waiting):
            move = placement.for_waiting(wanted)
            if move:
                self._start_move(controllers, move, spec, waiting=True)
                placement = self._placement(spec, controllers)

    def preload(self, spec: EngineSpec, controllers: Sequence[EngineController]) -> bool:
        """Start the moves for adapters likely to be requested; return whether there were any."""
        names = {model: each.adapters for model, each in spec.models.items() if each.adapters}
        if not names or any(controller.recently_unanswered() for controller in controllers):
            return False
        placement = self._placement(spec, controllers)
        started = False
        for engine in placement.engines:
            move = placement.preload(engine, names)
            if move:
                started = True
                self._start_move(controllers, move, spec, waiting=False)
        return started

    def _shared_rate(self, model: str) -> float:
        """Return the expected request rate that all adapters of a model share."""
        unseen = self.model_demand.current(model).fast_tokens * UNSEEN_REQUESTS_PER_TOKEN
        return unseen + self.demand.model_rate(model) * SIBLING_DEMAND_SHARE

    def _placement(
        self, spec: EngineSpec, controllers: Sequence[EngineController]
    ) -> AdapterPlacement:
        shared: dict[str, float] = {}

        def expected(model: str, adapter: str) -> float:
            if model not in shared:
                siblings = len(spec.models[model].adapters) if model in spec.models else 0
                shared[model] = self._shared_rate(model) / max(1, siblings)
            return self.demand.rate(model, adapter) + shared[model]

        engines = [
            AdapterEngine(
                controller.record.identity,
                controller.adapters_held(),
                spec.adapter_slots,
                controller.accepts_adapters(),
                controller.recent_adapters(),
            )
            for controller in controllers
            if controller.usable()
        ]
        return AdapterPlacement(engines, expected)

    def _start_move(
        self,
        controllers: Sequence[EngineController],
        move: AdapterMove,
        spec: EngineSpec,
        *,
        waiting: bool,
    ) -> None:
        controller = next(each for each in controllers if each.record.identity == move.identity)
        controller.begin_adapter(move.model, move.adapter, evicts=move.victim is not None)
        self.log.write(
            "adapter",
            target=move.identity,
            model=move.model,
            adapter=move.adapter,
            victim=move.victim,
            waiting=waiting,
            requests_per_s=round(self.demand.rate(move.model, move.adapter), 2),
        )
        self.spawn(self._load(controller, move, spec.adapter_slots))

    async def _load(self, controller: EngineController, move: AdapterMove, slots: int) -> None:
        try:
            await controller.load_adapter(move.model, move.adapter, slots=slots, victim=move.victim)
        finally:
            controller.end_adapter()
            self.on_change()
