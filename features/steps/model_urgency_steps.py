"""Steps for placement by urgency, and for forecasts of loads."""

import random
import re
from dataclasses import replace
from unittest import mock

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness import forecast_play
from harness.direct_entry import DOMAIN
from harness.direct_entry import DirectEntry
from harness.direct_entry import configuration
from harness.direct_entry import engine_spec
from harness.direct_entry import model_spec
from harness.direct_fleet import ManualClock
from harness.forecast_play import ForecastPlay
from harness.loop import run
from harness.placement_fleets import random_problem
from harness.urgency_play import BurstPlay
from harness.urgency_play import TakeoverPlay
from harness.virtual_time import VirtualTimeLoop
from harness.virtual_time import run_in_virtual_time
from mimosaspur_coordination.engineheadroom import EngineHeadroom
from mimosaspur_coordination.loadforecast import SENT_CHANGE_SHARE
from mimosaspur_coordination.loadforecast import SharedForecast
from mimosaspur_coordination.loadforecast import apply_changes
from mimosaspur_coordination.loadforecast import confirmed
from mimosaspur_coordination.loadforecast import forecast_loads
from mimosaspur_coordination.modeldemand import Demand
from mimosaspur_coordination.modelplacement import next_swap
from mimosaspur_coordination.placementproblem import PlacementProblem
from mimosaspur_coordination.unmetdemand import UnmetDemand
from mimosaspur_coordination.unmetdemand import UnmetRequest
from mimosaspur_coordination.urgency import urgency_differs
from mimosaspur_daemon.direct.entryreport import build_entry_report
from mimosaspur_platform.names import DIALECT
from mimosaspur_state.fleet import TargetRecord

MODELS = "abcdefgh"
SPEC = engine_spec([model_spec(name) for name in MODELS])


URGENT_MS = 500.0
PATIENT_MS = 12_000.0


def _values(text: str) -> dict[str, int]:
    return {name: int(ms) for name, ms in re.findall(r"(\w) (-?\d+)", text)}


@when("loads are forecast, {rate}")
def forecast(context: Context, rate: str) -> None:
    problem = PlacementProblem(
        SPEC,
        context.engines,
        context.demand,
        store_load_allowed=rate == "the store is free",
    )
    context.forecast = forecast_loads(problem)


@when("one model at most is tried as loads are forecast")
def forecast_one(context: Context) -> None:
    with mock.patch("mimosaspur_coordination.loadforecast.MAX_TRIED_LOADS", 1):
        forecast(context, "the store is free")


@then("the forecast is {values}")
def check_forecast(context: Context, values: str) -> None:
    assert context.forecast == _values(values), context.forecast


@given("entries were sent the forecast {values}")
def send_forecast(context: Context, values: str) -> None:
    context.shared = SharedForecast()
    context.known = apply_changes({}, context.shared.update(_values(values)))
    assert context.known == _values(values)


@when("the forecast becomes {values}")
def change_forecast(context: Context, values: str) -> None:
    context.sent = context.shared.update(_values(values))
    context.known = apply_changes(context.known, context.sent)


@then("they are told as {values}")
def check_sent(context: Context, values: str) -> None:
    assert context.sent == _values(values), context.sent
    # What an entry has merged is what the coordinator takes as sent.
    assert context.known == context.shared.sent, context.known


@given(
    "{engines:d} engines, {waiting:d} models that requests wait for, and demand that stays as it is"
)
def set_steady(context: Context, engines: int, waiting: int) -> None:
    assert (engines, waiting) == (forecast_play.ENGINES, forecast_play.WAITING)


@when("loads are forecast in {count:d} random states, and then decided")
def play_steady(context: Context, count: int) -> None:
    plays = [ForecastPlay(seed) for seed in range(count)]
    context.ratios = sorted(ms / loaded_ms for play in plays for ms, loaded_ms in play.run())


@then(
    "at least 80 of 100 forecasts are at most {most:g} times as long as the wait, and half at most"
    " {median:g}"
)
def check_ratios(context: Context, most: float, median: float) -> None:
    ratios = context.ratios
    assert ratios[len(ratios) * 8 // 10] <= most, ratios
    assert ratios[len(ratios) // 2] <= median, ratios
    # Nor are they so short that nothing is refused early.
    assert ratios[len(ratios) // 10] >= 0.5, ratios


@when("a request comes for one of {count:d} models that were requested a moment ago")
def request_recent(context: Context, count: int) -> None:
    context.changes = []
    for number in range(count):
        play = ForecastPlay(seed=1)
        name = play.recent[number]
        before_ms = forecast_loads(play.problem(0))[name]
        play.request(name)
        context.changes.append(forecast_loads(play.problem(0))[name] / before_ms - 1.0)


@then("none of their forecasts changes by over a fifth")
def check_changes(context: Context) -> None:
    assert all(abs(each) <= SENT_CHANGE_SHARE for each in context.changes), context.changes


@given("the last forecast was {values}")
def set_last_forecast(context: Context, values: str) -> None:
    context.last_forecast = _values(values)


@when("the newest forecast is {values}")
def confirm_forecast(context: Context, values: str) -> None:
    context.told = confirmed(context.last_forecast, _values(values))


@then("what entries are told is {values}")
def check_told(context: Context, values: str) -> None:
    assert context.told == _values(values), context.told


@given("callers ask for {text}")
def set_callers(context: Context, text: str) -> None:
    for part in text.split("; "):
        match = re.fullmatch(r"((?:\w )+)(urgent|patient) (.*)", part)
        assert match, part
        names, urgency, rest = match.groups()
        numbers = {word: int(n) for word, n in re.findall(r"(\w+) (\d+)", rest)}
        tokens = float(rest) if rest.isdigit() else 0.0
        for name in names.split():
            waiting = numbers.get("waits", 0)
            context.demand[name] = Demand(
                fast_tokens=tokens,
                slow_tokens=tokens,
                waiting=waiting,
                urgent_waiting=waiting if urgency == "urgent" else 0,
                rejected=numbers.get("rejected", 0),
                waiting_ms=numbers.get("for", 0),
                objective_ms=URGENT_MS if urgency == "urgent" else PATIENT_MS,
                priority=numbers.get("priority", 0),
            )


def _problem(context: Context, *, known: bool = True) -> PlacementProblem:
    return PlacementProblem(
        SPEC, context.engines, context.demand, by_urgency=True, held_demand_known=known
    )


@when("the next load is decided by urgency")
def decide_by_urgency(context: Context) -> None:
    context.swap = next_swap(_problem(context))


@when("the next load is decided by urgency, before held demand is known")
def decide_unknown(context: Context) -> None:
    context.swap = next_swap(_problem(context, known=False))


@when("nobody waits for {name} any more")
def stop_waiting(context: Context, name: str) -> None:
    del context.demand[name]


@when("loads are forecast by urgency")
def forecast_by_urgency(context: Context) -> None:
    context.forecast = forecast_loads(_problem(context))


@then("nothing is loaded")
def check_nothing(context: Context) -> None:
    assert context.swap is None, context.swap


@then("{model} replaces {victims} on {identity}")
def check_replaced(context: Context, model: str, victims: str, identity: str) -> None:
    swap = context.swap
    assert swap is not None and (swap.model, swap.identity) == (model, identity), swap
    assert len(swap.victims) == 1 and swap.victims[0] in victims.split(" or "), swap


@given("engines read prompts in {text} times the usual time")
def set_factors(context: Context, text: str) -> None:
    factors = dict(re.findall(r"(\w) ([\d.]+)", text))
    for engine in context.engines:
        engine.prefill_factor = float(factors[engine.identity])


@given(
    "{engines:d} engines whose {places:d} places hold {urgent:d} models with steady urgent demand"
)
def set_fleet(context: Context, engines: int, places: int, urgent: int) -> None:
    context.fleet = engines, urgent


@given("{count:d} models that patient callers ask for, {when}")
def set_patient(context: Context, count: int, when: str) -> None:
    engines, urgent = context.fleet
    context.play = BurstPlay(engines, urgent, count, repeated="again" in when)


@when("loads are decided for {seconds:d} s")
def play_burst(context: Context, seconds: int) -> None:
    context.play.run(seconds * 1000)


@then("no model with urgent demand was unloaded")
def check_urgent_kept(context: Context) -> None:
    assert not context.play.unloaded & set(context.play.urgent), context.play.unloaded


@then("no patient caller waited longer than {most_ms:d} ms for a load")
def check_waits(context: Context, most_ms: int) -> None:
    play = context.play
    assert set(play.loads) == set(play.patient), play.loads
    assert play.longest_wait_ms <= most_ms, play.longest_wait_ms


@then("at most {most:d} engines loaded models at once, and all {count:d} models were loaded once")
def check_turns(context: Context, most: int, count: int) -> None:
    assert context.play.max_loading <= most, context.play.max_loading
    assert sorted(context.play.loads) == sorted(context.play.patient), context.play.loads


@given("routes with the objectives {objectives} and the priorities {priorities}")
def set_routes(context: Context, objectives: str, priorities: str) -> None:
    base = configuration(SPEC)
    pairs = zip(objectives.split(", "), priorities.split(", "), strict=True)
    routes = [
        replace(base.routes[0], objective_ms=int(objective_ms), priority=int(priority))
        for objective_ms, priority in pairs
    ]
    context.configuration = replace(base, routes=tuple(routes))


@then("their service's callers differ in urgency: {answer}")
def check_differ(context: Context, answer: str) -> None:
    service = context.configuration.services["service"]
    assert urgency_differs(context.configuration, service) == (answer == "yes")


@given('an entry that refused a request for "{model}" with a time limit of {limit_ms:d} ms')
def refuse(context: Context, model: str, limit_ms: int) -> None:
    context.clock = ManualClock(1_000)
    context.unmet = UnmetDemand(clock=context.clock)
    context.unmet.reject(model, UnmetRequest(), time_limit_ms=limit_ms)


@then("its next report tells of 1 refused request, and the one after it of none")
def check_reported_once(context: Context) -> None:
    counts = [_rejected(context) for _ in range(2)]
    assert counts == [1, 0], counts


@then("{after_ms:d} ms after the refusal the first report to a new coordinator tells of {count}")
def check_reported_again(context: Context, after_ms: int, count: str) -> None:
    context.clock.ms = 1_000 + after_ms
    context.unmet.report_all()
    assert _rejected(context) == (0 if count == "none" else int(count))


def _rejected(context: Context) -> int:
    return sum(each.rejected for each in context.unmet.take_report().values())


@given('a direct entry whose engine holds "{model}"')
def start_entry(context: Context, model: str) -> None:
    async def start() -> None:
        context.entry = DirectEntry(engine=SPEC, dialect=DIALECT)
        record = TargetRecord("i-1", "service", ("127.0.0.1", 1), DOMAIN, slots=4)
        context.entry.state.fleet.update([replace(record, residents={model: frozenset()})], [])
        # No other engine may be asked, and its own queue is far too long.
        view = context.entry.state.fleet.targets["i-1"]
        view.others_work.prefill_tokens[0] = 10_000_000
        await context.entry.start()

    run(context, start())


@when('a caller asks for the model "{model}" and is refused')
def ask_refused(context: Context, model: str) -> None:
    headers = {"X-Model": model, "X-Token-Counts": "100,20"}
    answer = run(context, context.entry.call("stream", headers=headers))
    assert answer.status == 503, answer


@then("the entry's next report tells of {rejected}")
def check_reported_refusal(context: Context, rejected: str) -> None:
    demand = build_entry_report(context.entry.state).model_demand
    found = [(each.rejected, each.objective_ms) for each in demand if each.rejected]
    assert found == ([] if rejected == "nothing refused" else [(1, 300)]), demand


@given('entries whose urgent callers were refused for "h" and whose patient callers wait for "g"')
def set_entries(context: Context) -> None:
    context.loads = {}


@when("one coordinator decides alone, and when another one follows it after the first load")
def play_takeover(context: Context) -> None:
    for takeover in (False, True):
        loop = VirtualTimeLoop()
        play = context.play = TakeoverPlay(loop, takeover=takeover)
        context.loads[takeover] = run_in_virtual_time(play.run(loads=3), loop)
        assert set(play.told) >= {"g", "h"} and min(play.told.values()) > 0, play.told


@then("both times the same models were loaded for the same reasons")
def check_same(context: Context) -> None:
    expected = [("e", ["c"], "urgent"), ("h", ["d"], "urgent"), ("g", ["h"], "patient")]
    assert context.loads == {False: expected, True: expected}, context.loads


@then("an entry without a coordinator has no forecast")
def check_no_forecast(context: Context) -> None:
    assert context.play.told_alone == {}, context.play.told_alone


@when("a coordinator decides with the mechanism {name} switched off")
def play_switched_off(context: Context, name: str) -> None:
    loop = VirtualTimeLoop()
    context.play = TakeoverPlay(loop, off=name)
    context.loads = run_in_virtual_time(context.play.run(loads=2), loop)


@then("refused requests and urgency don't count, and nothing is forecast")
def check_off(context: Context) -> None:
    assert [(model, urgency) for model, _, urgency in context.loads] == [("e", ""), ("g", "")]
    assert context.play.told == {}, context.play.told


@then("in {examples:d} random states a pruned search by urgency decides like a full one")
def check_like_full_search(context: Context, examples: int) -> None:
    decided = 0
    for seed in range(examples):
        problems = [_random_problem(random.Random(seed)) for _ in range(2)]
        pruned = next_swap(problems[0])
        with mock.patch.object(EngineHeadroom, "_min_loss", return_value=0.0):
            assert pruned == next_swap(problems[1]), seed
        decided += pruned is not None
        if pruned and not problems[0].is_urgent(pruned.model):
            kept = [name for name in pruned.victims if problems[0].is_urgent(name)]
            assert all(problems[0].has_spare_replica(name) for name in kept), (seed, pruned)
    assert decided > examples / 4, "too few of the random states lead to a decision"


def _random_problem(rng: random.Random) -> PlacementProblem:
    problem = random_problem(rng, engines=6, models=20)
    for engine in problem.engines:
        engine.prefill_factor = rng.choice((0.7, 1.0, 1.7))
    for demand in problem.demand.values():
        demand.objective_ms = rng.choice((URGENT_MS, PATIENT_MS))
        demand.rejected = rng.choice((0, 0, 2))
        demand.priority = rng.choice((0, 0, 1))
    return replace(problem, by_urgency=True, replicas={}, speeds={}, copies={})
