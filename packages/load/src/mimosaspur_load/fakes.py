"""Stand in for many peers of one daemon, so that connections can be weighed."""

import contextlib
import threading
import uuid

from mimosaspur_coordination.generation import BundleHolder
from mimosaspur_coordination.hints import TargetHint
from mimosaspur_protocol.messages import Hello
from mimosaspur_protocol.messages import Message
from mimosaspur_protocol.messages import Ping
from mimosaspur_protocol.messages import Pong
from mimosaspur_protocol.messages import Welcome
from mimosaspur_state.clock import SystemClock
from mimosaspur_state.load import Load
from mimosaspur_state.settings import PeerSettings
from mimosaspur_transport.targetlink import TargetLink
from mimosaspur_transport.wire import ConnectionLost
from mimosaspur_transport.wire import Wire
from mimosaspur_transport.wire import listen

SEND_TIMEOUT_MS = 10_000
IDLE_MS = 600_000
SLOTS = 8


class FakeTarget:
    """Greet an entry and answer its heartbeats, nothing more."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.sock = listen("127.0.0.1:0")
        host, port = self.sock.getsockname()
        self.address = f"{host}:{port}"
        self.greeted = threading.Event()
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop listening."""
        self.sock.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):  # closed
            while True:
                sock, _ = self.sock.accept()
                wire = Wire(sock, send_timeout_ms=SEND_TIMEOUT_MS)
                threading.Thread(target=self._serve, args=(wire,), daemon=True).start()

    def _serve(self, wire: Wire) -> None:
        with contextlib.suppress(ConnectionLost, TimeoutError):
            while True:
                for message in wire.receive():
                    self._answer(wire, message)

    def _answer(self, wire: Wire, message: Message) -> None:
        if isinstance(message, Hello):
            wire.send(Welcome(self.name, uuid.uuid4().hex, 0, draining=False, residents=()))
            self.greeted.set()
        elif isinstance(message, Ping):
            load = Load(active=0, queued=0, slots=SLOTS, predicted_wait_ms=0)
            wire.send(Pong(message.sequence, 0, draining=False, load=load))


def entry_links(address: str, count: int) -> list[TargetLink]:
    """Connect to a target as that many entries do."""
    clock = SystemClock()
    links = [
        TargetLink(
            TargetHint("measured", address, "measured"),
            instance=f"fake-entry-{number}",
            incarnation=uuid.uuid4().hex,
            settings=PeerSettings(),
            idle_ms=IDLE_MS,
            clock=clock,
            holder=BundleHolder(),
        )
        for number in range(count)
    ]
    for link in links:
        link.connect_in_background()
    return links
