"""Generate random and large fleets of engines for placement decisions."""

import random

from harness.direct_entry import engine_spec
from harness.direct_entry import model_spec
from mimosaspur_coordination.modeldemand import Demand
from mimosaspur_coordination.placementproblem import EngineSnapshot
from mimosaspur_coordination.placementproblem import PlacementProblem
from mimosaspur_state.routes import EngineSpec

WEIGHTS_MB = (65_000.0, 68_000.0, 72_000.0)
# Fits three models beside full adapter slots.
ENGINE_MB = 230_000.0
SLOTS = 3


def fleet_spec(models: int) -> EngineSpec:
    """Return the specification of a service whose models have three sizes."""
    specs = [model_spec(f"m{n}", weights_mb=WEIGHTS_MB[n % 3]) for n in range(models)]
    return engine_spec(specs, weights_mb=ENGINE_MB)


def random_problem(rng: random.Random, *, engines: int, models: int) -> PlacementProblem:
    """Return a random problem from few distinct values, so that costs often tie."""
    spec = fleet_spec(models)
    names = list(spec.models)

    def sample_names(max_count: int) -> tuple[str, ...]:
        return tuple(rng.sample(names, rng.randint(0, max_count)))

    snapshots = []
    for number in range(engines):
        residents = sample_names(SLOTS)
        snapshots.append(
            EngineSnapshot(
                f"e{number}",
                {name: rng.choice((0, 0, 0, 1, 3)) for name in residents},
                rng.choice((0, 0, 300, 3_000)),
                usable=rng.random() < 0.9,
                loading=rng.choice(("", "", rng.choice(names))),
                recent=frozenset(residents[:1]) if rng.random() < 0.2 else frozenset(),
                in_memory=sample_names(2),
                on_disk=sample_names(6),
                reserved_models=sample_names(1) if rng.random() < 0.1 else (),
            )
        )
    demand = {
        name: Demand(
            fast_tokens=rng.choice((0.0, 0.0, 500.0, 6_000.0, 30_000.0)),
            slow_tokens=rng.choice((0.0, 300.0, 4_000.0)),
            waiting=rng.choice((0, 0, 0, 1, 5)),
            waiting_ms=rng.choice((0, 400, 2_000)),
            objective_ms=rng.choice((0.0, 800.0, 5_000.0)),
        )
        for name in names
        if rng.random() < 0.8
    }
    return PlacementProblem(
        spec,
        snapshots,
        demand,
        store_load_allowed=rng.random() < 0.7,
        idle=rng.random() < 0.2,
        stream_ms=rng.choice((0.0, 1_500.0)),
        preloaded=set(sample_names(2)),
    )


def large_problem(case: str, *, engines: int, models: int) -> PlacementProblem:
    """Return a problem whose engines are full, so that no load can begin."""
    spec = fleet_spec(models)
    names = list(spec.models)
    snapshots = [
        EngineSnapshot(
            f"e{number}",
            {names[(number * SLOTS + place) % models]: 1 for place in range(SLOTS)},
            500 if case == "none of them free" else 0,
            on_disk=tuple(names[(number * SLOTS + place) % models] for place in range(SLOTS + 6)),
        )
        for number in range(engines)
    ]
    tokens = 0.0 if case == "nobody asks for anything" else 6_000.0
    demand = {name: Demand(fast_tokens=tokens, slow_tokens=tokens / 4) for name in names}
    return PlacementProblem(spec, snapshots, demand)
