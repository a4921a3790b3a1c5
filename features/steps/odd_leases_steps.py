"""Steps that put another writer's object in place of the coordinator's lease."""

import asyncio

import msgspec
from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.loop import run

LEASES = "mimosaspur-leases"
SOUND = {"holder": "other", "ip": "127.0.0.1", "port": 9, "token": 1}
ODD = {
    "a lease of nobody": SOUND,
    "a text": "no { lease",
    "an empty object": {},
    "a deeply nested value": msgspec.Raw(b"[" * 100_000 + b"]" * 100_000),
    "fields of other types": {"holder": 7, "ip": [], "port": "x", "token": None},
    "a token beyond all": SOUND | {"token": msgspec.Raw(b"9" * 30)},
    "a port beyond all": SOUND | {"port": 99_999},
    "an address with a zero": SOUND | {"ip": "127.0.0.1\0"},
    "a holder of 300000 bytes": SOUND | {"holder": "x" * 300_000},
}
# Time in which an entry reads the lease again and again.
READ_S = 2.0


@given("the store has made {count:d} changes")
def raise_revision(context: Context, count: int) -> None:
    context.site.store.revision += count


@when("the lease is replaced by {odd}, and {who} {what}")
def replace_lease(context: Context, odd: str, who: str, what: str) -> None:
    async def replace() -> None:
        site = context.site
        context.before = max(context.tokens.holders)
        if who == "all":
            for entry in site.entries:
                entry.kill()
        elif who == "the coordinator":
            site.entries[0].kill()
            site.entries[0].tasks.clear()
        site.store.put(LEASES, "orders", ODD[odd])
        if who == "all":
            for number in range(site.count):
                await site.restart(number)

    run(context, replace())


@then("no lower token came after a higher one")
def check_order(context: Context) -> None:
    tokens = list(context.tokens.holders)
    assert tokens == sorted(tokens), tokens


@then("no task of an entry has ended, and each logged the lease as unreadable at most once")
def check_bounded(context: Context) -> None:
    run(context, asyncio.sleep(READ_S))
    for entry in context.site.entries:
        ended = [task for task in entry.tasks if task.done()]
        assert not ended, ended
        counts = entry.store.store.log.counters.counts
        lines = sum(count for (_, label), count in counts.items() if label == "4017")
        assert lines <= 1, counts
