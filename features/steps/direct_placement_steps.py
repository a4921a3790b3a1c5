"""Steps for model placement decisions."""

import random
import re
from unittest import mock

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies

from harness.direct_entry import engine_spec
from harness.direct_entry import model_spec
from harness.placement_fleets import large_problem
from harness.placement_fleets import random_problem
from harness.placement_oracle import full_next_copy
from harness.placement_oracle import full_next_swap
from mimosaspur_coordination.engineheadroom import EngineHeadroom
from mimosaspur_coordination.modeldemand import Demand
from mimosaspur_coordination.modelplacement import PlacementSearch
from mimosaspur_coordination.modelplacement import next_copy
from mimosaspur_coordination.modelplacement import next_swap
from mimosaspur_coordination.placementproblem import EngineSnapshot
from mimosaspur_coordination.placementproblem import PlacementProblem
from mimosaspur_coordination.placementproblem import Swap
from mimosaspur_coordination.weightcopies import load_source
from mimosaspur_state.routes import EngineSpec

MODELS = "abcdefgh"
SPEC = engine_spec([model_spec(name) for name in MODELS])
# Three models fit only without full adapter slots; g is larger than any engine.
TIGHT_SPEC = engine_spec(
    [model_spec(name, adapter_mb=2_000.0) for name in "abcdef"]
    + [model_spec("g", weights_mb=230_000.0), model_spec("h", weights_mb=140_000.0)],
    weights_mb=215_000.0,
)
MAX_EXAMPLES = 300


def _engine(text: str) -> EngineSnapshot:
    name, _, rest = text.strip().partition(":")
    free_in = re.search(r"free in (\d+) ms", rest)
    disk = re.search(r"disk ((?:\w )*\w)(?: free|$)", rest)
    loads = re.search(r"loads (\w)", rest)
    held = re.sub(r"(disk|loads|free|just|leaving|limited).*", "", rest)
    residents = re.findall(r"\b[a-z]\b", held)
    return EngineSnapshot(
        name,
        dict.fromkeys(residents, 0),
        int(free_in[1]) if free_in else 9_000 if loads else 0,
        usable="leaving" not in rest and "limited" not in rest,
        leaving="leaving" in rest,
        limited="limited" in rest,
        loading=loads[1] if loads else "",
        recent=frozenset(residents) if "just came" in rest else frozenset(),
        on_disk=tuple(disk[1].split()) if disk else (),
    )


@given("the engines {text}")
def set_engines(context: Context, text: str) -> None:
    context.engines = [_engine(part) for part in text.split(";")]
    context.demand = {}


@given("the demand {text}")
def set_demand(context: Context, text: str) -> None:
    objectives = getattr(context, "objectives", {})
    for name, objective_ms in objectives.items():
        context.demand[name] = Demand(objective_ms=objective_ms)
    for part in text.split(", "):
        *names, amount = part.split()
        for name in names:
            if name == "waits":
                continue
            waits = int(amount) if "waits" in names else 0
            tokens = 0.0 if waits or amount == "nothing" else float(amount)
            context.demand[name] = Demand(
                fast_tokens=tokens, waiting=waits, objective_ms=objectives.get(name, 0.0)
            )


@given("over a longer time {text} tokens a second are asked for")
def set_slow_demand(context: Context, text: str) -> None:
    for part in text.split(", "):
        *names, tokens = part.split()
        for name in names:
            context.demand.setdefault(name, Demand()).slow_tokens = float(tokens)


@given("each model's requests allow {objective} ms to the first event")
def set_objectives(context: Context, objective: str) -> None:
    context.objectives = dict.fromkeys(MODELS, 800.0)
    for part in objective.split(", "):
        model, objective_ms = part.split()
        context.objectives[model] = float(objective_ms)


@when("the next load is decided, {rate}")
def decide(context: Context, rate: str) -> None:
    store_free = rate == "the store is free"
    problem = PlacementProblem(
        SPEC,
        context.engines,
        context.demand,
        store_load_allowed=store_free,
        stream_ms=getattr(context, "stream_ms", 0.0),
        streams=getattr(context, "streams", {}),
    )
    context.swap = next_swap(problem)


@given("streams last {stream_ms:d} ms")
def set_stream_ms(context: Context, stream_ms: int) -> None:
    context.stream_ms = float(stream_ms)


@given("requests run: {text}")
def set_running(context: Context, text: str) -> None:
    for part in text.split(", "):
        name, count = part.split()
        engine = next(each for each in context.engines if each.identity == name)
        engine.residents = dict.fromkeys(engine.residents, int(count))


@then("the load is {decision}, and the unload before it is foreseen to wait {wait_ms:d} ms")
def check_wait(context: Context, decision: str, wait_ms: int) -> None:
    check_decision(context, decision)
    assert context.swap.unload_ms == wait_ms, context.swap


@when("a load for a copy is decided {when}")
def decide_copy(context: Context, when: str) -> None:
    problem = PlacementProblem(
        SPEC,
        context.engines,
        context.demand,
        idle=when.startswith("before anybody asked"),
        preloaded={"h"} if "tried before" in when else (),
    )
    context.swap = next_copy(problem)


@then("the load is {decision}")
def check_decision(context: Context, decision: str) -> None:
    swap = context.swap
    if decision == "none":
        assert swap is None, swap
        return
    model, _, identities = decision.partition(" on ")
    assert swap is not None
    assert (swap.model, swap.identity in identities.split(" or ")) == (model, True), swap


@given("an engine that has {copies} in memory, and {disk} on its disk")
def set_copies(context: Context, copies: str, disk: str) -> None:
    context.engine = EngineSnapshot(
        "x", {}, 0, in_memory=tuple(_names(copies)), on_disk=tuple(_names(disk))
    )


@when('"{model}" is to be loaded after {victims} have been unloaded')
def find_source(context: Context, model: str, victims: str) -> None:
    found = load_source(SPEC, context.engine, SPEC.models[model], _names(victims))
    context.model, context.source = SPEC.models[model], found


@then("its weights are expected from {source}")
def check_source(context: Context, source: str) -> None:
    seconds = {
        "memory": context.model.memory_load_s,
        "disk": context.model.disk_load_s,
        "the weight store": context.model.load_s,
    }
    assert context.source == (seconds[source], source == "the weight store"), context.source


def _names(text: str) -> list[str]:
    return [] if text == "nothing" else text.split()


@then('"{model}" makes room')
def check_victim(context: Context, model: str) -> None:
    assert context.swap is not None and context.swap.victims == (model,), context.swap


@then("no decision from any state orders more than an engine has room for")
def check_any(context: Context) -> None:
    names = strategies.sampled_from(MODELS)
    engines = strategies.lists(
        strategies.builds(
            EngineSnapshot,
            identity=strategies.uuids().map(str),
            residents=strategies.dictionaries(names, strategies.integers(0, 3), max_size=3),
            free_in_ms=strategies.sampled_from([0, 0, 500]),
            on_disk=strategies.lists(names, unique=True).map(tuple),
            recent=strategies.frozensets(names, max_size=1),
        ),
        max_size=4,
    )
    demands = strategies.dictionaries(
        names,
        strategies.builds(
            Demand,
            fast_tokens=strategies.floats(0, 40_000),
            slow_tokens=strategies.floats(0, 10_000),
            waiting=strategies.integers(0, 5),
        ),
    )

    @settings(max_examples=MAX_EXAMPLES, derandomize=True, database=None, deadline=None)
    @given_any(engines, demands)
    def check(engines: list[EngineSnapshot], demand: dict[str, Demand]) -> None:
        for spec in (SPEC, TIGHT_SPEC):
            for decide_one in (next_swap, next_copy):
                swap = decide_one(PlacementProblem(spec, engines, demand))
                if swap:
                    _check_fits(spec, engines, swap)

    check()


def _check_fits(spec: EngineSpec, engines: list[EngineSnapshot], swap: Swap) -> None:
    engine = next(each for each in engines if each.identity == swap.identity)
    remaining = set(engine.residents) - set(swap.victims)
    assert not engine.free_in_ms
    assert swap.model not in engine.residents
    assert not set(swap.victims) & engine.recent, "a recently loaded model is a victim"
    models_mb = sum(spec.models[name].weights_mb for name in remaining | {swap.model})
    adapters_mb = spec.adapter_slots * max(each.adapter_mb for each in spec.models.values())
    assert models_mb + adapters_mb <= spec.weights_mb


@given("g has waited for {long_ms:d} ms and h for {short_ms:d} ms, h with more requests")
def set_waits(context: Context, long_ms: int, short_ms: int) -> None:
    context.demand = {
        "g": Demand(waiting=1, waiting_ms=long_ms),
        "h": Demand(waiting=3, waiting_ms=short_ms),
    }
    problem = PlacementProblem(SPEC, context.engines, context.demand)
    assert next_swap(problem) is None


@when("the engine is free")
def free_engine(context: Context) -> None:
    context.engines[0].free_in_ms = 0
    context.swap = next_swap(PlacementProblem(SPEC, context.engines, context.demand))


@then("g is loaded first")
def check_first(context: Context) -> None:
    assert context.swap is not None and context.swap.model == "g", context.swap


@then(
    "{examples:d} random states of {engines:d} engines and {models:d} models lead to the same"
    " decisions"
)
def check_like_full_search(context: Context, examples: int, engines: int, models: int) -> None:
    decided = 0
    for seed in range(examples):
        problem = random_problem(random.Random(seed), engines=engines, models=models)
        search = PlacementSearch(problem)
        swap, copy = search.next_swap(), search.next_copy()
        problem.reserved_engines.clear()
        assert swap == full_next_swap(problem), seed
        problem.reserved_engines.clear()
        assert copy == full_next_copy(problem), seed
        decided += bool(swap) + bool(copy)
    assert decided > examples / 4, "too few of the random states lead to a decision"


@given("{engines:d} engines of {models:d} models, {why}")
def set_large_fleet(context: Context, engines: int, models: int, why: str) -> None:
    context.problem = large_problem(why, engines=engines, models=models)


@when("loads are decided")
def decide_large(context: Context) -> None:
    search = PlacementSearch(context.problem)
    victims = EngineHeadroom.victims
    with mock.patch.object(EngineHeadroom, "victims", autospec=True, side_effect=victims) as tried:
        context.decided = [search.next_swap(), search.next_copy()]
    context.tried = tried.call_count


@then("nothing is begun and at most {most:d} engines were tried for a model")
def check_tried(context: Context, most: int) -> None:
    assert context.decided == [None, None], context.decided
    assert context.tried <= most, context.tried
