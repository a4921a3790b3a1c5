"""Steps for turns to send suspected requests."""

from behave import then
from behave import when
from behave.runner import Context
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies

from harness.turn_simulation import Fault
from harness.turn_simulation import TurnSimulation

MAX_EXAMPLES = 40
# Faults are rare beside the arrivals, so that what they leave behind has time to show.
MAX_ARRIVALS = 15
MAX_FAULTS = 6
SEED = 7


@then(
    "in any play of {entries:d} entries at most {most:d} copy is under way while all follow one"
    " coordinator"
)
def check_any_play(context: Context, entries: int, most: int) -> None:
    faults = strategies.tuples(
        strategies.integers(0, entries - 1),
        strategies.sampled_from(list(Fault)),
        strategies.integers(1, MAX_ARRIVALS),
    )

    @settings(max_examples=MAX_EXAMPLES, derandomize=True, database=None, deadline=None)
    @given_any(strategies.lists(faults, max_size=MAX_FAULTS), strategies.integers(0, 1000))
    def play(plan: list[tuple[int, Fault, int]], seed: int) -> None:
        # Faults end with a calm time, which shows what they leave behind.
        simulation = TurnSimulation(entries, seed=seed)
        simulation.play([*plan, (0, Fault.NOTHING, 2 * MAX_ARRIVALS)])
        assert simulation.most_settled <= most, (plan, seed, simulation.most_settled)

    play()


@when("{entries:d} entries have {copies:d} copies in turn")
def play_calm(context: Context, entries: int, copies: int) -> None:
    context.turn_simulation = TurnSimulation(entries, seed=SEED)
    context.turn_simulation.play([(0, Fault.NOTHING, copies)])


@then("a copy was sent at least {least:d} times, and none waited longer than {ms:d} ms")
def check_calm(context: Context, least: int, ms: int) -> None:
    simulation = context.turn_simulation
    print(f"MEASURED {simulation.sent} sent, {simulation.rejected} rejected")
    assert simulation.sent >= least, simulation.sent
    assert simulation.longest_wait_ms <= ms, simulation.longest_wait_ms
    assert simulation.most_settled == 1, simulation.most_settled
