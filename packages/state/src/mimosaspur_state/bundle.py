"""Define and validate versioned bundles."""

import hashlib
import json
from dataclasses import dataclass
from dataclasses import field
from typing import Any

import msgspec

from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import MimosaspurError

MAX_NAME_LENGTH = 128
DEFAULT_PRIORITY = 5
LOWEST_PRIORITY = 9


class AdapterEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe an adapter of a model; memory_mb is on each accelerator."""

    name: str
    version: str
    memory_mb: int

    def resident_id(self) -> str:
        """Return the id under which an engine holds it."""
        return f"{self.name}@{self.version}"


class ModelEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe a model to serve; memory_mb (weights and KV reserve) is on each accelerator."""

    name: str
    version: str
    memory_mb: int
    accelerators: int = 1
    priority: int = DEFAULT_PRIORITY
    replicas: int = 1
    max_replicas: int = 0
    domains: tuple[str, ...] = ()
    adapters: tuple[AdapterEntry, ...] = ()

    def resident_id(self) -> str:
        """Return the id under which an engine holds it."""
        return f"{self.name}@{self.version}"

    def total_mb(self) -> int:
        """Return the memory on each accelerator, including all adapters."""
        return self.memory_mb + sum(adapter.memory_mb for adapter in self.adapters)

    def replica_limit(self) -> int:
        """Return the maximum number of replicas when scaled by demand."""
        return max(self.replicas, self.max_replicas)


class ServiceEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe a plain service that targets of kind service provide."""

    name: str
    priority: int = DEFAULT_PRIORITY


class Bundle(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """List the models and services to serve, with their placement and priorities."""

    name: str
    models: tuple[ModelEntry, ...]
    services: tuple[ServiceEntry, ...] = ()
    base_generation: int = 0

    def to_value(self) -> Any:
        """Return the bundle as plain JSON data."""
        return msgspec.to_builtins(self)

    def digest(self) -> str:
        """Return the SHA-256 digest of the content."""
        text = json.dumps(self.to_value(), sort_keys=True, separators=(",", ":"))
        return hashlib.sha256(text.encode()).hexdigest()


@dataclass(slots=True, frozen=True)
class ServedName:
    """Map a served name to its model and, for an adapter, the adapter."""

    model: ModelEntry
    adapter: AdapterEntry | None = None

    def resident_id(self) -> str:
        """Return the id under which an engine holds it."""
        return self.adapter.resident_id() if self.adapter else self.model.resident_id()


@dataclass(slots=True)
class BundleIndex:
    """Index a bundle's entries by the names that callers use."""

    generation: int
    bundle: Bundle
    served: dict[str, ServedName] = field(default_factory=dict)
    models: dict[str, ModelEntry] = field(default_factory=dict)
    services: dict[str, ServiceEntry] = field(default_factory=dict)

    @classmethod
    def build(cls, generation: int, bundle: Bundle) -> "BundleIndex":
        """Return the index of a validated bundle."""
        index = cls(generation, bundle)
        for model in bundle.models:
            index.models[model.name] = model
            index.served[model.name] = ServedName(model)
            for adapter in model.adapters:
                index.served[adapter.name] = ServedName(model, adapter)
        for service in bundle.services:
            index.services[service.name] = service
        return index


def bundle_from_value(value: Any) -> Bundle:
    """Validate plain JSON data and return it as a bundle; raise BAD_BUNDLE."""
    try:
        bundle = msgspec.convert(value, Bundle)
    except msgspec.ValidationError as error:
        raise MimosaspurError(ResultCode.BAD_BUNDLE, f"{error}.") from error
    _check_names(bundle)
    for model in bundle.models:
        _check_model(model)
    return bundle


def _check_names(bundle: Bundle) -> None:
    _check_name(bundle.name)
    seen: set[str] = set()
    for model in bundle.models:
        for name in (model.name, *(adapter.name for adapter in model.adapters)):
            _check_name(name)
            if name in seen:
                raise _bundle_error(
                    f"{name!r} occurs twice; a bundle may hold only one version of a name."
                )
            seen.add(name)
    services = [service.name for service in bundle.services]
    for name in services:
        _check_name(name)
        if services.count(name) > 1:
            raise _bundle_error(f"The service {name!r} occurs twice.")


def _check_name(name: str) -> None:
    if not name or len(name) > MAX_NAME_LENGTH or not name.isprintable() or "@" in name:
        raise _bundle_error(
            f"{name!r} is not a valid name; use 1 to {MAX_NAME_LENGTH} characters without '@'."
        )


def _check_model(model: ModelEntry) -> None:
    if not model.version or any(not adapter.version for adapter in model.adapters):
        raise _bundle_error(f"{model.name!r} or one of its adapters has an empty version.")
    sizes = [model.memory_mb, *(adapter.memory_mb for adapter in model.adapters)]
    if min(sizes) <= 0:
        raise _bundle_error(f"{model.name!r} has a memory_mb of 0 or less; it must be positive.")
    if model.accelerators < 1 or model.replicas < 1:
        raise _bundle_error(f"{model.name!r} needs at least one accelerator and one replica.")
    if not 0 <= model.priority <= LOWEST_PRIORITY:
        raise _bundle_error(
            f"{model.name!r} has priority {model.priority}; use 0 to {LOWEST_PRIORITY}."
        )


def _bundle_error(detail: str) -> MimosaspurError:
    return MimosaspurError(ResultCode.BAD_BUNDLE, detail)
