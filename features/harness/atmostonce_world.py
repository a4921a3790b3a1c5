"""Make a scenario's bookings and check their reported outcomes."""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from functools import partial

from harness.caller import Call
from harness.caller import Reply
from harness.caller import service_call
from harness.control import wait_for
from harness.site import REGION
from harness.site import Site
from mimosaspur_load.processes import kill
from mimosaspur_state import keys

SERVICE = "bookings"
TARGETS = ("dispatch-0", "dispatch-1")
ENTRIES = ("entry-0", "entry-1")
WORK_MS = 400
DEADLINE_MS = 2500
MS_PER_SECOND = 1000


@dataclass(slots=True)
class Booking:
    """Hold one call to the service and its body."""

    body: str
    call: Call

    def wait(self) -> Reply:
        """Wait for the reply and return it."""
        return self.call.wait()

    def disconnect(self) -> None:
        """Close the caller's connection."""
        assert self.call.connection.sock
        self.call.disconnect()


@dataclass(slots=True)
class BookingWorld:
    """Make bookings at a site and count their runs at the services."""

    site: Site
    bookings: list[Booking] = field(default_factory=list)
    killed_service_runs: dict[str, int] = field(default_factory=dict)

    def book(
        self, body: str, *, entry: str = "entry-0", key: str = "", deadline_ms: int = DEADLINE_MS
    ) -> Booking:
        """Send a booking."""
        headers = {"X-Deadline-Ms": str(deadline_ms)}
        if key:
            headers["Idempotency-Key"] = key
        address = self.site.daemons[entry].public
        call = service_call(address, SERVICE, body, headers=headers)
        booking = Booking(body, call)
        self.bookings.append(booking)
        return booking

    def last_reply(self) -> Reply:
        """Return the reply to the last booking."""
        return self.bookings[-1].wait()

    def runs(self, body: str) -> int:
        """Count a body's runs at all services, including killed ones."""
        logs = [self.site.service_log(name) for name in self.running_services()]
        live_runs: int = sum(log["by_body"].get(body, 0) for log in logs)
        return self.killed_service_runs.get(body, 0) + live_runs

    def has_run(self, body: str) -> bool:
        """Return whether a body ran."""
        return self.runs(body) > 0

    def running_entry(self) -> str:
        """Return an entry whose process is running."""
        entries = (name for name in ENTRIES if self.is_running(name))
        return next(entries)

    def is_running(self, name: str) -> bool:
        """Return whether a daemon's process is running."""
        return self.site.daemons[name].started.process.poll() is None

    def running_services(self) -> Iterator[str]:
        """Yield the services whose process is running."""
        for name, started in self.site.services.items():
            if started.process.poll() is None:
                yield name

    def running_targets(self) -> Iterator[str]:
        """Yield the targets whose process is running."""
        for name in TARGETS:
            if self.is_running(name):
                yield name

    def target_that_ran(self, body: str) -> str:
        """Return the target whose service ran a body."""
        return next(
            name for name in self.site.services if self.site.service_log(name)["by_body"].get(body)
        )

    def kill_services(self) -> None:
        """Kill the services and record their runs."""
        for name in list(self.running_services()):
            for body, count in self.site.service_log(name)["by_body"].items():
                self.killed_service_runs[body] = self.killed_service_runs.get(body, 0) + count
            kill(self.site.services[name])

    def start_services(self) -> None:
        """Restart stopped services at their previous addresses."""
        for name, old in self.site.services.items():
            if old.process.poll() is None:
                continue
            options = ("--address", old.address, "--work-ms", str(WORK_MS))
            self.site.services[name] = self.site.processes.start_stand_in("service", *options)

    def await_idle(self) -> None:
        """Wait until each running target reports nothing queued or active."""
        for name in self.running_targets():
            beat = self._status(name)["beat"]
            wait_for(partial(self._idle_since, name, beat), f"{name} is idle")

    def check_reported_outcome(self, booking: Booking) -> None:
        """Check a booking's reported outcome against its run count."""
        reply, runs = booking.wait(), self.runs(booking.body)
        assert runs <= 1, f"{booking.body} ran {runs} times"
        outcome = reported_outcome(reply)
        if outcome in ("answer", "done"):
            assert runs == 1, f"{booking.body}: {outcome}, but it ran {runs} times"
        if outcome == "not_run":
            assert runs == 0, f"{booking.body} was reported as not run: {reply.body!r}"
            assert "retry-after" in reply.headers, reply.headers

    def _status(self, name: str) -> dict[str, int]:
        found = self.site.store().get(keys.status(REGION, name))
        assert found
        status: dict[str, int] = found.value
        return status

    def _idle_since(self, name: str, beat: int) -> bool:
        status = self._status(name)
        # Two beats later, since the next one may have been prepared before this check.
        return status["beat"] > beat + 1 and not status["active"] and not status["queued"]


def reported_outcome(reply: Reply) -> str:
    """Return the outcome reported to the caller: answer, nothing, or an error's outcome."""
    if reply.broken or not reply.status:
        return "nothing"
    if reply.status < 400:
        return "answer"
    return str(reply.error()["outcome"])
