"""Steps of the platform's store and settings file."""

import asyncio
import os
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_registrations import SERVERS
from harness.direct_registrations import FollowingEntry
from harness.direct_registrations import configuration_entry
from harness.direct_registrations import server_entry
from harness.direct_registrations import store_with_servers
from harness.direct_site import Site
from harness.direct_site import SiteEntry
from harness.loop import run
from mimosaspur_platform.settings import read_settings
from mimosaspur_state.directsettings import DirectSettings

EXAMPLE = {
    "node_name": "frontend-1",
    "ip": "10.1.0.38",
    "zone": "north",
    "listen.front": "10.1.0.38:8149",
    "listen.ready": "10.1.0.38:8141",
    "platform.address": "10.200.1.7:8142",
    "internal_port_range": "7380,7395",
    "limits.memory_mb": "300",
    "bounds.grace_s": "8",
    "bounds.lease_ms": "3000",
    "bounds.retry_budget_ratio": "0.2",
    "a.new.field": "ignored",
}


@given("an entry that follows a store with three servers and a configuration")
def follow_store(context: Context) -> None:
    context.store = store_with_servers()
    context.entry = FollowingEntry(context.store)
    run(context, context.entry.start())
    context.state = context.entry.state
    context.add_cleanup(lambda: run(context, context.entry.stop()))


async def _until(condition: Any, seconds: float) -> None:
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


@then("it knows the three servers, their models, and the routes of version 4")
def check_known(context: Context) -> None:
    views = context.state.fleet.by_service["models"]
    assert set(views) == {"i-0", "i-1", "i-2"}
    assert views["i-2"].residents == {"notes": frozenset({"a1"})}
    assert context.state.configuration.version == 4
    assert context.state.configuration.find_route("site.example", "/p/x").name == "r"
    assert context.state.configuration.find_route("site.example", "/other/") is None


@when("the store is {away} for {ms:d} ms")
def fail_store(context: Context, away: str, ms: int) -> None:
    async def fail() -> None:
        store = context.store
        if away == "forgetting its history":
            store.put(SERVERS, "i-9", server_entry())
            store.compact_history()
        store.silent = away == "silent"
        store.status = int(away.removeprefix("answering ")) if "answering" in away else 0
        await asyncio.sleep(ms / 1000)
        store.silent = False
        store.status = 0

    run(context, fail())


@when("right after its return version 9 is written and a server starts to leave")
def change(context: Context) -> None:
    context.store.put("config", "main", configuration_entry(9))
    context.store.put(SERVERS, "i-1", server_entry("draining"))


@then("within {limit_ms:d} ms the entry knows version 9 and that the server leaves")
def check_changed(context: Context, limit_ms: int) -> None:
    def known() -> bool:
        leaving: bool = context.state.fleet.targets["i-1"].record.leaving
        return leaving and context.state.configuration.version == 9

    run(context, _until(known, limit_ms / 1000))


@given("the entry {duty}")
def set_duty(context: Context, duty: str) -> None:
    context.state.coordinating = duty == "coordinates the others"


@given("{count:d} entries of a site that follow a store with three servers")
def start_site(context: Context, count: int) -> None:
    context.site = Site(count)
    run(context, context.site.start())
    context.store = context.site.store
    context.add_cleanup(context.site.stop)


@then("all entries together made at most {most:d} calls")
def check_site_calls(context: Context, most: int) -> None:
    assert context.calls <= most, context.calls


@then("within {limit_ms:d} ms all entries know that a server leaves which does so now")
def check_all_know_leaving(context: Context, limit_ms: int) -> None:
    context.store.put(SERVERS, "i-1", server_entry("draining"))
    _check_all_know(context, limit_ms, leaving="i-1")


@then("within {limit_ms:d} ms all entries know version {version:d} which is written now")
def check_all_know_version(context: Context, limit_ms: int, version: int) -> None:
    context.store.put("config", "main", configuration_entry(version))
    _check_all_know(context, limit_ms, version=version)


@when("{fault}, and a server starts to leave")
def fail_coordinator(context: Context, fault: str) -> None:
    context.site.inject_fault(fault)
    context.store.put(SERVERS, "i-1", server_entry("draining"))


@then("within {limit_ms:d} ms all entries but the coordinator know that the server leaves")
def check_others_know(context: Context, limit_ms: int) -> None:
    _check_all_know(context, limit_ms, entries=context.site.entries[1:], leaving="i-1")


@when(
    "the coordinator has been cut from the store for {cut_ms:d} ms, and a server goes right after"
)
def cut_and_go(context: Context, cut_ms: int) -> None:
    async def cut() -> None:
        first = context.site.entries[0]
        first.store.cut = True
        await asyncio.sleep(cut_ms / 1000)
        first.store.cut = False
        await context.site.until(lambda: "targets" not in first.state.unavailable)
        # Other registrations end each entry's own watch, so that it can rely on the coordinator.
        for _ in range(10):
            context.store.put(SERVERS, "i-0", server_entry())
            await asyncio.sleep(0.05)
        context.store.delete(SERVERS, "i-1")

    run(context, cut())


@then("within {limit_ms:d} ms all entries but the coordinator know that the server is gone")
def check_others_know_gone(context: Context, limit_ms: int) -> None:
    def gone() -> bool:
        others = context.site.entries[1:]
        return all("i-1" not in entry.state.fleet.targets for entry in others)

    context.gone = gone
    run(context, context.site.until(gone, limit_ms / 1000))


@then("{pause_ms:d} ms later they still do")
def check_still_gone(context: Context, pause_ms: int) -> None:
    run(context, asyncio.sleep(pause_ms / 1000))
    assert context.gone()


def _check_all_know(
    context: Context, limit_ms: int, *, entries: list[SiteEntry] | None = None, **what: Any
) -> None:
    asked = entries or context.site.entries

    def known() -> bool:
        return all(entry.has_applied(**what) for entry in asked)

    run(context, context.site.until(known, limit_ms / 1000))


@when("servers register anew 20 times a second for {ms:d} ms")
def register_anew(context: Context, ms: int) -> None:
    async def register() -> None:
        before = context.store.calls
        for number in range(ms // 50):
            context.store.put(SERVERS, f"i-{number % 3}", server_entry())
            await asyncio.sleep(0.05)
        context.calls = context.store.calls - before

    run(context, register())


@then("the entry made at most {most:d} calls")
def check_calls(context: Context, most: int) -> None:
    assert context.calls <= most, context.calls


@then("within {limit_ms:d} ms the entry knows that a server leaves which does so now")
def check_leaving(context: Context, limit_ms: int) -> None:
    context.store.put(SERVERS, "i-1", server_entry("draining"))

    def known() -> bool:
        leaving: bool = context.state.fleet.targets["i-1"].record.leaving
        return leaving

    run(context, _until(known, limit_ms / 1000))


@when("version {version:d} is written")
def write_version(context: Context, version: int) -> None:
    async def write() -> None:
        context.store.put("config", "main", configuration_entry(version))
        await asyncio.sleep(0.3)

    run(context, write())


@when("something unreadable is written as the configuration")
def write_unreadable(context: Context) -> None:
    async def write() -> None:
        context.store.put("config", "main", {"version": "nine"})
        await asyncio.sleep(0.3)

    run(context, write())


@then("the entry goes on with version {version:d}")
def check_version(context: Context, version: int) -> None:
    assert context.state.configuration.version == version


@when("the store is away and a registration lapses that {returns}")
def expire_registration(context: Context, returns: str) -> None:
    async def fail() -> None:
        context.seen = []
        context.store.status = 503
        await _until(lambda: "targets" in context.state.unavailable, 5.0)
        expired = context.store.expire(SERVERS, "i-0")
        context.store.status = 0
        await _until(lambda: "targets" not in context.state.unavailable, 2.0)
        await _watch_presence(context, 1.0)
        if returns.startswith("is back"):
            context.store.put(SERVERS, "i-0", expired["specification"])
        # Without an event, the watch that finds it gone waits for some seconds.
        await _watch_presence(context, 6.0)

    run(context, fail())


async def _watch_presence(context: Context, seconds: float) -> None:
    end_s = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < end_s:
        context.seen.append("i-0" in context.state.fleet.targets)
        await asyncio.sleep(0.05)


@then("the server is known all the time")
def check_always_known(context: Context) -> None:
    assert all(context.seen), context.seen


@then("the server is known for 1 s more and then gone")
def check_gone(context: Context) -> None:
    assert all(context.seen[:19]), context.seen[:19]
    assert not context.seen[-1]


def _file(fields: dict[str, str]) -> Path:
    with tempfile.NamedTemporaryFile("w", suffix=".conf", delete=False) as file:
        file.write("".join(f"{name}={value}\n" for name, value in fields.items()))
    return Path(file.name)


@when("the settings file has {line}")
def start_with(context: Context, line: str) -> None:
    fields = dict(EXAMPLE)
    if line.startswith("no "):
        del fields[line.removeprefix("no ")]
    else:
        name, _, value = line.partition("=")
        fields[name] = value
    path = _file(fields)
    context.add_cleanup(path.unlink)
    context.ended = subprocess.run(
        [sys.executable, "-m", "mimosaspur_platform"],
        env=os.environ | {"MIMOSASPUR_SETTINGS": str(path)},
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )


@then("the process ends with code {code:d} and names {field}")
def check_ended(context: Context, code: int, field: str) -> None:
    ended = context.ended
    assert ended.returncode == 4, ended
    assert ended.stderr.startswith(f"{code} ") and field in ended.stderr, ended.stderr


@when("the settings file is the platform's example")
def read_example(context: Context) -> None:
    path = _file(EXAMPLE)
    context.add_cleanup(path.unlink)
    context.settings = read_settings(path)


@then("the settings name the instance, its addresses, its bounds and its failure domain")
def check_settings(context: Context) -> None:
    settings: DirectSettings = context.settings
    assert (settings.instance, settings.failure_domain) == ("frontend-1", "north")
    assert settings.callers_address == ("10.1.0.38", 8149)
    assert settings.store_address == ("10.200.1.7", 8142)
    assert settings.peer_port == 7380
    assert (settings.shutdown_ms, settings.orders.handover_ms) == (8_000, 3_000)
    # A field that the file leaves out has its default.
    assert settings.drain_ms == 2_000
