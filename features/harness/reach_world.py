"""Sample every served name of a site while something happens to it."""

import time
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from typing import Any

from harness.caller import chat_call
from harness.control import call
from harness.site import Site
from harness.site import model
from harness.steady import Steady
from mimosaspur_standins.answers import expected_answer

SAMPLE_TOKENS = 2
SAMPLE_INTERVAL_S = 0.02
CALL_TIMEOUT_S = 60.0


def parse_models(text: str) -> list[dict[str, Any]]:
    """Read "a@1:500:p3+x@1:50 b@1:300" as models with adapters."""
    return [_parse_model(item) for item in text.split()]


def served_names(text: str) -> list[str]:
    """Return the served names of a bundle written so."""
    found = []
    for entry in parse_models(text):
        found += [entry["name"], *(adapter["name"] for adapter in entry.get("adapters", ()))]
    return found


def residents_by_name(text: str) -> dict[str, str]:
    """Return the resident that each served name stands for."""
    found = {}
    for entry in parse_models(text):
        for part in (entry, *entry.get("adapters", ())):
            found[part["name"]] = f"{part['name']}@{part['version']}"
    return found


def _parse_model(text: str) -> dict[str, Any]:
    base, *adapters = text.split("+")
    name, mb, *options = base.split(":")
    kinds = {"p": "priority", "r": "replicas"}
    extra: dict[str, Any] = {kinds[option[0]]: int(option[1:]) for option in options}
    if adapters:
        extra["adapters"] = [_parse_adapter(item) for item in adapters]
    plain, _, version = name.partition("@")
    return model(plain, version=version, mb=int(mb), **extra)


def _parse_adapter(text: str) -> dict[str, Any]:
    name, _, mb = text.partition(":")
    plain, _, version = name.partition("@")
    return {"name": plain, "version": version, "memory_mb": int(mb)}


@dataclass(slots=True)
class Sampler:
    """Ask for served names without a pause until stopped; keep what failed."""

    site: Site
    entry: str
    allowed_residents: dict[str, set[str]]
    repeaters: list[Steady] = field(default_factory=list)
    request_counts: dict[str, int] = field(default_factory=dict)
    failures: list[str] = field(default_factory=list)
    started_at: float = 0.0

    def start(self) -> None:
        """Start one task for each name."""
        self.started_at = time.monotonic()
        self.request_counts = dict.fromkeys(self.allowed_residents, 0)
        for name in self.allowed_residents:
            ask = partial(self._send_request, name)
            self.repeaters.append(Steady(ask, pause_s=SAMPLE_INTERVAL_S, end_s=CALL_TIMEOUT_S))

    def stop(self) -> None:
        """End the samples; return when the last answer is in."""
        for steady in self.repeaters:
            steady.over.set()
        for steady in self.repeaters:
            steady.stop()

    def all_counts_exceed(self, count: int) -> bool:
        """Tell whether each name was asked for more often."""
        return min(self.request_counts.values()) > count

    def _send_request(self, name: str) -> None:
        address = self.site.daemons[self.entry].public
        self.request_counts[name] += 1
        content = f"{name} {self.request_counts[name]}"
        reply = chat_call(address, name, content, max_tokens=SAMPLE_TOKENS).wait()
        wanted = [
            expected_answer(it, content, SAMPLE_TOKENS) for it in self.allowed_residents[name]
        ]
        if not reply.is_complete() or reply.text() not in wanted:
            at_ms = round((time.monotonic() - self.started_at) * 1000)
            self.failures.append(f"{at_ms} ms {name}: {reply.status} {reply.body[:200]!r}")


def engine_logs(site: Site) -> dict[str, Any]:
    """Return what the engines that still run have seen."""
    running = [name for name, item in site.engines.items() if item.process.poll() is None]
    return {name: site.engine_log(name) for name in running}


def is_roll_complete(site: Site, bundle: str) -> bool:
    """Tell whether records and engines hold just what the bundle names."""
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
