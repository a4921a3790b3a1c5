"""Ask stand-ins, order their faults, and wait on conditions."""

import time
from collections.abc import Callable
from functools import partial
from threading import Thread
from typing import Any

from mimosaspur_load import control

BOUND_S = 20.0
POLL_S = 0.02
CALL_S = 10.0
UNTIL_CLEARED = -1


call = partial(control.call, timeout_s=CALL_S)


def wait_for(
    condition: Callable[[], bool], what: str, *, bound_s: float = BOUND_S, poll_s: float = POLL_S
) -> None:
    """Wait on a condition within a bound; fail naming it."""
    end = time.monotonic() + bound_s
    while not condition():
        if time.monotonic() > end:
            raise AssertionError(f"not within {bound_s} s: {what}")
        time.sleep(poll_s)


def at_once(*acts: Callable[[], None]) -> None:
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


def struck(address: str) -> int:
    """Return how often the faults of a stand-in struck."""
    return sum(fault["struck"] for fault in call(address, "GET", "/faults")["faults"])
