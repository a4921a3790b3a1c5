"""Sample every served name of a site during rolls and faults."""

import time
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from typing import Any

from harness.caller import chat_call
from harness.control import call
from harness.repeater import Repeater
from harness.site import Site
from harness.site import model
from mimosaspur_standins.answers import expected_answer

SAMPLE_TOKENS = 2
SAMPLE_INTERVAL_S = 0.02
CALL_TIMEOUT_S = 60.0


def parse_models(text: str) -> list[dict[str, Any]]:
    """Parse "a@1:500:p3+x@1:50 b@1:300" into models with adapters.

    A model is NAME@VERSION:MB, then p and its priority or r and its replica count; "+" adds an
    adapter.
    """
    return [_parse_model(item) for item in text.split()]


def served_names(text: str) -> list[str]:
    """Return the served names of a bundle in this notation."""
    result = []
    for entry in parse_models(text):
        result += [entry["name"], *(adapter["name"] for adapter in entry.get("adapters", ()))]
    return result


def residents_by_name(text: str) -> dict[str, str]:
    """Return the resident behind each served name."""
    result = {}
    for entry in parse_models(text):
        for part in (entry, *entry.get("adapters", ())):
            result[part["name"]] = f"{part['name']}@{part['version']}"
    return result


def _parse_model(text: str) -> dict[str, Any]:
    base, *adapters = text.split("+")
    name, mb, *options = base.split(":")
    kinds = {"p": "priority", "r": "replicas"}
    extra: dict[str, Any] = {kinds[option[0]]: int(option[1:]) for option in options}
    if adapters:
        extra["adapters"] = [_parse_adapter(item) for item in adapters]
    base_name, _, version = name.partition("@")
    return model(base_name, version=version, mb=int(mb), **extra)


def _parse_adapter(text: str) -> dict[str, Any]:
    name, _, mb = text.partition(":")
    base_name, _, version = name.partition("@")
    return {"name": base_name, "version": version, "memory_mb": int(mb)}


@dataclass(slots=True)
class Sampler:
    """Request each served name continuously until stopped, and record the failures."""

    site: Site
    entry: str
    allowed_residents: dict[str, set[str]]
    repeaters: list[Repeater] = field(default_factory=list)
    request_counts: dict[str, int] = field(default_factory=dict)
    failures: list[str] = field(default_factory=list)
    started_at: float = 0.0

    def start(self) -> None:
        """Start one thread per name."""
        self.started_at = time.monotonic()
        self.request_counts = dict.fromkeys(self.allowed_residents, 0)
        for name in self.allowed_residents:
            send = partial(self._send_request, name)
            self.repeaters.append(
                Repeater(send, interval_s=SAMPLE_INTERVAL_S, stop_timeout_s=CALL_TIMEOUT_S)
            )

    def stop(self) -> None:
        """Stop sampling and wait for the last answers."""
        for steady in self.repeaters:
            steady.stop_requested.set()
        for steady in self.repeaters:
            steady.stop()

    def all_counts_exceed(self, count: int) -> bool:
        """Return whether each name was requested more than `count` times."""
        return min(self.request_counts.values()) > count

    def _send_request(self, name: str) -> None:
        address = self.site.daemons[self.entry].public
        self.request_counts[name] += 1
        content = f"{name} {self.request_counts[name]}"
        reply = chat_call(address, name, content, max_tokens=SAMPLE_TOKENS).wait()
        allowed = [
            expected_answer(it, content, SAMPLE_TOKENS) for it in self.allowed_residents[name]
        ]
        if not reply.is_complete() or reply.text() not in allowed:
            at_ms = round((time.monotonic() - self.started_at) * 1000)
            self.failures.append(f"{at_ms} ms {name}: {reply.status} {reply.body[:200]!r}")


def engine_logs(site: Site) -> dict[str, Any]:
    """Return the logs of the engines that still run."""
    running = [name for name, item in site.engines.items() if item.process.poll() is None]
    return {name: site.engine_log(name) for name in running}


def is_roll_complete(site: Site, bundle: str) -> bool:
    """Return whether records and engines hold exactly the bundle's residents."""
    for entry in parse_models(bundle):
        states = site.replicas(entry["name"])
        versions = {key.split()[1] for key in states}
        if versions != {entry["version"]} or set(states.values()) != {"ready"}:
            return False
    held = set()
    for engine in site.engines.values():
        residents = call(engine.address, "GET", "/admin/state")["residents"]
        held |= {item["id"] for item in residents}
    return held == set(residents_by_name(bundle).values())
