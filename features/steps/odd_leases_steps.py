"""Steps that put another writer's objects in place of the lease and the record of versions."""

import asyncio

import msgspec
from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_registrations import SERVERS
from harness.direct_registrations import server_entry
from harness.loop import run

LEASES = "mimosaspur-leases"
VERSIONS = "mimosaspur-versions"
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
# A part of the time after which entries know all versions; a step may last 20 s.
LONG_S = 10.0


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


@then("no task of an entry has ended, and each logged what is unreadable at most once")
def check_bounded(context: Context) -> None:
    run(context, asyncio.sleep(READ_S))
    for entry in context.site.entries:
        ended = [task for task in entry.tasks if task.done()]
        assert not ended, ended
        counts = entry.store.store.log.counters.counts
        lines = sum(count for (_, label), count in counts.items() if label == "4017")
        assert lines <= 1, counts


def _recorded(context: Context) -> set[str]:
    stored = context.site.store.objects.get(VERSIONS, {}).get("services")
    specification = stored["specification"] if stored else None
    if not isinstance(specification, dict):
        return set()
    return set(specification.get("services", {}).get("models", {}))


@given("the store holds a record of versions when all entries start again")
def start_with_record(context: Context) -> None:
    async def start() -> None:
        site = context.site
        services = {"models": {"v1": True}}
        site.store.put(VERSIONS, "services", {"era": 1, "services": services})
        for number in range(site.count):
            await site.restart(number)
        histories = [each.state.stream_versions.history for each in site.entries]
        await site.until(lambda: any(each.state.coordinating for each in site.entries))
        await site.until(lambda: all(each.is_complete("models") for each in histories))

    run(context, start())


@when("the record is replaced by {odd}, and a software version joins")
def replace_record(context: Context, odd: str) -> None:
    async def replace() -> None:
        context.site.store.put(VERSIONS, "services", ODD[odd])
        context.site.store.put(SERVERS, "i-9", server_entry() | {"version": "v2"})

    run(context, replace())


@then("within {seconds:d} s the record names both versions")
def check_record(context: Context, seconds: int) -> None:
    run(context, context.site.until(lambda: _recorded(context) == {"v1", "v2"}, seconds))


@when("the record is replaced by {odd}, and all entries are killed")
def replace_and_kill(context: Context, odd: str) -> None:
    async def replace() -> None:
        context.site.store.put(VERSIONS, "services", ODD[odd])
        for number in range(context.site.count):
            await context.site.restart(number)
        await asyncio.sleep(LONG_S)

    run(context, replace())


@then("within {seconds:d} s the record names the version that serves")
def check_written(context: Context, seconds: int) -> None:
    run(context, context.site.until(lambda: _recorded(context) == {"v1"}, seconds))
