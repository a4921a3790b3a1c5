"""Relay TCP connections and break them on request."""

import socket
import threading

from .base import MAX_BACKLOG
from .base import StandIn
from .base import split_address
from .links import Link
from .messages import Reply
from .messages import Request

MODES = ("pass", "freeze", "freeze_answers", "cut", "refuse")


class Relay(StandIn):
    """Relay TCP connections, with an HTTP control interface."""

    def __init__(self, *, name: str, address: str, control: str, to: str) -> None:
        super().__init__(name=name, address=control)
        self.upstream_address = split_address(to)
        self.lock = threading.Lock()
        self.links: set[Link] = set()
        self.mode = "pass"
        self.delay_ms = 0.0
        self.listener = socket.create_server(split_address(address), backlog=MAX_BACKLOG)
        self.route("POST", "/mode", self.set_mode)
        self.route("GET", "/mode", self.show_mode)
        self.route("POST", "/delay", self.set_delay)

    def start(self) -> None:
        """Serve the control interface and relay in the background."""
        super().start()
        threading.Thread(target=self.accept, daemon=True).start()

    def announcement(self) -> dict[str, str]:
        """Return the addresses of the relay and of the control interface."""
        host, port = self.listener.getsockname()
        return {"name": self.name, "address": f"{host}:{port}", "control": self.address}

    def accept(self) -> None:
        """Accept connections indefinitely."""
        while True:
            downstream, _ = self.listener.accept()
            link = Link(downstream, delay_ms=lambda: self.delay_ms, on_close=self.remove_link)
            with self.lock:
                refused = self.mode == "refuse"
                if not refused:
                    self.links.add(link)
            if refused:
                link.reset()
            else:
                threading.Thread(
                    target=link.open, args=(self.upstream_address,), daemon=True
                ).start()

    def remove_link(self, link: Link) -> None:
        """Remove a closed link."""
        with self.lock:
            self.links.discard(link)

    def set_mode(self, request: Request) -> Reply:
        """Apply a mode to open links; of the modes, only `refuse` also affects new ones."""
        mode = request.json_object()["mode"]
        if mode not in MODES:
            raise ValueError(f"mode must be one of {', '.join(MODES)}")
        with self.lock:
            self.mode = mode
            for link in self.links:
                apply_mode(link, mode)
            if mode in ("cut", "refuse"):
                self.links.clear()
        return self.show_mode(request)

    def show_mode(self, request: Request) -> Reply:
        """Return the mode and the number of open and frozen links."""
        with self.lock:
            frozen = sum(link.is_frozen() for link in self.links)
            return Reply(value={"mode": self.mode, "open": len(self.links), "frozen": frozen})

    def set_delay(self, request: Request) -> Reply:
        """Set the delay of each direction."""
        self.delay_ms = float(request.json_object()["ms"])
        return Reply()


def apply_mode(link: Link, mode: str) -> None:
    """Apply a mode to an open link."""
    match mode:
        case "freeze":
            link.requests.discarding = True
            link.responses.discarding = True
        case "freeze_answers":
            link.responses.discarding = True
        case "cut" | "refuse":
            link.reset()
