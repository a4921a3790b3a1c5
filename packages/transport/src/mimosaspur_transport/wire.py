"""Send and receive protocol messages on one TCP connection."""

import contextlib
import socket
import threading
from collections.abc import Iterator

from mimosaspur_protocol.codec import Decoder
from mimosaspur_protocol.codec import encode
from mimosaspur_protocol.messages import Message
from mimosaspur_state.settings import split_address

RECEIVE_BYTES = 65_536
LISTEN_BACKLOG = 256


class ConnectionLost(Exception):
    """Signal that a connection is closed, broken or refused."""


class Wire:
    """Wrap a connected socket; any thread may send, only one receives."""

    def __init__(self, sock: socket.socket, *, send_timeout_ms: int) -> None:
        self.sock = sock
        self.decoder = Decoder()
        self.send_lock = threading.Lock()
        self.closed = False
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Unacknowledged data closes the connection after the same time as missing messages.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, send_timeout_ms)
        sock.settimeout(send_timeout_ms / 1000)

    def send(self, message: Message) -> None:
        """Send one complete message; raise ConnectionLost."""
        frame = encode(message)
        with self.send_lock:
            if self.closed:
                raise ConnectionLost("the connection is closed")
            try:
                self.sock.sendall(frame)
            except OSError as error:
                # Part of the frame may be sent, so the connection can't carry another one.
                self.close()
                raise ConnectionLost(str(error)) from error

    def receive(self) -> Iterator[Message]:
        """Yield the messages of one read; raise TimeoutError, ConnectionLost, ProtocolError."""
        try:
            data = self.sock.recv(RECEIVE_BYTES)
        except TimeoutError:
            raise
        except OSError as error:
            raise ConnectionLost(str(error)) from error
        if not data:
            raise ConnectionLost("the other end closed the connection")
        return self.decoder.feed(data)

    def close(self) -> None:
        """Close the connection and unblock a thread that receives on it."""
        self.closed = True
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()


def connect(address: str, *, connect_ms: int, send_timeout_ms: int) -> Wire:
    """Open a connection to an address; raise ConnectionLost."""
    try:
        sock = socket.create_connection(split_address(address), connect_ms / 1000)
    except OSError as error:
        raise ConnectionLost(f"{address}: {error}") from error
    return Wire(sock, send_timeout_ms=send_timeout_ms)


def listen(address: str) -> socket.socket:
    """Open a listening socket; raise OSError when the address is in use."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(split_address(address))
    sock.listen(LISTEN_BACKLOG)
    return sock
