"""Steps that check that one holder of the lease orders at a time."""

import itertools

from behave import then
from behave import when
from behave.runner import Context

from harness.succession_play import SuccessionPlay
from harness.succession_play import overlaps


@when(
    "{count:d} plays of three entries that contend for the lease are played from seed {seed:d} on"
)
def play_successions(context: Context, count: int, seed: int) -> None:
    context.orders = {number: SuccessionPlay(number).play() for number in range(seed, seed + count)}


@then("no entry orders within the handover time after another one, nor with a lower token")
def check_orders(context: Context) -> None:
    found = {seed: overlaps(orders) for seed, orders in context.orders.items()}
    broken = {seed: pairs[:2] for seed, pairs in found.items() if pairs}
    assert not broken, f"{len(broken)} of {len(found)} plays: {broken}"


@then("orders changed hands in half of the plays or more")
def check_changes(context: Context) -> None:
    changed = sum(
        any(before.entry != after.entry for before, after in itertools.pairwise(orders))
        for orders in context.orders.values()
    )
    assert changed >= len(context.orders) / 2, f"{changed} of {len(context.orders)}"
