"""Ask stand-ins, order their faults, and wait on conditions."""

import time
from collections.abc import Callable
from functools import partial
from threading import Thread
from typing import Any

from mimosaspur_load import control

WAIT_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
CALL_TIMEOUT_S = 10.0
UNTIL_CLEARED = -1


call = partial(control.call, timeout_s=CALL_TIMEOUT_S)


def wait_for(
    condition: Callable[[], bool],
    what: str,
    *,
    timeout_s: float = WAIT_TIMEOUT_S,
    poll_interval_s: float = POLL_INTERVAL_S,
) -> None:
    """Wait on a condition within a bound; fail naming it."""
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            raise AssertionError(f"not within {timeout_s} s: {what}")
        time.sleep(poll_interval_s)


def run_concurrently(*acts: Callable[[], None]) -> None:
    """Run acts in threads of their own, begun together, until the last has ended."""
    threads = [Thread(target=act) for act in acts]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def add_fault(address: str, kind: str, **fault: Any) -> None:
    """Order a fault of a stand-in."""
    call(address, "POST", "/faults", {"kind": kind, **fault})


def clear_faults(address: str) -> None:
    """End all faults of a stand-in."""
    call(address, "DELETE", "/faults")


def injected_fault_count(address: str) -> int:
    """Return how often the faults of a stand-in struck."""
    return sum(fault["struck"] for fault in call(address, "GET", "/faults")["faults"])
