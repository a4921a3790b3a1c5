"""Start processes for a scenario and stop them all after it."""

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

ANNOUNCE_S = 15.0
STOP_S = 5.0
READ_BYTES = 4096
STAND_INS = "mimosaspur_standins"


@dataclass(slots=True)
class Started:
    """Hold a running process and the first line that it announced as JSON."""

    process: subprocess.Popen[bytes]
    announcement: dict[str, Any]
    errors: IO[bytes]

    @property
    def address(self) -> str:
        """Return the announced address."""
        return str(self.announcement["address"])

    def error_text(self) -> str:
        """Return what the process wrote to standard error so far."""
        self.errors.seek(0)
        return self.errors.read().decode(errors="replace")


class Processes:
    """Own the processes of one scenario; close ends all of them, and only them."""

    def __init__(self) -> None:
        self.started: list[Started] = []

    def start(
        self, command: Sequence[str], *, environment: Mapping[str, str] | None = None
    ) -> Started:
        """Start a command and wait, within a bound, for the JSON line that it prints first."""
        started = self.spawn(command, environment=environment)
        started.announcement = json.loads(_first_line(started))
        return started

    def start_stand_in(self, kind: str, *options: str) -> Started:
        """Start a stand-in on a fresh port."""
        return self.start([sys.executable, "-m", STAND_INS, kind, *options])

    def spawn(
        self, command: Sequence[str], *, environment: Mapping[str, str] | None = None
    ) -> Started:
        """Start a command that announces nothing."""
        # Closed with the scenario, since the process writes to it until then.
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

    def signal(self, started: Started, number: signal.Signals) -> None:
        """Send a signal to a process that this scenario started."""
        started.process.send_signal(number)

    def stop(self, started: Started) -> int:
        """End a process, by force if it doesn't end by itself, and return its exit code."""
        process = started.process
        if process.poll() is None:
            # A paused process gets no other signal until it goes on.
            process.send_signal(signal.SIGCONT)
            process.terminate()
        try:
            return process.wait(STOP_S)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait(STOP_S)

    def close(self) -> None:
        """End every process that is still running."""
        for started in reversed(self.started):
            self.stop(started)
            if started.process.stdout:
                started.process.stdout.close()
            started.errors.close()
        self.started.clear()


def _first_line(started: Started) -> bytes:
    assert started.process.stdout
    descriptor = started.process.stdout.fileno()
    end = time.monotonic() + ANNOUNCE_S
    line = b""
    while not line.endswith(b"\n"):
        readable, _, _ = select.select([descriptor], [], [], max(0, end - time.monotonic()))
        part = os.read(descriptor, READ_BYTES) if readable else b""
        if not part:
            raise AssertionError(
                f"{started.process.args!r} announced nothing: {started.error_text()}"
            )
        line += part
    return line
