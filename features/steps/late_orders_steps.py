"""Steps of engines that carry out orders late, restart, and change their coordinators."""

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.late_order_play import UNANSWERED_COUNT
from harness.late_order_play import Event
from harness.late_order_play import LateOrderPlay
from harness.late_order_play import Step
from harness.late_order_play import random_steps
from harness.virtual_time import VirtualTimeLoop
from harness.virtual_time import run_in_virtual_time
from mimosaspur_state.policy import Mechanism
from mimosaspur_state.policy import Policy

# Loads nothing but what is waited for.
ON_DEMAND = Policy(frozenset({Mechanism.ADAPTER_PRELOAD, Mechanism.WEIGHT_COPIES}))
# Three orders, after which a load finds room without an unload.
THREE_ORDERS = [
    Step(wanted=("a",), wait_ms=600),
    Step(wanted=("a", "b"), wait_ms=700),
    Step(wanted=("a",), adapters=1, wait_ms=500),
]
UNANSWERED = Step(Event.LATE_ORDERS, orders=UNANSWERED_COUNT, wanted=("a", "b", "c"), wait_ms=500)
ANSWERED_AGAIN = Step(Event.LATE_ORDERS, orders=0, wait_ms=1)
OTHERS_WANTED = Step(wanted=("a", "b", "d"), wait_ms=5_000)
EVENTS = {
    "nothing happens": [],
    "the engine starts again": [Event.RESTART],
    "its registration lapses and the engine starts again": [Event.RESTART_AFTER_LAPSE],
    "its registration lapses, comes back and the engine starts again": [
        Event.LAPSE,
        Event.RESTART,
    ],
    "another entry coordinates and the engine starts again": [Event.HANDOVER, Event.RESTART],
    "the engine starts again and another entry coordinates": [Event.RESTART, Event.HANDOVER],
    "the coordinator starts again and the engine starts again": [
        Event.COORDINATOR_RESTART,
        Event.RESTART,
    ],
    "the engine starts again and the coordinator starts again": [
        Event.RESTART,
        Event.COORDINATOR_RESTART,
    ],
    "two other entries coordinate in turn, its registration lapses and the engine starts again": [
        Event.HANDOVER,
        Event.HANDOVER,
        Event.RESTART_AFTER_LAPSE,
    ],
}
# Of a generated play.
EPISODES = 3


def play(steps: list[Step], *, engines: int, policy: Policy) -> LateOrderPlay:
    """Play steps in virtual time."""
    loop = VirtualTimeLoop()
    result = LateOrderPlay(loop, engines=engines, policy=policy)
    run_in_virtual_time(result.run(steps), loop)
    return result


@given(
    "an engine with room for three models that has accepted three orders and leaves a load"
    " unanswered"
)
def set_first_steps(context: Context) -> None:
    context.play_steps = [*THREE_ORDERS, UNANSWERED, ANSWERED_AGAIN]


@when("three models are wanted that leave no room for the unanswered one")
def want_others(context: Context) -> None:
    context.play_steps.append(OTHERS_WANTED)
    context.play = play(context.play_steps, engines=1, policy=ON_DEMAND)


@when("after it {event}")
def set_events(context: Context, event: str) -> None:
    wanted = OTHERS_WANTED.wanted
    context.play_steps += [Step(each, wanted=wanted, wait_ms=300) for each in EVENTS[event]]


@then("no engine was ordered to hold more than it has room for")
def check_room(context: Context) -> None:
    assert not context.play.overcommitted(), context.play.accepted("engine-0")


@then(
    "in {plays:d} generated plays from seed {first:d}, {engines:d} engines and {models:d} models,"
    " none is ordered to hold more than it has room for"
)
def check_generated_plays(
    context: Context, plays: int, first: int, engines: int, models: int
) -> None:
    broken: dict[tuple[int, str], list[str]] = {}
    for seed in range(first, first + plays):
        steps = random_steps(seed, engines=engines, models=models, episodes=EPISODES)
        result = play(steps, engines=engines, policy=ON_DEMAND)
        broken |= {(seed, each): result.accepted(each)[-8:] for each in result.overcommitted()}
    assert not broken, broken
