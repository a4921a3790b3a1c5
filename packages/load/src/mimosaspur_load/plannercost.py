"""Time the planner's passes over a made-up region: one JSON line, times in ms."""

import argparse
import json
import time
from dataclasses import dataclass
from dataclasses import field
from random import Random

import msgspec

from mimosaspur_coordination.packing import Need
from mimosaspur_coordination.packing import choose_accelerators
from mimosaspur_coordination.planner import plan
from mimosaspur_coordination.view import DemandSum
from mimosaspur_coordination.view import Placed
from mimosaspur_coordination.view import PlannerView
from mimosaspur_coordination.view import RecordChange
from mimosaspur_state.bundle import Bundle
from mimosaspur_state.bundle import BundleIndex
from mimosaspur_state.bundle import ModelEntry
from mimosaspur_state.placement import PlacementRecord
from mimosaspur_state.placement import Replica
from mimosaspur_state.placement import ReplicaState
from mimosaspur_state.records import TargetStatus

ACCELERATORS = 4
CAPACITY_MB = 80_000
DOMAINS = 4
SLOTS = 8
REPLICAS = (1, 2, 2, 3)
WIDTHS = (1, 1, 1, 2)
REQUESTS = 60
AT_ONCE = 6
MOST_PASSES = 5000
IDLE_PASSES = 20
LOST = "t0"


class Unlimited:
    """Give a token whenever asked."""

    def take(self, n: int = 1) -> bool:
        """Take a token."""
        return True


@dataclass(slots=True)
class Region:
    """Hold records and targets that do at once what the planner asks."""

    index: BundleIndex
    alive: dict[str, TargetStatus]
    placed: dict[str, Placed] = field(default_factory=dict)
    at_once: int = AT_ONCE
    now_ms: int = 0

    def timed_pass(self) -> tuple[float, list[RecordChange]]:
        """Run one pass; return its ms and its changes."""
        self.now_ms += 1000
        view = PlannerView(
            index=self.index,
            placed=self.placed,
            alive=self.alive,
            now_ms=self.now_ms,
            demand={name: DemandSum(REQUESTS, 0) for name in self.index.models},
            max_concurrent_loads=self.at_once,
        )
        started = time.perf_counter()
        changes = plan(view, Unlimited())
        return (time.perf_counter() - started) * 1000, changes

    def settle(self) -> tuple[list[float], bool]:
        """Pass until nothing changes; return each pass's ms, and whether all ended ready."""
        times = []
        for _ in range(MOST_PASSES):
            ms, changes = self.timed_pass()
            times.append(ms)
            if not changes:
                break
            for change in changes:
                self.answer(change)
        return times, all(self._ready(name) for name in self.index.models)

    def answer(self, change: RecordChange) -> None:
        """Write a change and have its targets follow it."""
        if change.new is None:
            self.placed.pop(change.model)
            return
        record = change.new
        for replica in record.replicas:
            if replica.state is ReplicaState.LOAD and self._load(change.model, replica):
                record = record.with_replica(
                    Replica(replica.target, replica.version, ReplicaState.READY)
                )
            elif replica.state is ReplicaState.LEAVING:
                self._unload(change.model, replica)
                record = record.without(replica.target, replica.version)
        self.placed[change.model] = Placed(record, change.record_version + 1)

    def _ready(self, name: str) -> bool:
        record = self.placed[name].record if name in self.placed else PlacementRecord(name, 0)
        return any(replica.target in self.alive for replica in record.ready())

    def _load(self, model: str, replica: Replica) -> bool:
        status = self.alive[replica.target]
        need = Need.of(self.index.models[model])
        chosen = choose_accelerators(status.free_mb, need.memory_mb, need.accelerators)
        if chosen is None:
            return False
        resident = f"{model}@{replica.version}"
        self._put(status, {**status.layout, resident: chosen}, chosen, -need.memory_mb)
        return True

    def _unload(self, model: str, replica: Replica) -> None:
        status = self.alive[replica.target]
        layout = dict(status.layout)
        chosen = layout.pop(f"{model}@{replica.version}")
        self._put(status, layout, chosen, self.index.models[model].memory_mb)

    def _put(
        self,
        status: TargetStatus,
        layout: dict[str, tuple[int, ...]],
        chosen: tuple[int, ...],
        mb: int,
    ) -> None:
        free = [free + mb * (index in chosen) for index, free in enumerate(status.free_mb)]
        self.alive[status.instance] = msgspec.structs.replace(
            status, free_mb=tuple(free), residents=tuple(layout), layout=layout
        )


def made_up(targets: int, models: int, fill: float, seed: int) -> Region:
    """Return an empty region and a bundle that takes this share of its memory."""
    random = Random(seed)
    shapes = [(random.choice(WIDTHS), random.choice(REPLICAS)) for _ in range(models)]
    weights = [random.uniform(0.5, 1.5) for _ in range(models)]
    weight = sum(w * width * count for w, (width, count) in zip(weights, shapes, strict=True))
    unit_mb = fill * targets * ACCELERATORS * CAPACITY_MB / weight
    entries = tuple(
        ModelEntry(
            f"m{number}",
            "1",
            min(CAPACITY_MB, round(w * unit_mb)),
            accelerators=width,
            replicas=count,
            priority=random.randint(0, 9),
        )
        for number, (w, (width, count)) in enumerate(zip(weights, shapes, strict=True))
    )
    alive = {f"t{number}": _status(number) for number in range(targets)}
    return Region(BundleIndex.build(1, Bundle("made-up", entries)), alive)


def _status(number: int) -> TargetStatus:
    capacity_mb = (CAPACITY_MB,) * ACCELERATORS
    return TargetStatus(
        instance=f"t{number}",
        incarnation="1",
        kind="engine",
        service="",
        failure_domain=f"d{number % DOMAINS}",
        address="",
        capacity_mb=capacity_mb,
        free_mb=capacity_mb,
        residents=(),
        draining=False,
        active=0,
        queued=0,
        slots=SLOTS,
        beat=1,
    )


def measure(region: Region) -> dict[str, object]:
    """Place the bundle, idle, lose a target and recover; return the times."""
    first, placed = region.settle()
    idle = sorted(region.timed_pass()[0] for _ in range(IDLE_PASSES))
    region.alive.pop(LOST)
    lost, recovered = region.settle()
    return {
        "first_placement_ms": round(sum(first), 1),
        "first_placement_passes": len(first),
        "first_placement_longest_pass_ms": round(max(first), 1),
        "all_ready": placed,
        "replicas": sum(len(placed.record.replicas) for placed in region.placed.values()),
        "idle_pass_ms": round(idle[len(idle) // 2], 2),
        "idle_pass_longest_ms": round(idle[-1], 2),
        "pass_after_loss_ms": round(lost[0], 1),
        "recovery_ms": round(sum(lost), 1),
        "recovery_passes": len(lost),
        "all_ready_after_loss": recovered,
    }


def main() -> None:
    """Print the times of a region of this size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--targets", type=int, default=9)
    parser.add_argument("--models", type=int, default=40)
    parser.add_argument("--fill", type=float, default=0.7, help="share of the memory in use")
    parser.add_argument("--at-once", type=int, default=AT_ONCE)
    parser.add_argument("--seed", type=int, default=1)
    asked = parser.parse_args()
    region = made_up(asked.targets, asked.models, asked.fill, asked.seed)
    region.at_once = asked.at_once
    print(json.dumps({**vars(asked), **measure(region)}))


if __name__ == "__main__":
    main()
