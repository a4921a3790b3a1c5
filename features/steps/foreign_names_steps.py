"""Steps that check what the names of other writers' registrations do to an entry."""

import asyncio
import json
import os
from urllib.parse import parse_qs
from urllib.parse import urlsplit

import h11
from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import REQUEST_KINDS
from harness.direct_entry import DirectEntry
from harness.direct_target import ScriptedTarget
from harness.direct_target import read_request
from harness.loop import run
from mimosaspur_platform.store import PlatformStore
from mimosaspur_state.clock import SystemClock
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.eventlog import EventLog

SPECIFICATION = {
    "service": "s",
    "address": "127.0.0.1:9",
    "zone": "z",
    "version": "v1",
    "state": "ready",
    "slots": 4,
    "cold_remaining_ms": 0,
    "sequence": 1,
}
UNREADABLE = b'{"metadata":{"name":"\\ud800","revision":3},"specification":null}'


def _stored(name: str) -> bytes:
    body = {"metadata": {"name": name, "revision": 3}, "specification": SPECIFICATION}
    return json.dumps(body).encode()


class PagedStore:
    """Answer lists of registrations in two pages, and anything else with 400."""

    def __init__(self, first: list[bytes], *, after: str) -> None:
        self.first = first
        self.after = after

    async def start(self) -> tuple[str, int]:
        """Listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        return host, port

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        codec = h11.Connection(h11.SERVER)
        try:
            while (request := await read_request(codec, reader)) is not None:
                status, body = self._answer(request[0].target.decode())
                lines = [(b"Content-Length", b"%d" % len(body))]
                writer.write(codec.send(h11.Response(status_code=status, headers=lines)) or b"")
                writer.write(codec.send(h11.Data(data=body)) or b"")
                codec.send(h11.EndOfMessage())
                codec.start_next_cycle()
        except (OSError, h11.ProtocolError):
            pass
        finally:
            writer.close()

    def _answer(self, target: str) -> tuple[int, bytes]:
        query = parse_qs(urlsplit(target).query, errors="surrogatepass")
        if not query:
            return 200, b'{"items":[%s],"at":7,"has_more":true}' % b",".join(self.first)
        if query == {"after": [self.after]}:
            return 200, b'{"items":[%s],"at":7}' % _stored("i-2")
        return 400, b"{}"


class RepeatingStore(PagedStore):
    """Answer each list with the first page."""

    def _answer(self, target: str) -> tuple[int, bytes]:
        return super()._answer(urlsplit(target).path)


@given('a direct entry before a sound target that is registered once more as "{name}"')
def register_odd(context: Context, name: str) -> None:
    async def start() -> None:
        context.entry = DirectEntry()
        address = await ScriptedTarget("i-1", "answers at once").start()
        context.entry.add("i-1", address)
        context.entry.add(name.encode().decode("unicode_escape"), address)
        await context.entry.start()

    run(context, start())


@when("callers send it {count:d} requests")
def send_many(context: Context, count: int) -> None:
    async def send() -> None:
        kinds = [route for route, _, _ in REQUEST_KINDS.values()]
        context.statuses = [
            (await context.entry.call(kinds[number % len(kinds)])).status for number in range(count)
        ]

    run(context, send())


@then("none is answered 500")
def check_statuses(context: Context) -> None:
    assert 500 not in context.statuses, context.statuses
    assert 200 in context.statuses, context.statuses


@given("a store whose first page of registrations holds only objects without a readable name")
def make_unreadable_page(context: Context) -> None:
    context.store = PagedStore([UNREADABLE], after="\ud800")


@given('a store whose first page of registrations ends with the name "{name}"')
def make_page(context: Context, name: str) -> None:
    context.store = PagedStore([_stored("i-1"), _stored(name)], after=name)


@given("a store that answers each list with its first page")
def make_repeating(context: Context) -> None:
    context.store = RepeatingStore([_stored("i-1")], after="")


@then("the list ends with an error that names the store")
def check_error(context: Context) -> None:
    assert "StoreUnavailable" in context.listed, context.listed


@when("the registrations are read from it")
def read_registrations(context: Context) -> None:
    async def read() -> None:
        log = EventLog("entry-0", fd=os.open(os.devnull, os.O_WRONLY))
        store = PlatformStore(await context.store.start(), clock=SystemClock(), log=log)
        try:
            context.listed = set((await store.list_targets()).targets)
        except (StoreUnavailable, h11.ProtocolError) as error:
            context.listed = repr(error)

    run(context, read())


@then("the sound targets of the second page are listed")
def check_listed(context: Context) -> None:
    assert "i-2" in context.listed, context.listed
