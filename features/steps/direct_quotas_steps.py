"""Steps for quotas that are enforced over many entries."""

from dataclasses import replace

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies

from harness.direct_entry import REQUEST_KINDS
from harness.direct_entry import ReceivedResponse
from harness.direct_entry import entry_dependencies
from harness.direct_entry import read_response
from harness.direct_entry import request_bytes
from harness.direct_entry import settings_for
from harness.direct_target import PLAIN_BODY
from harness.direct_workspaces import KEYS
from harness.direct_workspaces import WorkspaceEntry
from harness.direct_workspaces import with_workspaces
from harness.loop import run
from mimosaspur_coordination.quota.bounds import refill_per_s
from mimosaspur_coordination.quota.limiter import QuotaLimiter
from mimosaspur_coordination.quota.quotabucket import QuotaBucket
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.quotaaccounting import QuotaAccounting
from mimosaspur_load.quotas.play import QuotaPlay
from mimosaspur_load.quotas.play import play
from mimosaspur_load.quotas.troubles import Trouble
from mimosaspur_load.quotas.way import HandClock
from mimosaspur_protocol.peermessages import EntryReport
from mimosaspur_state.directsettings import QuotaBounds
from mimosaspur_state.workspaces import Quota
from mimosaspur_state.workspaces import QuotaUnit

ALGORITHMS = {"what the coordinator tells": "told", "an even split": "even"}
TIGHT = QuotaBounds(window_ms=1_000, overage=0.0, slack=2.5)
ONE_REQUEST = Quota(QuotaUnit.REQUESTS, per_s=0.001, burst=0.0)
MIN_TIMEOUT_RATIO = 3


@given("quotas that {count:d} entries hold by {way}, {seeds:d} seeds")
def set_algorithm(context: Context, count: int, way: str, seeds: int) -> None:
    context.way, context.count, context.seeds = ALGORITHMS[way], count, range(seeds)


@when("callers come, with {trouble}")
def simulate_callers(context: Context, trouble: str) -> None:
    context.outcomes = [
        play(context.way, trouble, entries=context.count, seed=seed) for seed in context.seeds
    ]


@then("no window has more than it may")
def check_windows(context: Context) -> None:
    fullest = [outcome.worst_window for outcome in context.outcomes]
    assert max(fullest) <= 1.0, fullest


@then("at most {most:d} in 100 of what is within quota is refused")
def check_refused(context: Context, most: int) -> None:
    refused = [outcome.refused_within for outcome in context.outcomes]
    assert max(refused) <= most / 100, refused


@then("more than {least:d} in 100 of what is within quota is refused")
def check_refused_more(context: Context, least: int) -> None:
    refused = [outcome.refused_within for outcome in context.outcomes]
    assert min(refused) > least / 100, refused


@given("a direct entry whose workspaces have a quota of 1 request, before a target that {fault}")
def start_entry(context: Context, fault: str) -> None:
    context.entry = WorkspaceEntry(quota=ONE_REQUEST)
    context.entry.target.fault = fault
    state = context.entry.state
    state.quotas.bounds = TIGHT
    state.quotas.accounts.clear()
    state.quotas.configure(state.configuration.workspaces)
    state.quotas.apply_update([], entries=1)
    run(context, context.entry.begin())
    if fault == "is not there":
        context.entry.target.server.close()


@given("no coordinator has told it what is left")
def reset_quotas(context: Context) -> None:
    state = context.entry.state
    state.quotas = QuotaLimiter(TIGHT, clock=state.clock)
    state.quotas.configure(state.configuration.workspaces)


@then("they are refused with {status:d} and code {code:d}, and told to come back within {ms:d} ms")
def check_refused_elsewhere(context: Context, status: int, code: int, ms: int) -> None:
    for answer in context.answers:
        assert answer.status == status, answer
        assert answer.body.startswith(f"{code} ".encode()), answer
        assert float(answer.headers["retry-after"]) <= ms / 1000, answer
    assert not context.entry.target.seen


async def _send(context: Context, key: str, request: str) -> ReceivedResponse:
    reader, writer = await context.entry.connect()
    writer.write(request_bytes(REQUEST_KINDS[request][0], {"Authorization": f"Bearer {key}"}))
    try:
        return await read_response(reader)
    finally:
        writer.close()


@when("callers of one workspace send {request} {times:d} times, one after the other")
def send_times(context: Context, request: str, times: int) -> None:
    async def send() -> list[ReceivedResponse]:
        return [await _send(context, "n-1", request) for _ in range(times)]

    context.answers = run(context, send())


@when("a caller of the other workspace sends {request}")
def send_other(context: Context, request: str) -> None:
    context.other = run(context, _send(context, "s-1", request))


@then("the second caller is refused with code {code:d}")
def check_second_refused(context: Context, code: int) -> None:
    second = context.answers[1]
    assert second.status == 429, second
    assert second.body.startswith(f"{code} ".encode()), second
    assert all(each.status == 429 for each in context.answers[1:])


@then("the workspace has spent {spent:d} of its quota")
def check_spent(context: Context, spent: int) -> None:
    account = context.entry.state.quotas.accounts["north"]
    assert (account.spent, account.refused) == (spent, 0), context.answers


@then("the caller of the other workspace is answered")
def check_other(context: Context) -> None:
    assert (context.other.status, context.other.body) == (200, PLAIN_BODY), context.other


@then("it is told to come back within a third of its time")
def check_retry_after(context: Context) -> None:
    wait_s = float(context.answers[1].headers["retry-after"])
    timeout_ms = context.entry.state.configuration.routes[0].timeout_ms
    assert 0 < wait_s <= timeout_ms / 1000 / MIN_TIMEOUT_RATIO, wait_s


@then("any play of entries that are cut off, killed and told late keeps every window within bounds")
def check_any_simulation(context: Context) -> None:
    trouble = strategies.builds(
        Trouble,
        kind=strategies.sampled_from(
            ["hot", "coordinator lost", "entry cut", "entries killed", "quota"]
        ),
        at_ms=strategies.integers(2_000, 20_000),
        for_ms=strategies.integers(500, 9_000),
        which=strategies.integers(0, 5),
        times=strategies.sampled_from([0.3, 0.6, 1.5]),
    )

    @settings(derandomize=True, database=None, max_examples=15, deadline=None)
    @given_any(
        strategies.lists(trouble, max_size=3), strategies.integers(6, 24), strategies.integers(0, 9)
    )
    def check(troubles: list[Trouble], entries: int, seed: int) -> None:
        # Hot workspaces exceed their quota by far, and a kill affects at most all entries.
        adjusted = tuple(
            (
                replace(each, times=5.0)
                if each.kind == "hot"
                else (
                    replace(each, times=min(1.0, each.times))
                    if each.kind == "entries killed"
                    else each
                )
            )
            for each in troubles
        )
        outcome = QuotaPlay("told", entries=entries, seed=seed, troubles=adjusted).run()
        assert outcome.worst_window <= 1.0, (outcome.worst_window, outcome.windows)

    check()


@then("a level {case}")
def check_level(context: Context, case: str) -> None:
    amounts = strategies.lists(
        strategies.tuples(strategies.integers(0, 5_000), strategies.integers(-50, 900)), max_size=20
    )

    @settings(derandomize=True, database=None, max_examples=300, deadline=None)
    @given_any(amounts)
    def check(takes: list[tuple[int, int]]) -> None:
        level = QuotaBucket(capacity=100.0, per_s=10.0, content=100.0, at_ms=0)
        now_ms, content = 0, 100.0
        for pause_ms, cost in takes:
            now_ms += pause_ms
            content = min(100.0, content + pause_ms / 100)
            assert abs(level.at(now_ms) - content) < 1e-6
            level.take(cost, now_ms)
            content = min(100.0, content - cost)
            if "resized" in case:
                level.resize(capacity=100.0, per_s=10.0, now_ms=now_ms)
            assert level.at(now_ms) <= 100.0
            assert level.wait_ms(100.0, now_ms) >= 0

    check()


@given("an entry that was told of {told} entries, and begins to coordinate")
def start_coordinating(context: Context, told: str) -> None:
    context.clock = HandClock()
    state = EntryState(settings_for("entry-0"), entry_dependencies("entry-0", clock=context.clock))
    configuration = with_workspaces(KEYS)
    limited = tuple(replace(each, quota=ONE_REQUEST) for each in configuration.workspaces or ())
    state.apply_configuration(replace(configuration, workspaces=limited), source="test")
    if told != "no":
        state.quotas.apply_update([], entries=int(told))
    context.teller = QuotaAccounting(state)


@when("{count:d} entries follow it for {seconds:d} s")
def report_to_coordinator(context: Context, count: int, seconds: int) -> None:
    for _ in range(seconds * 10):
        for number in range(count):
            report = EntryReport(f"entry-{number}", 1, [], [], [], [])
            context.teller.apply_report(report, first=False)
        context.teller.changed_remaining(count)
        context.clock.ms += 100


@then("{part:d} in 100 of the refill is set aside")
def check_set_aside(context: Context, part: int) -> None:
    ledger = context.teller.ledger
    for name, counted in ledger.usages.items():
        refill = refill_per_s(counted.quota, ledger.bounds)
        assert round(100 * ledger.disconnected.reserved_per_s(name) / refill) == part, name
