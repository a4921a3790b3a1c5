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
from mimosaspur_daemon.direct.enginedesk import EngineDesk
from mimosaspur_state.routes import EngineSpec

# Requests a second for an adapter that nobody has asked for yet, for each token a second that its
# model is asked for: one request in ten names an adapter, and a request has some 2,000 tokens.
UNSEEN_REQUESTS = 0.1 / 2_000
# What is asked of a model's other adapters counts for this one too, in this part.
SIBLINGS_PART = 0.5


class AdapterKeeper:
    """Start the adapters' moves, one at a time on each engine."""

    def __init__(
        self,
        *,
        demand: AdapterDemand,
        models: ModelDemand,
        spawn: Callable[["asyncio._CoroutineLike[None]"], None],
        changed: Callable[[], None],
    ) -> None:
        self.demand = demand
        self.models = models
        self.spawn = spawn
        self.changed = changed

    def place(
        self, spec: EngineSpec, desks: Sequence[EngineDesk], waiting: Collection[Adapter]
    ) -> None:
        """Begin what moves engines can take now."""
        by_identity = {desk.record.identity: desk for desk in desks if desk.usable()}
        names = {model: each.adapters for model, each in spec.models.items() if each.adapters}
        if not names:
            return

        shared: dict[str, float] = {}

        def expected(model: str, adapter: str) -> float:
            if model not in shared:
                shared[model] = self._shared_rate(model) / max(1, len(names.get(model, ())))
            return self.demand.rate(model, adapter) + shared[model]

        for wanted in sorted(waiting):
            placement = self._placement(spec, by_identity, expected)
            move = placement.for_waiting(wanted)
            if move:
                self._begin(by_identity[move.identity], move, spec)
        placement = self._placement(spec, by_identity, expected)
        for engine in placement.engines:
            move = placement.ahead(engine, names)
            if move:
                self._begin(by_identity[move.identity], move, spec)

    def _shared_rate(self, model: str) -> float:
        """Return the rate that all adapters of a model can expect together."""
        unseen = self.models.current(model).fast_tokens * UNSEEN_REQUESTS
        return unseen + self.demand.model_rate(model) * SIBLINGS_PART

    def _placement(
        self,
        spec: EngineSpec,
        desks: dict[str, EngineDesk],
        expected: Callable[[str, str], float],
    ) -> AdapterPlacement:
        engines = [
            AdapterEngine(
                identity,
                desk.adapters_held(),
                spec.adapter_slots,
                desk.takes_adapters(),
                desk.recent_adapters(),
            )
            for identity, desk in desks.items()
        ]
        return AdapterPlacement(engines, expected)

    def _begin(self, desk: EngineDesk, move: AdapterMove, spec: EngineSpec) -> None:
        desk.placing_adapter = (move.model, move.adapter)
        self.spawn(self._load(desk, move, spec.adapter_slots))

    async def _load(self, desk: EngineDesk, move: AdapterMove, places: int) -> None:
        try:
            await desk.load_adapter(move.model, move.adapter, places=places, victim=move.victim)
        finally:
            desk.placing_adapter = None
            self.changed()
