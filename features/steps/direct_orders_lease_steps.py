"""Steps of the lease for orders to engines."""

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_fleet import ManualClock
from harness.ordered_engine import ADDRESS
from mimosaspur_coordination.fleetports import LeaseRecord
from mimosaspur_coordination.orderlease import OrderLease


@given("a lease with a handover of {handover_ms:d} ms that {predecessor} held")
def make_lease(context: Context, handover_ms: int, predecessor: str) -> None:
    context.clock = ManualClock(10_000)
    context.lease = OrderLease("me", handover_ms=handover_ms, clock=context.clock)
    names = {"nobody": "", "itself": "me", "itself, unsettled,": "me", "another": "other"}
    context.predecessor = names[predecessor]
    context.settled = predecessor == "itself"


@when("this instance takes it over at {at_ms:d} ms {knowledge}")
def take_over(context: Context, at_ms: int, knowledge: str) -> None:
    context.clock.ms = at_ms
    record = LeaseRecord("me", ADDRESS, 2, 7)
    context.lease.acquire(
        record, asked_ms=at_ms, predecessor=context.predecessor, settled=context.settled
    )
    if knowledge.startswith("told"):
        last_ms = int("".join(filter(str.isdigit, knowledge)))
        context.lease.on_predecessor_release(last_order_ms=last_ms)


@then("its first order may go out at {first_ms:d} ms")
def check_first_order(context: Context, first_ms: int) -> None:
    assert context.lease.first_order_ms == first_ms, context.lease.first_order_ms


@given("a lease that this instance took at {at_ms:d} ms")
def take_lease(context: Context, at_ms: int) -> None:
    make_lease(context, 3_000, "nobody")
    take_over(context, at_ms, "knowing nothing")


@when("nothing is heard of the store")
def hear_nothing(context: Context) -> None:
    pass


@when("the lease is read at {at_ms:d} ms")
def read_lease(context: Context, at_ms: int) -> None:
    context.lease.update_from_store(LeaseRecord("me", ADDRESS, 2, 7), asked_ms=at_ms)


@when("the lease is read at {at_ms:d} ms and another holds it")
def read_lost_lease(context: Context, at_ms: int) -> None:
    context.lease.update_from_store(LeaseRecord("other", ADDRESS, 3, 8), asked_ms=at_ms)


@when("another entry reads it, asked at {at_ms:d} ms")
def prove_by_other(context: Context, at_ms: int) -> None:
    context.lease.confirm_from_peer(holder="me", token=2, asked_ms=at_ms)


@when("another entry finds another holder, asked at {at_ms:d} ms")
def disprove_by_other(context: Context, at_ms: int) -> None:
    context.lease.confirm_from_peer(holder="other", token=3, asked_ms=at_ms)


@when("it announces its last order at {at_ms:d} ms")
def announce_last_order(context: Context, at_ms: int) -> None:
    context.clock.ms = at_ms
    context.lease.stop_orders()


@when("it reads the lease after it announced its last order")
def read_after_announcement(context: Context) -> None:
    context.lease.stop_orders()
    read_lease(context, 10_900)


@then("at {at_ms:d} ms it {may} order")
def check_may_order(context: Context, at_ms: int, may: str) -> None:
    context.clock.ms = at_ms
    assert context.lease.may_order() == (may == "may")
