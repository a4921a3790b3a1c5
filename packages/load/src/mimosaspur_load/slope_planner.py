"""Weigh one pass of the planner duty in this process, on a region where nothing has to move."""

import dataclasses
import time

from mimosaspur_coordination.planner import plan
from mimosaspur_coordination.view import DemandSum
from mimosaspur_coordination.view import Placed
from mimosaspur_coordination.view import PlannerView
from mimosaspur_load.shapes import CAPACITY_MB
from mimosaspur_load.shapes import PURAVIDA
from mimosaspur_load.shapes import bundle_value
from mimosaspur_load.slopes import Line
from mimosaspur_load.slopes import fit
from mimosaspur_state.bundle import BundleIndex
from mimosaspur_state.bundle import bundle_from_value
from mimosaspur_state.placement import PlacementRecord
from mimosaspur_state.placement import Replica
from mimosaspur_state.placement import ReplicaState
from mimosaspur_state.records import TargetStatus

MODEL_SIZES = (40, 400, 1500)
MODELS_PER_TARGET = 2
ADAPTERS_PER_MODEL = 2
PASSES = 3
REQUESTS = 20
MS_PER_SECOND = 1000
RECORD_VERSION = 1


class NoLoads:
    """Hand out no token, as when the weight store is fully used."""

    def take(self, n: int = 1) -> bool:
        """Refuse."""
        return False


def planner() -> list[Line]:
    """Time planning passes that change nothing, at two models for each target."""
    found: dict[int, float] = {}
    for models in MODEL_SIZES:
        view = _view(models)
        began = time.process_time()
        for _ in range(PASSES):
            plan(view, NoLoads())
        found[models] = (time.process_time() - began) * MS_PER_SECOND / PASSES
    per = "model, at 2 models for each target"
    return [fit("planner", "planner duty", "processor ms per pass", per, found)]


def _view(models: int) -> PlannerView:
    shape = dataclasses.replace(PURAVIDA, models=models, adapters=models * ADAPTERS_PER_MODEL)
    bundle = bundle_from_value(bundle_value(shape))
    targets = models // MODELS_PER_TARGET
    free_mb = [[CAPACITY_MB, CAPACITY_MB] for _ in range(targets)]
    placed: dict[str, Placed] = {}
    for number, model in enumerate(bundle.models):
        free_mb[number % targets][number // targets] -= model.total_mb()
        replica = Replica(f"target-{number % targets}", model.version, ReplicaState.READY)
        record = PlacementRecord(model.name, 1, (replica,))
        placed[model.name] = Placed(record, RECORD_VERSION)
    return PlannerView(
        index=BundleIndex.build(1, bundle),
        placed=placed,
        alive={f"target-{n}": _status(n, tuple(free)) for n, free in enumerate(free_mb)},
        now_ms=0,
        demand={model.name: DemandSum(REQUESTS, 0) for model in bundle.models},
    )


def _status(number: int, free_mb: tuple[int, ...]) -> TargetStatus:
    return TargetStatus(
        instance=f"target-{number}",
        incarnation="1",
        kind="engine",
        service="",
        failure_domain=PURAVIDA.domains[number % len(PURAVIDA.domains)],
        address="127.0.0.1:1",
        capacity_mb=(CAPACITY_MB, CAPACITY_MB),
        free_mb=free_mb,
        residents=(),
        draining=False,
        active=0,
        queued=0,
        slots=PURAVIDA.slots,
        beat=1,
    )
