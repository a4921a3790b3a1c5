"""Steps for idempotency keys and the claims on them."""

from functools import partial
from time import monotonic
from typing import Any

from behave import then
from behave import when
from behave.runner import Context

from harness.atmostonce_world import ENTRIES
from harness.atmostonce_world import TARGETS
from harness.atmostonce_world import BookingWorld
from harness.atmostonce_world import reported_outcome
from harness.caller import Reply
from harness.control import UNTIL_CLEARED
from harness.control import add_fault
from harness.control import clear_faults
from harness.control import injected_fault_count
from harness.control import wait_for
from harness.tables import table_rows
from mimosaspur_coordination.claimsweep import ClaimSweep
from mimosaspur_state import keys
from mimosaspur_state.clock import SystemClock

ANY_CLAIM = "/objects/claims"
SLOW_MS = 500
MAX_REFUSAL_MS = 1000
DEADLINE_WAIT_S = 1.6
DAY_MS = 86_400_000
OPTIONS: dict[str, dict[str, Any]] = {"slow": {"delay_ms": SLOW_MS}}


@when('the key "{key}" books "{body}" through "{entry}"')
def book_keyed(context: Context, key: str, body: str, entry: str) -> None:
    context.world.book(body, entry=entry, key=key).wait()


@when('the key "{key}" begins to book "{body}" through "{entry}"')
def begin_keyed(context: Context, key: str, body: str, entry: str) -> None:
    context.world.book(body, entry=entry, key=key)
    wait_for(partial(context.world.has_run, body), f"{body} runs")


@when('the key "{key}" begins to book "{body}" through "{entry}" within {deadline:d} ms')
def begin_slow(context: Context, key: str, body: str, entry: str, deadline: int) -> None:
    context.world.book(body, entry=entry, key=key, deadline_ms=deadline)
    wait_for(lambda: injected_fault_count(context.world.site.api) > 0, "the claim is asked for")


@when('the key "{key}" books "{body}" {count:d} times at once through both entries')
def book_at_once(context: Context, key: str, body: str, count: int) -> None:
    world = context.world
    context.group = [
        world.book(body, entry=ENTRIES[number % len(ENTRIES)], key=key) for number in range(count)
    ]


@when('the key "{key}" books a text of {size:d} bytes through "{entry}"')
def book_text(context: Context, key: str, size: int, entry: str) -> None:
    context.long_text = "x" * size
    context.world.book(context.long_text, entry=entry, key=key).wait()


@then("one of them was answered and the others were told it is in progress or its answer")
def check_group(context: Context) -> None:
    replies = [booking.wait() for booking in context.group]
    answered = [reply for reply in replies if reply.status == 200]
    others = [reply for reply in replies if reply.status != 200]
    first = [reply for reply in answered if "idempotent-replayed" not in reply.headers]
    assert len(first) == 1, [(reply.status, reply.body) for reply in replies]
    for reply in others:
        error = reply.error()
        assert error["name"] == "CLAIM_IN_PROGRESS", error
        assert error["outcome"] == "unknown" and reply.headers["retry-after"], error


@then('"{body}" ran {count:d} times')
def check_runs(context: Context, body: str, count: int) -> None:
    context.world.await_idle()
    assert context.world.runs(body) == count, context.world.runs(body)


@then("the text ran {count:d} times")
def check_text(context: Context, count: int) -> None:
    assert context.world.runs(context.long_text) == count, context.world.runs(context.long_text)


@then("it was a replay")
def check_replay(context: Context) -> None:
    assert context.world.last_reply().headers.get("idempotent-replayed") == "true"


@then("the booking was refused as not run with {name}")
def check_refused(context: Context, name: str) -> None:
    check_error(context.world.last_reply(), name, "not_run")


@then("the booking's outcome is {outcome} with {name}")
def check_outcome(context: Context, outcome: str, name: str) -> None:
    check_error(context.world.last_reply(), name, outcome)


@then("the booking's outcome is unknown")
def check_unknown(context: Context) -> None:
    reply = context.world.last_reply()
    assert reported_outcome(reply) == "unknown", (reply.status, reply.body)


@then("keyed bookings are refused so under each outage of the claims, and run once after it:")
def check_outages(context: Context) -> None:
    world = context.world
    for row in table_rows(context):
        order_claims_fault(context, row["fault"])
        for key in ("first", "second"):
            world.book(f"{key} {row['fault']}", key=f"{key}-{row['fault']}").wait()
            check_error(world.last_reply(), "PLATFORM_DOWN", "not_run")
            assert int(world.last_reply().headers["retry-after"]) >= 1
            took_ms = world.bookings[-1].call.duration_ms()
            assert took_ms <= int(row[key]), (row["fault"], key, took_ms)
        order_claims_fault(context, "nothing")
        for key in ("first", "second"):
            body = f"{key} {row['fault']}"
            book_again(context, f"{key}-{row['fault']}", body)
            check_runs(context, body, 1)


@when('the claim of "{key}" is older than its request\'s deadline')
def age_claim(context: Context, key: str) -> None:
    _age(context.world, key, DAY_MS)


@when("the object API's claims suffer {fault}")
def order_claims_fault(context: Context, fault: str) -> None:
    api = context.world.site.api
    clear_faults(api)
    if fault != "nothing":
        more = OPTIONS.get(fault, {})
        add_fault(api, fault, match=ANY_CLAIM, count=UNTIL_CLEARED, **more)


@when("the services start again")
def start_services(context: Context) -> None:
    context.world.start_services()


@then('the key "{key}" is answered when it books "{body}" again')
def book_again(context: Context, key: str, body: str) -> None:
    def answered() -> bool:
        reply = context.world.book(body, entry="entry-1", key=key).wait()
        return reported_outcome(reply) == "answer"

    # Until then it is refused as not run or in progress, both of which permit a retry.
    wait_for(answered, f"{key} is answered")


@when("the targets are frozen until it has been claimed and its deadline has passed")
def pause_targets_past_deadline(context: Context) -> None:
    world = context.world
    # The claim is stored while its response waits at the paused target.
    for name in TARGETS:
        world.site.pause(name)
    store = world.site.store()
    wait_for(lambda: store.get(keys.claim("k")) is not None, "the claim is stored")
    world.last_reply()
    wait_for(
        lambda: monotonic() > world.bookings[-1].call.sent_at + DEADLINE_WAIT_S, "the deadline"
    )


@when("the frozen targets go on")
def resume_targets(context: Context) -> None:
    for name in TARGETS:
        context.world.site.resume(name)


@then('the claim of "{key}" is released')
def check_released(context: Context, key: str) -> None:
    store = context.world.site.store()
    wait_for(lambda: store.get(keys.claim(key)) is None, f"the claim of {key} is released")


@when("the targets may write {rate:d} times a second")
def limit_writes(context: Context, rate: int) -> None:
    site = context.world.site
    for name in TARGETS:
        site.kill(name)
        site.daemons[name].settings["platform"]["writes_per_second"] = rate
        site.restart(name)
    for entry in ENTRIES:
        served = partial(_served, context.world, entry)
        wait_for(served, f"{entry} reaches the targets")


@when("{count:d} keyed bookings come at once")
def book_many(context: Context, count: int) -> None:
    world = context.world
    context.group = [world.book(f"many {number}", key=f"{number}") for number in range(count)]


@then("some were answered and the others refused at once as not run with {name}")
def check_rate(context: Context, name: str) -> None:
    replies = [(booking, booking.wait()) for booking in context.group]
    refused = [(booking, reply) for booking, reply in replies if reply.status != 200]
    assert 0 < len(refused) < len(replies), len(refused)
    for booking, reply in refused:
        check_error(reply, name, "not_run")
        assert reply.headers["retry-after"]
        assert booking.call.duration_ms() < MAX_REFUSAL_MS, booking.call.duration_ms()


@when("the second target is killed")
def kill_second(context: Context) -> None:
    context.world.site.kill(TARGETS[1])


@then("all are refused at once as not run with {name}")
def check_all_refused(context: Context, name: str) -> None:
    for booking in context.group:
        check_error(booking.wait(), name, "not_run")
        assert booking.call.duration_ms() < MAX_REFUSAL_MS, booking.call.duration_ms()


@then("each that was answered ran once and no other")
def check_each(context: Context) -> None:
    context.world.await_idle()
    for booking in context.group:
        context.world.check_reported_outcome(booking)


@when("{old:d} claims are old and {new:d} are new")
def make_claims(context: Context, old: int, new: int) -> None:
    world = context.world
    world.book("kept", key="new-0").wait()
    store = world.site.store()
    found = store.get(keys.claim("new-0"))
    aged = {**found.value, "at_ms": found.value["at_ms"] - 2 * DAY_MS}
    for number in range(1, new):
        store.create(keys.claim(f"new-{number}"), found.value)
    # The planner's own sweep may remove some of them first.
    for number in range(old):
        store.create(keys.claim(f"old-{number}"), aged)


@then("a sweep removes at most {most:d} claims a step and the old ones within {steps:d} steps")
def check_sweep(context: Context, most: int, steps: int) -> None:
    store = context.world.site.store()
    sweep = ClaimSweep(
        store, SystemClock(), retention_ms=DAY_MS, page_size=most, holds_lease=lambda: True
    )
    for _ in range(steps):
        before = len(store.list(keys.CLAIMS).objects)
        sweep.sweep_page()
        assert before - len(store.list(keys.CLAIMS).objects) <= 2 * most
    left = [found.key for found in store.list(keys.CLAIMS).objects]
    assert sorted(left) == [keys.claim(f"new-{number}") for number in range(3)], left


@when("the claim of a new one is older than a day")
def age_new(context: Context) -> None:
    _age(context.world, "new-1", 2 * DAY_MS)


@then("the planner's entry removes it")
def check_swept(context: Context) -> None:
    store = context.world.site.store()
    wait_for(lambda: store.get(keys.claim("new-1")) is None, "the old claim is gone")
    assert store.get(keys.claim("new-2")) is not None


def check_error(reply: Reply, name: str, outcome: str) -> None:
    """Check an error's name and outcome, and that the message agrees with it."""
    error = reply.error()
    assert (error["name"], error["outcome"]) == (name, outcome), (reply.status, error)
    assert outcome == "not_run" or "Not run" not in error["message"], error


def _age(world: BookingWorld, key: str, by_ms: int) -> None:
    store = world.site.store()
    found = store.get(keys.claim(key))
    assert found
    store.update(found.key, {**found.value, "at_ms": found.value["at_ms"] - by_ms}, found.version)


def _served(world: BookingWorld, entry: str) -> bool:
    return reported_outcome(world.book("ready again?", entry=entry).wait()) == "answer"
