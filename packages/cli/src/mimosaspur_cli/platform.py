"""Connect to the platform and run operations on it."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

import msgspec
from expression import Error
from expression import Ok
from expression import Result

from mimosaspur_state.clock import Clock
from mimosaspur_state.clock import SystemClock
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import MimosaspurError
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.errors import VersionConflict
from mimosaspur_state.objects import ObjectStore
from mimosaspur_transport.instancelist import InstanceListClient
from mimosaspur_transport.objectapi import HttpObjectStore

T = TypeVar("T")

CALLER_NAME = "mimosaspur"
CALL_TIMEOUT_MS = 2000
READS_PER_SECOND = 50.0
WRITES_PER_SECOND = 20.0


@dataclass(slots=True, frozen=True)
class Platform:
    """Hold the platform clients and the clock that an operation uses."""

    store: ObjectStore
    instance_list: InstanceListClient
    clock: Clock


class PlatformUnavailableError(MimosaspurError):
    """Report that the platform did not answer before an operation changed anything."""

    def __init__(self, cause: str) -> None:
        super().__init__(ResultCode.PLATFORM_DOWN, cause)

    def __str__(self) -> str:
        return f"The platform does not answer ({self.detail}). Nothing was changed. Try again."


def connect(object_api: str, instance_list: str) -> Platform:
    """Create the platform's clients; raise ValueError for an invalid address."""
    clock = SystemClock()
    store = HttpObjectStore(
        object_api,
        caller=CALLER_NAME,
        timeout_ms=CALL_TIMEOUT_MS,
        clock=clock,
        reads_per_second=READS_PER_SECOND,
        writes_per_second=WRITES_PER_SECOND,
    )
    instance_list_client = InstanceListClient(
        instance_list or object_api, caller=CALLER_NAME, timeout_ms=CALL_TIMEOUT_MS, clock=clock
    )
    return Platform(store, instance_list_client, clock)


def run_operation(operation: Callable[[], T]) -> Result[T, MimosaspurError]:
    """Run an operation and return its value or the error that it raised."""
    try:
        return Ok(operation())
    except MimosaspurError as error:
        return Error(error)
    except StoreUnavailable as error:
        return Error(PlatformUnavailableError(str(error)))
    except (VersionConflict, msgspec.ValidationError) as error:
        return Error(MimosaspurError(ResultCode.INTERNAL, str(error)))
