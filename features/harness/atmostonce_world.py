"""Hold the bookings of a scenario and judge what was told of them."""

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
    """Hold one call to the service and what it asks for."""

    body: str
    call: Call

    def wait(self) -> Reply:
        """Return the reply once it has ended."""
        return self.call.wait()

    def disconnect(self) -> None:
        """Close the caller's connection."""
        assert self.call.connection.sock
        self.call.leave()


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
        made = Booking(body, call)
        self.bookings.append(made)
        return made

    def last_reply(self) -> Reply:
        """Return the reply to the last booking."""
        return self.bookings[-1].wait()

    def runs(self, body: str) -> int:
        """Count a body's runs at all services, those of a killed one included."""
        logs = [self.site.service_log(name) for name in self.running_services()]
        living: int = sum(log["by_body"].get(body, 0) for log in logs)
        return self.killed_service_runs.get(body, 0) + living

    def has_run(self, body: str) -> bool:
        """Tell whether a body ran."""
        return self.runs(body) > 0

    def running_entry(self) -> str:
        """Return an entry whose process lives."""
        entries = (name for name in ENTRIES if self.is_running(name))
        return next(entries)

    def is_running(self, name: str) -> bool:
        """Tell whether a daemon's process lives."""
        return self.site.daemons[name].started.process.poll() is None

    def running_services(self) -> Iterator[str]:
        """Yield the services whose process lives."""
        for name, started in self.site.services.items():
            if started.process.poll() is None:
                yield name

    def running_targets(self) -> Iterator[str]:
        """Yield the targets whose process lives."""
        for name in TARGETS:
            if self.is_running(name):
                yield name

    def target_that_ran(self, body: str) -> str:
        """Return the target beside the service that ran a body."""
        return next(
            name for name in self.site.services if self.site.service_log(name)["by_body"].get(body)
        )

    def kill_services(self) -> None:
        """Kill the services, but remember what they ran."""
        for name in list(self.running_services()):
            for body, count in self.site.service_log(name)["by_body"].items():
                self.killed_service_runs[body] = self.killed_service_runs.get(body, 0) + count
            kill(self.site.services[name])

    def start_services(self) -> None:
        """Start the services at their former addresses."""
        for name, old in self.site.services.items():
            if old.process.poll() is None:
                continue
            options = ("--address", old.address, "--work-ms", str(WORK_MS))
            self.site.services[name] = self.site.processes.start_stand_in("service", *options)

    def await_idle(self) -> None:
        """Wait until each target that lives says that nothing waits or runs there any more."""
        for name in self.running_targets():
            beat = self._status(name)["beat"]
            wait_for(partial(self._idle_since, name, beat), f"{name} is idle")

    def check_reported_outcome(self, booking: Booking) -> None:
        """Check what a caller was told against the count of runs."""
        reply, runs = booking.wait(), self.runs(booking.body)
        assert runs <= 1, f"{booking.body} ran {runs} times"
        told = reported_outcome(reply)
        if told in ("answer", "done"):
            assert runs == 1, f"{booking.body}: {told}, but it ran {runs} times"
        if told == "not_run":
            assert runs == 0, f"{booking.body} was told not run: {reply.body!r}"
            assert "retry-after" in reply.headers, reply.headers

    def _status(self, name: str) -> dict[str, int]:
        found = self.site.store().get(keys.status(REGION, name))
        assert found
        status: dict[str, int] = found.value
        return status

    def _idle_since(self, name: str, beat: int) -> bool:
        status = self._status(name)
        # Two beats later, since one may have been made before the question.
        return status["beat"] > beat + 1 and not status["active"] and not status["queued"]


def reported_outcome(reply: Reply) -> str:
    """Name what a caller was told: answer, nothing, or an outcome."""
    if reply.broken or not reply.status:
        return "nothing"
    if reply.status < 400:
        return "answer"
    return str(reply.error()["outcome"])
