"""Steps for admission control, retry limits and queue order."""

import threading
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies

from harness.caller import chat_call
from harness.control import UNTIL_CLEARED
from harness.control import add_fault
from harness.control import injected_fault_count
from harness.control import wait_for
from harness.site import Site
from harness.site import model
from harness.site import start_scenario_site
from mimosaspur_coordination.admission import AdmissionQueue
from mimosaspur_coordination.admission import Ticket
from mimosaspur_state.clock import Deadline
from mimosaspur_state.clock import SystemClock
from mimosaspur_state.errors import MimosaspurError

MODEL = "notes"
MAX_TOKENS = 16
TOKEN_MS = "40"
CHAT_REQUEST = "POST /v1/chat/completions"
MS_PER_S = 1000
LONG_DEADLINE_MS = 60_000
EXAMPLE_COUNT = 60


@given(
    "a site with one entry and a model target of 1 slot, "
    "a queue of {queue:d} and {service:d} ms a run"
)
def start_narrow_site(context: Context, queue: int, service: int) -> None:
    site = start_scenario_site(context)
    options = ("--slots", "1", "--token-ms", TOKEN_MS)
    site.model_target(
        "model-0", engine_options=options, slots=1, queue=queue, service_time_ms=service
    )
    _serve_model(site, replicas=1)


@given(
    "a site with {count:d} model targets and an entry that may retry "
    "a tenth of requests and {burst:d} more"
)
def start_wide_site(context: Context, count: int, burst: int) -> None:
    site = start_scenario_site(context)
    for number in range(count):
        site.model_target(f"model-{number}", slots=32)
    _serve_model(site, replicas=count, retry_ratio=0.1, retry_burst=burst)


def _serve_model(site: Site, *, replicas: int, **entry: Any) -> None:
    site.entry("entry-0", workers=64, max_in_flight=48, **entry)
    site.wait_for_targets()
    site.roll("first", [model(MODEL, replicas=replicas)])
    wait_for(lambda: list(site.replicas(MODEL).values()) == ["ready"] * replicas, "replicas")
    site.wait_until_served("entry-0", MODEL)


@when("the engines' work suffers {fault}")
def order_fault(context: Context, fault: str) -> None:
    for started in context.site.engines.values():
        add_fault(started.address, fault, match=CHAT_REQUEST, count=UNTIL_CLEARED)


@when("{count:d} requests come at once")
def ask_many(context: Context, count: int) -> None:
    _send_requests(context, count, LONG_DEADLINE_MS)


@when("{count:d} requests with a deadline of {deadline:d} ms come at once")
def ask_in_time(context: Context, count: int, deadline: int) -> None:
    _send_requests(context, count, deadline)


def _send_requests(context: Context, count: int, deadline_ms: int) -> None:
    address = context.site.daemons["entry-0"].public
    headers = {"X-Deadline-Ms": str(deadline_ms)}
    context.calls = []
    for number in range(count):
        call = chat_call(address, MODEL, f"gate {number}", max_tokens=MAX_TOKENS, headers=headers)
        context.calls.append(call)


@then("some are answered and the others refused within {bound:d} ms with {name}")
def check_refused(context: Context, bound: int, name: str) -> None:
    replies = [call.wait() for call in context.calls]
    context.refused = [call for call in context.calls if call.wait().status != 200]
    assert 0 < len(context.refused) < len(replies), [reply.status for reply in replies]
    for call in context.refused:
        reply, error = call.wait(), call.wait().error()
        assert (error["name"], error["outcome"]) == (name, "not_run"), error
        assert int(reply.headers["retry-after"]) >= 1
        assert call.duration_ms() < bound, (call.duration_ms(), error)


@then("none of the refused ran at the engines")
def check_runs(context: Context) -> None:
    runs = context.site.engine_log("model-0")["runs"]
    ran = {run.rpartition("-")[0] for run in runs}
    refused = {call.wait().headers["x-request-id"] for call in context.refused}
    assert refused and not ran & refused, ran & refused
    answered = {call.wait().headers["x-request-id"] for call in context.calls} - refused
    assert answered <= ran, answered - ran


@then("the engines were asked at most {most:d} times")
def check_asked(context: Context, most: int) -> None:
    for call in context.calls:
        call.wait()
    count = sum(injected_fault_count(started.address) for started in context.site.engines.values())
    assert len(context.calls) <= count <= most, count


@then("each request is told that its outcome is unknown")
def check_unknown(context: Context) -> None:
    for call in context.calls:
        error = call.wait().error()
        assert error["outcome"] == "unknown", error
        assert "Not run" not in error["message"], error


@then("the admission queue grants in the order of a naive sorted list")
def check_order(context: Context) -> None:
    _check_order()


@settings(max_examples=EXAMPLE_COUNT, derandomize=True, database=None, deadline=None)
@given_any(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 9), strategies.integers(0, 5)), max_size=8
    ),
    strategies.integers(1, 8),
)
def _check_order(wanted: list[tuple[int, int]], limit: int) -> None:
    clock = SystemClock()
    queue = AdmissionQueue(clock, slots=1, max_waiting=limit, service_time_ms=0)
    first = queue.acquire(0, Deadline(clock, LONG_DEADLINE_MS), threading.Event())
    base, granted = Deadline(clock, LONG_DEADLINE_MS).expires_at_ms, _Granted()
    for number, (priority, later_s) in enumerate(wanted):
        deadline = Deadline(clock, 0)
        deadline.expires_at_ms = base + later_s * MS_PER_S
        _enqueue(queue, granted, number, priority, deadline)
    queue.release(first, None)
    kept = range(min(limit, len(wanted)))
    wait_for(lambda: len(granted.order) == len(kept), "all are granted")
    assert granted.order == sorted(kept, key=lambda number: (*wanted[number], number))
    assert granted.refused == list(range(len(kept), len(wanted)))


@dataclass(slots=True)
class _Granted:
    order: list[int] = field(default_factory=list)
    refused: list[int] = field(default_factory=list)


def _enqueue(
    queue: AdmissionQueue, granted: _Granted, number: int, priority: int, deadline: Deadline
) -> None:
    before = len(queue.waiting)

    def serve() -> None:
        try:
            ticket: Ticket = queue.acquire(priority, deadline, threading.Event())
        except MimosaspurError:
            granted.refused.append(number)
            return
        granted.order.append(number)
        queue.release(ticket, None)

    threading.Thread(target=serve, daemon=True).start()
    wait_for(lambda: len(queue.waiting) > before or number in granted.refused, f"{number} waits")
