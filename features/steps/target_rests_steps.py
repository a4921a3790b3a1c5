"""Steps for the rests that targets ask for."""

import asyncio
from dataclasses import replace

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from hypothesis import given as generated
from hypothesis import settings
from hypothesis import strategies

from harness.direct_entry import DIALECT
from harness.direct_entry import DirectEntry
from harness.direct_entry import engine_spec
from harness.direct_entry import model_spec
from harness.direct_entry import null_log
from harness.direct_fleet import ManualClock
from harness.loop import run
from mimosaspur_coordination.fleetview import Prompt
from mimosaspur_coordination.notices.rests import Rests
from mimosaspur_daemon.direct.targetnotices import TargetNotices
from mimosaspur_daemon.direct.targetselector import TargetSelector
from mimosaspur_state.fleet import TargetRecord

TARGET = TargetRecord("i-1", "service", ("127.0.0.1", 1), "here")
MAX_EXAMPLES = 300
TIMEOUT_S = 4.0


@given("a refusal with status {status:d} that asks for {values}")
def refuse(context: Context, status: int, values: str) -> None:
    clock = ManualClock(1_000)
    context.notices = TargetNotices(
        clock=clock,
        permit_clock=clock,
        dialect=DIALECT,
        log=null_log("me"),
        request_report=lambda: None,
        on_change=lambda: None,
        on_leaving=lambda incarnation: None,
    )
    named = [] if values == "nothing" else values.split(" and ")
    headers = [(b"Retry-After", value.encode()) for value in named]
    context.notices.on_head(TARGET, status, headers)


@then("the target is left alone for {ms:d} ms")
def check_rest(context: Context, ms: int) -> None:
    assert context.notices.rest_ms(TARGET) == ms, context.notices.rest_ms(TARGET)
    assert context.notices.may_send(TARGET, rank=1) == (ms == 0)
    assert (context.notices.take(TARGET) is not None) == (ms == 0)
    assert context.notices.permits_call(TARGET) == (ms == 0)


@given("an entry with two targets of {service}, one of which rests for {rest} s")
def start_entry(context: Context, service: str, rest: str) -> None:
    async def start() -> None:
        spec = engine_spec([model_spec("notes")]) if service == "engines" else None
        context.entry = DirectEntry(engine=spec)
        fleet = context.entry.state.fleet
        residents = {"notes": frozenset[str]()} if spec else None
        records = [replace(TARGET, identity=name, residents=residents) for name in ("a", "b")]
        fleet.update(records, [])
        context.entry.state.notices.on_head(records[0], 503, [(b"Retry-After", rest.encode())])

    run(context, start())


@when("a request is chosen a target {ms:d} ms after the other one has refused it")
def choose_after_refusal(context: Context, ms: int) -> None:
    async def choose() -> None:
        state = context.entry.state
        configuration = state.configuration
        spec = configuration.services["service"]
        now_s = asyncio.get_running_loop().time()
        selector = TargetSelector(
            state,
            configuration.routes[0],
            "service",
            spec,
            Prompt("notes" if spec.engine else "", prompt_tokens=10, output_tokens=10),
            request="r-1",
            workspace=None,
            arrived_s=now_s,
            deadline_s=now_s + TIMEOUT_S,
        )
        selector.cool_down(state.fleet.targets["b"], ms / 1000)
        context.chosen = await selector.next_target()

    run(context, choose())


@then("it is sent to the other one")
def check_chosen(context: Context) -> None:
    assert context.chosen.record.identity == "b"


@then(
    "in any play a target gets nothing in a rest, and one request until it has answered or"
    " {timeout_ms:d} ms have passed"
)
def check_any_play(context: Context, timeout_ms: int) -> None:
    step = strategies.one_of(
        strategies.tuples(strategies.just("refuse"), strategies.integers(1, 2_000)),
        strategies.tuples(strategies.just("wait"), strategies.integers(1, 800)),
        strategies.tuples(strategies.sampled_from(["answer", "send"]), strategies.just(0)),
    )

    @settings(max_examples=MAX_EXAMPLES, derandomize=True, database=None, deadline=None)
    @generated(strategies.lists(step, max_size=40))
    def play(steps: list[tuple[str, int]]) -> None:
        clock = ManualClock(0)
        rests = Rests(clock=clock)
        until_ms = 0
        # When the first request after a rest was sent; None if all may be sent.
        first_ms: int | None = None
        resting = False
        for what, ms in steps:
            if what == "wait":
                clock.ms += ms
            elif what == "refuse":
                rests.ask("i-1", ms)
                until_ms = max(until_ms, clock.ms + ms)
                first_ms, resting = None, True
            elif what == "answer":
                rests.on_answer("i-1")
                resting = resting and clock.ms < until_ms
            elif rests.begin_send("i-1"):
                assert clock.ms >= until_ms, "sent in a rest"
                assert not resting or first_ms is None or clock.ms - first_ms >= timeout_ms
                resting = resting and first_ms is None
                first_ms = clock.ms
            else:
                assert clock.ms < until_ms or resting, "held back without a rest"

    play()
