"""Steps that break connections and processes during answers."""

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
LONG_ANSWER_TOKENS = 100
CANCELLED_ANSWER_TOKENS = 1500
MIN_NEW_EVENTS = 8
SLOTS = 8
KEEP_ANSWER_MS = 4000
ENGINE_SILENT_MS = 600
# Restarting a process can take a few seconds on a busy machine.
SLOW_RESTART_PEERS = {**QUICK_PEERS, "silent_ms": 1500}


@given('a site for long answers with two entries and the target "{target}"')
def start_long_site(context: Context, target: str) -> None:
    site = start_scenario_site(context)
    start_long_target(site, target)
    for number in range(2):
        site.entry(f"entry-{number}", settings={"peers": SLOW_RESTART_PEERS})
    site.wait_for_targets()
    site.roll("first", [model(MODEL, replicas=2)])
    for number in range(2):
        site.wait_until_served(f"entry-{number}", MODEL)
    context.earlier = all_run_ids(site)


def start_long_target(site: Site, name: str) -> None:
    """Start a target with relays on its connections to entries and to its engine."""
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
    context.earlier = all_run_ids(site)


@when("a caller asks for a long answer, {kind}, and in its middle {fault}")
def ask_long(context: Context, kind: str, fault: str) -> None:
    ask_and_break(context, kind, fault, LONG_ANSWER_TOKENS)


@then("a long answer comes whole from one run, whatever happens in its middle:")
def check_each_fault(context: Context) -> None:
    for row in table_rows(context):
        context.earlier = all_run_ids(context.site)
        ask_and_break(context, row["kind"], row["fault"], LONG_ANSWER_TOKENS)
        check_complete_answer(context.call, CONTENT, case=row.cells)
        assert len(new_run_ids(context)) == 1, (row.cells, new_run_ids(context))


def ask_and_break(context: Context, kind: str, fault: str, tokens: int) -> None:
    """Request an answer of `tokens` tokens and apply a fault while it runs."""
    context.call = long_call(context.site, "entry-0", CONTENT, kind == "streamed", tokens=tokens)
    wait_until_partial(context, context.call, 1)
    FAULTS[fault](context, context.call)


def long_call(
    site: Site, entry: str, content: str, stream: bool, *, tokens: int = LONG_ANSWER_TOKENS
) -> Call:
    """Request a long answer."""
    address = site.daemons[entry].public
    return chat_call(address, MODEL, content, max_tokens=tokens, stream=stream)


def all_run_ids(site: Site) -> set[str]:
    """Return the ids of all runs at the running engines."""
    logs = [site.engine_log(name) for name in site.engines if is_engine_running(site, name)]
    return {run for log in logs for run in log["runs"]}


def is_engine_running(site: Site, engine: str) -> bool:
    """Return whether an engine's process is running."""
    return site.engines[engine].process.poll() is None


def new_run_ids(context: Context) -> set[str]:
    """Return the ids of the runs started since `context.earlier` was recorded."""
    return all_run_ids(context.site) - set(context.earlier)


def wait_until_partial(context: Context, call: Call, runs: int) -> None:
    """Wait until the answer runs and, if streamed, part of it has been received."""
    wait_for(lambda: len(new_run_ids(context)) >= runs, "start of the run")
    if b'"stream": true' in call.request[2]:
        wait_for_more_events(call)


def wait_for_more_events(call: Call) -> None:
    """Wait until more events of a streamed answer have been received."""
    expected = len(received_events(call.reply)) + MIN_NEW_EVENTS
    wait_for(lambda: len(received_events(call.reply)) >= expected, f"{expected} events")


def received_events(reply: Reply) -> list[bytes]:
    """Return the complete events received so far."""
    return reply.body.split(b"\n\n")[:-1]


def set_target_relay_mode(context: Context, call: Call, mode: str) -> None:
    context.site.relays["model-0"].interrupt(mode)


def set_engine_relay_mode(context: Context, call: Call, mode: str) -> None:
    context.site.relays["engine of model-0"].interrupt(mode)


def cut_twice(context: Context, call: Call) -> None:
    set_target_relay_mode(context, call, "cut")
    wait_for_more_events(call)
    set_target_relay_mode(context, call, "cut")


def cut_engine_often(context: Context, call: Call) -> None:
    for _ in range(5):
        set_engine_relay_mode(context, call, "cut")
        wait_for_more_events(call)


def restart_target(context: Context, call: Call) -> None:
    context.site.kill("model-0")
    context.site.restart("model-0")


def freeze_and_restart(context: Context, call: Call) -> None:
    set_engine_relay_mode(context, call, "freeze")
    restart_target(context, call)


def kill_entry(context: Context, call: Call) -> None:
    context.site.kill("entry-0")


def kill_engine(context: Context, call: Call) -> None:
    site = context.site
    running = new_run_ids(context)
    name = next(name for name in site.engines if running & set(site.engine_log(name)["runs"]))
    site.kill_engine(name)


def disconnect_caller(context: Context, call: Call) -> None:
    assert call.connection.sock
    call.disconnect()


FAULTS: dict[str, Callable[[Context, Call], None]] = {
    "the target's connection freezes": partial(set_target_relay_mode, mode="freeze"),
    "only the target's answers freeze": partial(set_target_relay_mode, mode="freeze_answers"),
    "the target's connection is cut": partial(set_target_relay_mode, mode="cut"),
    "the target's connection is cut twice": cut_twice,
    "the target process is killed and started again": restart_target,
    "the engine's connection freezes": partial(set_engine_relay_mode, mode="freeze"),
    "the engine's connection is cut five times": cut_engine_often,
    "the engine's connection freezes and the process is restarted": freeze_and_restart,
    "the entry is killed": kill_entry,
    "the engine is killed": kill_engine,
    "the caller leaves": disconnect_caller,
}


@then("the caller has the whole long answer")
def check_long(context: Context) -> None:
    check_complete_answer(context.call, CONTENT)


def check_complete_answer(call: Call, content: str, *, case: Sequence[str] = ()) -> None:
    """Check that an answer is complete and belongs to this content."""
    reply = call.wait()
    assert reply.is_complete(), (case, content, reply.status, reply.broken, reply.body[-600:])
    expected = expected_answer(f"{MODEL}@1", content, LONG_ANSWER_TOKENS)
    assert reply.text() == expected, (case, content, reply.text())


@then("the caller sees a broken connection")
def check_broken(context: Context) -> None:
    reply = context.call.wait()
    assert reply.broken, (reply.status, reply.body[-300:])
    assert b"[DONE]" not in reply.body


@then("the caller sees an error that says unknown")
def check_unknown(context: Context) -> None:
    reply = context.call.wait()
    assert not reply.is_complete(), (reply.status, reply.body[-300:])
    assert b"[DONE]" not in reply.body
    assert reply.error()["outcome"] == "unknown", reply.error()


@then("the engine cancels a run that nobody waits for any more:")
def check_cancelled(context: Context) -> None:
    for row in table_rows(context):
        context.earlier = all_run_ids(context.site)
        ask_and_break(context, row["kind"], row["fault"], CANCELLED_ANSWER_TOKENS)
        (run,) = new_run_ids(context)
        wait_for(partial(is_run_cancelled, context.site, run), f"{row.cells}: {run} is cancelled")


def is_run_cancelled(site: Site, run: str) -> bool:
    """Return whether the engine cancelled a run."""
    return run in site.engine_log("model-0")["cancelled"]


@when("the engine is full, a caller waits for a slot and leaves")
def wait_and_leave(context: Context) -> None:
    site = context.site
    context.calls = [long_call(site, "entry-0", f"gate {n}", True) for n in range(SLOTS)]
    for call in context.calls:
        wait_until_partial(context, call, SLOTS)
    waiting = long_call(site, "entry-0", "nobody's", True)
    wait_for(lambda: waiting.connection.sock is not None, "the caller's connection")
    disconnect_caller(context, waiting)


@then("the engine never runs what it had asked")
def check_never_ran(context: Context) -> None:
    for number, call in enumerate(context.calls):
        check_complete_answer(call, f"gate {number}")
    # If the abandoned request had been admitted, it would run before this one.
    check_complete_answer(long_call(context.site, "entry-1", CONTENT, True), CONTENT)
    assert len(new_run_ids(context)) == SLOTS + 1, new_run_ids(context)


@then("callers at both entries each have their own whole answer, whatever happens meanwhile:")
def check_together(context: Context) -> None:
    for row in table_rows(context):
        context.earlier = all_run_ids(context.site)
        callers = int(row["callers"])
        same = row["contents"] == "the same"
        contents = [CONTENT if same else f"gate {number}" for number in range(callers)]
        calls = [
            long_call(context.site, f"entry-{number % 2}", content, number % 3 != 2)
            for number, content in enumerate(contents)
        ]
        wait_until_partial(context, calls[0], min(callers, SLOTS))
        FAULTS[row["fault"]](context, calls[0])
        for call, content in zip(calls, contents, strict=True):
            check_complete_answer(call, content, case=row.cells)
