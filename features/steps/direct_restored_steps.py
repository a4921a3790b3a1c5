"""Steps of a store that is restored from an older copy."""

import asyncio
from dataclasses import replace
from typing import Any

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import null_log
from harness.direct_fleet import ManualClock
from harness.direct_registrations import SERVERS
from harness.direct_registrations import FollowingEntry
from harness.direct_registrations import server_entry
from harness.direct_registrations import store_with_servers
from harness.direct_site import Site
from harness.loop import run
from mimosaspur_coordination.fleetports import LeaseRecord
from mimosaspur_coordination.orderlease import OrderLease
from mimosaspur_coordination.storeera import StoreEra
from mimosaspur_state.errors import StoreUnavailable

LEASES = "mimosaspur-leases"
ADDRESS = ("127.0.0.1", 1)


@given("a store whose answers name the eras {eras}")
def note_eras(context: Context, eras: str) -> None:
    context.clock = ManualClock(1_000)
    context.log = null_log("entry-0")
    context.era = StoreEra(clock=context.clock, log=context.log)
    for each in eras.split(", "):
        context.clock.ms += 100
        context.era.update(None if each == "none" else each, asked_ms=context.clock.ms - 10)


@then("the era is {era:d}, with {lines:d} lines of code 4012")
def check_era(context: Context, era: int, lines: int) -> None:
    assert context.era.era == era
    counts = context.log.counters.counts
    errors = sum(count for (_, label), count in counts.items() if label == "4012")
    assert errors == lines, counts


@when("an answer of era 3 comes whose call was sent before the restore")
def note_late(context: Context) -> None:
    asked_ms = context.era.changed_ms - 10
    try:
        context.era.update("3", asked_ms=asked_ms)
    except StoreUnavailable as error:
        context.dropped = str(error)


@then("it is dropped, and the era is {era:d}")
def check_dropped(context: Context, era: int) -> None:
    assert context.dropped
    assert context.era.era == era


@given("an entry that follows a store of era {era:d} with three servers")
def start_following(context: Context, era: int) -> None:
    context.store = store_with_servers()
    context.store.era = str(era)
    context.entry = FollowingEntry(context.store)
    run(context, context.entry.start())


@when(
    "the store is restored to a copy without the last {lost:d} changes, and {made:d} others are"
    " made"
)
def restore_and_change(context: Context, lost: int, made: int) -> None:
    async def restore() -> None:
        store, fleet = context.store, context.entry.state.fleet
        copied = store.copy()
        for _ in range(lost):
            store.put(SERVERS, "i-0", server_entry())
        last = store.revision
        async with asyncio.timeout(2):
            while fleet.revision % (1 << 44) < last:
                await asyncio.sleep(0.02)
        context.lost = set()
        context.watching = asyncio.create_task(_record_lost(context))
        store.restore(copied, era=str(int(store.era) + 1))
        for number in range(made):
            store.put(SERVERS, "i-9" if not number else "i-1", server_entry())

    run(context, restore())


async def _record_lost(context: Context) -> None:
    while True:
        known = set(context.entry.state.fleet.targets)
        context.lost |= {"i-0", "i-1", "i-2"} - known
        await asyncio.sleep(0.01)


@then("within {ms:d} ms the entry knows the server {name} of these")
def check_known(context: Context, ms: int, name: str) -> None:
    async def wait() -> None:
        async with asyncio.timeout(ms / 1000):
            while name not in context.entry.state.fleet.targets:
                await asyncio.sleep(0.02)

    run(context, wait())


@then("it never lost a server that was registered all the time")
def check_none_lost(context: Context) -> None:
    async def settle() -> None:
        await asyncio.sleep(0.5)
        context.watching.cancel()
        await context.entry.stop()

    run(context, settle())
    assert not context.lost, context.lost


class _TokenRecorder:
    """Record the instances that coordinate with a proved lease, by token."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.holders: dict[int, set[str]] = {}

    async def watch(self) -> None:
        while True:
            for entry in self.site.entries:
                lease = entry.election.lease
                if entry.election.coordinator and lease.is_confirmed() and lease.record:
                    holders = self.holders.setdefault(lease.record.token, set())
                    holders.add(entry.state.settings.instance)
            await asyncio.sleep(0.005)


@given("a site of {count:d} entries that follow a store of era {era:d}")
def start_site(context: Context, count: int, era: int) -> None:
    async def start() -> None:
        site = context.site = Site(count)
        site.store.era = str(era)
        context.first_copy = site.store.copy()
        await site.start()
        context.tokens = _TokenRecorder(site)
        context.watching = asyncio.create_task(context.tokens.watch())

    run(context, start())
    context.add_cleanup(context.site.stop)


@when("the store is restored to a copy {copied}, and {who} {what}")
def restore_site(context: Context, copied: str, who: str, what: str) -> None:
    async def restore() -> None:
        site = context.site
        copies = [_copied(context, copied)]
        await asyncio.sleep(0.5)
        context.before = max(context.tokens.holders)
        if copied.endswith("twice"):
            copies *= 2
        for each in copies:
            era = str(int(site.store.era) + 1)
            site.store.restore(each, era=era)
            await asyncio.sleep(0.3)
        if who == "the coordinator":
            site.entries[0].kill()
        elif who == "all":
            for number in range(site.count):
                await site.restart(number)

    run(context, restore())


def _copied(context: Context, copied: str) -> Any:
    if copied == "from before the first lease":
        return context.first_copy
    store = context.site.store
    if copied == "that names an earlier holder":
        old = store.copy()
        lease = old.objects[LEASES]["orders"]["specification"]
        lease["holder"], lease["port"] = "entry-1", context.site.entries[1].election.address[1]
        return old
    return store.copy()


@then("within {ms:d} ms an entry coordinates under a token above all before")
def check_token(context: Context, ms: int) -> None:
    def found() -> bool:
        return bool(max(context.tokens.holders) > context.before)

    run(context, context.site.until(found, ms / 1000))


@then("no token was held by two instances")
def check_tokens(context: Context) -> None:
    context.watching.cancel()
    shared = {token: held for token, held in context.tokens.holders.items() if len(held) > 1}
    assert not shared, shared


@when("the store comes back {restored} and this instance takes it over at 10000 ms")
def take_forgotten(context: Context, restored: str) -> None:
    lease: OrderLease = context.lease
    now_ms = context.clock.now_ms()
    if context.predecessor == "another":
        lease.update_from_store(LeaseRecord("another", ADDRESS, 1, 1), asked_ms=now_ms)
    if context.predecessor == "me":
        lease.acquire(LeaseRecord("me", ADDRESS, 1, 1), asked_ms=now_ms, predecessor="")
    record = None
    if restored.startswith("with a lease"):
        named = "me" if restored.endswith("names it") else "another"
        record = LeaseRecord(named, ADDRESS, 1_000_000, 1, restored=True)
    lease.update_from_store(record, asked_ms=now_ms)
    assert not lease.is_holder()
    mine = replace(lease.next_record(ADDRESS), token=1_000_001)
    lease.acquire(mine, asked_ms=now_ms, predecessor=record.holder if record else "")


@given("a lease with a handover of {handover_ms:d} ms, which {holder} held before")
def hold_before(context: Context, handover_ms: int, holder: str) -> None:
    context.clock = ManualClock(10_000)
    context.lease = OrderLease("me", handover_ms=handover_ms, clock=context.clock)
    names = {"nobody": "", "another instance": "another", "this instance": "me"}
    context.predecessor = names[holder]


@then("its first order after the restore may go out at {first_ms:d} ms")
def check_first_order(context: Context, first_ms: int) -> None:
    assert context.lease.first_order_ms == first_ms, context.lease.first_order_ms
