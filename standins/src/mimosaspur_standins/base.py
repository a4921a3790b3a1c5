"""Serve JSON over HTTP for the stand-ins, with faults on order."""

import contextlib
import json
import socket
import threading
import time
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from urllib.parse import parse_qs

from .faults import Fault
from .faults import Faults
from .messages import ANY
from .messages import Reply
from .messages import Request
from .messages import RouteHandler
from .messages import matches_path

MS_PER_SECOND = 1000
MAX_BACKLOG = 128
RECV_BYTES = 65536
FAULT_EXEMPT_PATHS = ("/faults", "/log", "/counts")


def split_address(address: str) -> tuple[str, int]:
    """Split `ip:port`."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def sleep_ms(ms: float) -> None:
    """Sleep for some milliseconds."""
    time.sleep(ms / MS_PER_SECOND)


def now_ms() -> float:
    """Tell the monotonic time in milliseconds."""
    return time.monotonic() * MS_PER_SECOND


class Handler(BaseHTTPRequestHandler):
    """Read requests of one connection and answer them."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1
    sent_bytes = 0
    server: "Server"

    def log_message(self, template: str, *args: object) -> None:
        """Keep standard error quiet."""

    def serve(self) -> None:
        """Answer one request, or let a fault strike it."""
        request = self.read_request()
        stand_in = self.server.stand_in
        fault = None
        if request.path not in FAULT_EXEMPT_PATHS:
            stand_in.on_request(request)
            fault = stand_in.faults.take_matching(f"{self.command} {self.path}")
        self.sent_bytes = 0
        if fault is None:
            self.send(stand_in.answer(request))
        else:
            self.inject_fault(fault, request)
        stand_in.on_reply_sent(request, self.sent_bytes)

    # http.server sets these names.
    do_GET = serve
    do_POST = serve
    do_PUT = serve
    do_DELETE = serve

    def read_request(self) -> Request:
        """Read the request with its body."""
        path, _, query = self.path.partition("?")
        parsed = parse_qs(query, keep_blank_values=True)
        return Request(self.command, path, parsed, self.headers, self.read_body())

    def read_body(self) -> bytes:
        """Read a body of known length, or a chunked one."""
        if self.headers.get("Transfer-Encoding", "").lower() != "chunked":
            return self.rfile.read(int(self.headers.get("Content-Length", 0)))
        parts = []
        while size := int(self.rfile.readline().split(b";")[0], 16):
            parts.append(self.rfile.read(size))
            self.rfile.readline()
        while self.rfile.readline().strip():
            pass
        return b"".join(parts)

    def inject_fault(self, fault: Fault, request: Request) -> None:
        """Let a fault strike a request."""
        answer = self.server.stand_in.answer
        match fault.kind:
            case "drop":
                self.drop_connection()
            case "lose_answer":
                answer(request)
                self.drop_connection()
            case "late":
                self.drop_connection()
                sleep_ms(fault.delay_ms)
                answer(request)
            case "slow":
                sleep_ms(fault.delay_ms)
                self.send(answer(request))
            case "hang":
                self.hang()
            case "error":
                self.send(Reply(fault.status, {"error": "ordered fault"}))

    def drop_connection(self) -> None:
        """Close the connection now."""
        self.close_connection = True
        with contextlib.suppress(OSError):  # the peer was quicker
            self.connection.shutdown(socket.SHUT_RDWR)

    def hang(self) -> None:
        """Keep the connection open until the peer closes it."""
        self.close_connection = True
        with contextlib.suppress(OSError):  # a reset is a close too
            while self.connection.recv(RECV_BYTES):
                pass

    def send(self, reply: Reply) -> None:
        """Send a reply, if the peer is still there."""
        try:
            if reply.stream is None:
                self.send_whole(reply)
            else:
                self.send_stream(reply.status, reply.stream)
        except OSError:
            self.close_connection = True  # the peer is gone; what was done stays done

    def send_whole(self, reply: Reply) -> None:
        """Send a JSON answer."""
        body = json.dumps(reply.value).encode()
        self.sent_bytes = len(body)
        self.send_response(reply.status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()

    def send_stream(self, status: int, stream: Iterator[bytes]) -> None:
        """Send a stream piece by piece."""
        self.send_response(status)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        self.wfile.flush()
        for part in stream:
            self.wfile.write(b"%x\r\n%s\r\n" % (len(part), part))
            self.wfile.flush()
        self.wfile.write(b"0\r\n\r\n")
        self.wfile.flush()

    def finish(self) -> None:
        """Close the connection, also when the peer is gone."""
        with contextlib.suppress(OSError):  # unsent bytes of a connection that is gone
            super().finish()


class Server(ThreadingHTTPServer):
    """Accept connections for one stand-in."""

    daemon_threads = True
    block_on_close = False
    request_queue_size = MAX_BACKLOG
    stand_in: "StandIn"

    def handle_error(self, request: object, client_address: object) -> None:
        """Keep quiet about connections that peers reset."""


class StandIn:
    """Route requests by method and path; the fault mechanism comes with it."""

    def __init__(self, *, name: str, address: str) -> None:
        self.name = name
        self.faults = Faults()
        self.routes: list[tuple[str, str, RouteHandler]] = []
        self.server = Server(split_address(address), Handler)
        self.server.stand_in = self
        host, port = self.server.server_address[:2]
        self.address = f"{host!s}:{port}"
        self.route("POST", "/faults", self.add_fault)
        self.route("GET", "/faults", self.list_faults)
        self.route("DELETE", "/faults", self.clear_faults)

    def start(self) -> None:
        """Serve in the background."""
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def stop(self) -> None:
        """Stop accepting connections."""
        self.server.shutdown()
        self.server.server_close()

    def announcement(self) -> dict[str, str]:
        """Give what a harness reads to find the stand-in."""
        return {"name": self.name, "address": self.address}

    def on_request(self, request: Request) -> None:
        """See each request before any fault strikes it."""

    def on_reply_sent(self, request: Request, sent_bytes: int) -> None:
        """See the size of each whole answer's body after it is sent."""

    def route(self, method: str, path: str, handle: RouteHandler) -> None:
        """Add a route; the first that fits answers; a path ending in `*` fits any rest."""
        self.routes.append((method, path, handle))

    def answer(self, request: Request) -> Reply:
        """Do a request."""
        for method, path, handle in self.routes:
            if method not in (request.method, ANY) or not matches_path(path, request):
                continue
            try:
                return handle(request)
            except (ValueError, KeyError, TypeError) as error:
                return Reply(400, {"error": f"bad request: {error!r}"})
        return Reply(404, {"error": "no such path"})

    def add_fault(self, request: Request) -> Reply:
        """Add a fault."""
        self.faults.add(request.json_object())
        return Reply()

    def list_faults(self, request: Request) -> Reply:
        """List the faults."""
        return Reply(value={"faults": self.faults.listing()})

    def clear_faults(self, request: Request) -> Reply:
        """Clear the faults."""
        self.faults.clear()
        return Reply()
