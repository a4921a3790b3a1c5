"""Run a small site of stand-in and daemon processes on loopback."""

import json
import signal
import sys
import tempfile
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from pathlib import Path
from typing import Any

from behave.runner import Context

from harness.caller import chat_call
from harness.control import call
from harness.control import wait_for
from harness.site_parts import Daemon
from harness.site_parts import Relay
from mimosaspur_coordination import rolls
from mimosaspur_load.processes import Processes
from mimosaspur_load.processes import Started
from mimosaspur_load.processes import kill
from mimosaspur_state import keys
from mimosaspur_state.bundle import bundle_from_value
from mimosaspur_state.clock import SystemClock
from mimosaspur_transport.objectapi import HttpObjectStore

REGION = "alajuela"
DOMAINS = ("terminal-norte", "terminal-sur", "hangar-oeste")
DAEMON_COMMAND = (sys.executable, "-m", "mimosaspur_daemon.main")
CAPACITY_MB = 1000
QUICK_PLANNER = {"interval_ms": 200, "lease_ms": 1500, "status_grace_ms": 3000}
QUICK_PEERS = {"heartbeat_ms": 200, "silent_ms": 800, "connect_ms": 500}


@dataclass(slots=True)
class Site:
    """Start and control the processes of a site; all end with the scenario."""

    processes: Processes
    api: str = ""
    weights: str = ""
    engines: dict[str, Started] = field(default_factory=dict)
    services: dict[str, Started] = field(default_factory=dict)
    daemons: dict[str, Daemon] = field(default_factory=dict)
    relays: dict[str, Relay] = field(default_factory=dict)
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="site-")))

    def start(self, *, api_options: tuple[str, ...] = ()) -> None:
        """Start the stand-ins of the object API and the weight store."""
        self.api = self.processes.start_stand_in("objectapi", *api_options).address
        options = ("--loads-per-second", "50", "--at-once", "6", "--ms-per-gb", "50")
        self.weights = self.processes.start_stand_in("weightstore", *options).address

    def relay(self, name: str, to: str) -> Relay:
        """Start a relay to an address."""
        announced = self.processes.start_stand_in("relay", "--to", to).announcement
        self.relays[name] = Relay(announced["address"], announced["control"])
        return self.relays[name]

    def engine(self, name: str, *options: str, address: str = "127.0.0.1:0") -> str:
        """Start an engine, by default with one accelerator."""
        capacity = () if "--capacity-mb" in options else ("--capacity-mb", str(CAPACITY_MB))
        command = (*capacity, "--weights", self.weights, "--address", address, *options)
        self.engines[name] = self.processes.start_stand_in("engine", *command)
        return self.engines[name].address

    def model_target(
        self,
        name: str,
        *,
        domain: str | None = None,
        engine_options: tuple[str, ...] = (),
        engine_relay: bool = False,
        relay: bool = False,
        api: str = "",
        **target: Any,
    ) -> Daemon:
        """Start an engine and its target daemon, each optionally behind a relay."""
        address = self.engine(name, *engine_options)
        if engine_relay:
            address = self.relay(f"engine of {name}", address).address
        section = {"kind": "engine", "address": address, "poll_ms": 50, "status_ms": 500}
        return self._target(name, domain, {**section, **target}, relay=relay, api=api)

    def service_target(
        self,
        name: str,
        service: str,
        *,
        domain: str | None = None,
        options: tuple[str, ...] = (),
        service_relay: bool = False,
        relay: bool = False,
        api: str = "",
        **target: Any,
    ) -> Daemon:
        """Start a plain service and its target daemon, each optionally behind a relay."""
        self.services[name] = self.processes.start_stand_in("service", *options)
        address = self.services[name].address
        if service_relay:
            address = self.relay(f"service of {name}", address).address
        section = {"kind": "service", "service": service, "address": address, "status_ms": 500}
        return self._target(name, domain, {**section, **target}, relay=relay, api=api)

    def entry(
        self,
        name: str,
        *,
        domain: str | None = None,
        api: str = "",
        relay: bool = False,
        settings: dict[str, Any] | None = None,
        **entry: Any,
    ) -> Daemon:
        """Start an entry daemon."""
        section = {"listen": "127.0.0.1:0", "workers": 24, "max_in_flight": 16, **entry}
        return self._daemon(name, "entry", domain, section, relay, api, settings or {})

    def restart(self, name: str) -> Daemon:
        """Restart an ended daemon with the same address and settings."""
        daemon = self.daemons[name]
        daemon.settings[daemon.role]["listen"] = daemon.address
        daemon.started = self._start(name, daemon.settings)
        return daemon

    def kill(self, name: str) -> None:
        """Kill a daemon without graceful shutdown."""
        kill(self.daemons[name].started)

    def kill_engine(self, name: str) -> None:
        """Kill an engine without graceful shutdown."""
        kill(self.engines[name])

    def terminate(self, name: str) -> None:
        """Ask a daemon for a graceful shutdown, without waiting for it."""
        self.daemons[name].started.process.send_signal(signal.SIGTERM)

    def pause(self, name: str) -> None:
        """Suspend a daemon with SIGSTOP."""
        self.daemons[name].started.process.send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended daemon."""
        self.daemons[name].started.process.send_signal(signal.SIGCONT)

    def store(self) -> HttpObjectStore:
        """Return an object store client that acts as an operator."""
        return HttpObjectStore(
            self.api,
            caller="operator",
            timeout_ms=2000,
            clock=SystemClock(),
            reads_per_second=1000,
            writes_per_second=1000,
        )

    def roll(self, name: str, models: list[dict[str, Any]], services: tuple[str, ...] = ()) -> int:
        """Write, approve and roll a bundle; return its generation."""
        self.write(name, models, services)
        return self.roll_approved(name).roll.generation

    def write(
        self,
        name: str,
        models: list[dict[str, Any]],
        services: tuple[str, ...] = (),
        *,
        operator: str = "ana",
    ) -> None:
        """Write a bundle and approve it as a second operator."""
        value = {
            "name": name,
            "models": models,
            "services": [{"name": service} for service in services],
        }
        store, clock = self.store(), SystemClock()
        rolls.write_bundle(store, clock, bundle_from_value(value), operator=operator)
        rolls.approve(store, clock, name, operator="luis")

    def roll_approved(self, name: str, *, operator: str = "ana") -> rolls.RollResult:
        """Roll an approved bundle."""
        return rolls.roll(self.store(), SystemClock(), name, operator=operator)

    def wait_for_targets(self) -> None:
        """Wait until every target has reported its memory."""
        expected = sum(1 for daemon in self.daemons.values() if daemon.role == "target")

        def reported() -> bool:
            found = self.store().list(keys.statuses(REGION)).objects
            ready = [item for item in found if item.value["capacity_mb"] or item.value["service"]]
            return len(ready) >= expected

        wait_for(reported, "every target's status")

    def wait_until_served(self, entry: str, *models: str) -> None:
        """Wait until an entry serves models."""
        for name in models:
            wait_for(partial(self.serves, entry, name), f"{entry} serves {name}")

    def serves(self, entry: str, name: str) -> bool:
        """Return whether an entry currently serves a model."""
        return chat_call(self.daemons[entry].public, name, "x", max_tokens=1).wait().is_complete()

    def replicas(self, model: str) -> dict[str, str]:
        """Return the state of a model's replicas by target and version."""
        found = self.store().get(keys.placement(REGION, model))
        if found is None:
            return {}
        return {f"{r['target']} {r['version']}": r["state"] for r in found.value["replicas"]}

    def engine_log(self, name: str) -> Any:
        """Return the log of an engine stand-in."""
        return call(self.engines[name].address, "GET", "/log")

    def service_log(self, name: str) -> Any:
        """Return the log of a service stand-in."""
        return call(self.services[name].address, "GET", "/log")

    def list_instance(self, daemon: Daemon, *, state: str = "live") -> None:
        """Add a daemon to the instance list."""
        value = {
            "name": daemon.name,
            "role": daemon.role,
            "address": daemon.public,
            "region": REGION,
            "failure_domain": daemon.domain,
            "state": state,
        }
        call(self.api, "PUT", f"/instances/{daemon.name}", value)

    def _target(
        self, name: str, domain: str | None, section: dict[str, Any], *, relay: bool, api: str
    ) -> Daemon:
        section = {"listen": "127.0.0.1:0", **section}
        return self._daemon(name, "target", domain, section, relay, api, {})

    def _daemon(
        self,
        name: str,
        role: str,
        domain: str | None,
        section: dict[str, Any],
        relay: bool,
        api: str,
        overrides: dict[str, Any],
    ) -> Daemon:
        domain = domain or DOMAINS[len(self.daemons) % len(DOMAINS)]
        settings = {
            "role": role,
            "instance": {"name": name, "region": REGION, "failure_domain": domain},
            "platform": {
                "object_api": api or self.api,
                "instance_list": self.api,
                "timeout_ms": 1000,
                "watch_ms": 1000,
                "instance_list_ms": 200,
                "reads_per_second": 200,
                "writes_per_second": 200,
            },
            "peers": QUICK_PEERS,
            "planner": QUICK_PLANNER,
            "weight_store": {"loads_per_second": 50, "at_once": 6},
            role: section,
            **overrides,
        }
        started = self._start(name, settings)
        public = self.relay(name, started.address).address if relay else started.address
        daemon = Daemon(name, role, domain, settings, started, public)
        self.daemons[name] = daemon
        self.list_instance(daemon)
        return daemon

    def _start(self, name: str, settings: dict[str, Any]) -> Started:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        return self.processes.start([*DAEMON_COMMAND, "--settings", str(path)])


def start_scenario_site(context: Context) -> Site:
    """Start the platform's stand-ins of a scenario's site."""
    site = Site(context.processes)
    context.site = site
    site.start()
    return site


def model(name: str, *, version: str = "1", mb: int = 100, **entry: Any) -> dict[str, Any]:
    """Describe a model for a bundle."""
    return {"name": name, "version": version, "memory_mb": mb, **entry}
