"""Model the caches of weights that engines keep in memory and on disk, and their evictions.

Engines evict the least recently used copies and report copies in that order. The platform doesn't
guarantee the order, so it is only used to rank otherwise equal engines.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Protocol

from mimosaspur_state.routes import EngineSpec
from mimosaspur_state.routes import ModelSpec


class EngineCopies(Protocol):
    """Describe an engine's loaded models and its copies, least recently used first."""

    @property
    def residents(self) -> Collection[str]:
        """Return the loaded models."""

    @property
    def in_memory(self) -> Sequence[str]:
        """Return the copies in memory."""

    @property
    def on_disk(self) -> Sequence[str]:
        """Return the copies on disk."""


def load_source(
    spec: EngineSpec, engine: EngineCopies, model: ModelSpec, victims: Sequence[str]
) -> tuple[float, bool]:
    """Return the duration of a load in seconds and whether it uses the weight store."""
    if model.name in _memory_copies_after(spec, engine, victims):
        return model.memory_load_s, False
    if model.name in engine.on_disk:
        return model.disk_load_s, False
    return model.load_s, True


def evicted_copies(spec: EngineSpec, engine: EngineCopies, model: ModelSpec) -> Sequence[str]:
    """Return the disk copies that a load of a model from the weight store evicts."""
    room_mb = spec.disk_mb - model.weights_mb
    kept_mb = sum(weights_mb(spec, name) for name in engine.on_disk)
    for number, name in enumerate(engine.on_disk):
        if kept_mb <= room_mb:
            return engine.on_disk[:number]
        kept_mb -= weights_mb(spec, name)
    return engine.on_disk


def copy_counts(engines: Iterable[EngineCopies]) -> dict[str, int]:
    """Return the number of engines on which each model is loaded or has a copy."""
    counts: dict[str, int] = {}
    for engine in engines:
        for name in {*engine.residents, *engine.in_memory, *engine.on_disk}:
            counts[name] = counts.get(name, 0) + 1
    return counts


def weights_mb(spec: EngineSpec, name: str) -> float:
    """Return the size of a model's weights."""
    model = spec.models.get(name)
    # Assumes the largest size for a model that is no longer configured.
    if model:
        return model.weights_mb
    return max((each.weights_mb for each in spec.models.values()), default=0.0)


def _memory_copies_after(
    spec: EngineSpec, engine: EngineCopies, victims: Sequence[str]
) -> list[str]:
    """Return the copies in memory after the victims are unloaded, which adds their copies."""
    copies = [name for name in engine.in_memory if name not in victims]
    copies.extend(victims)
    while copies and sum(weights_mb(spec, name) for name in copies) > spec.memory_mb:
        copies.pop(0)
    return copies
