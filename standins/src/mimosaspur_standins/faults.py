"""Store the faults that the harness injects into a stand-in."""

import threading
from dataclasses import asdict
from dataclasses import dataclass
from typing import Any
from typing import Literal
from typing import get_args

FaultKind = Literal["drop", "lose_answer", "late", "slow", "hang", "error"]
KINDS: tuple[str, ...] = get_args(FaultKind)
UNTIL_CLEARED = -1
OUTAGE_STATUS = 503


@dataclass(slots=True)
class Fault:
    """Describe a fault: `count` is how many injections remain, `struck` how many were made."""

    kind: FaultKind
    match: str = ""
    count: int = UNTIL_CLEARED
    delay_ms: float = 0
    status: int = OUTAGE_STATUS
    struck: int = 0


class Faults:
    """Store the active faults and select the one to inject into a request."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.faults: list[Fault] = []

    def add(self, fields: dict[str, Any]) -> None:
        """Add a fault; raise ValueError if it is invalid."""
        if fields.get("kind") not in KINDS:
            raise ValueError(f"kind must be one of {', '.join(KINDS)}")
        try:
            fault = Fault(**fields)
        except TypeError as error:
            raise ValueError(
                f"unknown field; use kind, match, count, delay_ms and status: {error}"
            ) from error
        with self.lock:
            self.faults.append(fault)

    def clear(self) -> None:
        """Remove all faults."""
        with self.lock:
            self.faults.clear()

    def listing(self) -> list[dict[str, Any]]:
        """List all faults until they are cleared, including used-up ones (count 0)."""
        with self.lock:
            return [asdict(fault) for fault in self.faults]

    def take_matching(self, line: str) -> Fault | None:
        """Return the first active fault that matches `METHOD /path?query` and count its use."""
        with self.lock:
            for fault in self.faults:
                if fault.count == 0 or fault.match not in line:
                    continue
                if fault.count > 0:
                    fault.count -= 1
                fault.struck += 1
                return fault
        return None
