"""Start the processes of a measurement or a scenario and end them; daemons start none."""

import json
import os
import select
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from typing import IO
from typing import Any

ANNOUNCE_S = 30.0
STOP_S = 40.0
KILL_S = 5.0
READ_BYTES = 4096
PROCESSES_AT_MOST = 60
STAND_INS = "mimosaspur_standins"


@dataclass(slots=True)
class Started:
    """Hold a running process and the line of JSON that it announced."""

    process: subprocess.Popen[bytes]
    announcement: dict[str, Any]
    errors: IO[bytes]

    @property
    def address(self) -> str:
        """Return the announced address."""
        return str(self.announcement["address"])

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.process.pid

    def error_text(self) -> str:
        """Return what it wrote to standard error so far."""
        self.errors.seek(0)
        return self.errors.read().decode(errors="replace")


class Processes:
    """Own processes; close ends all of them, and only them."""

    def __init__(self, *, announce_s: float = ANNOUNCE_S, at_most: int = PROCESSES_AT_MOST) -> None:
        self.announce_s = announce_s
        self.at_most = at_most
        self.started: list[Started] = []

    def start(self, command: Sequence[str]) -> Started:
        """Start a command and wait for the line of JSON that it prints first."""
        started = self.spawn(command)
        started.announcement = json.loads(_first_line(started, self.announce_s))
        return started

    def spawn(
        self, command: Sequence[str], *, environment: Mapping[str, str] | None = None
    ) -> Started:
        """Start a command that announces nothing; raise RuntimeError when too many run."""
        if len(self.running()) >= self.at_most:
            raise RuntimeError(f"{self.at_most} processes run; measure a smaller site.")
        # Closed with its owner, since the process writes to it until then.
        errors = tempfile.TemporaryFile()  # noqa: SIM115
        process = subprocess.Popen(
            command,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=errors,
            env={**os.environ, **(environment or {})},
        )
        started = Started(process, {}, errors)
        self.started.append(started)
        return started

    def start_stand_in(self, kind: str, *options: str) -> Started:
        """Start a stand-in on a fresh port unless the options name one."""
        return self.start([sys.executable, "-m", STAND_INS, kind, *options])

    def running(self) -> list[Started]:
        """Return the processes that have not ended."""
        return [started for started in self.started if started.process.poll() is None]

    def close(self) -> None:
        """End every process that is still running."""
        for started in self.running():
            started.process.kill()
        for started in self.started:
            started.process.wait(KILL_S)
            if started.process.stdout:
                started.process.stdout.close()
            started.errors.close()
        self.started.clear()


def stop_gracefully(started: Started) -> bool:
    """Send SIGTERM and wait; tell whether it ended by itself within its grace."""
    started.process.send_signal(signal.SIGTERM)
    try:
        started.process.wait(STOP_S)
    except subprocess.TimeoutExpired:
        kill(started)
        return False
    return True


def kill(started: Started) -> None:
    """Kill a process without any farewell."""
    started.process.kill()
    started.process.wait(KILL_S)


def _first_line(started: Started, announce_s: float) -> bytes:
    assert started.process.stdout
    descriptor = started.process.stdout.fileno()
    end = time.monotonic() + announce_s
    line = b""
    while not line.endswith(b"\n"):
        readable, _, _ = select.select([descriptor], [], [], max(0, end - time.monotonic()))
        part = os.read(descriptor, READ_BYTES) if readable else b""
        if not part:
            command = started.process.args
            raise RuntimeError(f"{command!r} announced nothing: {started.error_text()}")
        line += part
    return line
