"""Ask stand-ins over HTTP and wait on conditions."""

import json
import time
from collections.abc import Callable
from typing import Any

from mimosaspur_transport.headcheck import HttpConnection

CALL_S = 30.0
POLL_S = 0.1


def call(
    address: str, method: str, path: str, value: Any = None, *, timeout_s: float = CALL_S
) -> Any:
    """Ask a stand-in and return its JSON."""
    host, _, port = address.rpartition(":")
    connection = HttpConnection(host, int(port), timeout=timeout_s)
    try:
        body = None if value is None else json.dumps(value)
        connection.request(method, path, body, {"Content-Type": "application/json"})
        return json.loads(connection.getresponse().read())
    finally:
        connection.close()


def status_of(address: str, path: str) -> int:
    """Return the HTTP status of a GET, 0 when there is no answer."""
    host, _, port = address.rpartition(":")
    connection = HttpConnection(host, int(port), timeout=CALL_S)
    try:
        connection.request("GET", path)
        return connection.getresponse().status
    except OSError:
        return 0
    finally:
        connection.close()


def wait_for(condition: Callable[[], bool], what: str, *, bound_s: float) -> float:
    """Wait on a condition; return how long it took in seconds, raise RuntimeError after bound."""
    began = time.monotonic()
    while not condition():
        if time.monotonic() - began > bound_s:
            raise RuntimeError(f"Not within {bound_s} s: {what}.")
        time.sleep(POLL_S)
    return time.monotonic() - began
