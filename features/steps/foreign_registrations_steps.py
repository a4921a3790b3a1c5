"""Steps that check what registrations of other writers do to an entry."""

import asyncio
import json
import os
from collections.abc import Callable
from typing import Any
from unittest.mock import patch

import msgspec
from behave import then
from behave import when
from behave.runner import Context
from hypothesis import HealthCheck
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from mimosaspur_coordination.fleetview import FleetView
from mimosaspur_daemon.direct.storechanges import target_message
from mimosaspur_platform.store import PlatformStore
from mimosaspur_protocol.peermessages import StoreUpdate
from mimosaspur_state.clock import SystemClock
from mimosaspur_state.eventlog import EventLog
from mimosaspur_state.fleet import TargetRecord

SOUND = {
    "service": "s",
    "address": "127.0.0.1:9",
    "zone": "z",
    "version": "v1",
    "state": "ready",
    "slots": 4,
    "cold_remaining_ms": 0,
    "sequence": 1,
}
DEEP = b"[" * 2_000 + b"]" * 2_000
# Specifications as bytes: a store returns what was written.
UNREADABLE = (
    b'{"service":"s","note":"\\ud800"}',
    b'{"service":"s","note":"\xff\xfe"}',
    b'{"service":"s","note":' + DEEP + b"}",
    DEEP,
    b'{"note":"}]\\"{["}',
    b"null",
    b"7",
    b'"text"',
    b"[]",
    b'{"slots":1e999}',
)
ODD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(min_value=2**63),
    st.integers(max_value=-1),
    st.just("0.0.0.0:9"),
    st.just("224.0.0.1:9"),
    st.just("127.0.0.1:+9"),
    st.just("127.0.0.1:٣"),
    st.just("x" * 100_000),
    st.lists(st.integers(), min_size=1, max_size=2),
    st.dictionaries(st.text(max_size=2), st.integers(), min_size=1, max_size=2),
)
# Values of another type or out of range; an unknown service or zone is no fault by itself.
FIELD_NAMES = st.sampled_from([*SOUND, "models", "born"])
RECORDS = st.builds(
    TargetRecord,
    identity=st.sampled_from(["a", "b", "c"]),
    service=st.sampled_from(["s", "t", "foreign"]),
    address=st.sampled_from([("127.0.0.1", 1), ("127.0.0.1", 2)]),
    failure_domain=st.sampled_from(["x", "y"]),
    leaving=st.booleans(),
    started_ms=st.integers(0, 2),
    version=st.sampled_from(["v1", "v2"]),
)
STEPS = st.lists(st.one_of(RECORDS, st.sampled_from(["a", "b", "c"])), max_size=12)


@when(
    "{count:d} generated sequences of registrations and removals are applied to a view of the fleet"
)
def apply_sequences(context: Context, count: int) -> None:
    @settings(max_examples=count, deadline=None, derandomize=True)
    @given_any(STEPS)
    def check(steps: list[TargetRecord | str]) -> None:
        view = FleetView(clock=SystemClock())
        model: dict[str, TargetRecord] = {}
        for step in steps:
            if isinstance(step, str):
                view.update([], [step])
                model.pop(step, None)
            else:
                view.update([step], [])
                known = model.get(step.identity)
                if known is None or step.started_ms >= known.started_ms:
                    model[step.identity] = step
            _check_view(view, model)

    context.check = check


def _check_view(view: FleetView, model: dict[str, TargetRecord]) -> None:
    assert {name: each.record for name, each in view.targets.items()} == model
    listed = [(service, name) for service, views in view.by_service.items() for name in views]
    assert sorted(listed) == sorted((each.service, name) for name, each in model.items())


@then("after each step the view holds just what was registered, each target under its service")
def check_sequences(context: Context) -> None:
    context.check()


@st.composite
def odd_specifications(draw: Any) -> bytes:
    """Return a specification that names no target."""
    if draw(st.booleans()):
        return draw(st.sampled_from(UNREADABLE))  # type: ignore[no-any-return]
    name = draw(FIELD_NAMES)
    if name in SOUND and draw(st.booleans()):
        return json.dumps({key: value for key, value in SOUND.items() if key != name}).encode()
    odd = draw(ODD_VALUES)
    return json.dumps(SOUND | {name: odd}).encode()


LISTS = st.lists(st.one_of(st.none(), odd_specifications()), max_size=5)


@when("{count:d} generated lists of registrations, sound and foreign ones, are read from the store")
def read_lists(context: Context, count: int) -> None:
    def read(store: PlatformStore, items: list[bytes]) -> list[TargetRecord]:
        page = b'{"items":[' + b",".join(items) + b'],"at":7,"has_more":false}'
        with _answering(store, page):
            return list(asyncio.run(store.list_targets()).targets.values())

    _read_all(context, count, read)


@when("{count:d} generated lists of changes, sound and foreign ones, are read from the store")
def read_changes(context: Context, count: int) -> None:
    def read(store: PlatformStore, items: list[bytes]) -> list[TargetRecord]:
        events = [b'{"object":' + item + b',"deleted":false}' for item in items]
        answer = b'{"events":[' + b",".join(events) + b'],"at":7}'
        with _answering(store, answer):
            return list(asyncio.run(store.watch_targets(1, wait_ms=1)).changed)

    _read_all(context, count, read)


def _read_all(
    context: Context, count: int, read: Callable[[PlatformStore, list[bytes]], list[TargetRecord]]
) -> None:
    log = EventLog("entry-0", fd=os.open(os.devnull, os.O_WRONLY))
    context.read = []

    @settings(
        max_examples=count,
        deadline=None,
        derandomize=True,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given_any(LISTS)
    def check(specifications: list[bytes | None]) -> None:
        items = []
        sound = set()
        for number, odd in enumerate(specifications):
            specification = json.dumps(SOUND).encode() if odd is None else odd
            metadata = b'{"name":"i-%d","revision":3}' % number
            items.append(b'{"metadata":%s,"specification":%s}' % (metadata, specification))
            if odd is None:
                sound.add(f"i-{number}")
        store = PlatformStore(("127.0.0.1", 1), clock=SystemClock(), log=log)
        records = read(store, items)
        # A field that may be missing, or of any text, makes no registration foreign.
        names = {record.identity for record in records}
        assert sound <= names, (sound - names, specifications)
        for record in records:
            context.read.append(record)
            if record.identity in sound:
                assert (record.service, record.address, record.slots) == (
                    "s",
                    ("127.0.0.1", 9),
                    4,
                )
            else:
                assert record.service and record.address[1] == 9, record

    context.check = check


def _answering(store: PlatformStore, answer: bytes) -> Any:
    async def call(*_: object, **__: object) -> tuple[int, bytes]:
        return 200, answer

    return patch.object(PlatformStore, "_call", call)


@then("each list names the sound targets, unchanged, and no foreign one")
def check_lists(context: Context) -> None:
    context.check()


@then("each registration that was read can be told to other entries")
def check_messages(context: Context) -> None:
    assert context.read
    messages = [target_message(record) for record in context.read]
    update = StoreUpdate(0, 1, is_complete=True, targets=messages, removed=[])
    msgspec.msgpack.encode(update)
