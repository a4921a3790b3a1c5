"""Hold the faults that a harness orders of a stand-in."""

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
    """Describe one ordered fault: `count` is what is left, `struck` how often it struck."""

    kind: FaultKind
    match: str = ""
    count: int = UNTIL_CLEARED
    delay_ms: float = 0
    status: int = OUTAGE_STATUS
    struck: int = 0


class Faults:
    """Keep the ordered faults and pick the one that strikes a request."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.faults: list[Fault] = []

    def add(self, wanted: dict[str, Any]) -> None:
        """Add a fault; raise ValueError when it isn't one."""
        if wanted.get("kind") not in KINDS:
            raise ValueError(f"kind must be one of {', '.join(KINDS)}")
        try:
            fault = Fault(**wanted)
        except TypeError as error:
            raise ValueError(
                f"use kind, match, count, delay_ms and status only: {error}"
            ) from error
        with self.lock:
            self.faults.append(fault)

    def clear(self) -> None:
        """Forget every fault."""
        with self.lock:
            self.faults.clear()

    def listing(self) -> list[dict[str, Any]]:
        """List the faults, spent ones too (count 0), until they are cleared."""
        with self.lock:
            return [asdict(fault) for fault in self.faults]

    def take_matching(self, line: str) -> Fault | None:
        """Take the first fault that matches `METHOD /path?query` and count it."""
        with self.lock:
            for fault in self.faults:
                if fault.count == 0 or fault.match not in line:
                    continue
                if fault.count > 0:
                    fault.count -= 1
                fault.struck += 1
                return fault
        return None
