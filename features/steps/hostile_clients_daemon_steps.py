"""Steps for callers that misbehave toward the daemon in the role entry."""

import contextlib
import socket
import time
import urllib.request
from threading import Event
from threading import Thread

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.site import Site

BODY_BYTES = 1_000_000
BYTE_S = 0.25
# All workers are held by then.
SETTLE_S = 2.0
HEALTH_TRIES = 2
HEALTH_TIMEOUT_S = 4.0
HEAD = b"POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nContent-Length: %d\r\n" % BODY_BYTES


@given(
    "a daemon in the role entry with {workers:d} workers, for {requests:d} requests of at most 1 MB"
)
def start_daemon(context: Context, workers: int, requests: int) -> None:
    site = Site(context.processes)
    site.start()
    context.daemon = site.entry(
        "entry", workers=workers, max_in_flight=requests, max_body_bytes=BODY_BYTES
    )


@when("{count:d} of the daemon's callers send a head byte by byte")
def send_heads(context: Context, count: int) -> None:
    connections = _connect(context, count)
    ended = Event()
    context.add_cleanup(ended.set)
    Thread(target=_send_slowly, args=(connections, ended), daemon=True).start()
    time.sleep(SETTLE_S)


@when("{count:d} of the daemon's callers send a body of 1 MB but its last byte")
def send_bodies(context: Context, count: int) -> None:
    for connection in _connect(context, count):
        with contextlib.suppress(OSError):
            connection.sendall(HEAD + b"\r\n" + b"x" * (BODY_BYTES - 1))
    time.sleep(SETTLE_S)


@then("its process lives, and its health check is answered beside them and afterwards")
def check_health(context: Context) -> None:
    beside = _is_healthy(context)
    for connection in context.connections:
        connection.close()
    assert context.daemon.started.process.poll() is None
    assert beside, "no answer beside them"
    assert _is_healthy(context), "no answer afterwards"


def _connect(context: Context, count: int) -> list[socket.socket]:
    host, _, port = context.daemon.address.partition(":")
    context.connections = []
    for _ in range(count):
        connection = socket.create_connection((host, int(port)))
        connection.settimeout(SETTLE_S)
        context.add_cleanup(connection.close)
        context.connections.append(connection)
    connections: list[socket.socket] = context.connections
    return connections


def _send_slowly(connections: list[socket.socket], ended: Event) -> None:
    for byte in HEAD * 100:
        for connection in connections:
            with contextlib.suppress(OSError):
                connection.send(bytes([byte]))
        if ended.wait(BYTE_S):
            return


def _is_healthy(context: Context) -> bool:
    for _ in range(HEALTH_TRIES):
        with contextlib.suppress(OSError):
            url = f"http://{context.daemon.address}/healthz"
            with urllib.request.urlopen(url, timeout=HEALTH_TIMEOUT_S) as response:
                return bool(response.status == 200)
    return False
