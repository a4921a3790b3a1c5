"""Run an engine keeper in this process against stand-in processes."""

import json
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from typing import Any

from behave.runner import Context

from harness import control
from harness.control import call
from mimosaspur_coordination.mirror import Mirror
from mimosaspur_daemon.engine_reconciler import EngineReconciler
from mimosaspur_daemon.engine_snapshot import ServingHooks
from mimosaspur_load.processes import stop_gracefully
from mimosaspur_state import keys
from mimosaspur_state.bundle import AdapterEntry
from mimosaspur_state.bundle import Bundle
from mimosaspur_state.bundle import BundleIndex
from mimosaspur_state.bundle import ModelEntry
from mimosaspur_state.clock import SystemClock
from mimosaspur_state.metrics import Metrics
from mimosaspur_state.placement import PlacementRecord
from mimosaspur_state.placement import Replica
from mimosaspur_state.placement import ReplicaState
from mimosaspur_state.placement import placement_from_value
from mimosaspur_state.settings import Settings
from mimosaspur_state.settings import settings_from_text
from mimosaspur_transport.engine import EngineAdmin
from mimosaspur_transport.objectapi import HttpObjectStore

TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.01
ENGINE_POLL_MS = 40
REGION = "alajuela"
TARGET = "target-1"
OTHER_TARGET = "target-2"
ENGINE_TIMEOUT_MS = 1000
STORE_TIMEOUT_MS = 1000
WATCH_MS = 1000
REQUESTS_PER_SECOND = 1000.0


wait_for = partial(control.wait_for, bound_s=TIMEOUT_S, poll_s=POLL_INTERVAL_S)


def assert_holds(condition: Callable[[], bool], ms: int, what: str) -> None:
    """Check that a condition holds over a time."""
    end = time.monotonic() + ms / 1000
    while time.monotonic() < end:
        assert condition(), what
        time.sleep(POLL_INTERVAL_S)


@dataclass(slots=True)
class RunningReconciler:
    """Hold a keeper and the threads that drive it."""

    reconciler: EngineReconciler
    stop: threading.Event
    threads: list[threading.Thread]

    def kill(self) -> None:
        """End it without any farewell."""
        self.stop.set()
        self.reconciler.wake.set()
        self.threads[0].join(TIMEOUT_S)


class PausedClock(SystemClock):
    """Jump ahead, as the clock does for a process that was paused."""

    __slots__ = ("paused_ms",)

    def __init__(self) -> None:
        self.paused_ms = 0

    def now_ms(self) -> int:
        """Return monotonic time with the pauses."""
        return super().now_ms() + self.paused_ms


@dataclass(slots=True)
class FakeServing:
    """Stand in for the serving side."""

    requests: dict[str, int] = field(default_factory=dict)
    closed: set[str] = field(default_factory=set)

    def hooks(self) -> ServingHooks:
        """Return what the keeper is given."""
        return ServingHooks(
            lambda name: self.requests.get(name, 0), self.closed.add, self.closed.discard
        )


@dataclass(slots=True)
class MemoryWorld:
    """Hold one scenario's stand-ins, records and keepers."""

    context: Context
    capacity_mb: list[int] = field(default_factory=lambda: [1000])
    checks_fencing: bool = True
    max_order_delay_ms: int = 500
    load_ms: int = 30
    engine: str = ""
    engine_process: Any = None
    api: str = ""
    store: HttpObjectStore = field(init=False)
    models: dict[str, ModelEntry] = field(default_factory=dict)
    index: BundleIndex | None = None
    reconcilers: list[RunningReconciler] = field(default_factory=list)
    serving: FakeServing = field(default_factory=FakeServing)
    clock: PausedClock = field(default_factory=PausedClock)
    fault_applied_at_ms: float = 0
    fault_delay_ms: int = 0
    ready_revision: int = 0

    def start_api(self) -> None:
        """Start the object API."""
        self.api = self.context.processes.start_stand_in("objectapi").address
        self.store = self.new_store("harness")

    def start_engine(self) -> None:
        """Start the engine, at its former address if it had one."""
        options = [f"--capacity-mb={mb}" for mb in self.capacity_mb]
        options += [f"--load-ms={self.load_ms}", f"--address={self.engine or '127.0.0.1:0'}"]
        if not self.checks_fencing:
            options.append("--ignore-fencing")
        self.engine_process = self.context.processes.start_stand_in("engine", *options)
        self.engine = self.engine_process.address

    def restart_engine(self) -> None:
        """End the engine and start it anew at its address; its log starts anew too."""
        self.check_memory()
        stop_gracefully(self.engine_process)
        self.start_engine()

    def check_memory(self) -> None:
        """Check the engine's own sums."""
        log = self.engine_log()
        sums = f"at most {log['max_used_mb']} of {self.capacity_mb} MB"
        assert not log["overcommitted"], f"the engine was overcommitted: {sums}"

    def new_store(self, caller: str) -> HttpObjectStore:
        """Return a way to the object API."""
        return HttpObjectStore(
            self.api,
            caller=caller,
            timeout_ms=STORE_TIMEOUT_MS,
            clock=SystemClock(),
            reads_per_second=REQUESTS_PER_SECOND,
            writes_per_second=REQUESTS_PER_SECOND,
        )

    def settings(self) -> Settings:
        """Return the target's settings."""
        value = {
            "role": "target",
            "instance": {"name": TARGET, "region": REGION, "failure_domain": "hangar-oeste"},
            "platform": {"object_api": self.api, "instance_list": self.api},
            "target": {
                "listen": "127.0.0.1:0",
                "kind": "engine",
                "address": self.engine,
                "checks_fencing": self.checks_fencing,
                "longest_order_delay_ms": self.max_order_delay_ms,
                "poll_ms": ENGINE_POLL_MS,
            },
        }
        return settings_from_text(json.dumps(value), file="memory.feature")

    def start_reconciler(self) -> None:
        """Start a keeper with its mirror."""
        store = self.new_store(TARGET)
        mirror = Mirror(store, (keys.placements(REGION),), wait_ms=WATCH_MS)
        keeper = EngineReconciler(
            self.settings(),
            store,
            EngineAdmin(self.engine, ENGINE_TIMEOUT_MS),
            self.clock,
            mirror,
            lambda: self.index,
            Metrics(),
            serving=self.serving.hooks(),
        )
        stop = threading.Event()
        runs = (keeper.run, mirror.run)
        threads = [threading.Thread(target=run, args=(stop,), daemon=True) for run in runs]
        self.reconcilers.append(RunningReconciler(keeper, stop, threads))
        for thread in threads:
            thread.start()

    @property
    def reconciler(self) -> EngineReconciler:
        """Return the newest keeper."""
        return self.reconcilers[-1].reconciler

    def close(self) -> None:
        """End all keepers."""
        for running in self.reconcilers:
            running.kill()

    def add_model(
        self, resident: str, memory_mb: int, adapters_mb: list[int], *, changed: str = "1"
    ) -> None:
        """Put a model in the bundle in force."""
        name, _, version = resident.partition("@")
        adapters = tuple(
            AdapterEntry(f"{name}-x{number}", changed, mb)
            for number, mb in enumerate(adapters_mb, start=1)
        )
        self.models[name] = ModelEntry(name, version, memory_mb, adapters=adapters)
        generation = self.index.generation + 1 if self.index else 1
        bundle = Bundle("memory", tuple(self.models.values()))
        self.index = BundleIndex.build(generation, bundle)

    def read_record(self, name: str) -> PlacementRecord:
        """Read a model's placement record."""
        item = self.store.get(keys.placement(REGION, name))
        return placement_from_value(item.value) if item else PlacementRecord(name, 1)

    def write_replica(self, resident: str, state: ReplicaState, *, target: str = TARGET) -> None:
        """Write a replica into its model's record."""
        name, _, version = resident.partition("@")
        self.write_record(self.read_record(name).with_replica(Replica(target, version, state)))

    def write_record(self, record: PlacementRecord) -> None:
        """Write a record whatever its version."""
        key = keys.placement(REGION, record.model)
        item = self.store.get(key)
        if item is None:
            self.store.create(key, record.to_value())
        else:
            self.store.update(key, record.to_value(), item.version)

    def replica_state(self, resident: str) -> ReplicaState | None:
        """Return the state of this target's replica in the record."""
        name, _, version = resident.partition("@")
        for replica in self.read_record(name).on_target(TARGET):
            if replica.version == version:
                return replica.state
        return None

    def residents(self) -> dict[str, str]:
        """Return the engine's models and adapters with their states."""
        found = call(self.engine, "GET", "/admin/state")["residents"]
        return {item["id"]: item["state"] for item in found if item["kind"] != "import"}

    def engine_log(self) -> Any:
        """Return what the engine notes for us."""
        return call(self.engine, "GET", "/log")
