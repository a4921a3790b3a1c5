"""Switch off mechanisms by name: to find out what each is worth, or to do without one."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import MimosaspurError


class Mechanism(Enum):
    """Name what can be switched off; the site is served without each of them."""

    # Adapters are placed ahead of the requests that will name them.
    ADAPTER_PRELOAD = "adapters-ahead"
    # Models without a copy of their weights are loaded once for it.
    WEIGHT_COPIES = "copies"
    # A load doesn't push out the last copy of a model's weights if another engine can take it.
    KEEP_LAST_COPY = "last-copy"
    # What a token costs is learnt for the engines and for each model.
    MODEL_PACE = "model-pace"
    # The part of a queue that is really waited for is learnt.
    QUEUE_RATIO = "queue-part"
    # A request that will be late anyway goes behind those that can be on time.
    DEMOTE_LATE = "late-behind"
    # An entry that leaves takes what it surely ends.
    ACCEPT_WHILE_LEAVING = "leaving-takes"
    # The coordinator reads the store for the other entries.
    STORE_READER = "store-reader"
    # Entries pass a newer configuration on to those that have not read it yet.
    PEER_CONFIGURATION = "peer-configuration"
    # The wait of an unload for its runs is reckoned.
    UNLOAD_WAIT_ESTIMATE = "unload-waits"
    # Streams are moved off engines that are taken away.
    EVACUATION = "evacuation"


@dataclass(slots=True, frozen=True)
class Policy:
    """Hold what is switched off."""

    off: frozenset[Mechanism] = frozenset()

    def uses(self, mechanism: Mechanism) -> bool:
        """Tell whether a mechanism is on."""
        return mechanism not in self.off


def policy_without(names: str) -> Policy:
    """Return the policy without the mechanisms that a list names, with commas between them."""
    return Policy(frozenset(_parse_mechanisms(names)))


def _parse_mechanisms(names: str) -> Iterator[Mechanism]:
    for name in filter(None, (part.strip() for part in names.split(","))):
        try:
            yield Mechanism(name)
        except ValueError:
            known = ", ".join(each.value for each in Mechanism)
            detail = f"there is no mechanism {name!r} to be switched off; there are: {known}"
            raise MimosaspurError(ResultCode.BAD_SETTINGS, detail) from None
