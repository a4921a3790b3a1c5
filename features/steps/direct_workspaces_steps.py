"""Steps for callers' API keys and their workspaces."""

import asyncio
import json
import os
from dataclasses import replace

import h11
from behave import given
from behave import then
from behave import when
from behave.runner import Context
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies

from harness.direct_entry import configuration
from harness.direct_entry import read_response
from harness.direct_target import PLAIN_BODY
from harness.direct_workspaces import KEYS
from harness.direct_workspaces import UNKNOWN_KEY
from harness.direct_workspaces import Keys
from harness.direct_workspaces import WorkspaceEntry
from harness.direct_workspaces import raw_request
from harness.direct_workspaces import with_workspaces
from harness.direct_workspaces import workspace
from harness.loop import run
from mimosaspur_coordination.workspaces.credentials import credential_digest
from mimosaspur_coordination.workspaces.credentials import read_bearer
from mimosaspur_coordination.workspaces.ranks import priority_of
from mimosaspur_coordination.workspaces.ranks import rank_table
from mimosaspur_daemon.direct.entryreport import build_entry_report
from mimosaspur_daemon.direct.taskstacks import task_stacks
from mimosaspur_protocol.configurationcodec import encode_configuration
from mimosaspur_protocol.peermessages import encode_peer
from mimosaspur_state.eventlog import EventLog

SEPARATOR = " / "
TOKEN_BYTES = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._~+/-")
CHANGES: dict[str, Keys] = {
    "n-1 is taken away": {"north": ("n-2",), "south": ("s-1",)},
    "n-1 is moved to south": {"north": ("n-2",), "south": ("s-1", "n-1")},
    "north is removed": {"south": ("s-1",)},
}


def _start(context: Context, *, public: bool) -> None:
    context.entry = WorkspaceEntry(public=public)
    run(context, context.entry.begin())


@given("a direct entry that serves workspaces")
def start_entry(context: Context) -> None:
    _start(context, public=False)


@given("a direct entry that serves workspaces, with public routes")
def start_public_entry(context: Context) -> None:
    _start(context, public=True)


@given(
    "whose configuration was last confirmed {age_ms:d} ms ago, with credentials trusted {trusted}"
)
def set_age(context: Context, age_ms: int, trusted: str) -> None:
    context.entry.confirm(age_ms=age_ms)
    trusted_ms = None if trusted == "for ever" else int(trusted.split()[1])
    state = context.entry.state
    state.settings = replace(state.settings, credential_max_age_ms=trusted_ms)


@when('a caller sends the headers "{headers}"')
def send_headers(context: Context, headers: str) -> None:
    context.answer = run(context, context.entry.send(headers.split(SEPARATOR)))


@when('a caller sends a chunked body with the trailer "{trailer}"')
def send_trailer(context: Context, trailer: str) -> None:
    body = "2\r\n{}\r\n0\r\n" + "".join(f"{line}\r\n" for line in trailer.split(SEPARATOR)) + "\r\n"
    lines = ["Authorization: Bearer n-1"]
    context.answer = run(context, context.entry.send(lines, body.encode(), chunked=True))


@when("a caller sends requests with the keys n-1, s-1, none and n-2 at once on one connection")
def send_at_once(context: Context) -> None:
    keys = ("n-1", "s-1", None, "n-2")
    requests = [raw_request([f"Authorization: Bearer {key}"] if key else []) for key in keys]

    async def send() -> list[int]:
        reader, writer = await context.entry.connect()
        writer.write(b"".join(requests))
        codec = h11.Connection(h11.CLIENT)
        statuses = []
        for _ in requests:
            codec.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
            codec.send(h11.EndOfMessage())
            while not isinstance(event := codec.next_event(), h11.EndOfMessage):
                if event is h11.NEED_DATA:
                    codec.receive_data(await reader.read(65_536))
                elif isinstance(event, h11.Response):
                    statuses.append(event.status_code)
            codec.start_next_cycle()
        writer.close()
        return statuses

    context.statuses = run(context, send())


@then("the answers have the status {statuses}")
def check_statuses(context: Context, statuses: str) -> None:
    wanted = [int(status) for status in statuses.replace(" and", ",").split(", ")]
    assert context.statuses == wanted, context.statuses


@then("the target has seen the workspaces {names}")
def check_seen_workspaces(context: Context, names: str) -> None:
    seen = [each.headers["x-workspace"] for each in context.entry.target.seen]
    assert seen == names.replace(" and", ",").split(", "), seen


@then("the caller gets its answer")
def check_answer(context: Context) -> None:
    assert (context.answer.status, context.answer.body) == (200, PLAIN_BODY), context.answer


@then("the caller gets {status:d} with code {code:d}")
def check_refusal(context: Context, status: int, code: int) -> None:
    assert context.answer.status == status, context.answer
    assert context.answer.body.startswith(f"{code} ".encode()), context.answer
    assert status == 401 or float(context.answer.headers["retry-after"]) > 0


@then("the target has seen {what}")
def check_seen(context: Context, what: str) -> None:
    seen = context.entry.target.seen
    if what == "nothing":
        assert not seen, seen
        return
    assert len(seen) == 1, seen
    headers = seen[0].headers
    name = None if what == "no workspace" else what.removeprefix("workspace ")
    assert headers.get("x-workspace") == name, headers
    assert seen[0].names.count("x-workspace") == (name is not None), seen[0].names
    assert "authorization" not in headers, headers
    assert not any(key in str(headers) for keys in KEYS.values() for key in keys), headers


@given("a caller whose connection has served a request with the key n-1")
def open_connection(context: Context) -> None:
    async def serve() -> None:
        context.reader, context.writer = await context.entry.connect()
        context.writer.write(raw_request(["Authorization: Bearer n-1"]))
        answer = await read_response(context.reader)
        assert answer.status == 200, answer

    run(context, serve())


@when("a version comes in force in which {change}")
def change_version(context: Context, change: str) -> None:
    changed = with_workspaces(CHANGES.get(change, {}), version=3)
    if change == "there are no workspaces":
        changed = replace(changed, workspaces=None)
    assert context.entry.state.apply_configuration(changed, source="test")


@when("the caller sends a request with the key n-1 on the same connection")
def send_again(context: Context) -> None:
    async def send() -> None:
        context.writer.write(raw_request(["Authorization: Bearer n-1"]))
        context.answer = await read_response(context.reader)
        context.writer.close()

    run(context, send())


@then("any credential is read as by splitting at blanks")
def check_any_credential(context: Context) -> None:
    pieces = strategies.sampled_from(
        [b"Bearer", b"bearer", b"Basic", b"n-1", b" ", b"  ", b"\t", b",", b"=", b"\x00", b"\xff"]
    )
    value = strategies.lists(pieces, max_size=6).map(b"".join) | strategies.binary(max_size=12)

    @settings(derandomize=True, database=None, max_examples=3000, deadline=None)
    @given_any(strategies.lists(value, max_size=3))
    def check(values: list[bytes]) -> None:
        assert read_bearer(values) == _read_bearer_by_splitting(values), values

    check()


def _read_bearer_by_splitting(values: list[bytes]) -> bytes | None:
    if len(values) != 1:
        return None
    stripped = values[0].strip(b" \t")
    scheme, blank, token = stripped.partition(b" ")
    token = token.lstrip(b" ")
    unpadded = token.rstrip(b"=")
    if scheme.lower() != b"bearer" or not blank or not unpadded or set(unpadded) - TOKEN_BYTES:
        return None
    return credential_digest(token)


@then("no key stands in the entry's log, metrics, stacks or messages to other entries")
def check_no_key(context: Context) -> None:
    state = context.entry.state
    read_end, write_end = os.pipe()
    log = EventLog("entry-0", fd=write_end)
    log.counters = state.log.counters
    state.log = log

    async def ask_all() -> None:
        for key in ("n-1", UNKNOWN_KEY):
            await context.entry.send([f"Authorization: Bearer {key}"])
        await asyncio.sleep(0)
        log.always("stacks", **task_stacks())

    run(context, ask_all())
    logged = os.read(read_end, 1_000_000)
    told = encode_peer(build_entry_report(state)) + encode_peer(
        encode_configuration(state.configuration)
    )
    shown = repr(state.configuration) + log.counters.render() + json.dumps(logged.decode())
    for keys in (*KEYS.values(), (UNKNOWN_KEY,)):
        for key in keys:
            assert key not in shown, key
            assert key.encode() not in told, key
    assert b"given_up" in logged and b"answered" in logged, logged


@given("workspaces of the priorities {workspaces} and routes of the priorities {routes}")
def set_priorities(context: Context, workspaces: str, routes: str) -> None:
    base = configuration()
    template = base.routes[0]
    context.routes = tuple(
        replace(template, name=f"r{number}", prefix=f"/{number}/", priority=int(priority))
        for number, priority in enumerate(routes.split())
    )
    context.workspaces = tuple(
        workspace(f"w{number}", (), priority=None if priority == "none" else int(priority))
        for number, priority in enumerate(workspaces.split())
    )
    context.configuration = replace(base, routes=context.routes, workspaces=context.workspaces)


@then("requests are ranked {ranks}, workspace by workspace")
def check_ranks(context: Context, ranks: str) -> None:
    table = rank_table(context.configuration, first=1, last=8)
    found = [
        table[priority_of(route, each)] for each in context.workspaces for route in context.routes
    ]
    assert found == [int(rank) for rank in ranks.split()], found
