"""Steps of targets' restarts, and of registrations that other writers left in the store."""

import asyncio
import json
import re
from typing import Any

import msgspec
from behave import given
from behave import then
from behave import when
from behave.runner import Context
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies

from harness.direct_registrations import SERVERS
from harness.direct_registrations import STARTED_MS
from harness.direct_registrations import FollowingEntry
from harness.direct_registrations import server_entry
from harness.loop import run
from mimosaspur_coordination.fleetview import Prompt
from mimosaspur_platform import decode
from mimosaspur_platform.wire import Metadata
from mimosaspur_platform.wire import StoredObject

KNOWN = {"i-0", "i-1", "i-2"}
STRANGER = "i-stranger"
# Longer than an entry's pause between two watches.
SETTLE_S = 1.0
MAX_EXAMPLES = 300
JSON = strategies.recursive(
    strategies.none() | strategies.booleans() | strategies.integers() | strategies.text(),
    lambda inner: strategies.lists(inner) | strategies.dictionaries(strategies.text(), inner),
)


def _entry(what: str) -> Any:
    wholes = {"an empty entry": {}, "a list instead of an entry": [1], "a number instead": 7}
    for text, whole in wholes.items():
        if what.startswith(text):
            return whole
    entry = server_entry()
    if without := re.fullmatch(r'an entry without "(\w+)"', what):
        del entry[without[1]]
    elif changed := re.fullmatch(r'an entry with "(\w+)" as (.*)', what):
        entry[changed[1]] = json.loads(changed[2])
    return entry


def _write(context: Context, what: str) -> None:
    stored = context.store.put(SERVERS, STRANGER, _entry(what))
    if what == "an object without a name":
        del stored["metadata"]["name"]


@when("{what} is written among the registrations while it runs")
def write_later(context: Context, what: str) -> None:
    _write(context, what)
    run(context, asyncio.sleep(SETTLE_S))


@when("{what} is written among the registrations before its start")
def write_before(context: Context, what: str) -> None:
    run(context, context.entry.stop())
    _write(context, what)
    address = context.entry.address
    context.entry = FollowingEntry(context.store)
    context.entry.address = address
    run(context, context.entry.start())
    context.state = context.entry.state


@then("the entry knows the three servers and no other, and says once what it couldn't read")
def check_known(context: Context) -> None:
    assert set(context.state.fleet.targets) == KNOWN, set(context.state.fleet.targets)
    counted = context.entry.log.counters.render()
    unreadable = re.findall(r"^\S*_unreadable\S* (\d+)$", counted, re.MULTILINE)
    assert unreadable == ["1"], counted


@when("the entry of a server is overwritten with a list")
def overwrite(context: Context) -> None:
    context.store.put(SERVERS, "i-1", [1, 2])
    run(context, asyncio.sleep(1.0))


@then("the entry knows the two other servers")
def check_two(context: Context) -> None:
    assert set(context.state.fleet.targets) == KNOWN - {"i-1"}


@then("no JSON value as an entry raises anything but a decoding error")
def check_any_entry(context: Context) -> None:
    fields = strategies.fixed_dictionaries(
        {}, optional={name: JSON | strategies.just(value) for name, value in server_entry().items()}
    )

    @settings(max_examples=MAX_EXAMPLES, derandomize=True, database=None, deadline=None)
    @given_any(JSON | fields)
    def decoded(value: Any) -> None:
        specification = msgspec.Raw(msgspec.json.encode(value))
        stored = StoredObject(Metadata("x"), specification)
        try:
            record = decode.target_record(stored)
        except (ValueError, msgspec.MsgspecError):
            return
        assert record.address[0].count(".") == 3
        assert 0 < record.address[1] < 65_536

    decoded()


@given("it has learnt that a server is slow, failing, and what prompts it has read")
def learn(context: Context) -> None:
    view = context.view = context.state.fleet.targets["i-1"]
    prompt = Prompt("notes", prompt_tokens=10, parts=(("p", 5), ("own", 5)))
    view.on_first_token(prompt, unread=10, predicted_ms=50, took_ms=400)
    view.health.record_failure()
    context.pool = context.state.pool(view.record)


@when("the server registers with a start that is {start}")
def register_again(context: Context, start: str) -> None:
    change = {"later": 1, "the same": 0, "earlier": -1}[start]
    context.store.put(SERVERS, "i-1", {**server_entry(), "born": STARTED_MS + change})
    run(context, asyncio.sleep(1.0))


@then("what was learnt of it is {learnt}, and its connections are {connections}")
def check_learnt(context: Context, learnt: str, connections: str) -> None:
    view = context.state.fleet.targets["i-1"]
    assert (view is context.view) == (learnt == "kept")
    assert (bool(view.prompt_parts) and view.health.last_failure_share > 0) == (learnt == "kept")
    assert (context.state.pool(view.record) is context.pool) == (connections == "kept")
