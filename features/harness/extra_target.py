"""Simulate a target that sends an extra response on a kept connection, at a given moment."""

import contextlib
import socket
import threading
from dataclasses import dataclass
from dataclasses import field

from harness.direct_target import ScriptedTarget

HEAD_END = b"\r\n\r\n"
BODY = b"{}"
READ_BYTES = 65_536
WAIT_S = 5.0


@dataclass(slots=True)
class ExtraTarget(ScriptedTarget):
    """Run in a thread of its own, so that it goes on while the entry's event loop doesn't."""

    # What is sent between the first request's answer and the second one's, and when.
    extra: bytes = b""
    before_second: bool = False
    listening: socket.socket = field(default_factory=socket.socket)
    # IDs of the requests that ran, over all connections.
    ran: list[str] = field(default_factory=list)
    # Set when the extra response may be sent to a kept connection, and when it has been sent.
    may_send: threading.Event = field(default_factory=threading.Event)
    has_sent: threading.Event = field(default_factory=threading.Event)

    async def start(self) -> tuple[str, int]:
        """Listen on a free port."""
        self.listening.bind(("127.0.0.1", 0))
        self.listening.listen()
        threading.Thread(target=self._accept, daemon=True).start()
        address: tuple[str, int] = self.listening.getsockname()
        return address

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                accepted, _ = self.listening.accept()
                threading.Thread(target=self._serve_kept, args=(accepted,), daemon=True).start()

    def _serve_kept(self, accepted: socket.socket) -> None:
        with contextlib.suppress(OSError), accepted:
            while request := _read_request(accepted):
                is_second = bool(self.ran) and not self.has_sent.is_set()
                if is_second and not self.before_second:
                    accepted.sendall(self.extra)
                    self.has_sent.set()
                    # The entry reads the extra response by itself.
                    threading.Event().wait(0.02)
                identity = _identity(request)
                self.ran.append(identity)
                accepted.sendall(response(200, identity, body=identity.encode()))
                if self.before_second and not self.has_sent.is_set():
                    self.may_send.wait(WAIT_S)
                    accepted.sendall(self.extra)
                    self.has_sent.set()


def response(
    status: int, identity: str | None, *, body: bytes = b"", not_run: bool = False
) -> bytes:
    """Return a response, with the ID of a request unless that is None."""
    fields = {"X-Proof": "p", "Content-Length": str(len(body))}
    if identity is not None:
        fields["X-Request-Id"] = identity
    if not_run:
        fields["X-Not-Run"] = "1"
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"HTTP/1.1 {status} Answer\r\n{lines}\r\n".encode() + body


def _read_request(accepted: socket.socket) -> bytes:
    request = b""
    while not request.endswith(HEAD_END + BODY):
        data = accepted.recv(READ_BYTES)
        if not data:
            return b""
        request += data
    return request


def _identity(request: bytes) -> str:
    _, _, rest = request.lower().partition(b"x-request-id: ")
    return rest.partition(b"\r\n")[0].decode()
