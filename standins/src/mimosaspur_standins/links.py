"""Forward one relayed connection, with optional delay and data loss."""

import contextlib
import queue
import socket
import struct
import threading
from collections.abc import Callable

from .base import RECV_BYTES
from .base import now_ms
from .base import sleep_ms

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CONNECT_TIMEOUT_S = 5


class Flow:
    """Forward bytes in one direction; `discarding` drops them permanently."""

    def __init__(self, link: "Link", source: socket.socket, sink: socket.socket) -> None:
        self.link = link
        self.source = source
        self.sink = sink
        self.discarding = False
        self.ended = False
        self.pending: queue.SimpleQueue[tuple[float, bytes]] = queue.SimpleQueue()

    def start(self) -> None:
        """Forward in background threads."""
        threading.Thread(target=self.read, daemon=True).start()
        threading.Thread(target=self.write, daemon=True).start()

    def read(self) -> None:
        """Queue each chunk with the time to send it; an empty chunk marks the end."""
        data = b"start"
        while data:
            try:
                data = self.source.recv(RECV_BYTES)
            except OSError:
                data = b""
            self.pending.put((now_ms() + self.link.delay_ms(), data))

    def write(self) -> None:
        """Send each chunk when it is due."""
        data = b"start"
        while data:
            due_ms, data = self.pending.get()
            sleep_ms(max(0, due_ms - now_ms()))
            if not self.discarding and not self.link.broken:
                self.send(data)
        self.ended = True
        self.link.on_flow_ended()

    def send(self, data: bytes) -> None:
        """Send a chunk, or shut down the write side for an empty one."""
        with contextlib.suppress(OSError):  # the other flow detects the disconnect
            if data:
                self.sink.sendall(data)
            else:
                self.sink.shutdown(socket.SHUT_WR)


class Link:
    """Connect an accepted (downstream) connection to a new upstream one."""

    def __init__(
        self,
        downstream: socket.socket,
        *,
        delay_ms: Callable[[], float],
        on_close: Callable[["Link"], None],
    ) -> None:
        self.downstream = downstream
        self.upstream = socket.socket()
        for end in (self.downstream, self.upstream):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.delay_ms = delay_ms
        self.on_close = on_close
        self.broken = False
        self.requests = Flow(self, self.downstream, self.upstream)
        self.responses = Flow(self, self.upstream, self.downstream)

    def open(self, to: tuple[str, int]) -> None:
        """Connect upstream and forward both directions."""
        try:
            self.upstream.settimeout(CONNECT_TIMEOUT_S)
            self.upstream.connect(to)
            self.upstream.settimeout(None)
        except OSError:
            self.reset()
            self.on_close(self)
            return
        self.requests.start()
        self.responses.start()

    def is_frozen(self) -> bool:
        """Return whether either direction discards its data."""
        return self.requests.discarding or self.responses.discarding

    def reset(self) -> None:
        """Reset both connections."""
        self.broken = True
        for end in (self.downstream, self.upstream):
            with contextlib.suppress(OSError):  # already closed
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            # A thread blocked in recv keeps the connection open, so unblock it first.
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RD)
            end.close()

    def on_flow_ended(self) -> None:
        """Close both connections once both flows have ended, unless the link is frozen."""
        if not (self.requests.ended and self.responses.ended) or self.is_frozen():
            return
        self.downstream.close()
        self.upstream.close()
        self.on_close(self)
