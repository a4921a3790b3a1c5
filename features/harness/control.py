"""Ask stand-ins, order their faults, and wait on conditions."""

import http.client
import json
import time
from collections.abc import Callable
from typing import Any

BOUND_S = 20.0
POLL_S = 0.02
CALL_S = 10.0
UNTIL_CLEARED = -1


def wait_for(condition: Callable[[], bool], what: str, *, bound_s: float = BOUND_S) -> None:
    """Wait on a condition within a bound; fail naming it."""
    end = time.monotonic() + bound_s
    while not condition():
        if time.monotonic() > end:
            raise AssertionError(f"not within {bound_s} s: {what}")
        time.sleep(POLL_S)


def call(address: str, method: str, path: str, value: Any = None) -> Any:
    """Ask a stand-in over HTTP and return its JSON."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=CALL_S)
    try:
        body = None if value is None else json.dumps(value)
        connection.request(method, path, body, {"Content-Type": "application/json"})
        return json.loads(connection.getresponse().read())
    finally:
        connection.close()


def add_fault(address: str, kind: str, **fault: Any) -> None:
    """Order a fault of a stand-in."""
    call(address, "POST", "/faults", {"kind": kind, **fault})


def clear_faults(address: str) -> None:
    """End all faults of a stand-in."""
    call(address, "DELETE", "/faults")


def struck(address: str) -> int:
    """Return how often the faults of a stand-in struck."""
    return sum(fault["struck"] for fault in call(address, "GET", "/faults")["faults"])
