"""Steps for the speeds of engines that entries measure and share."""

import math
import statistics
from typing import Any

import msgspec
from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_fleet import ManualClock
from harness.report_simulation import CoordinatorWithMembers
from harness.speed_simulation import SPEEDS
from harness.speed_simulation import SpeedSimulation
from mimosaspur_coordination.enginespeed.estimate import SpeedUpdate
from mimosaspur_coordination.enginespeed.shared import SharedEngineSpeeds
from mimosaspur_coordination.fleetview import FleetView
from mimosaspur_coordination.fleetview import Prompt
from mimosaspur_coordination.prefillspeed import INITIAL_BASE_MS
from mimosaspur_daemon.direct.fleetreport import apply_report
from mimosaspur_protocol.peermessages import LENGTH_BYTES
from mimosaspur_protocol.peermessages import EngineSpeedUpdate
from mimosaspur_protocol.peermessages import EntryReport
from mimosaspur_protocol.peermessages import FleetReport
from mimosaspur_protocol.peermessages import decode_peer
from mimosaspur_protocol.peermessages import encode_peer
from mimosaspur_state.fleet import TargetRecord

RANK = 3
STARTED_MS = 5_000
KNOWN = SpeedUpdate("x", STARTED_MS, 2.0, 20.0, 1.5, 20.0)
OTHERS = ("y", "z", "u", "v", "w")
LAST_NUMBER = 5
BAD_REPORTS: dict[str, dict[str, Any]] = {
    "the number of the last one": {"number": LAST_NUMBER},
    "an earlier number": {"number": LAST_NUMBER - 1},
    "an earlier lifetime": {"started_ms": STARTED_MS - 1},
    "a later lifetime": {"started_ms": STARTED_MS + 1},
    "an engine that nobody knows": {"target": "nobody"},
    "a factor that isn't a number": {"prefill": math.nan},
    "an infinite factor": {"decode": math.inf},
    "a factor of 0": {"prefill": 0.0},
    "a negative factor": {"decode": -1.0},
    "a factor of 1000": {"prefill": 1_000.0},
    "a negative number of measurements": {"prefill_measurements": -1.0},
    "infinitely many measurements": {"decode_measurements": math.inf},
}


def _record(name: str, started_ms: int = STARTED_MS) -> TargetRecord:
    return TargetRecord(
        name, "s", ("127.0.0.1", 1), "here", residents={"m": frozenset()}, started_ms=started_ms
    )


@given(
    "{entries:d} entries and {engines:d} engines of speeds 0.7, 0.7 and 1.7, "
    "of which {load:d} in 100 is used"
)
def set_uneven(context: Context, entries: int, engines: int, load: int) -> None:
    context.site = {"entries": entries, "engines": engines, "load": load / 100, "speeds": SPEEDS}


@given("{entries:d} entries and {engines:d} engines of one speed, of which {load:d} in 100 is used")
def set_even(context: Context, entries: int, engines: int, load: int) -> None:
    context.site = {"entries": entries, "engines": engines, "load": load / 100, "speeds": (1.0,)}


@given("half of the models are held by engine-0 alone")
def hold_at_one(context: Context) -> None:
    context.site["crowded"] = True


@when("they serve requests for {seconds:d} s with the seed {seed:d}")
def serve(context: Context, seconds: int, seed: int) -> None:
    context.play = SpeedSimulation(seed=seed, **context.site)
    context.play.run(seconds)


@then(
    "at each engine with {count:d} requests the median of measured / predicted "
    "is from {least:g} to {most:g}"
)
def check_ratios(context: Context, count: int, least: float, most: float) -> None:
    ratios = context.play.median_ratios(at_least=count)
    assert len(ratios) > len(context.play.names) / 2, ratios
    assert all(least <= each <= most for each in ratios.values()), ratios


@then(
    "the factors of each speed are, as a median, within {percent:d} of 100 of the engines' speeds"
)
def check_factors(context: Context, percent: int) -> None:
    engines = context.play.engines
    usual = statistics.geometric_mean([engine.speed for engine in engines.values()])
    for kind in (0, 1):
        for speed in set(SPEEDS):
            found = statistics.median(
                factors[name][kind]
                for factors in context.play.factors()
                for name, engine in engines.items()
                if engine.speed == speed
            )
            assert abs(found * speed / usual - 1) <= percent / 100, (kind, speed, found)


@then("engine-0 is busier than the others, and its factors are within {percent:d} of 100 of theirs")
def check_loaded(context: Context, percent: int) -> None:
    counts = {name: len(engine.ratios) for name, engine in context.play.engines.items()}
    busiest = counts.pop("engine-0")
    assert busiest > 2 * max(counts.values()), (busiest, counts)
    for factors in context.play.factors():
        for kind in (0, 1):
            others = statistics.median(factors[name][kind] for name in counts)
            found = factors["engine-0"][kind] / others
            assert abs(found - 1) <= percent / 100, (kind, found)


@when("engine-0 restarts")
def restart(context: Context) -> None:
    before = context.play.fleets[0].targets["engine-0"]
    assert abs(before.prefill_factor - 1) > 0.1, before.prefill_factor
    context.earlier = SpeedUpdate("engine-0", before.record.started_ms, 2.0, 20.0, 2.0, 20.0)
    context.play.restart_engine("engine-0", speed=1.0)


@then("its factors are 1 at every entry")
def check_restarted(context: Context) -> None:
    assert all(each["engine-0"] == (1.0, 1.0) for each in context.play.factors())


@then("a report of its earlier lifetime changes nothing")
def check_earlier(context: Context) -> None:
    play = context.play
    assert play.shared.add_report("entry-0", next(play.numbers), [context.earlier]) == 1
    assert all(fleet.apply_speeds([context.earlier]) == 1 for fleet in play.fleets)
    check_restarted(context)
    assert "engine-0" not in {each.target for each in play.shared.all()}


@when("the coordinator of the speeds is lost")
def lose_coordinator(context: Context) -> None:
    context.before = context.play.factors()
    context.told = {each.target for each in context.play.shared.all()}
    context.play.coordinator_lost = True
    for fleet in context.play.fleets:
        fleet.on_coordinator_lost()


@then("no factor has changed at any entry")
def check_unchanged(context: Context) -> None:
    assert context.play.factors() == context.before


@when("they go on for {seconds:d} s")
def go_on(context: Context, seconds: int) -> None:
    context.play.run(seconds)


@when("another coordinator has all entries' first reports")
def replace_coordinator(context: Context) -> None:
    context.before = context.play.factors()
    context.play.start_coordinator()
    for index, fleet in enumerate(context.play.fleets):
        context.play.shared.add_report(f"entry-{index}", 1, fleet.take_speeds())


@then("it knows what the entries were told before")
def check_inherited(context: Context) -> None:
    assert context.told == {each.target for each in context.play.shared.all()}
    check_unchanged(context)


@then("what it tells a new entry gives that entry the same factors within {percent:d} of 100")
def check_new_entry(context: Context, percent: int) -> None:
    fleet = FleetView(clock=ManualClock(0))
    fleet.update([_record(name, context.play.started_ms[name]) for name in context.play.names], ())
    assert fleet.apply_speeds(context.play.shared.all()) == 0
    for name in context.play.names:
        known = statistics.median(each[name][0] for each in context.before)
        found = fleet.targets[name].prefill_factor
        assert abs(found / known - 1) <= percent / 100, (name, found, known)


@given('a coordinator and an entry that know engine "x" since 5000 with the factors 2 and 1.5')
def set_known(context: Context) -> None:
    fleet = context.fleet = FleetView(clock=ManualClock(0))
    fleet.update([_record("x")], ())
    context.shared = SharedEngineSpeeds(fleet.started_ms)
    context.shared.add_report("entry", LAST_NUMBER, [KNOWN])
    assert fleet.apply_speeds(context.shared.all()) == 0
    view = fleet.targets["x"]
    context.before = context.shared.all(), view.prefill_factor, view.decode_factor
    assert view.prefill_factor > view.decode_factor > 1


@when("the coordinator gets a report with {report}")
def report_badly(context: Context, report: str) -> None:
    changes = dict(BAD_REPORTS[report])
    number = changes.pop("number", LAST_NUMBER + 1)
    fields = {name: getattr(KNOWN, name) for name in KNOWN.__slots__} | {"prefill": 4.0} | changes
    update = SpeedUpdate(**fields)
    assert context.shared.add_report("entry", number, [update]) == 1
    if "number" not in BAD_REPORTS[report]:
        context.fleet.apply_speeds([update])


@then("neither its speeds nor the entry's factors have changed")
def check_kept(context: Context) -> None:
    view = context.fleet.targets["x"]
    assert context.before == (context.shared.all(), view.prefill_factor, view.decode_factor)


@given('an engine "x" among engines that are known well')
def set_well_known(context: Context) -> None:
    context.clock = ManualClock(10_000)
    context.fleet = FleetView(clock=context.clock)
    context.fleet.update([_record(name) for name in ("x", *OTHERS)], ())
    known = [SpeedUpdate(name, STARTED_MS, 1.0, 40.0, 1.0, 40.0) for name in OTHERS]
    assert context.fleet.apply_speeds(known) == 0


def _measure(context: Context, times: float) -> None:
    """Measure a request at x that takes some times what an engine of factor 1 takes."""
    view = context.fleet.targets["x"]
    prompt = Prompt("m", prompt_tokens=4_000)
    unread = view.prefill_tokens(prompt)
    predicted_ms = view.first_token_ms(prompt, rank=RANK)
    took_ms = INITIAL_BASE_MS + times * 200.0
    view.on_first_token(prompt, unread=unread, predicted_ms=predicted_ms, took_ms=took_ms)


@when("an entry measures {count:d} requests there that take twice as long")
def measure_slow(context: Context, count: int) -> None:
    # Models' paces aren't tested here.
    context.fleet.paces.adaptive = False
    for _ in range(count):
        context.clock.ms += 1_000
        _measure(context, 2.0)


@then("its factor for prefill is from {least:g} to {most:g}")
def check_factor(context: Context, least: float, most: float) -> None:
    assert least <= context.fleet.targets["x"].prefill_factor <= most, context.fleet.targets["x"]


@given("an entry that knows no engine")
def set_no_engine(context: Context) -> None:
    context.fleet = FleetView(clock=ManualClock(0))


@when('it is told the speed of "x" before "x" is registered')
def tell_early(context: Context) -> None:
    assert context.fleet.apply_speeds([KNOWN]) == 0


@then('the factors of "x" are known once it is registered')
def check_early(context: Context) -> None:
    context.fleet.update([_record("x")], ())
    view = context.fleet.targets["x"]
    assert view.prefill_factor > view.decode_factor > 1


@then("nothing of them is left once it has gone, and it starts at 1 in its next lifetime")
def check_gone(context: Context) -> None:
    context.fleet.update([], ["x"])
    assert not context.fleet.engine_speeds["s"].lifetimes
    assert not context.fleet.early_speeds
    # The earlier lifetime's speed is told late.
    context.fleet.apply_speeds([KNOWN])
    context.fleet.update([_record("x", STARTED_MS + 1)], ())
    view = context.fleet.targets["x"]
    assert (view.prefill_factor, view.decode_factor) == (1.0, 1.0)
    assert not context.fleet.early_speeds


@when("one request there takes 2.5 times as long")
def measure_moment(context: Context) -> None:
    context.fleet.paces.adaptive = False
    _measure(context, 2.5)


@then(
    "prompts are predicted to take longer there for a quarter of a second, and as before afterwards"
)
def check_moment(context: Context) -> None:
    view, prompt = context.fleet.targets["x"], Prompt("m", prompt_tokens=4_000)
    slow_ms = view.first_token_ms(prompt, rank=RANK)
    assert view.is_slow_now()
    context.clock.ms += 251
    assert not view.is_slow_now()
    context.usual_ms = view.first_token_ms(prompt, rank=RANK)
    # Of the 250 ms for which it stays slow, 250 / 2.5 ms count as work.
    assert abs(slow_ms - context.usual_ms - 150) < 1, (slow_ms, context.usual_ms)
    assert context.usual_ms < 1.4 * (INITIAL_BASE_MS + 200), context.usual_ms


@then("setting the clock back doesn't make the moment longer")
def check_clock(context: Context) -> None:
    context.clock.ms -= 5_000
    assert context.fleet.targets["x"].momentary.remaining_ms(now_ms=context.clock.ms) <= 250


def _without_speeds(message: EntryReport | FleetReport) -> bytes:
    """Encode a message as a version does that lacks the speeds and all later fields."""
    fields = msgspec.msgpack.decode(encode_peer(message)[LENGTH_BYTES:])
    # The tag comes before the fields.
    return msgspec.msgpack.encode(fields[: 1 + message.__struct_fields__.index("speeds")])


MESSAGES = (
    EntryReport("entry", 1, [], [], [], [], speeds=[EngineSpeedUpdate("x", 1, 1.0, 1.0, 1.0, 1.0)]),
    FleetReport(1, True, 1, [], [], {}, speeds=[EngineSpeedUpdate("x", 1, 1.0, 1.0, 1.0, 1.0)]),
)


@when("reports of an entry and of a coordinator of an earlier version are read")
def read_earlier(context: Context) -> None:
    context.read = [decode_peer(_without_speeds(message)) for message in MESSAGES]


@then("they hold no speeds, and an earlier version reads those of this one")
def check_earlier_version(context: Context) -> None:
    assert [each.speeds for each in context.read] == [[], []]
    for message in MESSAGES:
        # An earlier version skips what follows the fields that it knows.
        further = [*msgspec.msgpack.decode(encode_peer(message)[LENGTH_BYTES:]), "unknown"]
        assert decode_peer(msgspec.msgpack.encode(further)) == message


@when("the first entry reports an engine's speed")
def report_speed(context: Context) -> None:
    followed: CoordinatorWithMembers = context.followed
    followed.state.fleet.update([_record("x")], ())
    followed.send_updates(work_at=0)
    followed.updates.speeds_sent_ms = -10_000
    update = EngineSpeedUpdate("x", STARTED_MS, 2.0, 20.0, 1.5, 20.0)
    report = EntryReport("entry-0", 2, [], [], [], [], speeds=[update])
    followed.members.apply_report(report, followed.members.members["entry-0"])
    context.frames = {}
    for name, link in followed.links.items():
        link.send_encoded = lambda frames, name=name: context.frames.update({name: frames})  # type: ignore[method-assign,misc]
    followed.updates.send_updates([], followed.lease)
    context.changes = dict(context.frames)
    followed.add_entry()
    newest = list(followed.links)[-1]
    followed.links[newest].send_encoded = lambda frames: context.frames.update({newest: frames})  # type: ignore[method-assign]
    followed.updates.send_updates([], followed.lease)
    context.newest = context.frames[newest]


def _fleet_report(frames: bytes) -> FleetReport:
    """Return the second message of an update: the acknowledgement comes first."""
    length = int.from_bytes(frames[:LENGTH_BYTES], "big")
    message = decode_peer(frames[2 * LENGTH_BYTES + length :])
    assert isinstance(message, FleetReport)
    return message


@then("entries that have followed are sent the change, and a later one all speeds")
def check_sent(context: Context) -> None:
    expected = [("x", STARTED_MS, 2.0, 20.0, 1.5, 20.0)]
    for frames in (*context.changes.values(), context.newest):
        speeds = [msgspec.structs.astuple(each) for each in _fleet_report(frames).speeds]
        rounded = [tuple(v if isinstance(v, str) else round(v, 6) for v in each) for each in speeds]
        assert rounded == expected, speeds
    # The local entry of a coordinator gets the same message.
    followed = context.followed
    apply_report(followed.state, _fleet_report(context.newest))
    assert followed.state.fleet.targets["x"].prefill_factor > 1
