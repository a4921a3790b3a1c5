"""Time the coordinator's search for loads over a made-up fleet: one JSON line, times in ms."""

import argparse
import json
import time
from collections.abc import Callable
from random import Random
from statistics import median

from mimosaspur_coordination.modeldemand import Demand
from mimosaspur_coordination.modelplacement import PlacementSearch
from mimosaspur_coordination.placementproblem import EngineSnapshot
from mimosaspur_coordination.placementproblem import PlacementProblem
from mimosaspur_protocol.peermessages import FleetReport
from mimosaspur_protocol.peermessages import TargetWork
from mimosaspur_protocol.peermessages import encode_peer
from mimosaspur_state.routes import EngineSpec
from mimosaspur_state.routes import ModelSpec

# Sizes as on the users' sites: three models have room on an engine, six copies on its disk.
WEIGHTS_MB = (65_000.0, 68_000.0, 72_000.0)
ENGINE_MB = 230_000.0
DISK_MB = 450_000.0
MEMORY_MB = 150_000.0
PLACES = 3
COPIES = 6
TIMES = 20
# What callers ask of a model, in tokens a second.
CALM = 0.0
CROWDED = 6_000.0


def made_up(engines: int, models: int, *, tokens: float, free: bool, seed: int) -> PlacementProblem:
    """Return a fleet of full engines, all models asked for alike."""
    chance = Random(seed)
    specs = {
        f"m{n}": ModelSpec(f"m{n}", WEIGHTS_MB[n % len(WEIGHTS_MB)], 2.4, 1.6, 1.0)
        for n in range(models)
    }
    spec = EngineSpec(64, 100_000, ENGINE_MB, 8, 13.0, DISK_MB, MEMORY_MB, specs)
    names = list(specs)
    snapshots = [
        EngineSnapshot(
            f"e{n}",
            {names[(n * PLACES + place) % models]: 1 for place in range(PLACES)},
            0 if free else 500,
            on_disk=tuple(chance.sample(names, min(models, COPIES))),
        )
        for n in range(engines)
    ]
    demand = {name: Demand(fast_tokens=tokens, slow_tokens=tokens / 4) for name in names}
    return PlacementProblem(spec, snapshots, demand)


def search_ms(problem: PlacementProblem) -> float:
    """Return the median time of both searches in one state."""

    def search() -> None:
        searched = PlacementSearch(problem)
        searched.next_swap()
        searched.next_copy()

    return _median_ms(search)


def news_bytes(engines: int, seed: int) -> int:
    """Return the size of news in which the work at all engines has changed."""
    chance = Random(seed)
    work = [
        TargetWork(f"i-{n:010x}", chance.randrange(60), {1: 4_000, 3: 9_000}, 80_000, {})
        for n in range(engines)
    ]
    return len(encode_peer(FleetReport(1, True, 1, work, [], {})))


def measure(engines: int, models: int, seed: int) -> dict[str, float]:
    """Return the times of a search in three states, of making a problem, and the news' size."""
    calm = made_up(engines, models, tokens=CALM, free=True, seed=seed)
    crowded = made_up(engines, models, tokens=CROWDED, free=True, seed=seed)
    busy = made_up(engines, models, tokens=CROWDED, free=False, seed=seed)

    def make() -> None:
        PlacementProblem(calm.spec, calm.engines, calm.demand)

    return {
        "none_free_ms": search_ms(busy),
        "calm_ms": search_ms(calm),
        "crowded_ms": search_ms(crowded),
        "problem_ms": _median_ms(make),
        "news_bytes": news_bytes(engines, seed),
    }


def _median_ms(work: Callable[[], None]) -> float:
    times = []
    for _ in range(TIMES):
        began_s = time.perf_counter()
        work()
        times.append((time.perf_counter() - began_s) * 1000)
    return round(median(times), 3)


def main() -> None:
    """Print the times of a fleet of this size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--engines", type=int, default=39)
    parser.add_argument("--models", type=int, default=170)
    parser.add_argument("--seed", type=int, default=1)
    asked = parser.parse_args()
    print(json.dumps({**vars(asked), **measure(asked.engines, asked.models, asked.seed)}))


if __name__ == "__main__":
    main()
