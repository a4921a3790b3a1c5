"""Start a whole site on loopback, and break it on order."""

import json
import shutil
import sys
import tempfile
import time
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Any

from mimosaspur_coordination import rolls
from mimosaspur_load.control import call
from mimosaspur_load.control import status_of
from mimosaspur_load.control import wait_for
from mimosaspur_load.processes import Processes
from mimosaspur_load.processes import Started
from mimosaspur_load.processes import kill
from mimosaspur_load.processes import stop_gracefully
from mimosaspur_load.shapes import ACCELERATORS
from mimosaspur_load.shapes import CAPACITY_MB
from mimosaspur_load.shapes import SERVICE
from mimosaspur_load.shapes import Shape
from mimosaspur_load.variants import Variant
from mimosaspur_state import keys
from mimosaspur_state.bundle import bundle_from_value
from mimosaspur_state.clock import SystemClock
from mimosaspur_transport.objectapi import HttpObjectStore

DAEMON = (sys.executable, "-m", "mimosaspur_daemon.main")
START_S = 60.0
FILL_S = 240.0
LIST_LAG_S = 2.0
WRITES_PER_SECOND = 300
READS_PER_SECOND = 2000
OPERATOR_TIMEOUT_MS = 5000
# What the measurement itself may take of the object API's rates.
OPERATOR_SHARE = 0.5


@dataclass(slots=True)
class Daemon:
    """Hold one of our processes, its settings, and how it is listed."""

    name: str
    role: str
    domain: str
    settings: dict[str, Any]
    started: Started


@dataclass(slots=True)
class Site:
    """Own a site's processes; close ends them all."""

    shape: Shape
    variant: Variant
    processes: Processes = field(default_factory=Processes)
    api: str = ""
    weights: str = ""
    engines: dict[str, Started] = field(default_factory=dict)
    services: dict[str, Started] = field(default_factory=dict)
    daemons: dict[str, Daemon] = field(default_factory=dict)
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="load-site-")))

    def start_all(self) -> None:
        """Start every process of the site and wait until each target has reported."""
        self.start_platform()
        for number in range(self.shape.model_servers):
            self.start_model_server(f"model-server-{number}", number)
        for number in range(self.shape.service_servers):
            self.start_service_server(f"service-server-{number}", number)
        for number in range(self.shape.entries):
            self.start_entry(f"entry-{number}", number)
        self.await_targets()

    def start_platform(self) -> None:
        """Start the object API with its rates and the weight store with its limits."""
        rates = ("--writes-per-second", str(WRITES_PER_SECOND))
        reads = ("--reads-per-second", str(READS_PER_SECOND))
        self.api = self.processes.start_stand_in("objectapi", *rates, *reads).address
        shape = self.shape
        limits = ("--loads-per-second", str(shape.loads_per_second), "--at-once")
        speed = (str(shape.at_once), "--ms-per-gb", str(shape.ms_per_gb))
        self.weights = self.processes.start_stand_in("weightstore", *limits, *speed).address

    def start_model_server(self, name: str, number: int, *, address: str = "127.0.0.1:0") -> Daemon:
        """Start an engine and the target process beside it."""
        shape = self.shape
        options = ["--weights", self.weights, "--address", address]
        options += ["--capacity-mb", str(CAPACITY_MB)] * ACCELERATORS
        options += ["--slots", str(shape.slots), "--prefill-ms", str(shape.prefill_ms)]
        options += ["--token-ms", str(shape.token_ms)]
        self.engines[name] = self.processes.start_stand_in("engine", *options)
        section = {"kind": "engine", "address": self.engines[name].address, "slots": shape.slots}
        return self.start_daemon(name, "target", number, section)

    def start_service_server(self, name: str, number: int) -> Daemon:
        """Start a plain service and the target process beside it."""
        options = ("--work-ms", str(self.shape.service_ms))
        self.services[name] = self.processes.start_stand_in("service", *options)
        address = self.services[name].address
        section = {"kind": "service", "service": SERVICE, "address": address}
        return self.start_daemon(name, "target", number, section)

    def start_entry(self, name: str, number: int, **section: Any) -> Daemon:
        """Start an entry."""
        return self.start_daemon(name, "entry", number, section)

    def start_daemon(self, name: str, role: str, number: int, section: dict[str, Any]) -> Daemon:
        """Start one of our processes and enter it in the instance list."""
        shape = self.shape
        domain = shape.domains[number % len(shape.domains)]
        limits = {"loads_per_second": shape.loads_per_second, "at_once": shape.at_once}
        settings = self.variant.apply(
            {
                "role": role,
                "instance": {"name": name, "region": shape.region, "failure_domain": domain},
                "platform": {"object_api": self.api, "instance_list": self.api},
                "weight_store": limits,
                role: {"listen": "127.0.0.1:0", **section},
            }
        )
        daemon = Daemon(name, role, domain, settings, self._start(name, settings))
        self.daemons[name] = daemon
        self.list_instance(daemon)
        return daemon

    def list_instance(self, daemon: Daemon, *, state: str = "live") -> None:
        """Enter a daemon in the instance list."""
        value = {
            "name": daemon.name,
            "role": daemon.role,
            "address": daemon.started.address,
            "region": self.shape.region,
            "failure_domain": daemon.domain,
            "state": state,
        }
        call(self.api, "PUT", f"/instances/{daemon.name}", value)

    def replace(self, name: str) -> None:
        """Shut a daemon down gracefully and start it again at its address."""
        daemon = self.daemons[name]
        self.list_instance(daemon, state="leaving")
        if not stop_gracefully(daemon.started):
            print(f"load: {name} did not stop within its grace", file=sys.stderr)
        daemon.settings[daemon.role]["listen"] = daemon.started.address
        daemon.started = self._start(name, daemon.settings)
        self.list_instance(daemon)
        if daemon.role == "entry":
            self.await_entry(name)

    def lose(self, name: str) -> None:
        """Kill a model server: the target process and its engine; the list tells it later."""
        kill(self.daemons[name].started)
        kill(self.engines[name])
        time.sleep(LIST_LAG_S)
        call(self.api, "DELETE", f"/instances/{name}")

    def entries(self) -> list[str]:
        """Return the entries' addresses."""
        return [item.started.address for item in self.daemons.values() if item.role == "entry"]

    def store(self) -> HttpObjectStore:
        """Reach the object API as an operator does."""
        return HttpObjectStore(
            self.api,
            caller="operator",
            timeout_ms=OPERATOR_TIMEOUT_MS,
            clock=SystemClock(),
            reads_per_second=READS_PER_SECOND * OPERATOR_SHARE,
            writes_per_second=WRITES_PER_SECOND * OPERATOR_SHARE,
        )

    def roll(self, value: dict[str, Any], *, without_fit_check: bool = False) -> int:
        """Write, approve and roll a bundle; return its generation."""
        store, clock, name = self.store(), SystemClock(), str(value["name"])
        rolls.write_bundle(store, clock, bundle_from_value(value), operator="ana")
        rolls.approve(store, clock, name, operator="luis")
        result = rolls.roll(store, clock, name, operator="ana", without_fit_check=without_fit_check)
        return result.roll.generation

    def limit_weights(self, loads_per_second: int) -> None:
        """Set the weight store's rate; 0 is no limit."""
        call(self.weights, "POST", "/limits", {"loads_per_second": loads_per_second})

    def await_targets(self) -> None:
        """Wait until every target has reported its memory or its service."""
        prefix = keys.statuses(self.shape.region)
        targets = sum(1 for daemon in self.daemons.values() if daemon.role == "target")

        def reported() -> bool:
            found = self.store().list(prefix).objects
            ready = [item for item in found if item.value["capacity_mb"] or item.value["service"]]
            return len(ready) >= targets

        wait_for(reported, "every target's status", bound_s=START_S)

    def await_entry(self, name: str) -> None:
        """Wait until an entry says that callers may be sent to it."""
        address = self.daemons[name].started.address
        wait_for(lambda: status_of(address, "/readyz") == 200, f"{name} ready", bound_s=START_S)

    def await_placed(self, models: int) -> float:
        """Wait until that many models have a ready replica; return the seconds it took."""
        prefix = keys.placements(self.shape.region)

        def placed() -> bool:
            records = [item.value["replicas"] for item in self.store().list(prefix).objects]
            ready = [any(item["state"] == "ready" for item in found) for found in records]
            return sum(ready) >= models

        return wait_for(placed, f"{models} models ready", bound_s=FILL_S)

    def close(self) -> None:
        """End every process of the site."""
        self.processes.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _start(self, name: str, settings: dict[str, Any]) -> Started:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        return self.processes.start([*DAEMON, "--settings", str(path)])
