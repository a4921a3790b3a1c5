"""Steps that check what is known of orders whose answers come as their time passes."""

from collections import Counter

from behave import then
from behave import when
from behave.runner import Context

from harness.order_answer_play import OrderAnswerPlay
from mimosaspur_state.fleet import OrderOutcome

LEAST_ACCEPTED = 20


@when("{count:d} orders that are answered as their time passes are played from seed {seed:d} on")
def play_orders(context: Context, count: int, seed: int) -> None:
    context.orders = {
        number: OrderAnswerPlay(number).play() for number in range(seed, seed + count)
    }


@then("each load that an engine accepted is known, or kept as one that may be carried out")
def check_orders(context: Context) -> None:
    lost = {seed: order for seed, order in context.orders.items() if order.is_lost()}
    assert not lost, f"{len(lost)} of {len(context.orders)}: {lost}"


@then("orders were answered, left unanswered and cut off")
def check_variety(context: Context) -> None:
    seen = Counter(order.outcome for order in context.orders.values() if order.accepted)
    for outcome in (OrderOutcome.ACCEPTED, OrderOutcome.UNKNOWN, None):
        assert seen[outcome] >= LEAST_ACCEPTED, seen
