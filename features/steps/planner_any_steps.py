"""Steps for the planner's invariants in any order of events."""

from collections import Counter

import msgspec
from behave import given
from behave import then
from behave import when
from behave.runner import Context
from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from harness.planner_bundles import MB_PER_GB
from harness.planner_bundles import read_bundle
from harness.planner_world import SimulatedRegion
from mimosaspur_coordination.fit import check_fit
from mimosaspur_state.bundle import AdapterEntry
from mimosaspur_state.bundle import Bundle
from mimosaspur_state.bundle import ModelEntry
from mimosaspur_state.errors import MimosaspurError

EXAMPLES = 60
ROUNDS = 400
ANY_ORDER_SETTINGS = settings(
    derandomize=True,
    database=None,
    max_examples=EXAMPLES,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
# No shrinking: it would take minutes, and the message shows the whole state.
CONVERGENCE_SETTINGS = settings(
    ANY_ORDER_SETTINGS, max_examples=4 * EXAMPLES, phases=(Phase.explicit, Phase.generate)
)


def entries_of(accelerators: int) -> st.SearchStrategy[ModelEntry]:
    return st.builds(
        ModelEntry,
        st.sampled_from("abcdef"),
        st.sampled_from("123"),
        st.integers(1, 5).map(lambda size: size * MB_PER_GB),
        accelerators=st.integers(1, min(2, accelerators)),
        replicas=st.integers(1, 2),
        priority=st.integers(0, 3),
    )


def any_bundle(accelerators: int) -> st.SearchStrategy[Bundle]:
    entries = entries_of(accelerators)
    several = st.lists(entries, min_size=1, max_size=5, unique_by=lambda entry: entry.name)
    return several.map(lambda found: Bundle("any", tuple(found)))


def bundles_of(accelerators: int) -> list[st.SearchStrategy[Bundle]]:
    return [any_bundle(accelerators), any_bundle(accelerators)]


def capacities_of(accelerators: int) -> st.SearchStrategy[list[tuple[int, ...]]]:
    sizes = st.integers(4, 10).map(lambda size: size * MB_PER_GB)
    target = st.lists(sizes, min_size=1, max_size=accelerators).map(tuple)
    return st.lists(target, min_size=2, max_size=4)


BUNDLES = any_bundle(2)
CAPACITIES = capacities_of(3)


def fits(bundle: Bundle, in_force: Bundle | None, world: SimulatedRegion) -> bool:
    try:
        check_fit(bundle, in_force, [target.status() for target in world.targets.values()])
    except MimosaspurError:
        return False
    return True


def sizes_match_by_version(bundles: list[Bundle]) -> bool:
    sizes: dict[str, tuple[int, int]] = {}
    for bundle in bundles:
        for model in bundle.models:
            size = (model.memory_mb, model.accelerators)
            if sizes.setdefault(model.resident_id(), size) != size:
                return False
    return True


def apply_random_event(world: SimulatedRegion, data: st.DataObject, bundles: list[Bundle]) -> None:
    names = sorted(world.targets)
    kind = data.draw(st.sampled_from(["plan", "plan", "answer", "report", "kill", "drain", "roll"]))
    if kind == "plan":
        changes = world.run_planner()
        for change in data.draw(st.permutations(changes)):
            if data.draw(st.booleans()):
                world.apply_change(change)
    elif kind == "answer":
        world.apply_records(data.draw(st.sampled_from(names)))
    elif kind == "report":
        world.write_status(data.draw(st.sampled_from(names)))
    elif kind == "kill" and not world.dead:
        world.dead.add(data.draw(st.sampled_from(names)))
    elif kind == "drain" and not world.draining:
        world.draining.add(data.draw(st.sampled_from(names)))
    elif kind == "roll" and bundles:
        world.roll(bundles.pop())


@then("a plan in any order keeps the last replicas, the limits and the memory")
def step_any_order(context: Context) -> None:
    @ANY_ORDER_SETTINGS
    @given_any(st.data(), CAPACITIES, st.lists(BUNDLES, min_size=1, max_size=3), st.integers(1, 3))
    def run(
        data: st.DataObject,
        capacities: list[tuple[int, ...]],
        bundles: list[Bundle],
        at_once: int,
    ) -> None:
        if not sizes_match_by_version(bundles):
            return
        world = SimulatedRegion(capacities, at_once)
        left = list(bundles)
        world.roll(left.pop())
        for _ in range(data.draw(st.integers(5, 40))):
            apply_random_event(world, data, left)

    run()


def roll_both(world: SimulatedRegion, first: Bundle, second: Bundle, counted: Counter[str]) -> None:
    """Roll two bundles that pass the fit check until each is ready; count those that pass."""
    in_force = None
    for which, bundle in (("first", first), ("second", second)):
        if not fits(bundle, in_force, world):
            return
        counted[which] += 1
        world.roll(bundle)
        assert world.run_until_ready(ROUNDS), f"the {which} bundle never got ready: {world.records}"
        in_force = bundle


@then("a plan that passed the check ends with every model ready on up to {accelerators:d} a target")
def step_converges(context: Context, accelerators: int) -> None:
    counted = Counter(first=0, second=0)

    @CONVERGENCE_SETTINGS
    @given_any(capacities_of(accelerators), *bundles_of(accelerators), st.integers(1, 3))
    def run(capacities: list[tuple[int, ...]], first: Bundle, second: Bundle, at_once: int) -> None:
        world = SimulatedRegion(capacities, at_once)
        if sizes_match_by_version([first, second]):
            roll_both(world, first, second, counted)

    run()
    assert min(counted.values()) >= EXAMPLES // 4, f"too few runs passed the fit check: {counted}"


def with_adapters(bundle: Bundle, versions: list[int]) -> Bundle:
    """Give each model up to two adapters, each with its version number as its size in GB."""
    models = []
    for number, model in enumerate(bundle.models):
        own = versions[2 * number : 2 * number + 2]
        adapters = tuple(
            AdapterEntry(f"{model.name}-{place}", str(version), version * MB_PER_GB)
            for place, version in enumerate(own)
            if version
        )
        models.append(msgspec.structs.replace(model, adapters=adapters))
    return Bundle("any", tuple(models))


@then("a plan that passed the check ends with every model ready where only adapters change")
def step_adapters_converge(context: Context) -> None:
    counted = Counter(first=0, second=0)
    versions = st.lists(st.integers(0, 2), min_size=10, max_size=10)

    @CONVERGENCE_SETTINGS
    @given_any(CAPACITIES, BUNDLES, versions, versions, st.integers(1, 3))
    def run(
        capacities: list[tuple[int, ...]],
        bundle: Bundle,
        old: list[int],
        new: list[int],
        at_once: int,
    ) -> None:
        world = SimulatedRegion(capacities, at_once)
        first = with_adapters(bundle, old)
        second = with_adapters(bundle, new)
        roll_both(world, first, second, counted)

    run()
    assert min(counted.values()) >= EXAMPLES // 4, f"too few runs passed the fit check: {counted}"


@given('a plan for a region of "{sizes}" with {at_once:d} loads at once')
def step_region(context: Context, sizes: str, at_once: int) -> None:
    capacities = [
        tuple(int(gb) * MB_PER_GB for gb in target.split("/")) for target in sizes.split()
    ]
    context.world = SimulatedRegion(capacities, at_once)


@given('a plan that ended with "{text}" ready')
def step_first_ready(context: Context, text: str) -> None:
    context.in_force = read_bundle(text)
    assert fits(
        context.in_force, None, context.world
    ), "the first bundle doesn't pass the fit check"
    context.world.roll(context.in_force)
    assert context.world.run_until_ready(ROUNDS), f"first bundle not ready: {context.world.records}"


@when('a plan goes on to "{text}" if it passes the check')
def step_second(context: Context, text: str) -> None:
    bundle = read_bundle(text)
    if not fits(bundle, context.in_force, context.world):
        context.end = "is refused"
        return
    context.world.roll(bundle)
    ready = context.world.run_until_ready(ROUNDS)
    context.end = "ends ready" if ready else f"second bundle not ready: {context.world.records}"


@then("a plan for it {end}")
def step_end(context: Context, end: str) -> None:
    assert context.end == end, context.end
