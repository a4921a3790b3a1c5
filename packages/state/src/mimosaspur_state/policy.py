"""Disable optional mechanisms by name, for measurements or as a workaround."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import MimosaspurError


class Mechanism(Enum):
    """Enumerate the optional mechanisms."""

    # Load adapters before requests name them.
    ADAPTER_PRELOAD = "adapters-ahead"
    # Load models without a local copy of their weights once to create one.
    WEIGHT_COPIES = "copies"
    # Do not evict the last copy of a model's weights for a load that another engine can take.
    KEEP_LAST_COPY = "last-copy"
    # Estimate the cost per token for all engines and for each model.
    MODEL_PACE = "model-pace"
    # Estimate the share of a queue that delays a new request.
    QUEUE_RATIO = "queue-part"
    # Rank a request that will miss its objective behind those that can meet it.
    DEMOTE_LATE = "late-behind"
    # A leaving entry accepts requests that it can finish in time.
    ACCEPT_WHILE_LEAVING = "leaving-takes"
    # The coordinator reads the store on behalf of the other entries.
    STORE_READER = "store-reader"
    # Entries forward a newer configuration to those that have not read it yet.
    PEER_CONFIGURATION = "peer-configuration"
    # Estimate how long an unload waits for running requests.
    UNLOAD_WAIT_ESTIMATE = "unload-waits"
    # Move streams off engines that are about to be terminated.
    EVACUATION = "evacuation"
    # Choose engines at which streams keep their pauses within the route's limit.
    STREAM_PAUSES = "stream-pauses"
    # Weigh how long callers can wait, and forecast when models will be loaded.
    MODEL_URGENCY = "model-urgency"
    # Refuse early what can't be served, and hold back requests that delay more urgent ones.
    DEFERRAL = "deferral"
    # Share the measured speeds of engines among all entries.
    ENGINE_SPEED = "engine-speed"
    # Draw targets in proportion to their room, by the age of what is known of their load.
    EVEN_LOAD = "even-load"
    # Put requests above their workspace's share behind the others while there isn't room for all.
    FAIR_SHARES = "fair-shares"


@dataclass(slots=True, frozen=True)
class Policy:
    """Hold the disabled mechanisms."""

    off: frozenset[Mechanism] = frozenset()

    def uses(self, mechanism: Mechanism) -> bool:
        """Return whether a mechanism is enabled."""
        return mechanism not in self.off


def policy_without(names: str) -> Policy:
    """Return a policy that disables a comma-separated list of mechanisms."""
    return Policy(frozenset(_parse_mechanisms(names)))


def _parse_mechanisms(names: str) -> Iterator[Mechanism]:
    for name in filter(None, (part.strip() for part in names.split(","))):
        try:
            yield Mechanism(name)
        except ValueError:
            known = ", ".join(each.value for each in Mechanism)
            detail = f"unknown mechanism {name!r}; use some of: {known}"
            raise MimosaspurError(ResultCode.BAD_SETTINGS, detail) from None
