"""Say what the fleet's coordination needs of the outside, whatever the platform."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from mimosaspur_state.fleet import EngineOrder
from mimosaspur_state.fleet import EngineReport
from mimosaspur_state.fleet import OrderOutcome
from mimosaspur_state.fleet import TargetRecord
from mimosaspur_state.routes import Configuration


@dataclass(slots=True, frozen=True)
class TargetListing:
    """Hold all registered targets as of a revision of the store."""

    targets: dict[str, TargetRecord]
    revision: int


@dataclass(slots=True, frozen=True)
class TargetChanges:
    """Hold what changed among the targets up to a revision of the store."""

    changed: Sequence[TargetRecord]
    removed: Sequence[str]
    revision: int


@dataclass(slots=True, frozen=True)
class ConfigurationChange:
    """Hold the newest configuration, if there is one, as of a revision of the store."""

    configuration: Configuration | None
    revision: int


@dataclass(slots=True, frozen=True)
class LeaseRecord:
    """Hold who may give orders to engines, and where entries reach it."""

    holder: str
    address: tuple[str, int]
    # Grows with each change of holder and each start of the holder.
    token: int
    # The store's revision of the record, for a conditional update.
    revision: int = 0
    # Whether the store has come back from an older copy since the record was written: others may
    # have held the lease after it.
    restored: bool = False


class FleetStore(Protocol):
    """Reach the platform's store; each call raises StoreUnavailable without a whole answer."""

    async def list_targets(self) -> TargetListing:
        """Return all registered targets."""
        ...

    async def watch_targets(self, revision: int, *, wait_ms: int) -> TargetChanges:
        """Wait for changes after a revision; raise RevisionTooOld when it is forgotten."""
        ...

    async def read_configuration(self) -> ConfigurationChange:
        """Return the newest configuration."""
        ...

    async def watch_configuration(self, revision: int, *, wait_ms: int) -> ConfigurationChange:
        """Wait for a newer configuration; raise RevisionTooOld when the revision is forgotten."""
        ...

    async def read_lease(self) -> LeaseRecord | None:
        """Return the lease on orders, None if nobody ever held it."""
        ...

    async def write_lease(self, record: LeaseRecord) -> LeaseRecord:
        """Create or update the lease at the record's revision; raise VersionConflict."""
        ...


@dataclass(slots=True, frozen=True)
class StoppedRun:
    """Name the memory of a run that has stopped, so that it can go on."""

    handle: str
    # Whether a copy of it lies at the other engine; if not, it lies where it ran.
    copied: bool


class EnginePort(Protocol):
    """Reach the model engines."""

    async def report(self, target: TargetRecord) -> EngineReport | None:
        """Return the engine's report, None without a usable answer."""
        ...

    async def order(self, target: TargetRecord, order: EngineOrder) -> OrderOutcome:
        """Give an order."""
        ...

    async def stop_and_copy(
        self, source: TargetRecord, request: bytes, to: TargetRecord
    ) -> StoppedRun | None:
        """Stop a request's run and copy its memory; return None if it was not stopped."""
        ...

    async def drop_copy(self, source: TargetRecord, handle: str) -> None:
        """Free the memory of a stopped run at both ends."""
        ...
