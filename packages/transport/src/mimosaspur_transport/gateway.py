"""Extend cheroot for callers that stall, disconnect early or send too much."""

import math
import re
import select
import selectors
import socket
import threading
from typing import Any

from cheroot import server
from cheroot import wsgi

from mimosaspur_state.clock import Deadline
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import MimosaspurError
from mimosaspur_state.log import log
from mimosaspur_transport.headwatcher import HeadWatcher

CALLER_KEY = "mimosaspur.caller"

MAX_HEADER_BYTES = 32_768
MAX_IDLE_CONNECTIONS = 1024
MAX_CHUNK_LINE_BYTES = 256
MAX_TRAILER_LINES = 64
READ_BYTES = 65_536
MAX_LINGER_READS = 32
LINGER_TIMEOUT_S = 0.5
MS_PER_SECOND = 1000

_CONTENT_LENGTH = re.compile(r"[0-9]{1,18}")
_CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,8}")


class CallerConnection:
    """Give the application access to a request's body and connection."""

    __slots__ = ("body_read", "request")

    def __init__(self, request: Any) -> None:
        self.request = request
        self.body_read = False

    def is_disconnected(self) -> bool:
        """Return whether the caller disconnected or the server is aborting."""
        if self.request.server.aborting.is_set():
            return True
        sock = self.request.conn.socket
        try:
            readable, _, _ = select.select([sock], [], [], 0)
            # Pending data may be the caller's next request, so it is only peeked at.
            return bool(readable) and sock.recv(1, socket.MSG_PEEK) == b""
        except (OSError, ValueError):
            return True

    def truncate_response(self) -> None:
        """Close the connection after this response without the final chunk."""
        self.request.chunked_write = False
        self.request.close_connection = True

    def skip_body(self) -> None:
        """Leave an unread body; the connection closes after the response."""
        if self.body_read or not self._has_body():
            return
        self.request.close_connection = True
        self.request.conn.unread = True

    def read_body(self, max_bytes: int, deadline: Deadline) -> bytes:
        """Return the request's body; raise MimosaspurError."""
        try:
            body = self._read_body(max_bytes, deadline)
        except OSError as error:
            raise _incomplete_body() from error
        self.body_read = True
        # cheroot would wait for the body a second time.
        self.request.rfile.remaining = 0
        return body

    def _has_body(self) -> bool:
        return bool(self.request.chunked_read) or self._content_length() != "0"

    def _content_length(self) -> str:
        value: bytes = self.request.inheaders.get(b"Content-Length", b"0")
        return value.decode("latin-1")

    def _read_body(self, max_bytes: int, deadline: Deadline) -> bytes:
        if self.request.chunked_read:
            if b"Content-Length" in self.request.inheaders:
                raise _bad_header("Send Content-Length or Transfer-Encoding, not both.")
            return self._read_chunked(max_bytes, deadline)
        text = self._content_length()
        if not _CONTENT_LENGTH.fullmatch(text):
            raise _bad_header("Content-Length must be a whole number.")
        if int(text) > max_bytes:
            raise _body_too_large(max_bytes)
        return self._read_exactly(int(text), deadline)

    def _read_exactly(self, length: int, deadline: Deadline) -> bytes:
        pieces = []
        left = length
        while left:
            piece: bytes = self.request.conn.rfile.read1(min(left, READ_BYTES))
            if not piece or deadline.has_passed():
                raise _incomplete_body()
            pieces.append(piece)
            left -= len(piece)
        return b"".join(pieces)

    def _read_chunked(self, max_bytes: int, deadline: Deadline) -> bytes:
        body = bytearray()
        while size := self._read_chunk_size():
            if len(body) + size > max_bytes:
                raise _body_too_large(max_bytes)
            body += self._read_exactly(size, deadline)
            if self._read_line() != b"\r\n":
                raise _incomplete_body()
        self._skip_trailers()
        return bytes(body)

    def _read_chunk_size(self) -> int:
        text = self._read_line().split(b";")[0].strip()
        if not _CHUNK_SIZE.fullmatch(text):
            raise _incomplete_body()
        return int(text, 16)

    def _skip_trailers(self) -> None:
        # Unread trailers would hide a disconnect from `is_disconnected`.
        for _ in range(MAX_TRAILER_LINES):
            if self._read_line() == b"\r\n":
                return
        raise _incomplete_body()

    def _read_line(self) -> bytes:
        line: bytes = self.request.conn.rfile.readline(MAX_CHUNK_LINE_BYTES)
        if not line.endswith(b"\r\n"):
            raise _incomplete_body()
        return line


class CallerGateway(wsgi.Gateway_10):
    """Add the caller's connection to the WSGI environment."""

    def get_environ(self) -> Any:
        """Return the WSGI environment."""
        environ: dict[str, Any] = super().get_environ()  # type: ignore[no-untyped-call]
        environ[CALLER_KEY] = CallerConnection(self.req)
        self.req.server.heads.end_reading(self.req.conn)
        return environ


class CallerSocket(server.HTTPConnection):
    """Set socket options, and close the connection without losing the last response."""

    def __init__(self, http_server: Any, sock: socket.socket, *rest: Any) -> None:
        super().__init__(http_server, sock, *rest)
        self.unread = False
        timeout_s = max(1, int(http_server.timeout))
        user_timeout_ms = int(http_server.timeout * MS_PER_SECOND)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, timeout_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, timeout_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)

    def communicate(self) -> Any:
        """Read a request and respond; return whether the connection stays open."""
        self.server.heads.begin_reading(self)
        try:
            return super().communicate()  # type: ignore[no-untyped-call]
        finally:
            self.server.heads.end_reading(self)

    def close(self) -> None:
        """Close the connection."""
        if self.unread:
            self._linger()
        super().close()

    def _linger(self) -> None:
        # Closing with unread data resets the connection, and the caller loses the response.
        try:
            self.socket.shutdown(socket.SHUT_WR)
            self.socket.settimeout(LINGER_TIMEOUT_S)
            for _ in range(MAX_LINGER_READS):
                if not self.socket.recv(READ_BYTES):
                    return
        except OSError:
            return


class Waker:
    """Wake the selector: a pseudo-connection that is always readable."""

    __slots__ = ("closed_peer", "last_used", "sock")

    def __init__(self) -> None:
        self.sock, self.closed_peer = socket.socketpair()
        self.closed_peer.close()
        self.last_used = math.inf

    def close(self) -> None:
        """Close the sockets."""
        self.sock.close()


class CallerHttpServer(wsgi.Server):
    """Queue connections for workers once readable; support closing the listener early."""

    ConnectionClass = CallerSocket
    keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
    max_request_header_size = MAX_HEADER_BYTES

    # Missing from cheroot's stubs.
    _connections: Any
    _unservicable_conns: Any

    def __init__(
        self, address: tuple[str, int], app: Any, *, workers: int, timeout_s: float
    ) -> None:
        super().__init__(address, app, numthreads=workers, request_queue_size=socket.SOMAXCONN)
        self.gateway = CallerGateway
        self.timeout = timeout_s
        self.workers = workers
        self.heads = HeadWatcher(
            self._queue, timeout_s=timeout_s, limit_bytes=self.max_request_header_size
        )
        self.closing = False
        self.aborting = threading.Event()

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Return whether a connection may stay open after its response."""
        return not self.closing and bool(super().can_add_keepalive_connection)

    def process_conn(self, conn: Any) -> None:
        """Queue a connection for a worker once its caller has sent data."""
        if isinstance(conn, Waker):
            return
        if conn.last_used is None:
            self._watch(conn)
        else:
            self.heads.add(conn)

    def serve(self) -> None:
        """Serve until stopped."""
        watching = threading.Thread(target=self.heads.run, name="heads", daemon=True)
        watching.start()
        super().serve()

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections are still served."""
        listener = self.socket
        if self.closing or listener is None:
            return
        self.closing = True
        self._connections._selector.unregister(listener.fileno())
        self.socket = None
        listener.close()

    def stop(self) -> None:
        """Stop serving and end the worker threads."""
        if not self.ready:
            return
        # Otherwise the selector's thread would notice only at its next timeout.
        waker = Waker()
        self._connections._stop_requested = True
        self._connections._selector.register(waker.sock, selectors.EVENT_READ, data=waker)
        super().stop()
        waker.close()
        self.heads.stop()

    def error_log(self, msg: str = "", level: int = 0, traceback: bool = False) -> None:
        """Forward cheroot's messages to the log."""
        log("ENTRY", "HTTP server reported.", report=str(msg), level=level)

    def _queue(self, conn: Any) -> None:
        """Queue a connection for a worker."""
        if self.requests.qsize >= self.workers:
            self._unservicable_conns.put(conn)
        else:
            self.requests.put(conn)

    def _watch(self, conn: Any) -> None:
        if super().can_add_keepalive_connection:
            self._connections.put(conn)
        else:
            conn.close()


def _body_too_large(max_bytes: int) -> MimosaspurError:
    return MimosaspurError(ResultCode.BODY_TOO_LARGE, f"The limit is {max_bytes} bytes.")


def _bad_header(detail: str) -> MimosaspurError:
    return MimosaspurError(ResultCode.BAD_HEADER, detail)


def _incomplete_body() -> MimosaspurError:
    detail = "The body was incomplete or did not arrive in time."
    return MimosaspurError(ResultCode.BAD_REQUEST, detail)
