"""Sample every served name of a site while something happens to it."""

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
PAUSE_S = 0.02
LONGEST_CALL_S = 60.0


def bundle_of(text: str) -> list[dict[str, Any]]:
    """Read "a@1:500:p3+x@1:50 b@1:300" as models with adapters."""
    return [_model(item) for item in text.split()]


def names_of(text: str) -> list[str]:
    """Return the served names of a bundle written so."""
    found = []
    for entry in bundle_of(text):
        found += [entry["name"], *(adapter["name"] for adapter in entry.get("adapters", ()))]
    return found


def residents_of(text: str) -> dict[str, str]:
    """Return the resident that each served name stands for."""
    found = {}
    for entry in bundle_of(text):
        for part in (entry, *entry.get("adapters", ())):
            found[part["name"]] = f"{part['name']}@{part['version']}"
    return found


def _model(text: str) -> dict[str, Any]:
    base, *adapters = text.split("+")
    name, mb, *options = base.split(":")
    kinds = {"p": "priority", "r": "replicas"}
    extra: dict[str, Any] = {kinds[option[0]]: int(option[1:]) for option in options}
    if adapters:
        extra["adapters"] = [_adapter(item) for item in adapters]
    plain, _, version = name.partition("@")
    return model(plain, version=version, mb=int(mb), **extra)


def _adapter(text: str) -> dict[str, Any]:
    name, _, mb = text.partition(":")
    plain, _, version = name.partition("@")
    return {"name": plain, "version": version, "memory_mb": int(mb)}


@dataclass(slots=True)
class Sampler:
    """Ask for served names without a pause until stopped; keep what failed."""

    site: Site
    entry: str
    may_be: dict[str, set[str]]
    steadies: list[Repeater] = field(default_factory=list)
    asked: dict[str, int] = field(default_factory=dict)
    failures: list[str] = field(default_factory=list)
    began: float = 0.0

    def start(self) -> None:
        """Start one task for each name."""
        self.began = time.monotonic()
        self.asked = dict.fromkeys(self.may_be, 0)
        for name in self.may_be:
            ask = partial(self._ask, name)
            self.steadies.append(Repeater(ask, interval_s=PAUSE_S, stop_timeout_s=LONGEST_CALL_S))

    def stop(self) -> None:
        """End the samples; return when the last answer is in."""
        for steady in self.steadies:
            steady.stop_requested.set()
        for steady in self.steadies:
            steady.stop()

    def asked_more_than(self, count: int) -> bool:
        """Tell whether each name was asked for more often."""
        return min(self.asked.values()) > count

    def _ask(self, name: str) -> None:
        address = self.site.daemons[self.entry].public
        self.asked[name] += 1
        content = f"{name} {self.asked[name]}"
        reply = chat_call(address, name, content, max_tokens=SAMPLE_TOKENS).wait()
        wanted = [expected_answer(it, content, SAMPLE_TOKENS) for it in self.may_be[name]]
        if not reply.whole() or reply.text() not in wanted:
            at_ms = round((time.monotonic() - self.began) * 1000)
            self.failures.append(f"{at_ms} ms {name}: {reply.status} {reply.body[:200]!r}")


def engine_logs(site: Site) -> dict[str, Any]:
    """Return what the engines that still run have seen."""
    running = [name for name, item in site.engines.items() if item.process.poll() is None]
    return {name: site.engine_log(name) for name in running}


def rolled(site: Site, bundle: str) -> bool:
    """Tell whether records and engines hold just what the bundle names."""
    for entry in bundle_of(bundle):
        states = site.replicas(entry["name"])
        versions = {key.split()[1] for key in states}
        if versions != {entry["version"]} or set(states.values()) != {"ready"}:
            return False
    held = set()
    for engine in site.engines.values():
        residents = call(engine.address, "GET", "/admin/state")["residents"]
        held |= {item["id"] for item in residents}
    return held == set(residents_of(bundle).values())
