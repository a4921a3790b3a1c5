"""Measure how state grows: bundles, adapters, placement records and the instance list."""

import dataclasses
import json
import sys
from collections.abc import Callable
from typing import Any

from mimosaspur_load.bench import ENTRY
from mimosaspur_load.bench import TARGET
from mimosaspur_load.bench import bench_site
from mimosaspur_load.control import call
from mimosaspur_load.processes import Processes
from mimosaspur_load.procfs import rss_kb
from mimosaspur_load.shapes import PURAVIDA
from mimosaspur_load.shapes import bundle_value
from mimosaspur_load.site import Site
from mimosaspur_load.slopes import Line
from mimosaspur_load.slopes import Point
from mimosaspur_load.slopes import fit
from mimosaspur_load.slopes import fit_points
from mimosaspur_load.slopes import watch
from mimosaspur_state import keys
from mimosaspur_state.placement import PlacementRecord
from mimosaspur_state.placement import Replica
from mimosaspur_state.placement import ReplicaState

MODEL_SIZES = (50, 400, 1500)
ADAPTER_SIZES = (0, 1000, 3000)
ADAPTERS_OF_MODELS = 100
INSTANCE_SIZES = (10, 200, 730)
ELSEWHERE = "model-server-{}-elsewhere"
SERVERS = 100
FIRST_PORT = 20_000
# No entry plans here: the records name targets that don't exist.
QUIET = {"entry.planner": False}
WAIT = "import signal; print('{}', flush=True); signal.pause()"
IMPORTS = {
    "python alone": "",
    "entry": "import mimosaspur_daemon.main, mimosaspur_daemon.entryrole;",
    "entry that plans": (
        "import mimosaspur_daemon.main, mimosaspur_daemon.entryrole, "
        "mimosaspur_daemon.leased_planner;"
    ),
    "target": "import mimosaspur_daemon.main, mimosaspur_daemon.targetrole;",
}


def imports() -> list[Line]:
    """Weigh each role's imports alone."""
    processes = Processes()
    try:
        lines = []
        for role, code in IMPORTS.items():
            started = processes.start([sys.executable, "-c", code + WAIT])
            found = {1: float(rss_kb(started.pid))}
            lines.append(fit("imports", role, "resident kB", "-", found))
        return lines
    finally:
        processes.close()


def models() -> list[Line]:
    """Weigh a bundle's models with one placement record each."""
    return _over(MODEL_SIZES, "models", "model", lambda size: (size, 0))


def adapters() -> list[Line]:
    """Weigh a bundle's adapters."""
    return _over(ADAPTER_SIZES, "adapters", "adapter", lambda size: (ADAPTERS_OF_MODELS, size))


def instances() -> list[Line]:
    """Weigh the targets in the instance list, none of which is connected."""
    entry: dict[int, Point] = {}
    for size in INSTANCE_SIZES:
        with bench_site(overrides=QUIET, filled=False, model_servers=0) as site:
            for number in range(size):
                call(site.api, "PUT", f"/instances/t{number}", _listed(number))
            entry[size] = watch(site, [ENTRY])[ENTRY]
    return fit_points("instances", "entry", "listed target", entry)


def sizes() -> list[Line]:
    """Weigh the objects themselves."""
    bundles = {}
    placements = {}
    for size in MODEL_SIZES:
        value = _bundle(size, 0)
        bundles[size] = float(len(json.dumps(value)))
        placements[size] = float(sum(len(json.dumps(record)) for record in _records(value)))
    with_adapters = {
        size: float(len(json.dumps(_bundle(ADAPTERS_OF_MODELS, size)))) for size in ADAPTER_SIZES
    }
    return [
        fit("sizes", "object API", "bundle bytes", "model", bundles),
        fit("sizes", "object API", "bundle bytes", "adapter", with_adapters),
        fit("sizes", "object API", "placement bytes", "model of 1 replica", placements),
    ]


def _over(
    sizes: tuple[int, ...], experiment: str, per: str, shape: Callable[[int], tuple[int, int]]
) -> list[Line]:
    entry: dict[int, Point] = {}
    target: dict[int, Point] = {}
    for size in sizes:
        with bench_site(overrides=QUIET, filled=False) as site:
            _write(site, _bundle(*shape(size)))
            found = watch(site, [ENTRY, TARGET])
            entry[size], target[size] = found[ENTRY], found[TARGET]
    return [
        *fit_points(experiment, "entry", per, entry),
        *fit_points(experiment, "target", per, target),
    ]


def _bundle(models: int, adapters: int) -> dict[str, Any]:
    shape = dataclasses.replace(PURAVIDA, models=models, adapters=adapters)
    bundle = bundle_value(shape)
    # One target must be able to hold them all, or the bundle is not rolled.
    for model in bundle["models"]:
        for entry in (model, *model["adapters"]):
            entry["memory_mb"] = 1
    return bundle


def _write(site: Site, bundle: dict[str, Any]) -> None:
    store = site.store()
    for record in _records(bundle):
        store.create(keys.placement(site.shape.region, record["model"]), record)
    site.roll(bundle, without_fit_check=True)
    site.await_entry(ENTRY)


def _records(bundle: dict[str, Any]) -> list[Any]:
    records = []
    for number, model in enumerate(bundle["models"]):
        replica = Replica(ELSEWHERE.format(number % SERVERS), "1", ReplicaState.READY)
        records.append(PlacementRecord(model["name"], 1, (replica,)).to_value())
    return records


def _listed(number: int) -> dict[str, str]:
    return {
        "name": f"t{number}",
        "role": "target",
        "address": f"127.0.0.1:{FIRST_PORT + number}",
        "region": PURAVIDA.region,
        "failure_domain": PURAVIDA.domains[number % len(PURAVIDA.domains)],
        "state": "live",
    }
