"""Run the operators' command line as they do."""

import json
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import urllib3

from mimosaspur_load.processes import Processes
from mimosaspur_load.processes import Started

COMMAND = (sys.executable, "-m", "mimosaspur_cli.main")
COMMAND_TIMEOUT_S = 60.0
CALL_TIMEOUT_S = 5.0


@dataclass(slots=True)
class CommandResult:
    """Hold how a command ended."""

    exit_code: int
    output: str
    errors: str

    def value(self) -> Any:
        """Return the JSON that it printed."""
        return json.loads(self.output)

    def error(self) -> dict[str, Any]:
        """Return the error that it printed as JSON."""
        found: dict[str, Any] = json.loads(self.errors.splitlines()[-1])["error"]
        return found


class OperatorCli:
    """Run commands against one object API stand-in, and prepare what they meet there."""

    def __init__(self, processes: Processes) -> None:
        self.processes = processes
        self.api = processes.start_stand_in("objectapi")
        self.folder = Path(tempfile.mkdtemp(prefix="operators-"))

    def start(self, operator: str, *arguments: str) -> Started:
        """Start a command by an operator, without waiting for its end."""
        command = [*COMMAND, *arguments, "--json"]
        environment = {
            "MIMOSASPUR_OBJECT_API": self.api.address,
            "MIMOSASPUR_OPERATOR": operator,
        }
        return self.processes.spawn(command, environment=environment)

    def wait(self, started: Started) -> CommandResult:
        """Wait for a command's end, within a bound."""
        try:
            output, _ = started.process.communicate(timeout=COMMAND_TIMEOUT_S)
        except subprocess.TimeoutExpired as error:
            raise AssertionError(
                f"no end in {COMMAND_TIMEOUT_S} s: {started.error_text()}"
            ) from error
        return CommandResult(started.process.returncode, output.decode(), started.error_text())

    def run(self, operator: str, *arguments: str) -> CommandResult:
        """Run a command by an operator to its end."""
        return self.wait(self.start(operator, *arguments))

    def write_file(self, name: str, text: str) -> Path:
        """Write a file for a command to read."""
        path = self.folder / name
        path.write_text(text, encoding="utf-8")
        return path

    def call(self, method: str, path: str, value: object = None, **headers: str) -> Any:
        """Call the stand-in directly; raise AssertionError unless it answers 200."""
        response = urllib3.request(
            method,
            f"http://{self.api.address}{path}",
            body=None if value is None else json.dumps(value),
            headers={name.replace("_", "-"): text for name, text in headers.items()},
            timeout=CALL_TIMEOUT_S,
            retries=False,
        )
        assert response.status == 200, f"{method} {path}: {response.status} {response.data!r}"
        return response.json()

    def create_object(self, key: str, value: object) -> None:
        """Create an object."""
        self.call("PUT", f"/objects/{key}", value, If_None_Match="*")

    def add_fault(self, kind: str, match: str, count: int, delay_ms: int = 0) -> None:
        """Order a fault; a count of -1 lasts."""
        wanted = {"kind": kind, "match": match, "count": count, "delay_ms": delay_ms}
        self.call("POST", "/faults", wanted)

    def triggered_faults(self) -> int:
        """Return how often faults struck."""
        return sum(fault["struck"] for fault in self.call("GET", "/faults")["faults"])
