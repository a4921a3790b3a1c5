"""Steps for lists of targets that are too long for a message between entries."""

import asyncio
from typing import Any
from unittest.mock import patch

import msgspec
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_registrations import SERVERS
from harness.direct_registrations import server_entry
from harness.loop import run
from mimosaspur_state.eventlog import EventLog

# As of the platform's store.
PAGE_SIZE = 500
ADAPTERS = [f"adapter-{number:016}" for number in range(9_000)]
# As many characters as a name may have, of four bytes each.
NAME = "\U0001f680" * 256
ODD_FIELDS: dict[str, dict[str, Any]] = {
    "adapters of 250 KB": {"models": [{"name": "notes", "version": 1, "adapters": ADAPTERS}]},
    "names of 1 KB": {"service": NAME, "zone": NAME, "version": NAME},
}


@when("{count:d} registrations with {what} come")
def register(context: Context, count: int, what: str) -> None:
    specification = msgspec.Raw(msgspec.json.encode(server_entry() | ODD_FIELDS[what]))
    context.store.page_size = PAGE_SIZE
    context.odd = [f"odd-{number}" for number in range(count)]

    async def come() -> None:
        for name in context.odd:
            context.store.put(SERVERS, name, specification)

    run(context, come())


@when("they go again")
def remove(context: Context) -> None:
    async def go() -> None:
        for name in context.odd:
            context.store.delete(SERVERS, name)

    run(context, go())


@then("within {limit_ms:d} ms all entries know them all")
def check_all_known(context: Context, limit_ms: int) -> None:
    def known() -> bool:
        odd = set(context.odd)
        return all(odd <= each.state.fleet.targets.keys() for each in context.site.entries)

    run(context, context.site.until(known, limit_ms / 1000))


@then("within {limit_ms:d} ms the followers know the three servers, and rely on the coordinator")
def check_told_again(context: Context, limit_ms: int) -> None:
    def told() -> bool:
        return all(
            set(each.state.fleet.targets) == {"i-0", "i-1", "i-2"}
            and each.state.freshness.coordinator_is_fresh()
            for each in context.site.entries[1:]
        )

    run(context, context.site.until(told, limit_ms / 1000))


@when("the coordinator is killed, and another one follows")
def replace_coordinator(context: Context) -> None:
    site = context.site
    living = site.entries[1:]

    def followed() -> bool:
        coordinators = [each.election.coordinator for each in living]
        return any(each and len(each.members.members) == len(living) for each in coordinators)

    site.entries[0].kill()
    del site.entries[0]
    run(context, site.until(followed))


@then("in the next {seconds:d} s no link ends at a message that is too long")
def check_links(context: Context, seconds: int) -> None:
    # A link may end at a time-out, too: all entries run in this process, which may be late.
    errors: list[str] = []
    write = EventLog.write

    def record(log: EventLog, kind: str, **fields: Any) -> None:
        if kind == "coordinator_lost":
            errors.append(fields["error"])
        write(log, kind, **fields)

    calls = context.store.calls
    with patch.object(EventLog, "write", record):
        run(context, asyncio.sleep(seconds))
    print(f"MEASURED {context.store.calls - calls} calls to the store in {seconds} s, {errors}")
    assert not [each for each in errors if "size limit" in each], errors
