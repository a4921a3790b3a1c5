"""Steps for the bytes that an entry exchanges with other failure domains."""

from dataclasses import dataclass
from typing import cast

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from mimosaspur_daemon.direct.enginecontroller import EngineController
from mimosaspur_daemon.direct.fleetchanges import FleetChanges
from mimosaspur_daemon.direct.fleetchanges import ReportBuilder
from mimosaspur_daemon.direct.fleetchanges import SentState
from mimosaspur_protocol.peermessages import FleetReport
from mimosaspur_state.counters import Counters
from mimosaspur_state.domaintraffic import DomainTraffic
from mimosaspur_state.domaintraffic import TrafficPurpose
from mimosaspur_state.fleet import TargetRecord


@given("an entry in domain a")
def make_traffic(context: Context) -> None:
    context.counters = Counters()
    context.traffic = DomainTraffic("a", context.counters)


@when("it sends {sent:d} bytes and receives {received:d} bytes for an answer of domain {domain:w}")
def exchange(context: Context, sent: int, received: int, domain: str) -> None:
    context.traffic.add_sent(TrafficPurpose.REQUESTS, domain, sent)
    context.traffic.add_received(TrafficPurpose.ANSWERS, domain, received)


@when("it sends {sent:d} bytes and receives {received:d} bytes for an answer of an unknown domain")
def exchange_unknown(context: Context, sent: int, received: int) -> None:
    exchange(context, sent, received, "")


@then("the metrics show {sent:d} bytes of requests sent and {received:d} bytes of answers received")
def check_metrics(context: Context, sent: int, received: int) -> None:
    name = "mimosaspur_cross_domain_bytes_total"
    lines = [line for line in context.counters.render().splitlines() if line.startswith(name)]
    assert lines == [
        f'{name}{{purpose="answers",direction="received"}} {received}',
        f'{name}{{purpose="requests",direction="sent"}} {sent}',
    ], lines


RECORD = TargetRecord("engine", "service", ("127.0.0.1", 1), "here")


@dataclass(slots=True)
class LoadingEngine:
    """Stand in for the controller of an engine that loads a model."""

    ready_at_ms: int
    now_ms: int = 0
    loading: str = "notes"
    sequence: int | None = None
    record: TargetRecord = RECORD

    def expected_in_ms(self) -> int:
        """Return the time until the load ends."""
        return self.ready_at_ms - self.now_ms


class ReadyTimes:
    """Make the coordinator's reports while a model is being loaded."""

    def __init__(self, ready_at_ms: int) -> None:
        self.engine = LoadingEngine(ready_at_ms)
        self.changes = FleetChanges()

    def report(self, now_ms: int, *, is_first: bool = False) -> FleetReport:
        """Return the next report to an entry."""
        self.engine.now_ms = now_ms
        controllers = cast(list[EngineController], [self.engine])
        self.changes.update({}, controllers, now_ms=now_ms)
        base = FleetReport(1, True, 1, [], [], {})
        builder = ReportBuilder(base, self.changes, None, [], [], [], [], [], [], {}, [], None)
        return builder.report(SentState(fleet_sent=not is_first))


@given("a load that is expected to end in {ready_ms:d} ms")
def begin_load(context: Context, ready_ms: int) -> None:
    context.ready_times = ReadyTimes(ready_ms)


@when("reports are made every {step_ms:d} ms for {last_ms:d} ms")
def make_reports(context: Context, step_ms: int, last_ms: int) -> None:
    context.now_ms = last_ms
    times = range(0, last_ms + 1, step_ms)
    context.reports = [context.ready_times.report(now_ms) for now_ms in times]


@then("one of them holds the load's time, and the others tell that it holds")
def check_reports(context: Context) -> None:
    first, *others = context.reports
    assert (first.model_ready_in_ms, first.ready_times_hold) == ({"notes": 3_000}, False), first
    assert all(each.ready_times_hold and not each.model_ready_in_ms for each in others)


@then("a report to a new entry after it holds the load's time")
def check_first_report(context: Context) -> None:
    report = context.ready_times.report(context.now_ms, is_first=True)
    assert (report.model_ready_in_ms, report.ready_times_hold) == ({"notes": 2_000}, False), report


@then("once the load is expected {later_ms:d} ms later, the next report holds its time")
def check_changed_report(context: Context, later_ms: int) -> None:
    context.ready_times.engine.ready_at_ms += later_ms
    report = context.ready_times.report(context.now_ms)
    assert report.model_ready_in_ms == {"notes": 2_000 + later_ms}, report
