"""Run the operators' command line against an object API stand-in."""

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
    """Represent the exit code and output of a command."""

    exit_code: int
    output: str
    errors: str

    def value(self) -> Any:
        """Return the JSON value on standard output."""
        return json.loads(self.output)

    def error(self) -> dict[str, Any]:
        """Return the JSON error on standard error."""
        error: dict[str, Any] = json.loads(self.errors.splitlines()[-1])["error"]
        return error


class OperatorCli:
    """Run commands against an object API stand-in and set up its objects and faults."""

    def __init__(self, processes: Processes) -> None:
        self.processes = processes
        self.api = processes.start_stand_in("objectapi")
        self.folder = Path(tempfile.mkdtemp(prefix="operators-"))

    def start(self, operator: str, *arguments: str) -> Started:
        """Start a command as an operator without waiting for it to exit."""
        command = [*COMMAND, *arguments, "--json"]
        environment = {
            "MIMOSASPUR_OBJECT_API": self.api.address,
            "MIMOSASPUR_OPERATOR": operator,
        }
        return self.processes.spawn(command, environment=environment)

    def wait(self, started: Started) -> CommandResult:
        """Wait for a command to exit; raise AssertionError after COMMAND_TIMEOUT_S."""
        try:
            output, _ = started.process.communicate(timeout=COMMAND_TIMEOUT_S)
        except subprocess.TimeoutExpired as error:
            raise AssertionError(
                f"command still running after {COMMAND_TIMEOUT_S} s: {started.error_text()}"
            ) from error
        return CommandResult(started.process.returncode, output.decode(), started.error_text())

    def run(self, operator: str, *arguments: str) -> CommandResult:
        """Run a command as an operator and return its result."""
        return self.wait(self.start(operator, *arguments))

    def write_file(self, name: str, text: str) -> Path:
        """Write a file and return its path."""
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
        """Create an object in the stand-in; fail if the key exists."""
        self.call("PUT", f"/objects/{key}", value, If_None_Match="*")

    def add_fault(self, kind: str, match: str, count: int, delay_ms: int = 0) -> None:
        """Add a fault to the stand-in; a count of -1 never runs out."""
        fault = {"kind": kind, "match": match, "count": count, "delay_ms": delay_ms}
        self.call("POST", "/faults", fault)

    def triggered_faults(self) -> int:
        """Return how many calls faults have affected."""
        return sum(fault["struck"] for fault in self.call("GET", "/faults")["faults"])
