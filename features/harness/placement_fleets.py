"""Make fleets of engines for the decision on loads: random ones, and large ones."""

import random

from harness.direct_entry import engine_spec
from harness.direct_entry import model_spec
from mimosaspur_coordination.modeldemand import Demand
from mimosaspur_coordination.placementproblem import EngineSnapshot
from mimosaspur_coordination.placementproblem import PlacementProblem
from mimosaspur_state.routes import EngineSpec

WEIGHTS_MB = (65_000.0, 68_000.0, 72_000.0)
# Three models have room beside full adapter places.
ENGINE_MB = 230_000.0
SLOTS = 3


def fleet_spec(models: int) -> EngineSpec:
    """Return a service with so many models of three sizes."""
    specs = [model_spec(f"m{n}", weights_mb=WEIGHTS_MB[n % 3]) for n in range(models)]
    return engine_spec(specs, weights_mb=ENGINE_MB)


def random_problem(chance: random.Random, *, engines: int, models: int) -> PlacementProblem:
    """Return a random state, with figures that often tie."""
    spec = fleet_spec(models)
    names = list(spec.models)

    def some(most: int) -> tuple[str, ...]:
        return tuple(chance.sample(names, chance.randint(0, most)))

    snapshots = []
    for number in range(engines):
        residents = some(SLOTS)
        snapshots.append(
            EngineSnapshot(
                f"e{number}",
                {name: chance.choice((0, 0, 0, 1, 3)) for name in residents},
                chance.choice((0, 0, 300, 3_000)),
                usable=chance.random() < 0.9,
                loading=chance.choice(("", "", chance.choice(names))),
                recent=frozenset(residents[:1]) if chance.random() < 0.2 else frozenset(),
                in_memory=some(2),
                on_disk=some(6),
                reserved_models=some(1) if chance.random() < 0.1 else (),
            )
        )
    demand = {
        name: Demand(
            fast_tokens=chance.choice((0.0, 0.0, 500.0, 6_000.0, 30_000.0)),
            slow_tokens=chance.choice((0.0, 300.0, 4_000.0)),
            waiting=chance.choice((0, 0, 0, 1, 5)),
            waiting_ms=chance.choice((0, 400, 2_000)),
            objective_ms=chance.choice((0.0, 800.0, 5_000.0)),
        )
        for name in names
        if chance.random() < 0.8
    }
    return PlacementProblem(
        spec,
        snapshots,
        demand,
        store_load_allowed=chance.random() < 0.7,
        idle=chance.random() < 0.2,
        stream_ms=chance.choice((0.0, 1_500.0)),
        preloaded=set(some(2)),
    )


def large_problem(why: str, *, engines: int, models: int) -> PlacementProblem:
    """Return a fleet whose engines are full, in which nothing can be begun."""
    spec = fleet_spec(models)
    names = list(spec.models)
    snapshots = [
        EngineSnapshot(
            f"e{number}",
            {names[(number * SLOTS + place) % models]: 1 for place in range(SLOTS)},
            500 if why == "none of them free" else 0,
            on_disk=tuple(names[(number * SLOTS + place) % models] for place in range(SLOTS + 6)),
        )
        for number in range(engines)
    ]
    tokens = 0.0 if why == "nobody asks for anything" else 6_000.0
    demand = {name: Demand(fast_tokens=tokens, slow_tokens=tokens / 4) for name in names}
    return PlacementProblem(spec, snapshots, demand)
