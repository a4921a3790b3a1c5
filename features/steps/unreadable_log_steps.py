"""Steps that check what is logged of registrations that can't be read."""

import json
import tempfile
from pathlib import Path
from unittest.mock import patch

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness import direct_store
from harness.direct_registrations import SERVERS
from harness.direct_registrations import server_entry
from harness.direct_store import StoreStandIn
from harness.loop import run
from mimosaspur_platform.store import PlatformStore
from mimosaspur_state.clock import SystemClock
from mimosaspur_state.eventlog import EventLog

PAGE_SIZE = 500
# No limit, so that all lines count.
LINES_PER_S = 100_000


@given("a store with {count:d} registrations that each have {what}, and one sound one")
def make_store(context: Context, count: int, what: str) -> None:
    context.store = StoreStandIn()
    tail = "x" * 5_000 if what == "a long name" else ""
    context.names = [f"i-{number}{tail}" for number in range(count)]
    context.odd = server_entry() | ({} if tail else {"slots": -1})
    for name in context.names:
        context.store.put(SERVERS, name, context.odd)
    context.store.put(SERVERS, "sound", server_entry())


@when("the registrations are read from it {times:d} times, one changes in between")
def read_often(context: Context, times: int) -> None:
    path = Path(tempfile.mkdtemp()) / "log"

    async def read() -> None:
        with path.open("wb") as file:
            log = EventLog("entry-0", fd=file.fileno())
            store = PlatformStore(await context.store.start(), clock=SystemClock(), log=log)
            for number in range(times):
                if number == times - 1:
                    context.store.put(SERVERS, context.names[0], context.odd)
                context.listed.append(set((await store.list_targets()).targets))

    context.listed = []
    with (
        patch.object(direct_store, "PAGE_SIZE", PAGE_SIZE),
        patch("mimosaspur_state.eventlog.MAX_LINES_PER_KIND_PER_S", LINES_PER_S),
    ):
        run(context, read())
    context.lines = path.read_bytes().splitlines()


@then("each unreadable one is logged once for each change, in lines of at most {most:d} bytes")
def check_lines(context: Context, most: int) -> None:
    records = [json.loads(line) for line in context.lines if b"registration_unreadable" in line]
    assert len(records) == len(context.names) + 1, len(records)
    assert max(map(len, context.lines)) <= most


@then("the sound one is read each time")
def check_listed(context: Context) -> None:
    assert all(names == {"sound"} for names in context.listed)
