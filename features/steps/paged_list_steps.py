"""Steps for a list of the store that is read in several pages while objects change."""

from typing import Any
from unittest.mock import patch

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness import direct_store
from harness.direct_entry import null_log
from harness.direct_registrations import SERVERS
from harness.direct_registrations import server_entry
from harness.direct_store import StoreStandIn
from harness.loop import run
from mimosaspur_platform.store import PlatformStore
from mimosaspur_state.clock import SystemClock

PAGE_SIZE = 2
CHANGED = "i-0"
JOINED = "i-00"


class _ChangingStore(StoreStandIn):
    """Change a registration of the first page just before the second one is read."""

    def __init__(self, change: str) -> None:
        super().__init__()
        self.change = change

    def _list(self, kind: str, after: str) -> dict[str, Any]:
        if kind == SERVERS and after and self.change:
            change, self.change = self.change, ""
            if change == "goes":
                self.delete(SERVERS, CHANGED)
            elif change == "leaves":
                self.put(SERVERS, CHANGED, server_entry() | {"state": "draining"})
            else:
                self.put(SERVERS, JOINED, server_entry() | {"version": "v2"})
        return super()._list(kind, after)


@given("a store with two pages of registrations, of which one of the first page {change}")
def make_store(context: Context, change: str) -> None:
    context.store = _ChangingStore(change)
    for number in range(PAGE_SIZE + 1):
        context.store.put(SERVERS, f"i-{number}", server_entry())


@when("the list is read, which changes between the pages, and then watched from its revision")
def read_and_watch(context: Context) -> None:
    async def read() -> None:
        log = null_log("entry-0")
        store = PlatformStore(await context.store.start(), clock=SystemClock(), log=log)
        listing = await store.list_targets()
        context.targets = dict(listing.targets)
        changes = await store.watch_targets(listing.revision, wait_ms=0)
        for name in changes.removed:
            context.targets.pop(name, None)
        context.targets |= {record.identity: record for record in changes.changed}
        context.expected = (await store.list_targets()).targets

    with patch.object(direct_store, "PAGE_SIZE", PAGE_SIZE):
        run(context, read())


@then("what was read is what the store holds")
def check_targets(context: Context) -> None:
    differ = {
        name
        for name in context.targets.keys() | context.expected.keys()
        if context.targets.get(name) != context.expected.get(name)
    }
    assert not differ, differ
