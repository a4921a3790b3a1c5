"""Steps for switching off mechanisms by name."""

from dataclasses import replace

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import configuration
from harness.direct_entry import engine_spec
from harness.direct_entry import entry_dependencies
from harness.direct_entry import model_spec
from harness.direct_entry import settings_for
from harness.loop import run
from mimosaspur_coordination.enginespeed.estimate import SpeedUpdate
from mimosaspur_coordination.fleetview import Prompt
from mimosaspur_daemon.direct.admission import ends_in_time
from mimosaspur_daemon.direct.entryreport import build_entry_report
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.storechanges import CONFIGURATION
from mimosaspur_daemon.direct.storechanges import TARGETS
from mimosaspur_daemon.direct.storechanges import StoreChanges
from mimosaspur_daemon.direct.targetchooser import TargetChooser
from mimosaspur_daemon.direct.targetselector import TargetSelector
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import MimosaspurError
from mimosaspur_state.fleet import TargetRecord
from mimosaspur_state.policy import Mechanism
from mimosaspur_state.policy import policy_without

PROMPT = Prompt("notes", prompt_tokens=4_000)


@when('"{names}" is switched off')
def switch_off(context: Context, names: str) -> None:
    context.policy = context.error = None
    try:
        context.policy = policy_without(names)
    except MimosaspurError as error:
        context.error = error


@when('"" is switched off')
def switch_nothing_off(context: Context) -> None:
    switch_off(context, "")


@then("nothing is off")
def check_nothing_off(context: Context) -> None:
    assert all(context.policy.uses(each) for each in Mechanism)


@then("{names} is off")
def check_off(context: Context, names: str) -> None:
    off = {each.value for each in Mechanism if not context.policy.uses(each)}
    assert off == set(names.split(", ")), off


@then('code 4006 names "{name}", and all that can be named')
def check_named(context: Context, name: str) -> None:
    assert context.error and context.error.code is ResultCode.BAD_SETTINGS
    text = str(context.error)
    assert repr(name) in text, text
    assert all(each.value in text for each in Mechanism), text


@given("entries without {name}")
def start_without(context: Context, name: str) -> None:
    settings = replace(settings_for("entry-0"), policy=policy_without(name))

    async def start() -> None:
        state = context.state = EntryState(settings, entry_dependencies("entry-0"))
        state.configuration = configuration(engine_spec([model_spec("notes")]))
        state.targets_known = True
        record = TargetRecord("x", "service", ("127.0.0.1", 1), "here")
        state.fleet.update([record], [])
        state.fleet.targets["x"].residents = {"notes": frozenset()}

    run(context, start())


@then("a measured pace stays 1")
def check_pace(context: Context) -> None:
    view = context.state.fleet.targets["x"]
    view.on_first_token(PROMPT, unread=4_000, predicted_ms=230, took_ms=900)
    assert context.state.fleet.paces.token_cost("notes") == 1.0


@then("an entry estimates engines by itself alone")
def check_own_estimate(context: Context) -> None:
    view = context.state.fleet.targets["x"]
    view.on_first_token(PROMPT, unread=4_000, predicted_ms=230, took_ms=900)
    told = SpeedUpdate("x", view.record.started_ms, 2.0, 20.0, 2.0, 20.0)
    context.state.fleet.apply_speeds([told])
    assert (view.prefill_factor, view.decode_factor) == (1.0, 1.0)
    assert view.slowness > 1.0
    assert not build_entry_report(context.state).speeds


@then("the part of a queue that is waited for stays 1")
def check_queue_part(context: Context) -> None:
    view = context.state.fleet.targets["x"]
    view.on_first_token(PROMPT, unread=100, predicted_ms=2_000, took_ms=300)
    assert view.speed.queue_ratio.value == 1.0


@then("the coordinator tells nothing of the store")
def check_tells_nothing(context: Context) -> None:
    for what in (TARGETS, CONFIGURATION):
        context.state.freshness.confirm(what, age_ms=0)
    assert not StoreChanges(context.state).shareable()


@then("nothing is taken by a leaving entry")
def check_takes_nothing(context: Context) -> None:
    state = context.state
    route = state.configuration.routes[0]

    async def taken() -> bool:
        chooser = TargetChooser(
            state,
            route,
            "service",
            state.configuration.services["service"],
            PROMPT,
            request="r-1",
            workspace=None,
            arrived_s=0.0,
            deadline_s=1e9,
        )
        return ends_in_time(chooser)

    assert not run(context, taken())


@then("a late request keeps its rank")
def check_rank(context: Context) -> None:
    state = context.state
    route = state.configuration.routes[0]

    async def ranks() -> tuple[int, int]:
        spec = state.configuration.services["service"]
        targeting = TargetSelector(
            state,
            route,
            "service",
            spec,
            PROMPT,
            request="r-1",
            workspace=None,
            arrived_s=0.0,
            deadline_s=1e9,
        )
        targeting.on_time_deadline_s = 0.0
        targeting.event_deadline_s = 1e9
        before = targeting.rank
        assert await targeting.next_target()
        return before, targeting.rank

    before, after = run(context, ranks())
    assert before == after, (before, after)
