"""Steps for requests that wait, are refused early or are held back at an entry."""

import asyncio
import math
import re
from dataclasses import replace

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import DirectEntry
from harness.direct_entry import ReceivedResponse
from harness.direct_entry import engine_spec
from harness.direct_entry import model_spec
from harness.direct_fleet import ManualClock
from harness.direct_target import ScriptedTarget
from harness.loop import run
from mimosaspur_coordination.loadforecast import LEFT_MS
from mimosaspur_coordination.scheduling.callertimes import retry_after_s
from mimosaspur_coordination.scheduling.loadoutlook import SETTLE_MS
from mimosaspur_coordination.scheduling.loadoutlook import LoadOutlook
from mimosaspur_daemon.direct.entryreport import build_entry_report
from mimosaspur_daemon.direct.fleetreport import apply_report
from mimosaspur_protocol.peermessages import FleetReport
from mimosaspur_state.fleet import OutstandingWork
from mimosaspur_state.policy import policy_without

START_MS = 100_000
MODEL = "notes"
ENGINE = engine_spec([model_spec(MODEL)])
HEADERS = {"X-Model": MODEL, "X-Token-Counts": "5,7"}


def _told(known: str) -> list[str]:
    """Return the expected time of a load in progress and the forecast, empty if not told."""
    found = (re.search(f"{name} (-?\\d+)", known) for name in ("loaded in", "forecast"))
    return [each[1] if each else "" for each in found]


@given("a coordinator that tells of the model: {known}")
def set_known(context: Context, known: str) -> None:
    clock = ManualClock(START_MS)
    outlook = context.outlook = LoadOutlook(handover_ms=300, clock=clock)
    if "none" in known:
        return
    outlook.on_update({}, {})
    if "just begun" not in known:
        clock.ms += 300 + SETTLE_MS
    if "another model" in known:
        outlook.on_reported(1, ["other"])
        outlook.on_answered(1)
        outlook.wait_ms("other", held_ms=0, objective_ms=8_000, engine=ENGINE)
    loading, forecasts = ({MODEL: int(each)} if each else {} for each in _told(known))
    outlook.on_update(loading, forecasts)
    clock.ms += sum(int(each) for each in re.findall(r"(\d+) ms ago", known))
    if "withdrawn" in known:
        outlook.on_update({}, {MODEL: LEFT_MS})
    if "jumped back" in known:
        clock.ms -= 5_000
    if "knew" in known:
        outlook.on_reported(2, [MODEL])
        outlook.on_answered(2)


@when("a request with an objective of {objective:d} ms has been held for {held:d} ms")
def ask_wait(context: Context, objective: int, held: int) -> None:
    context.wait_ms = context.outlook.wait_ms(
        MODEL, held_ms=held, objective_ms=objective, engine=ENGINE
    )


@when(
    "a request with an objective of {objective:d} ms has been held for {held:d} ms, after it was"
    " refused before"
)
def ask_wait_again(context: Context, objective: int, held: int) -> None:
    context.wait_ms = context.outlook.wait_ms(
        MODEL, held_ms=held, objective_ms=objective, engine=ENGINE, returned=True
    )


@then("its model is expected in {wait} ms")
def check_wait(context: Context, wait: str) -> None:
    expected = math.inf if wait == "never" else int(wait)
    assert context.wait_ms == expected, context.wait_ms


@then(
    "{count:d} callers of a model that is ready in {ready:d} ms are told {least:d} to {most:d} ms,"
    " not all the same"
)
def check_spread(context: Context, count: int, ready: int, least: int, most: int) -> None:
    waits_s = (retry_after_s(ready / 1000, left_s=60, spread=True) for _ in range(count))
    told = [wait_s * 1000 for wait_s in waits_s]
    assert least <= min(told) and max(told) <= most, (min(told), max(told))
    assert max(told) - min(told) > (most - least) / 2


@given("an entry of a site without the model, whose loads take {seconds:d} s")
def start_entry(context: Context, seconds: int, without: str = "") -> None:
    model = model_spec(MODEL, memory_load_s=seconds, disk_load_s=2 * seconds)
    context.entry = DirectEntry(engine=engine_spec([model]))
    state = context.entry.state
    state.settings = replace(state.settings, policy=policy_without(without))
    run(context, context.entry.start(ScriptedTarget("first")))


@given(
    'an entry of a site without the model, whose loads take {seconds:d} s, without "{mechanism}"'
)
def start_entry_without(context: Context, seconds: int, mechanism: str) -> None:
    start_entry(context, seconds, mechanism)


@given("its coordinator sends no forecasts")
def forecast_nothing(context: Context) -> None:
    forecast(context, None)
    # It has had time to give orders.
    context.entry.state.load_outlook.followed_since_ms -= 60_000


@given("its coordinator forecasts that it won't be loaded")
def forecast_never(context: Context) -> None:
    forecast(context, -1)


@given("its coordinator forecasts that it is ready in {ms:d} ms")
def forecast(context: Context, ms: int | None) -> None:
    apply_report(context.entry.state, _fleet_report({} if ms is None else {MODEL: ms}))


def _fleet_report(forecast_ms: dict[str, int], *, can_issue_orders: bool = True) -> FleetReport:
    return FleetReport(
        token=1,
        can_issue_orders=can_issue_orders,
        entry_count=1,
        work=[],
        residents=[],
        model_ready_in_ms={},
        load_forecast=forecast_ms,
    )


async def _ask(context: Context) -> tuple[ReceivedResponse, float]:
    began_s = asyncio.get_running_loop().time()
    answer = await context.entry.call("stream", headers=HEADERS)
    return answer, (asyncio.get_running_loop().time() - began_s) * 1000


@when("a stream of the model is requested")
def request_stream(context: Context) -> None:
    async def ask() -> None:
        context.answer, context.took_ms = await _ask(context)
        context.report = build_entry_report(context.entry.state)

    run(context, ask())


@given("its routes have an objective of {ms:d} ms")
def set_objective(context: Context, ms: int) -> None:
    current = context.entry.state.configuration
    routes = tuple(replace(route, objective_ms=ms) for route in current.routes)
    context.entry.state.configuration = replace(current, routes=routes)


@when(
    "a stream of the model is requested, and an engine that is full for long holds it after"
    " {ms:d} ms"
)
def request_and_hold_full(context: Context, ms: int) -> None:
    view = context.entry.state.fleet.targets["first"]
    view.others_work = OutstandingWork(64, {0: 10_000_000.0})
    request_and_hold(context, ms)


@then("it is refused with {code}, and counted as rejected late {times} with that code")
def check_counted_late(context: Context, code: str, times: str) -> None:
    (answer,) = context.answers
    assert answer.status == 503 and answer.body.startswith(code.encode()), answer
    counts = context.entry.state.log.counters.counts
    late = {key: count for key, count in counts.items() if key[0] == "requests_rejected_late"}
    expected = {("requests_rejected_late", code): 1} if times == "once" else {}
    assert late == expected, late


@when("the coordinator is lost")
def lose_coordinator(context: Context) -> None:
    context.entry.state.on_coordinator_lost()


async def _hold_after(context: Context, ms: int) -> None:
    await asyncio.sleep(ms / 1000)
    state = context.entry.state
    state.fleet.targets["first"].residents = {MODEL: frozenset()}
    state.changes.notify()


@when("a stream of the model is requested, and an engine holds it after {ms:d} ms")
def request_and_hold(context: Context, ms: int) -> None:
    async def ask() -> None:
        (answer, _), _ = await asyncio.gather(_ask(context), _hold_after(context, ms))
        context.answers = [answer]

    run(context, ask())


@when(
    "a stream of the model is requested while its coordinator may give no orders, and an engine"
    " holds it after {ms:d} ms"
)
def request_without_orders(context: Context, ms: int) -> None:
    state = context.entry.state
    # The coordinator has had time to give orders.
    state.load_outlook.followed_since_ms -= 60_000

    async def suspend() -> None:
        await asyncio.sleep(0.05)
        state.load_outlook.on_answered(build_entry_report(state).number)
        apply_report(state, _fleet_report({MODEL: LEFT_MS}, can_issue_orders=False))

    async def ask() -> None:
        (answer, _), *_ = await asyncio.gather(_ask(context), suspend(), _hold_after(context, ms))
        context.answers = [answer]

    run(context, ask())


@when("a stream of the model is requested, and the coordinator is lost after {ms:d} ms")
def request_and_lose(context: Context, ms: int) -> None:
    async def ask() -> None:
        context.first = asyncio.create_task(_ask(context))
        await asyncio.sleep(ms / 1000)
        context.entry.state.on_coordinator_lost()

    run(context, ask())


@when("another stream of the model is requested, and an engine holds it after {ms:d} ms")
def request_another(context: Context, ms: int) -> None:
    async def ask() -> None:
        (answer, _), _ = await asyncio.gather(_ask(context), _hold_after(context, ms))
        first, _ = await context.first
        context.answers = [first, answer]

    run(context, ask())


@then("it is served")
@then("both are served")
def check_served(context: Context) -> None:
    assert all(each.status == 200 and each.whole for each in context.answers), context.answers


@then(
    "it is answered 503 with code {code} after {least:d} to {most:d} ms, to return after"
    " {soonest:d} to {latest:d} ms"
)
def check_refused(
    context: Context, code: str, least: int, most: int, soonest: int, latest: int
) -> None:
    answer = context.answer
    assert answer.status == 503 and answer.body.startswith(code.encode()), answer
    assert least <= context.took_ms <= most, context.took_ms
    assert soonest <= float(answer.headers["retry-after"]) * 1000 <= latest, answer.headers


@then(
    "the next report counts {waiting:d} request for the model as waiting and {refused:d} as refused"
)
@then(
    "the next report counts {waiting:d} requests for the model as waiting and {refused:d} as"
    " refused"
)
def check_reported(context: Context, waiting: int, refused: int) -> None:
    demand = {each.model: each for each in context.report.model_demand}[MODEL]
    assert (demand.waiting, demand.rejected) == (waiting, refused), demand
    again = {each.model: each for each in build_entry_report(context.entry.state).model_demand}
    assert (again[MODEL].waiting if MODEL in again else 0) == waiting, again
    assert MODEL not in again or not again[MODEL].rejected, again


@then("the request counts as waiting until its caller returns")
def check_lapsed(context: Context) -> None:
    waits_s = float(context.answer.headers["retry-after"])
    run(context, asyncio.sleep(waits_s + 0.1))
    assert not context.entry.state.waiting, context.entry.state.waiting


@then("1 request is counted as rejected early")
def check_counted(context: Context) -> None:
    counts = context.entry.state.log.counters.counts
    assert counts["requests_rejected_early", ""] == 1, counts
