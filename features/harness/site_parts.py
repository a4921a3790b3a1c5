"""Describe what a site runs besides stand-ins."""

from dataclasses import dataclass
from typing import Any

from harness.control import call
from mimosaspur_load.processes import Started


@dataclass(slots=True)
class Relay:
    """Stand between two processes."""

    address: str
    control: str

    def mode(self, mode: str) -> None:
        """Set the mode: pass, freeze, freeze_answers, cut or refuse."""
        call(self.control, "POST", "/mode", {"mode": mode})

    def interrupt(self, mode: str) -> None:
        """Break the open connections so, and let new ones pass."""
        self.mode(mode)
        self.mode("pass")


@dataclass(slots=True)
class Daemon:
    """Hold one of our processes and how to start it again."""

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
