"""Carry one relayed connection, with silence and delay on order."""

import contextlib
import queue
import socket
import struct
import threading
from collections.abc import Callable

from .base import DRAIN_BYTES
from .base import now_ms
from .base import sleep_ms

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CONNECT_TIMEOUT_S = 5


class Flow:
    """Carry bytes in one direction; `silent` swallows them for good."""

    def __init__(self, link: "Link", source: socket.socket, sink: socket.socket) -> None:
        self.link = link
        self.source = source
        self.sink = sink
        self.silent = False
        self.ended = False
        self.pending: queue.SimpleQueue[tuple[float, bytes]] = queue.SimpleQueue()

    def start(self) -> None:
        """Carry in the background."""
        threading.Thread(target=self.read, daemon=True).start()
        threading.Thread(target=self.write, daemon=True).start()

    def read(self) -> None:
        """Note when each piece is due at the other end; an empty piece is the end."""
        data = b"start"
        while data:
            try:
                data = self.source.recv(DRAIN_BYTES)
            except OSError:
                data = b""
            self.pending.put((now_ms() + self.link.delay_ms(), data))

    def write(self) -> None:
        """Send the pieces when they are due."""
        data = b"start"
        while data:
            due_ms, data = self.pending.get()
            sleep_ms(max(0, due_ms - now_ms()))
            if not self.silent and not self.link.broken:
                self.send(data)
        self.ended = True
        self.link.flow_ended()

    def send(self, data: bytes) -> None:
        """Pass on a piece or the end."""
        with contextlib.suppress(OSError):  # the other flow sees that the peer is gone
            if data:
                self.sink.sendall(data)
            else:
                self.sink.shutdown(socket.SHUT_WR)


class Link:
    """Tie an accepted connection to a new one; `asks` and `answers` are its two flows."""

    def __init__(
        self,
        near: socket.socket,
        *,
        delay_ms: Callable[[], float],
        forget: Callable[["Link"], None],
    ) -> None:
        self.near = near
        self.far = socket.socket()
        for end in (self.near, self.far):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.delay_ms = delay_ms
        self.forget = forget
        self.broken = False
        self.asks = Flow(self, self.near, self.far)
        self.answers = Flow(self, self.far, self.near)

    def open(self, to: tuple[str, int]) -> None:
        """Connect to the other side and carry."""
        try:
            self.far.settimeout(CONNECT_TIMEOUT_S)
            self.far.connect(to)
            self.far.settimeout(None)
        except OSError:
            self.cut()
            self.forget(self)
            return
        self.asks.start()
        self.answers.start()

    def frozen(self) -> bool:
        """Tell whether a direction went silent."""
        return self.asks.silent or self.answers.silent

    def cut(self) -> None:
        """Reset both ends."""
        self.broken = True
        for end in (self.near, self.far):
            with contextlib.suppress(OSError):  # closed already
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            # A reading thread keeps the connection alive, so wake it first.
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RD)
            end.close()

    def flow_ended(self) -> None:
        """Close both ends when both flows are over, but never those of a frozen link."""
        if not (self.asks.ended and self.answers.ended) or self.frozen():
            return
        self.near.close()
        self.far.close()
        self.forget(self)
