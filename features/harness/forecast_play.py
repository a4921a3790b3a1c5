"""Compare forecasts of loads with what the placement then does, while demand stays as it is."""

import random
from dataclasses import replace

from harness.direct_entry import engine_spec
from harness.direct_entry import model_spec
from mimosaspur_coordination.loadforecast import forecast_loads
from mimosaspur_coordination.modeldemand import Demand
from mimosaspur_coordination.modelplacement import next_swap
from mimosaspur_coordination.placementproblem import EngineSnapshot
from mimosaspur_coordination.placementproblem import PlacementProblem

ENGINES = 22
PLACES = 2
HELD = ENGINES * PLACES
# Models that requests wait for, and some of them urgently; others were requested before.
WAITING = 24
URGENT_WAITING = 4
RECENT = 20
STEP_MS = 50
RESIDENCE_MS = 700
UNLOAD_MS = 90
END_MS = 60_000
URGENT_MS = 500.0
PATIENT_MS = 8_000.0


class ForecastPlay:
    """Carry out what the placement decides from a random state on."""

    def __init__(self, seed: int) -> None:
        chance = random.Random(seed)
        models = []
        for number in range(HELD + WAITING + RECENT):
            load_s = chance.uniform(3.0, 6.4)
            models.append(
                model_spec(f"m{number}", load_s=load_s, disk_load_s=0.4 * load_s, memory_load_s=1.0)
            )
        names = [model.name for model in models]
        self.spec = engine_spec(models, weights_mb=145_000.0, memory_mb=0.0, loads_per_s=6.5)
        self.engines = [
            EngineSnapshot(
                f"e{number}",
                dict.fromkeys(names[number:HELD:ENGINES], 0),
                0,
                on_disk=tuple(chance.sample(names[HELD:], 3)),
            )
            for number in range(ENGINES)
        ]
        self.demand = {name: _held_demand(chance) for name in names[:HELD]}
        self.waiting = names[HELD : HELD + WAITING]
        for number, name in enumerate(self.waiting):
            urgent = number < URGENT_WAITING
            self.demand[name] = Demand(
                slow_tokens=200.0,
                waiting=chance.randint(1, 6),
                urgent_waiting=int(urgent),
                waiting_ms=chance.randint(0, 5_000),
                objective_ms=URGENT_MS if urgent else PATIENT_MS,
            )
        self.recent = names[HELD + WAITING :]
        for name in self.recent:
            self.demand[name] = Demand(slow_tokens=200.0, objective_ms=PATIENT_MS)
        self.loaded_ms: dict[str, int] = {}

    def problem(self, now_ms: int) -> PlacementProblem:
        """Return the state at a time: who isn't served yet waits on."""
        demand = {}
        for name, each in self.demand.items():
            if name in self.loaded_ms:
                demand[name] = replace(each, waiting=0, urgent_waiting=0, waiting_ms=0)
            elif each.waiting:
                demand[name] = replace(each, waiting_ms=each.waiting_ms + now_ms)
            else:
                demand[name] = each
        engines = [replace(each, residents=dict(each.residents)) for each in self.engines]
        return PlacementProblem(self.spec, engines, demand, by_urgency=True)

    def request(self, name: str) -> None:
        """Let a request for a model wait from now on."""
        self.demand[name] = replace(self.demand[name], waiting=1)
        self.waiting.append(name)

    def run(self) -> list[tuple[int, int]]:
        """Return each model's forecast and when it was loaded."""
        forecast = forecast_loads(self.problem(0))
        for now_ms in range(0, END_MS, STEP_MS):
            for engine in self.engines:
                self._advance(engine, now_ms)
            if all(name in self.loaded_ms for name in self.waiting):
                break
            while swap := next_swap(self.problem(now_ms)):
                engine = next(each for each in self.engines if each.identity == swap.identity)
                for victim in swap.victims:
                    del engine.residents[victim]
                unload_ms = UNLOAD_MS if swap.victims else 0
                engine.loading, engine.free_in_ms = swap.model, swap.load_ms + unload_ms
        return [(forecast[name], self.loaded_ms.get(name, END_MS)) for name in self.waiting]

    def _advance(self, engine: EngineSnapshot, now_ms: int) -> None:
        if engine.loading:
            engine.free_in_ms -= STEP_MS
            if engine.free_in_ms <= 0:
                engine.residents[engine.loading] = engine.free_in_ms = 0
                self.loaded_ms[engine.loading] = now_ms
                engine.loading = ""
        engine.recent = frozenset(
            name
            for name in engine.residents
            if now_ms - self.loaded_ms.get(name, -RESIDENCE_MS) < RESIDENCE_MS
        )


def _held_demand(chance: random.Random) -> Demand:
    """Return the demand for a model that an engine holds: urgent for two of three."""
    tokens = chance.uniform(100.0, 2_000.0)
    objective_ms = chance.choice((URGENT_MS, URGENT_MS, PATIENT_MS))
    return Demand(fast_tokens=tokens, slow_tokens=tokens, objective_ms=objective_ms)
