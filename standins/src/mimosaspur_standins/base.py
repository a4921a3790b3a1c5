"""Serve JSON over HTTP for the stand-ins, with fault injection."""

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
    """Return the monotonic time in milliseconds."""
    return time.monotonic() * MS_PER_SECOND


class Handler(BaseHTTPRequestHandler):
    """Handle the requests of one connection."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1
    sent_bytes = 0
    server: "Server"

    def log_message(self, template: str, *args: object) -> None:
        """Discard the access log."""

    def serve(self) -> None:
        """Answer one request, or inject the first matching fault."""
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

    # Names required by http.server.
    do_GET = serve
    do_POST = serve
    do_PUT = serve
    do_DELETE = serve

    def read_request(self) -> Request:
        """Read the request and its body."""
        path, _, query = self.path.partition("?")
        parsed = parse_qs(query, keep_blank_values=True)
        return Request(self.command, path, parsed, self.headers, self.read_body())

    def read_body(self) -> bytes:
        """Read a body with Content-Length or chunked encoding."""
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
        """Handle a request as the fault describes."""
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
                self.send(Reply(fault.status, {"error": "injected fault"}))

    def drop_connection(self) -> None:
        """Close the connection immediately."""
        self.close_connection = True
        with contextlib.suppress(OSError):  # already closed by the peer
            self.connection.shutdown(socket.SHUT_RDWR)

    def hang(self) -> None:
        """Keep the connection open until the peer closes it."""
        self.close_connection = True
        with contextlib.suppress(OSError):  # a reset also ends the connection
            while self.connection.recv(RECV_BYTES):
                pass

    def send(self, reply: Reply) -> None:
        """Send a reply, unless the peer has disconnected."""
        try:
            if reply.stream is None:
                self.send_whole(reply)
            else:
                self.send_stream(reply.status, reply.stream)
        except OSError:
            self.close_connection = True  # peer disconnected; effects of the request remain

    def send_whole(self, reply: Reply) -> None:
        """Send a JSON response."""
        body = json.dumps(reply.value).encode()
        self.sent_bytes = len(body)
        self.send_response(reply.status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()

    def send_stream(self, status: int, stream: Iterator[bytes]) -> None:
        """Send a stream as chunks, flushing each."""
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
        """Close the connection, even if the peer has disconnected."""
        with contextlib.suppress(OSError):  # flushing fails when the peer has disconnected
            super().finish()


class Server(ThreadingHTTPServer):
    """Accept connections for one stand-in."""

    daemon_threads = True
    block_on_close = False
    request_queue_size = MAX_BACKLOG
    stand_in: "StandIn"

    def handle_error(self, request: object, client_address: object) -> None:
        """Discard errors of connections that peers reset."""


class StandIn:
    """Route requests by method and path, with routes to inject faults."""

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
        """Return the name and address that the harness reads at startup."""
        return {"name": self.name, "address": self.address}

    def on_request(self, request: Request) -> None:
        """Observe each request before any fault is injected."""

    def on_reply_sent(self, request: Request, sent_bytes: int) -> None:
        """Observe a request and the size of its JSON response body after sending."""

    def route(self, method: str, path: str, handle: RouteHandler) -> None:
        """Add a route; the first match is used, and a path ending in `*` matches any suffix."""
        self.routes.append((method, path, handle))

    def answer(self, request: Request) -> Reply:
        """Pass a request to its route."""
        for method, path, handle in self.routes:
            if method not in (request.method, ANY) or not matches_path(path, request):
                continue
            try:
                return handle(request)
            except (ValueError, KeyError, TypeError) as error:
                return Reply(400, {"error": f"bad request: {error!r}"})
        return Reply(404, {"error": "no route for this method and path"})

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
