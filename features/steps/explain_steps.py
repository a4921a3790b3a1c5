"""Steps of explanations of an entry's choices."""

import asyncio
import itertools
import sys
import tempfile
import time
from dataclasses import replace
from pathlib import Path

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import HOST
from harness.direct_entry import DirectEntry
from harness.direct_target import ScriptedTarget
from harness.direct_workspaces import KEYS
from harness.direct_workspaces import with_workspaces
from harness.explained_entry import HEADER_LIMIT
from harness.explained_entry import LONG_REST
from harness.explained_entry import PERMITS_ASKED_MS
from harness.explained_entry import ExplainedEntry
from harness.explained_entry import Sent
from harness.explained_entry import explain_and_send
from harness.explained_entry import is_held_back
from harness.explained_entry import snapshot
from harness.loop import run
from mimosaspur_coordination.evenload import chances
from mimosaspur_coordination.quarantine.blame import QUARANTINE_THRESHOLD
from mimosaspur_coordination.quarantine.crashledger import Stage
from mimosaspur_coordination.shares.division import Share
from mimosaspur_coordination.streams.streamrecords import StreamRecord
from mimosaspur_coordination.streams.streamrecords import stream_key
from mimosaspur_daemon.direct.entrystate import LATE_RANK
from mimosaspur_daemon.direct.explain.explanation import explain
from mimosaspur_daemon.direct.explain.question import as_request
from mimosaspur_daemon.direct.requestdigest import request_digest
from mimosaspur_daemon.direct.statusserver import StatusServer
from mimosaspur_protocol.explanations import ExplainedWait
from mimosaspur_protocol.explanations import ExplainRequest
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.fleet import OutstandingWork
from mimosaspur_state.workspaces import Quota
from mimosaspur_state.workspaces import QuotaUnit

COMMAND = Path(sys.executable).parent / "mimosaspur"
QUESTION = ExplainRequest(HOST, "/stream/x", model="a", prompt_tokens=10)
LONG_AGO_MS = 60_000
# Longer than any caller waits.
ENDLESS_TOKENS = 40_000_000
# Longer than evidence of crashes takes to settle.
SETTLED_MS = 2_000
# Late enough for a verdict on a request, and too early for one without its rivals.
UNDECIDED_MS = 700
# North's share, and tokens that exceed it for the time of a scenario.
SHARE = Share(1.0, 2.0)
USED_UP_TOKENS = 1_000.0
RESUMPTION = [("Last-Event-Id", "3"), ("X-Resumes", "r-0")]
# A held request looks again by then on a busy machine.
LATE_WAKE_MS = 150
ROUNDING_MS = 0.5
ROUNDING = 0.01


@when("{count:d} requests are explained and then sent, each to an entry in a random state")
def explain_at_random(context: Context, count: int) -> None:
    context.pairs = [run(context, explain_and_send(seed)) for seed in range(count)]


@then(
    "each got what its explanation told, and the states led to targets, waits, holds and refusals"
)
def check_agreement(context: Context) -> None:
    kinds, codes, waits, ranks = set(), set(), set(), set()
    for seed, (explanation, sent) in enumerate(context.pairs):
        told = (explanation.chosen or "", explanation.refusal.code if explanation.refusal else 0)
        wait = explanation.waits_for
        if wait and is_held_back(explanation):
            _check_held(wait, sent)
            kinds.add("held")
            continue
        if wait:
            told = ("", 0)
            waits.add(wait.what.split(",")[0])
            named = wait.what.partition(" rest, of ")[2]
            assert sent.permits_of == set(filter(None, named.split(", "))), (seed, wait, sent)
        assert told == (sent.target, sent.code), (seed, explanation, sent)
        assert not sent.reason, (seed, explanation, sent)
        kinds.add("wait" if wait else "target" if sent.target else "refusal")
        codes.add(sent.code)
        ranks.add(explanation.rank)
    assert kinds == {"wait", "target", "refusal", "held"}, kinds
    # A quota that is used up, a limit without permits, a permit to wait for, and an exceeded share.
    assert codes >= {ResultCode.QUOTA_EXCEEDED, ResultCode.TARGET_LIMITED}, codes
    assert "a permit" in waits, waits
    assert LATE_RANK in ranks, ranks


def _check_held(wait: ExplainedWait, sent: Sent) -> None:
    """Check that a request was held back for what its explanation told, and sent in time."""
    assert sent.target and sent.reason and f"({sent.reason})" in wait.what, (wait, sent)
    assert wait.at_most_ms and 0 < sent.held_ms <= wait.at_most_ms + LATE_WAKE_MS, (wait, sent)


@given("an entry with engines, a request limit with permits, and a quota")
def start_with_all(context: Context) -> None:
    async def start() -> None:
        played = context.played = ExplainedEntry()
        await played.start()
        state = played.state
        current = with_workspaces(KEYS, version=2)
        assert state.configuration
        quota = Quota(QuotaUnit.REQUESTS, 1.0, 3.0)
        limited = tuple(replace(each, quota=quota) for each in current.workspaces or ())
        current = replace(current, services=state.configuration.services, workspaces=limited)
        state.apply_configuration(current, source="test")
        state.quotas.apply_update([], entries=1)
        views = list(state.fleet.targets.values())
        state.notices.on_head(views[0].record, 200, [(HEADER_LIMIT, b"2")])
        holder = state.notices.holder
        asked_ms = holder.clock.now_ms() + PERMITS_ASKED_MS
        holder.apply_permits(1, asked_ms, {views[0].record.incarnation: 3})
        state.notices.on_head(views[1].record, 503, [(b"Retry-After", LONG_REST)])
        views[2].residents = {"b": frozenset()}

    run(context, start())


@given("the share of {name} is used up there")
def use_share(context: Context, name: str) -> None:
    state = context.played.state
    current = state.configuration
    weighted = tuple(replace(each, weight=1.0) for each in current.workspaces)
    state.apply_configuration(replace(current, version=3, workspaces=weighted), source="test")
    state.shares.apply_shares({"service": {name: SHARE}}, entries=1)
    state.shares.take("service", name, USED_UP_TOKENS)
    # A refused request that was told when to return, and a shortage that the entry observed.
    state.shares.promise("service", name, USED_UP_TOKENS, wait_ms=PERMITS_ASKED_MS)
    state.shares.on_shortage("service")


def _state_of(context: Context) -> dict[str, object]:
    state = context.played.state
    return {
        "counters": state.log.counters.render(),
        "demand": snapshot(state.unreported_demand),
        "adapters": snapshot(state.unreported_adapter_requests),
        "waiting": snapshot([state.waiting, state.waiting_adapters]),
        "unmet": snapshot(state.unmet),
        "refused": snapshot(state.refused),
        "served": snapshot(state.scheduler.served),
        "kinds": snapshot(state.scheduler.kinds),
        "held": len(state.scheduler.held),
        "permits": snapshot([state.notices.holder.permits, state.notices.holder.chances_ms]),
        "waiters": len(state.notices.holder.waiters),
        "sent": snapshot(state.notices.history),
        "quotas": snapshot(state.quotas.accounts),
        "shares": snapshot(state.shares),
        "retries": snapshot(state.retry_windows),
        "at_targets": snapshot(state.quarantine.at_targets),
        "work": [snapshot(each.own_work) for each in state.fleet.targets.values()],
        "reports": state.report_requested.is_set(),
    }


@when("{count:d} explanations are asked for, of requests that are sent, wait or are refused")
def explain_often(context: Context, count: int) -> None:
    context.before = _state_of(context)
    limits_ms = (0, 50)
    questions = [
        ExplainRequest(
            HOST, "/stream/x", model=model, prompt_tokens=10, workspace=name, time_limit_ms=limit_ms
        )
        for model, name, limit_ms in itertools.product(
            ("a", "b", "c", "a/y", ""), ("north", ""), limits_ms
        )
    ]

    async def ask() -> None:
        context.outcomes, context.ranks = set(), set()
        for question in itertools.islice(itertools.cycle(questions), count):
            found = explain(context.played.state, question)
            context.outcomes.add(
                "refused" if found.refusal else "waits" if found.waits_for else "sent"
            )
            context.ranks.add(found.rank)

    run(context, ask())


@then("no counter, permit, demand, quota or share at the entry has changed")
def check_unchanged(context: Context) -> None:
    after = _state_of(context)
    changed = {name for name in after if after[name] != context.before[name]}
    assert not changed, {name: (context.before[name], after[name]) for name in changed}
    assert context.outcomes == {"refused", "waits", "sent"}, context.outcomes
    # Some of the requests exceed a share, and some don't.
    assert context.ranks > {LATE_RANK}, context.ranks


@given("an entry that is to be asked, {case}")
def start_in_case(context: Context, case: str) -> None:
    async def start() -> None:
        context.played = ExplainedEntry()
        await context.played.start()
        context.question = _prepare(context.played, case)

    run(context, start())


def _prepare(played: ExplainedEntry, case: str) -> ExplainRequest:
    """Put the entry in a state in which it refuses the question's request."""
    state = played.state
    if "no route" in case:
        return ExplainRequest(HOST, "/nowhere", model="a")
    if "two last events" in case:
        twice = [("Last-Event-Id", "1"), ("Last-Event-Id", "2")]
        return ExplainRequest(HOST, "/stream/x", model="a", headers=twice)
    if "resumed" in case:
        return _prepare_resumption(played, case)
    if "copy" in case:
        return _prepare_copy(played, case)
    if "workspaces" in case or "quota" in case:
        return _prepare_workspaces(played, case)
    if "quarantine" in case:
        _quarantine(played, QUESTION)
    if "new process" in case:
        state.quarantine.on_started()
    state.shutting_down = "exit" in case
    if "without a configuration" in case:
        state.configuration = None
    if "targets" in case or "work" in case:
        _prepare_targets(played, case)
    return QUESTION


def _prepare_resumption(played: ExplainedEntry, case: str) -> ExplainRequest:
    state = played.state
    if "nobody" not in case:
        version = (
            "gone" if "gone" in case else next(iter(state.fleet.targets.values())).record.version
        )
        key = stream_key("service", "r-0")
        state.stream_versions.records.note(key, StreamRecord(version, 0))
    return ExplainRequest(HOST, "/resumable-stream/x", model="a", headers=RESUMPTION)


def _prepare_copy(played: ExplainedEntry, case: str) -> ExplainRequest:
    """Let a copy of the question's request wait for a verdict, or be at a target."""
    quarantine = played.state.quarantine
    request = as_request(QUESTION, played.state.dependencies.dialect, arrived_s=0.0)
    digest = request_digest(request, None)
    awaits_verdict = "verdict" in case
    if awaits_verdict:
        quarantine.ledger.set_covered(LONG_AGO_MS)
    for number in range(QUARANTINE_THRESHOLD if awaits_verdict else 1):
        # Without a rival the request would be blamed at once.
        traits = {digest: Stage.RUNNING, b"rival": Stage.RUNNING}
        quarantine.ledger.record(f"crashed-{number}", traits, age_ms=UNDECIDED_MS)
    if awaits_verdict:
        played.start_copy(QUESTION)
    else:
        quarantine.at_targets[digest] = 1
    return QUESTION


def _prepare_targets(played: ExplainedEntry, case: str) -> None:
    state = played.state
    for view in list(state.fleet.targets.values()):
        if "late" in case:
            view.others_work = OutstandingWork(1, {0: ENDLESS_TOKENS})
        if "all leave" in case:
            state.fleet.update([replace(view.record, leaving=True)], [])
        if "limit requests" in case:
            state.notices.on_head(view.record, 200, [(HEADER_LIMIT, b"0.001")])
        if "rest" in case:
            state.notices.on_head(view.record, 503, [(b"Retry-After", LONG_REST)])


def _quarantine(played: ExplainedEntry, question: ExplainRequest) -> None:
    """Blame the question's request for crashes, as if they were known for some time."""
    request = as_request(question, played.state.dependencies.dialect, arrived_s=0.0)
    ledger = played.state.quarantine.ledger
    ledger.set_covered(LONG_AGO_MS)
    for number in range(QUARANTINE_THRESHOLD):
        traits = {request_digest(request, None): Stage.RUNNING}
        ledger.record(f"crashed-{number}", traits, age_ms=SETTLED_MS)
    ledger.assign_blame()


def _prepare_workspaces(played: ExplainedEntry, case: str) -> ExplainRequest:
    state = played.state
    current = with_workspaces(KEYS, version=2)
    assert state.configuration
    current = replace(current, services=state.configuration.services)
    quota = Quota(QuotaUnit.REQUESTS, 0.01, 1.0)
    if "quota" in case:
        limited = tuple(replace(each, quota=quota) for each in current.workspaces or ())
        current = replace(current, workspaces=limited)
    state.apply_configuration(current, source="test")
    age_ms = LONG_AGO_MS if "out of touch" in case else 0
    state.freshness.confirm("configuration", age_ms=age_ms)
    if "used up" in case:
        state.quotas.apply_update([], entries=1)
        while not state.quotas.admit("north", 1.0):
            pass
    key = "n-1" if "quota" in case else "never" if "out of touch" in case else ""
    headers = [("Authorization", f"Bearer {key}")] if key else []
    return ExplainRequest(HOST, "/stream/x", model="a", prompt_tokens=10, headers=headers)


@when("a request is explained and sent there")
def explain_then_send(context: Context) -> None:
    async def ask() -> None:
        await context.played.copy_waits()
        context.explanation = explain(context.played.state, context.question)
        began_s = time.monotonic()
        context.sent = await context.played.send(context.question)
        context.took_ms = (time.monotonic() - began_s) * 1000

    run(context, ask())


@then("both name {code:d}, and the explanation tells what would change it")
def check_refusal(context: Context, code: int) -> None:
    refusal = context.explanation.refusal
    assert refusal, context.explanation
    assert (refusal.code, context.sent.code) == (code, code), (refusal, context.sent)
    assert refusal.name == ResultCode(code).name
    assert refusal.would_change
    assert context.explanation.chosen is None


@then(
    "the explanation names its turn, and the request was refused with {code:d} after {most_ms:d} ms"
)
def check_turn(context: Context, code: int, most_ms: int) -> None:
    wait = context.explanation.waits_for
    assert wait and "turn" in wait.what and wait.at_most_ms == most_ms, context.explanation
    assert context.sent.code == code, context.sent
    assert context.took_ms >= most_ms, context.took_ms


@then(
    "the explanation names a wait for other entries, and the request was sent after at least"
    " {least_ms:d} ms"
)
def check_new_process(context: Context, least_ms: int) -> None:
    wait = context.explanation.waits_for
    assert wait and "other entries know" in wait.what and wait.at_most_ms, context.explanation
    assert context.sent.target and context.took_ms >= least_ms, (context.sent, context.took_ms)


@then("the explanation names the target that got it, and no wait")
def check_sent_at_once(context: Context) -> None:
    explanation = context.explanation
    assert explanation.chosen and explanation.waits_for is None, explanation
    assert explanation.chosen == context.sent.target, (explanation, context.sent)


@when("a request for model a is explained there")
def explain_one(context: Context) -> None:
    async def ask() -> None:
        question = ExplainRequest(HOST, "/stream/x", model="a", prompt_tokens=10, workspace="north")
        context.explanation = explain(context.played.state, question)

    run(context, ask())


@then("the parts of each cost add up to it, and the probabilities to one")
def check_sums(context: Context) -> None:
    targets = context.explanation.targets
    weighed = [each for each in targets if each.cost_ms is not None]
    assert weighed, targets
    for each in weighed:
        assert abs(sum(each.cost_parts_ms.values()) - each.cost_ms) < ROUNDING_MS, each
    assert abs(sum(each.probability for each in targets) - 1.0) < ROUNDING, targets


@then(
    "the lowest of {count:d} costs, {higher:d} of them {ms:g} ms higher, has the probability"
    " {lowest:g}, found in under {most:d} ms"
)
def check_chances(
    context: Context, count: int, higher: int, ms: float, lowest: float, most: int
) -> None:
    costs = [30.0] * (count - higher) + [30.0 + ms] * higher
    candidates = [(cost, 1.0, index) for index, cost in enumerate(costs)]
    began_s = time.process_time()
    found = chances(candidates, spread=0.0)
    took_ms = (time.process_time() - began_s) * 1000
    assert abs(found[0] - lowest) < 0.01 * lowest and abs(sum(found) - 1.0) < 0.001, found[0]
    assert took_ms < most, took_ms


@then("targets that may not run it have a numbered reason")
def check_reasons(context: Context) -> None:
    reasons = {each.target: each.code for each in context.explanation.targets if not each.may_run}
    expected = {"t-1": ResultCode.TARGET_RESTING, "t-2": ResultCode.NOT_READY_HERE}
    assert reasons == expected, context.explanation.targets


@given("an entry with a control address")
def start_with_control(context: Context) -> None:
    async def start() -> None:
        context.entry = DirectEntry()
        await context.entry.start(ScriptedTarget("first"))

    run(context, start())
    open_control(context, context.entry)


@given("it has a control address")
def open_control_there(context: Context) -> None:
    open_control(context, context.played.entry)


def open_control(context: Context, entry: DirectEntry) -> None:
    """Serve the entry's status on a free port."""

    async def start() -> None:
        context.status = StatusServer(entry.state)
        server = await asyncio.start_server(lambda _, __: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        entry.state.settings = replace(entry.state.settings, metrics_port=port)
        await context.status.listen()
        context.control = f"127.0.0.1:{port}"

    run(context, start())


async def _run_command(*arguments: str) -> tuple[int, str]:
    process = await asyncio.create_subprocess_exec(
        COMMAND,
        "explain",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await process.communicate()
    assert process.returncode is not None
    return process.returncode, (output + errors).decode()


@when("an operator asks it for an explanation with {options}")
def ask_by_command(context: Context, options: str) -> None:
    arguments = ["--entry", context.control, *options.split()]
    context.result = run(context, _run_command(*arguments))


@when("an operator asks with a file of headers that names host, key and model c")
def ask_by_file(context: Context) -> None:
    with tempfile.NamedTemporaryFile("w", suffix=".headers", delete=False) as file:
        file.write(f"Host: {HOST}\nAuthorization: Bearer n-1\nX-Model: c\n\n")
    context.add_cleanup(Path(file.name).unlink)
    context.file_options = ["--entry", context.control, "--headers", file.name]
    context.played.entry.state.freshness.confirm("configuration", age_ms=0)
    context.result = run(context, _run_command(*context.file_options, "--path", "/stream/x"))


@when("an operator asks with the same file, and names model b")
def ask_by_file_and_option(context: Context) -> None:
    options = [*context.file_options, "--path", "/stream/x", "--model", "b"]
    context.result = run(context, _run_command(*options))


@then("the command exits {code:d} and names {text}")
def check_command(context: Context, code: int, text: str) -> None:
    status, output = context.result
    assert status == code, context.result
    for word in text.split() if code else [text]:
        assert word in output, context.result


@when("the entry's other addresses are asked for an explanation")
def ask_others(context: Context) -> None:
    async def ask() -> None:
        ready = context.status.servers[0].sockets[0].getsockname()[1]
        addresses = [f"127.0.0.1:{port}" for port in (ready, context.entry.port)]
        options = ("--host", HOST, "--path", "/safe/x")
        context.results = [
            await _run_command("--entry", address, *options) for address in addresses
        ]

    run(context, ask())


@then("they don't explain, and an operator who asks there is told {code:d}")
def check_others(context: Context, code: int) -> None:
    for status, output in context.results:
        assert status not in (0, None), context.results
        assert str(code) in output, context.results
