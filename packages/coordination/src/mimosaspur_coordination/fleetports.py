"""Define the interfaces to the platform's store and to engines, for any platform."""

from collections.abc import Callable
from collections.abc import Mapping
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
    # Whether nothing changed until the end of the wait.
    timed_out: bool = False


@dataclass(slots=True, frozen=True)
class ConfigurationChange:
    """Hold the newest configuration, if there is one, as of a revision of the store."""

    configuration: Configuration | None
    revision: int
    # Whether nothing changed until the end of the wait.
    timed_out: bool = False


@dataclass(slots=True, frozen=True)
class LeaseRecord:
    """Identify the instance that may send orders to engines, and its address for entries."""

    holder: str
    address: tuple[str, int]
    # Increases with each change of holder and each start of the holder.
    token: int
    # The store's revision of the record, for a conditional update.
    revision: int = 0
    # No earlier token is higher, whatever another writer has put in place of the record.
    token_bound: int = 0
    # Whether the store was restored from an older copy after the record was written, or the record
    # can't be read: others may have held the lease since.
    restored: bool = False
    # Whether the holder has waited until no earlier one could order: an earlier process of the
    # same instance has nothing left to wait for.
    settled: bool = False


@dataclass(slots=True, frozen=True)
class VersionRecord:
    """Hold the software versions that may have begun streams that may still be resumed."""

    # By service and version, whether it is in use; one that has left is dropped later.
    services: Mapping[str, Mapping[str, bool]]
    # The store's revision of the record, for a conditional update; 0 if there is none.
    revision: int = 0
    # Whether the store was restored from an older copy after the record was written: versions
    # that were recorded since may be missing.
    restored: bool = False


class FleetStore(Protocol):
    """Access the platform's store; calls raise StoreUnavailable without a complete answer."""

    async def list_targets(self) -> TargetListing:
        """Return all registered targets."""
        ...

    async def watch_targets(self, revision: int, *, wait_ms: int) -> TargetChanges:
        """Wait for changes after a revision; raise RevisionTooOld if it was compacted."""
        ...

    async def read_configuration(self) -> ConfigurationChange:
        """Return the newest configuration."""
        ...

    async def watch_configuration(self, revision: int, *, wait_ms: int) -> ConfigurationChange:
        """Wait for a newer configuration; raise RevisionTooOld if the revision was compacted."""
        ...

    async def read_lease(self) -> LeaseRecord | None:
        """Return the lease on orders, None if there was never a holder."""
        ...

    async def write_lease(self, record: LeaseRecord) -> LeaseRecord:
        """Create or update the lease at the record's revision; raise VersionConflict if stale."""
        ...

    async def read_versions(self) -> VersionRecord | None:
        """Return the record of software versions, None if there is none."""
        ...

    async def write_versions(self, record: VersionRecord) -> VersionRecord:
        """Create or update the record at its revision; raise VersionConflict if stale."""
        ...


@dataclass(slots=True, frozen=True)
class StoppedRun:
    """Identify the saved state of a stopped run, from which it can be resumed."""

    handle: str
    # Whether the state was copied to the other engine; otherwise it is on the original one.
    copied: bool


class CallDeferred(Exception):
    """Raised when an engine isn't called now, since it names a request limit."""


class EngineSilent(Exception):
    """Raised when an engine's machine is there, but the engine sends no report in time."""


class EngineOutOfReach(Exception):
    """Raised when nothing is heard of an engine's machine in time, and no connection is refused."""


class StopUnconfirmed(Exception):
    """Raised when an engine may have stopped a run, but sent no valid answer."""


# Called with the status and headers of each answer of a target.
HeadHandler = Callable[[TargetRecord, int, Sequence[tuple[bytes, bytes]]], None]


class EnginePort(Protocol):
    """Send requests to the model engines."""

    def set_head_handler(self, handler: HeadHandler) -> None:
        """Set what is called with the head of each answer."""
        ...

    async def report(self, target: TargetRecord) -> EngineReport | None:
        """Return the engine's report, None if there is no valid answer.

        Raise EngineSilent or EngineOutOfReach if nothing comes in time.
        """
        ...

    async def order(self, target: TargetRecord, order: EngineOrder) -> OrderOutcome:
        """Send an order and return its outcome."""
        ...

    async def stop_and_copy(
        self, source: TargetRecord, request: bytes, to: TargetRecord
    ) -> StoppedRun | None:
        """Stop a request's run and copy its state; return None if it was not stopped.

        Raise StopUnconfirmed if it may have been.
        """
        ...

    async def drop_copy(self, source: TargetRecord, handle: str) -> None:
        """Free the saved state of a stopped run on both engines."""
        ...
