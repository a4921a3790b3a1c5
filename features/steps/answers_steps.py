"""Steps that break connections and processes in the middle of answers."""

from collections.abc import Callable
from collections.abc import Sequence
from functools import partial

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.caller import Call
from harness.caller import Reply
from harness.caller import chat_call
from harness.control import wait_for
from harness.site import QUICK_PEERS
from harness.site import Site
from harness.site import model
from harness.site import start_scenario_site
from harness.tables import table_rows
from mimosaspur_standins.answers import expected_answer

MODEL = "notes"
CONTENT = "gate 7"
LONG = 100
ENDLESS = 1500
FEW_EVENTS = 8
SLOTS = 8
KEEP_ANSWER_MS = 4000
ENGINE_SILENT_MS = 600
# A restarted process needs up to a few seconds on a busy machine.
PATIENT_PEERS = {**QUICK_PEERS, "silent_ms": 1500}


@given('a site for long answers with two entries and the target "{target}"')
def start_long_site(context: Context, target: str) -> None:
    site = start_scenario_site(context)
    start_long_target(site, target)
    for number in range(2):
        site.entry(f"entry-{number}", settings={"peers": PATIENT_PEERS})
    site.wait_for_targets()
    site.roll("first", [model(MODEL, replicas=2)])
    for number in range(2):
        site.wait_until_served(f"entry-{number}", MODEL)
    context.earlier = all_runs(site)


def start_long_target(site: Site, name: str) -> None:
    """Start a target whose connections to both sides can be broken."""
    site.model_target(
        name,
        engine_options=("--token-ms", "15", "--slots", str(SLOTS)),
        engine_relay=True,
        relay=True,
        silent_ms=ENGINE_SILENT_MS,
        keep_answer_ms=KEEP_ANSWER_MS,
        slots=SLOTS,
    )


@given('the target "{target}" holds the model too')
def add_holder(context: Context, target: str) -> None:
    site = context.site
    start_long_target(site, target)

    def holds() -> bool:
        return bool(site.replicas(MODEL).get(f"{target} 1") == "ready")

    wait_for(holds, f"{target} holds {MODEL}")
    context.earlier = all_runs(site)


@when("a caller asks for a long answer, {kind}, and in its middle {fault}")
def ask_long(context: Context, kind: str, fault: str) -> None:
    ask_and_break(context, kind, fault, LONG)


@then("a long answer comes whole from one run, whatever happens in its middle:")
def check_each_fault(context: Context) -> None:
    for row in table_rows(context):
        context.earlier = all_runs(context.site)
        ask_and_break(context, row["kind"], row["fault"], LONG)
        check_own(context.call, CONTENT, case=row.cells)
        assert len(new_runs(context)) == 1, (row.cells, new_runs(context))


def ask_and_break(context: Context, kind: str, fault: str, tokens: int) -> None:
    """Ask for an answer of so many tokens and break something in its middle."""
    context.call = long_call(context.site, "entry-0", CONTENT, kind == "streamed", tokens=tokens)
    await_middle(context, context.call, 1)
    FAULTS[fault](context, context.call)


def long_call(site: Site, entry: str, content: str, stream: bool, *, tokens: int = LONG) -> Call:
    """Ask for a long answer."""
    address = site.daemons[entry].public
    return chat_call(address, MODEL, content, max_tokens=tokens, stream=stream)


def all_runs(site: Site) -> set[str]:
    """Return the ids of all runs at the engines that live."""
    logs = [site.engine_log(name) for name in site.engines if alive(site, name)]
    return {run for log in logs for run in log["runs"]}


def alive(site: Site, engine: str) -> bool:
    """Tell whether an engine has not been killed."""
    return site.engines[engine].process.poll() is None


def new_runs(context: Context) -> set[str]:
    """Return the runs since the site was ready."""
    return all_runs(context.site) - set(context.earlier)


def await_middle(context: Context, call: Call, runs: int) -> None:
    """Wait until a streamed answer has come in part, and any answer has begun."""
    wait_for(lambda: len(new_runs(context)) >= runs, "the answer runs")
    if b'"stream": true' in call.request[2]:
        await_more(call)


def await_more(call: Call) -> None:
    """Wait until some more of a streamed answer has come."""
    wanted = len(events_so_far(call.reply)) + FEW_EVENTS
    wait_for(lambda: len(events_so_far(call.reply)) >= wanted, f"{wanted} events")


def events_so_far(reply: Reply) -> list[bytes]:
    """Return the events of an answer under way."""
    return reply.body.split(b"\n\n")[:-1]


def target_mode(context: Context, call: Call, mode: str) -> None:
    context.site.relays["model-0"].interrupt(mode)


def engine_mode(context: Context, call: Call, mode: str) -> None:
    context.site.relays["engine of model-0"].interrupt(mode)


def cut_twice(context: Context, call: Call) -> None:
    target_mode(context, call, "cut")
    await_more(call)
    target_mode(context, call, "cut")


def cut_engine_often(context: Context, call: Call) -> None:
    for _ in range(5):
        engine_mode(context, call, "cut")
        await_more(call)


def restart_target(context: Context, call: Call) -> None:
    context.site.kill("model-0")
    context.site.restart("model-0")


def freeze_and_restart(context: Context, call: Call) -> None:
    engine_mode(context, call, "freeze")
    restart_target(context, call)


def kill_entry(context: Context, call: Call) -> None:
    context.site.kill("entry-0")


def kill_engine(context: Context, call: Call) -> None:
    site = context.site
    running = new_runs(context)
    name = next(name for name in site.engines if running & set(site.engine_log(name)["runs"]))
    site.kill_engine(name)


def leave(context: Context, call: Call) -> None:
    assert call.connection.sock
    call.leave()


FAULTS: dict[str, Callable[[Context, Call], None]] = {
    "the target's connection freezes": partial(target_mode, mode="freeze"),
    "only the target's answers freeze": partial(target_mode, mode="freeze_answers"),
    "the target's connection is cut": partial(target_mode, mode="cut"),
    "the target's connection is cut twice": cut_twice,
    "the target process is killed and started again": restart_target,
    "the engine's connection freezes": partial(engine_mode, mode="freeze"),
    "the engine's connection is cut five times": cut_engine_often,
    "the engine's connection freezes and the process is restarted": freeze_and_restart,
    "the entry is killed": kill_entry,
    "the engine is killed": kill_engine,
    "the caller leaves": leave,
}


@then("the caller has the whole long answer")
def check_long(context: Context) -> None:
    check_own(context.call, CONTENT)


def check_own(call: Call, content: str, *, case: Sequence[str] = ()) -> None:
    """Check that an answer is whole and the one to this content."""
    reply = call.wait()
    assert reply.whole(), (case, content, reply.status, reply.broken, reply.body[-600:])
    wanted = expected_answer(f"{MODEL}@1", content, LONG)
    assert reply.text() == wanted, (case, content, reply.text())


@then("the caller sees a broken connection")
def check_broken(context: Context) -> None:
    reply = context.call.wait()
    assert reply.broken, (reply.status, reply.body[-300:])
    assert b"[DONE]" not in reply.body


@then("the caller sees an error that says unknown")
def check_unknown(context: Context) -> None:
    reply = context.call.wait()
    assert not reply.whole(), (reply.status, reply.body[-300:])
    assert b"[DONE]" not in reply.body
    assert reply.error()["outcome"] == "unknown", reply.error()


@then("the engine cancels a run that nobody waits for any more:")
def check_cancelled(context: Context) -> None:
    for row in table_rows(context):
        context.earlier = all_runs(context.site)
        ask_and_break(context, row["kind"], row["fault"], ENDLESS)
        (run,) = new_runs(context)
        wait_for(partial(cancelled, context.site, run), f"{row.cells}: {run} is cancelled")


def cancelled(site: Site, run: str) -> bool:
    """Tell whether a run was cancelled at the engine."""
    return run in site.engine_log("model-0")["cancelled"]


@when("the engine is full, a caller waits for a slot and leaves")
def wait_and_leave(context: Context) -> None:
    site = context.site
    context.calls = [long_call(site, "entry-0", f"gate {n}", True) for n in range(SLOTS)]
    for call in context.calls:
        await_middle(context, call, SLOTS)
    waiting = long_call(site, "entry-0", "nobody's", True)
    wait_for(lambda: waiting.connection.sock is not None, "the caller has connected")
    leave(context, waiting)


@then("the engine never runs what it had asked")
def check_never_ran(context: Context) -> None:
    for number, call in enumerate(context.calls):
        check_own(call, f"gate {number}")
    # Whatever had been admitted in its place would run before this one.
    check_own(long_call(context.site, "entry-1", CONTENT, True), CONTENT)
    assert len(new_runs(context)) == SLOTS + 1, new_runs(context)


@then("callers at both entries each have their own whole answer, whatever happens meanwhile:")
def check_together(context: Context) -> None:
    for row in table_rows(context):
        context.earlier = all_runs(context.site)
        callers = int(row["callers"])
        same = row["contents"] == "the same"
        contents = [CONTENT if same else f"gate {number}" for number in range(callers)]
        calls = [
            long_call(context.site, f"entry-{number % 2}", content, number % 3 != 2)
            for number, content in enumerate(contents)
        ]
        await_middle(context, calls[0], min(callers, SLOTS))
        FAULTS[row["fault"]](context, calls[0])
        for call, content in zip(calls, contents, strict=True):
            check_own(call, content, case=row.cells)
