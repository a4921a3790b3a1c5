"""Parse the bundle notation of the planner's features."""

from typing import Any

from mimosaspur_state.bundle import AdapterEntry
from mimosaspur_state.bundle import Bundle
from mimosaspur_state.bundle import ModelEntry

MB_PER_GB = 1000
OPTION_FIELDS = {"r": "replicas", "m": "max_replicas", "p": "priority", "x": "accelerators"}


def read_bundle(text: str) -> Bundle:
    """Parse "a@1:5:r2 b@1:3:ax.1.2" as a bundle; sizes are in GB."""
    return Bundle("tested", tuple(read_model(part) for part in text.split()))


def read_model(text: str) -> ModelEntry:
    """Parse one model with its options."""
    resident, gigabytes, *options = text.split(":")
    name, version = resident.split("@")
    extra: dict[str, Any] = {}
    for option in options:
        if option[0] == "d":
            extra["domains"] = (option[1:],)
        elif option[0] == "a":
            extra["adapters"] = (*extra.get("adapters", ()), read_adapter(option[1:]))
        else:
            extra[OPTION_FIELDS[option[0]]] = int(option[1:])
    return ModelEntry(name, version, int(gigabytes) * MB_PER_GB, **extra)


def read_adapter(text: str) -> AdapterEntry:
    """Parse an adapter's name, version and size."""
    name, version, gigabytes = text.split(".")
    return AdapterEntry(name, version, int(gigabytes) * MB_PER_GB)
