"""Call stand-ins, inject faults and wait for conditions."""

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
    """Wait until a condition holds; raise AssertionError after `timeout_s`."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"timed out after {timeout_s} s waiting for: {what}")
        time.sleep(poll_interval_s)


def run_concurrently(*actions: Callable[[], None]) -> None:
    """Run actions concurrently in threads and wait for all of them."""
    threads = [Thread(target=action) for action in actions]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def add_fault(address: str, kind: str, **fault: Any) -> None:
    """Add a fault to a stand-in."""
    call(address, "POST", "/faults", {"kind": kind, **fault})


def clear_faults(address: str) -> None:
    """Remove all faults of a stand-in."""
    call(address, "DELETE", "/faults")


def injected_fault_count(address: str) -> int:
    """Return how many times a stand-in has injected its current faults."""
    return sum(fault["struck"] for fault in call(address, "GET", "/faults")["faults"])
