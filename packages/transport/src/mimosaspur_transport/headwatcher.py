"""Keep connections from workers until a whole request head has come, and bound the time for it."""

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

POLL_S = 0.02
MAX_INCOMPLETE = 1024
HEAD_ENDS = (b"\r\n\r\n", b"\n\n")
LATE_RESPONSE = b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


class HeadWatcher:
    """Watch connections whose request head is incomplete."""

    __slots__ = ("changed", "incomplete", "limit_bytes", "queue", "reading", "stopped", "timeout_s")

    def __init__(self, queue: Callable[[Any], None], *, timeout_s: float, limit_bytes: int) -> None:
        # Passes a connection on to the workers.
        self.queue = queue
        self.timeout_s = timeout_s
        # A longer head is refused by a worker.
        self.limit_bytes = limit_bytes
        # With the times at which their heads are late: those without a worker, and those of which a
        # worker reads a head that came behind another request.
        self.incomplete: dict[Any, float] = {}
        self.reading: dict[Any, float] = {}
        self.changed = threading.Condition()
        self.stopped = False

    def add(self, conn: Any) -> None:
        """Pass a readable connection on once its head is complete."""
        if self._is_complete(conn):
            self.queue(conn)
            return
        oldest = None
        with self.changed:
            if len(self.incomplete) >= MAX_INCOMPLETE:
                oldest = next(iter(self.incomplete))
                del self.incomplete[oldest]
            self.incomplete[conn] = time.monotonic() + self.timeout_s
            self.changed.notify()
        if oldest:
            oldest.close()

    def begin_reading(self, conn: Any) -> None:
        """Bound the time in which a worker reads a head."""
        with self.changed:
            self.reading[conn] = time.monotonic() + self.timeout_s
            self.changed.notify()

    def end_reading(self, conn: Any) -> None:
        """Record that a worker has read a head."""
        with self.changed:
            self.reading.pop(conn, None)

    def run(self) -> None:
        """Watch until stopped."""
        while True:
            with self.changed:
                self.changed.wait_for(lambda: self.incomplete or self.reading or self.stopped)
                if self.stopped:
                    return
                incomplete = list(self.incomplete.items())
                now_s = time.monotonic()
                late = [conn for conn, late_s in self.reading.items() if now_s >= late_s]
            for conn in late:
                # The worker finds the end of the connection, and closes it.
                self.end_reading(conn)
                with contextlib.suppress(OSError):
                    conn.socket.shutdown(socket.SHUT_RD)
            for conn, late_s in incomplete:
                self._check(conn, is_late=now_s >= late_s)
            time.sleep(POLL_S)

    def stop(self) -> None:
        """Stop, and close the connections that no worker has."""
        with self.changed:
            self.stopped = True
            self.changed.notify()
            incomplete, self.incomplete = list(self.incomplete), {}
        for conn in incomplete:
            conn.close()

    def _check(self, conn: Any, *, is_late: bool) -> None:
        is_complete = self._is_complete(conn)
        if not is_complete and not is_late:
            return
        with self.changed:
            if self.incomplete.pop(conn, None) is None:
                return
        if is_complete:
            self.queue(conn)
            return
        with contextlib.suppress(OSError):
            conn.socket.send(LATE_RESPONSE, socket.MSG_DONTWAIT)
        conn.close()

    def _is_complete(self, conn: Any) -> bool:
        """Return whether a worker can go on with a connection without waiting for its head."""
        if conn.rfile.has_data():
            return True
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        try:
            data = conn.socket.recv(self.limit_bytes, flags)
        except BlockingIOError:
            return False
        except OSError:
            return True
        if not data or len(data) >= self.limit_bytes:
            return True
        return any(end in data for end in HEAD_ENDS)
