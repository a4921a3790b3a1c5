"""Run an engine reconciler in this process against stand-in processes."""

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


wait_for = partial(control.wait_for, timeout_s=TIMEOUT_S, poll_interval_s=POLL_INTERVAL_S)


def assert_holds(condition: Callable[[], bool], ms: int, what: str) -> None:
    """Assert that a condition holds for a duration."""
    end = time.monotonic() + ms / 1000
    while time.monotonic() < end:
        assert condition(), what
        time.sleep(POLL_INTERVAL_S)


@dataclass(slots=True)
class RunningReconciler:
    """Hold a reconciler and its threads."""

    reconciler: EngineReconciler
    stop: threading.Event
    threads: list[threading.Thread]

    def kill(self) -> None:
        """Stop the reconciler without a graceful shutdown."""
        self.stop.set()
        self.reconciler.wake.set()
        self.threads[0].join(TIMEOUT_S)


class PausedClock(SystemClock):
    """Advance the clock by simulated pauses of the process."""

    __slots__ = ("paused_ms",)

    def __init__(self) -> None:
        self.paused_ms = 0

    def now_ms(self) -> int:
        """Return monotonic time plus the pauses."""
        return super().now_ms() + self.paused_ms


@dataclass(slots=True)
class FakeServing:
    """Simulate the serving side."""

    requests: dict[str, int] = field(default_factory=dict)
    closed: set[str] = field(default_factory=set)

    def hooks(self) -> ServingHooks:
        """Return the hooks for the reconciler."""
        return ServingHooks(
            lambda name: self.requests.get(name, 0), self.closed.add, self.closed.discard
        )


@dataclass(slots=True)
class MemoryWorld:
    """Hold one scenario's stand-ins, records and reconcilers."""

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
        """Start the engine, at its previous address if it had one."""
        options = [f"--capacity-mb={mb}" for mb in self.capacity_mb]
        options += [f"--load-ms={self.load_ms}", f"--address={self.engine or '127.0.0.1:0'}"]
        if not self.checks_fencing:
            options.append("--ignore-fencing")
        self.engine_process = self.context.processes.start_stand_in("engine", *options)
        self.engine = self.engine_process.address

    def restart_engine(self) -> None:
        """Restart the engine at its address with an empty log."""
        self.check_memory()
        stop_gracefully(self.engine_process)
        self.start_engine()

    def check_memory(self) -> None:
        """Assert that the engine was never overcommitted."""
        log = self.engine_log()
        usage = f"at most {log['max_used_mb']} of {self.capacity_mb} MB"
        assert not log["overcommitted"], f"the engine was overcommitted: {usage}"

    def new_store(self, caller: str) -> HttpObjectStore:
        """Return a client of the object API."""
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
        """Start a reconciler with its mirror."""
        store = self.new_store(TARGET)
        mirror = Mirror(store, (keys.placements(REGION),), wait_ms=WATCH_MS)
        reconciler = EngineReconciler(
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
        targets = (reconciler.run, mirror.run)
        threads = [threading.Thread(target=run, args=(stop,), daemon=True) for run in targets]
        self.reconcilers.append(RunningReconciler(reconciler, stop, threads))
        for thread in threads:
            thread.start()

    @property
    def reconciler(self) -> EngineReconciler:
        """Return the newest reconciler."""
        return self.reconcilers[-1].reconciler

    def close(self) -> None:
        """Stop all reconcilers."""
        for running in self.reconcilers:
            running.kill()

    def add_model(
        self, resident: str, memory_mb: int, adapters_mb: list[int], *, adapter_version: str = "1"
    ) -> None:
        """Add a model to the current bundle."""
        name, _, version = resident.partition("@")
        adapters = tuple(
            AdapterEntry(f"{name}-x{number}", adapter_version, mb)
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
        """Add a replica to its model's record."""
        name, _, version = resident.partition("@")
        self.write_record(self.read_record(name).with_replica(Replica(target, version, state)))

    def write_record(self, record: PlacementRecord) -> None:
        """Create or overwrite a record."""
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
        """Return the engine stand-in's log."""
        return call(self.engine, "GET", "/log")
