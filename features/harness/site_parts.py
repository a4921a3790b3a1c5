"""Define the relays and daemons of a site."""

from dataclasses import dataclass
from typing import Any

from harness.control import call
from mimosaspur_load.processes import Started


@dataclass(slots=True)
class Relay:
    """Control a relay between two processes."""

    address: str
    control: str

    def mode(self, mode: str) -> None:
        """Set the mode: pass, freeze, freeze_answers, cut or refuse."""
        call(self.control, "POST", "/mode", {"mode": mode})

    def interrupt(self, mode: str) -> None:
        """Apply a mode to the open connections only; new ones pass."""
        self.mode(mode)
        self.mode("pass")


@dataclass(slots=True)
class Daemon:
    """Describe a daemon process and the settings to restart it."""

    name: str
    role: str
    domain: str
    settings: dict[str, Any]
    started: Started
    public: str

    @property
    def address(self) -> str:
        """Return the address that the process itself listens on."""
        return self.started.address
