"""Describe the sites that are measured."""

import dataclasses
from dataclasses import dataclass
from typing import Any

import numpy as np

SHAPE_SEED = 7
ACCELERATORS = 2
CAPACITY_MB = 32_000
MODEL_MB = (6000, 14_000)
ADAPTER_MB = (100, 300)
MAX_REPLICAS = 4
MEGABYTES_STEP = 100
SERVICE = "bookings"
MODEL_PREFIX = "model-"


@dataclass(slots=True, frozen=True)
class Shape:
    """Give the sizes of a site; the latencies between its places are left out."""

    name: str
    region: str
    domains: tuple[str, ...]
    model_servers: int
    service_servers: int
    models: int
    adapters: int
    loads_per_second: int
    at_once: int
    entries: int = 2
    slots: int = 4
    prefill_ms: int = 60
    token_ms: int = 25
    service_ms: int = 40
    ms_per_gb: int = 100

    @property
    def accelerators(self) -> int:
        """Return how many accelerators it pays for."""
        return self.model_servers * ACCELERATORS


PURAVIDA = Shape(
    name="puravida",
    region="alajuela",
    domains=("terminal-norte", "terminal-sur", "hangar-oeste"),
    model_servers=9,
    service_servers=3,
    models=40,
    adapters=100,
    loads_per_second=2,
    at_once=6,
)
CATHAOIR = Shape(
    name="cathaoir",
    region="leinster",
    domains=("hall-liffey", "hall-dodder", "hall-tolka", "hall-boyne"),
    model_servers=9,
    service_servers=4,
    models=40,
    adapters=95,
    loads_per_second=2,
    at_once=20,
)
SMALL = dataclasses.replace(
    PURAVIDA, name="small", model_servers=4, service_servers=2, models=16, adapters=40
)
"""A third of a site, for quick trials."""

SHAPES = {shape.name: shape for shape in (PURAVIDA, CATHAOIR, SMALL)}


def bundle_value(
    shape: Shape, *, name: str = "first", changed: int = 0, version: str = "2"
) -> dict[str, Any]:
    """Return a bundle of the site's size; the first `changed` models have another version."""
    random = np.random.default_rng(SHAPE_SEED)
    models = [_model(random, number) for number in range(shape.models)]
    for number in range(shape.adapters):
        models[number % shape.models]["adapters"].append(_adapter(random, number))
    for model in models[:changed]:
        model["version"] = version
    return {"name": name, "models": models, "services": [{"name": SERVICE, "priority": 0}]}


def served_names(bundle: dict[str, Any]) -> list[str]:
    """Return the names that callers may ask for: first each model, then each adapter."""
    models = [model["name"] for model in bundle["models"]]
    adapters = [
        adapter["name"] for model in bundle["models"] for adapter in model.get("adapters", [])
    ]
    return [*models, *adapters]


def residents_of(bundle: dict[str, Any]) -> dict[str, str]:
    """Return the engine's name of each served name."""
    entries = [entry for model in bundle["models"] for entry in (model, *model.get("adapters", []))]
    return {entry["name"]: f"{entry['name']}@{entry['version']}" for entry in entries}


def _model(random: np.random.Generator, number: int) -> dict[str, Any]:
    return {
        "name": f"{MODEL_PREFIX}{number:02}",
        "version": "1",
        "memory_mb": _megabytes(random, MODEL_MB),
        "max_replicas": MAX_REPLICAS,
        "adapters": [],
    }


def _adapter(random: np.random.Generator, number: int) -> dict[str, Any]:
    memory_mb = _megabytes(random, ADAPTER_MB)
    return {"name": f"adapter-{number:03}", "version": "1", "memory_mb": memory_mb}


def _megabytes(random: np.random.Generator, limits: tuple[int, int]) -> int:
    lowest, highest = (limit // MEGABYTES_STEP for limit in limits)
    return int(random.integers(lowest, highest, endpoint=True)) * MEGABYTES_STEP
