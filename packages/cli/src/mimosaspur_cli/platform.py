"""Reach the platform on an operator's behalf."""

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
    """Hold what an operator's step needs of the platform."""

    store: ObjectStore
    instance_list: InstanceListClient
    clock: Clock


class PlatformUnavailableError(MimosaspurError):
    """Say that a step did not reach its change, since the platform gave no answer."""

    def __init__(self, cause: str) -> None:
        super().__init__(ResultCode.PLATFORM_DOWN, cause)

    def __str__(self) -> str:
        return f"The platform does not answer ({self.detail}). Nothing was changed. Try again."


def connect(object_api: str, instance_list: str) -> Platform:
    """Prepare calls to the platform; raise ValueError for a bad address."""
    clock = SystemClock()
    store = HttpObjectStore(
        object_api,
        caller=CALLER_NAME,
        timeout_ms=CALL_TIMEOUT_MS,
        clock=clock,
        reads_per_second=READS_PER_SECOND,
        writes_per_second=WRITES_PER_SECOND,
    )
    listing = InstanceListClient(
        instance_list or object_api, caller=CALLER_NAME, timeout_ms=CALL_TIMEOUT_MS, clock=clock
    )
    return Platform(store, listing, clock)


def run_operation(do: Callable[[], T]) -> Result[T, MimosaspurError]:
    """Do an operator's step and return its value or its numbered error."""
    try:
        return Ok(do())
    except MimosaspurError as error:
        return Error(error)
    except StoreUnavailable as error:
        return Error(PlatformUnavailableError(str(error)))
    except (VersionConflict, msgspec.ValidationError) as error:
        return Error(MimosaspurError(ResultCode.INTERNAL, str(error)))
