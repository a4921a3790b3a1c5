"""Define the records of which targets hold a model."""

from enum import Enum
from typing import Any

import msgspec


class ReplicaState(Enum):
    """Enumerate the states of a replica on a target."""

    LOAD = "load"
    READY = "ready"
    LEAVING = "leaving"


class Replica(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe one version of a model that a target is to load, holds, or is to unload."""

    target: str
    version: str
    state: ReplicaState


class PlacementRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold every replica of one model in one region.

    All changes to a model's replicas are conditional updates of this one object, so that two
    concurrent writers cannot each remove a replica that the other relies on.
    """

    model: str
    generation: int
    replicas: tuple[Replica, ...] = ()

    def ready(self) -> list[Replica]:
        """Return the replicas that are ready and not leaving."""
        return [replica for replica in self.replicas if replica.state is ReplicaState.READY]

    def serving(self) -> list[Replica]:
        """Return the replicas that can serve: ready ones and leaving ones."""
        return [replica for replica in self.replicas if replica.state is not ReplicaState.LOAD]

    def on_target(self, target: str) -> list[Replica]:
        """Return the replicas on one target: two during an in-place version change."""
        return [replica for replica in self.replicas if replica.target == target]

    def with_replica(self, replica: Replica) -> "PlacementRecord":
        """Return a record in which this replica replaces its previous state."""
        rest = self.without(replica.target, replica.version).replicas
        return msgspec.structs.replace(self, replicas=(*rest, replica))

    def without(self, target: str, version: str) -> "PlacementRecord":
        """Return a record without one replica."""
        kept = tuple(
            replica
            for replica in self.replicas
            if (replica.target, replica.version) != (target, version)
        )
        return msgspec.structs.replace(self, replicas=kept)

    def to_value(self) -> Any:
        """Return the record as plain JSON data."""
        return msgspec.to_builtins(self)


def placement_from_value(value: Any) -> PlacementRecord:
    """Return the record of plain JSON data."""
    return msgspec.convert(value, PlacementRecord)
