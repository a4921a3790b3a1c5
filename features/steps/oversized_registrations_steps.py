"""Steps that check what objects that are too large to be used do to an entry."""

import asyncio
import json
import random
import time
import tracemalloc
from typing import Any

import msgspec
from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_registrations import SERVERS
from harness.direct_registrations import FollowingEntry
from harness.direct_registrations import configuration_entry
from harness.direct_registrations import server_entry
from harness.direct_registrations import store_with_servers
from harness.loop import run
from harness.oversized import generated_list
from harness.oversized import oversized_specification
from mimosaspur_platform.objectcutter import CUT_VALUE
from mimosaspur_platform.objectcutter import LIST_DEPTH
from mimosaspur_platform.objectcutter import ObjectCutter

MB = 1_000_000
# Comes last on the first page of the stand-in, so that the list goes on after it.
LARGE = "i-0-large"
PIECE_BYTES = 65_536
ENDLESS = {
    "text": (b'{"note":"', b"x" * PIECE_BYTES),
    "brackets": (b"[", b"[" * PIECE_BYTES),
    "models": (b'{"models":[', b'{"name":"notes","adapters":["a1","a2"]},' * 1_600),
    "numbers": (b"[", b"1234567,8.5e3," * 4_600),
}


@given("a store with three servers and a registration of {mb:d} MB with {what}")
def make_store(context: Context, mb: int, what: str) -> None:
    context.store = store_with_servers()
    context.store.put(SERVERS, LARGE, oversized_specification(what, mb * MB))


@given("a registration of {mb:d} MB with {what} stands in the store")
def register_large(context: Context, mb: int, what: str) -> None:
    async def register() -> None:
        context.store.put(SERVERS, LARGE, oversized_specification(what, mb * MB))
        # The entries that read the store for themselves have read it.
        await asyncio.sleep(2)

    run(context, register())


@given("a store with three servers and an object of {mb:d} MB beside the configuration")
def make_configurations(context: Context, mb: int) -> None:
    context.store = store_with_servers()
    specification = oversized_specification("an unknown field", mb * MB)
    context.store.put("config", "another", specification)


@when("an entry starts to follow it")
def start_entry(context: Context) -> None:
    context.entry = FollowingEntry(context.store)
    run(context, context.entry.start())
    context.add_cleanup(lambda: run(context, context.entry.stop()))
    context.state = context.entry.state


@then("the entry knows the three servers, not the large one, and version 4")
def check_known(context: Context) -> None:
    assert set(context.state.fleet.targets) == {"i-0", "i-1", "i-2"}
    assert context.state.configuration.version == 4


@when("a registration of {mb:d} MB with {what} comes, changes and goes")
def change_large(context: Context, mb: int, what: str) -> None:
    async def change() -> None:
        for more in (0, 8):
            context.store.put(SERVERS, LARGE, oversized_specification(what, mb * MB + more))
            await asyncio.sleep(1)
        context.store.delete(SERVERS, LARGE)

    run(context, change())


@then("within {limit_ms:d} ms it knows that a server leaves now, and version {version:d}")
def check_follows(context: Context, limit_ms: int, version: int) -> None:
    async def follow() -> None:
        context.store.put("config", "main", configuration_entry(version))
        context.store.put(SERVERS, "i-1", server_entry("draining"))
        async with asyncio.timeout(limit_ms / 1000):
            while not _is_known(context.state, version):
                await asyncio.sleep(0.01)

    run(context, follow())


def _is_known(state: Any, version: int) -> bool:
    leaving: bool = state.fleet.targets["i-1"].record.leaving
    return leaving and state.configuration.version == version


@then("the large one is known by no entry, and no call was unanswered")
def check_answers(context: Context) -> None:
    assert LARGE not in context.state.fleet.targets
    counts = context.entry.log.counters.counts
    assert ("store_call", "unanswered") not in counts, counts


@then("no task of the entry has ended")
def check_tasks(context: Context) -> None:
    assert not [task for task in context.entry.tasks if task.done()]


@when("{mb:d} MB of a list are read whose first registration never ends, of {what}")
def read_endless(context: Context, mb: int, what: str) -> None:
    start, piece = ENDLESS[what]
    cutter = ObjectCutter(depth=LIST_DEPTH, limit=MB)
    context.longest_s = 0.0
    tracemalloc.start()
    cutter.feed(b'{"items":[{"metadata":{"name":"i-0"},"specification":' + start)
    for _ in range(mb * MB // len(piece)):
        begun_s = time.process_time()
        cutter.feed(piece)
        context.longest_s = max(context.longest_s, time.process_time() - begun_s)
    context.used_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()


@then("no more than {mb:d} MB were in use, and no part took longer than {limit_ms:d} ms")
def check_memory(context: Context, mb: int, limit_ms: int) -> None:
    assert context.used_bytes <= mb * MB, context.used_bytes
    assert context.longest_s * 1000 <= limit_ms, context.longest_s


@when("{count:d} generated lists are read in generated pieces")
def read_generated(context: Context, count: int) -> None:
    context.read = []
    for seed in range(count):
        chance = random.Random(seed)
        items, body = generated_list(chance)
        cutter = ObjectCutter(depth=LIST_DEPTH, limit=100)
        kept = b""
        while body:
            size = chance.choice([1, 2, 7, 50, 1_000])
            kept += cutter.feed(body[:size])
            body = body[size:]
        context.read.append((seed, items, json.loads(kept)))


@then("each has its sound objects unchanged, and marks in place of the large ones")
def check_generated(context: Context) -> None:
    mark = msgspec.json.decode(CUT_VALUE)
    cut = 0
    for seed, items, kept in context.read:
        assert len(items) == len(kept["items"]) and kept["at"] == 7, seed
        for item, passed in zip(items, kept["items"], strict=True):
            text = json.dumps(item["specification"], ensure_ascii=False, separators=(",", ":"))
            expected = item if len(text.encode()) <= 100 else item | {"specification": mark}
            cut += passed["specification"] == mark
            assert passed == expected, seed
    assert cut > len(context.read) // 10, cut
