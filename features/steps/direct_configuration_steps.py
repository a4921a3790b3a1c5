"""Steps of the exchange of configurations between entries."""

import asyncio
import hashlib
import zlib
from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies

from harness.direct_entry import engine_spec
from harness.direct_entry import entry_dependencies
from harness.direct_entry import model_spec
from harness.direct_entry import settings_for
from harness.direct_registrations import configuration_entry
from harness.direct_site import Site
from harness.direct_site import SiteEntry
from harness.direct_workspaces import KEYS
from harness.direct_workspaces import Keys
from harness.direct_workspaces import with_workspaces
from harness.loop import run
from mimosaspur_coordination.workspaces.credentials import credential_digest
from mimosaspur_coordination.workspaces.credentials import find_workspace
from mimosaspur_daemon.direct.configurationexchange import ConfigurationExchange
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_protocol.configurationcodec import decode_configuration
from mimosaspur_protocol.configurationcodec import encode_configuration
from mimosaspur_protocol.peermessages import EncodedConfiguration
from mimosaspur_protocol.peermessages import PeerMessage
from mimosaspur_protocol.peermessages import decode_peer
from mimosaspur_protocol.peermessages import encode_peer
from mimosaspur_state.routes import Configuration
from mimosaspur_state.routes import ServiceSpec

REVOKED_VERSION = 9
FIRST_VERSION = 8


def _stored(version: int, keys: Keys) -> dict[str, Any]:
    tenants = [{"name": name, "api_keys": list(held)} for name, held in keys.items()]
    return configuration_entry(version) | {"tenants": tenants}


class _VersionRecorder:
    """Record which versions an entry holds."""

    def __init__(self, entry: SiteEntry) -> None:
        self.entry = entry
        self.seen: list[int] = []

    async def watch(self) -> None:
        while True:
            self.seen.append(self.entry.state.version())
            await asyncio.sleep(0.005)


@given("{count:d} entries of a site that serves workspaces")
def start_site(context: Context, count: int) -> None:
    context.site = Site(count)
    context.store = context.site.store
    context.store.put("config", "main", _stored(FIRST_VERSION, KEYS))
    run(context, context.site.start())
    context.add_cleanup(context.site.stop)
    _check_hold(context, FIRST_VERSION, 2_000)


def _cut(context: Context, who: str) -> None:
    entries = context.site.entries
    chosen: dict[str, Iterable[SiteEntry]] = {
        "nobody is": (),
        "one follower is": entries[1:2],
        "the coordinator is": entries[:1],
        "all followers are": entries[1:],
        "all but one follower are": [*entries[:1], *entries[2:]],
    }
    for entry in chosen[who]:
        entry.store.cut = True


@when("{who} cut from the store and the key n-1 is taken away")
def cut_and_revoke(context: Context, who: str) -> None:
    _cut(context, who)
    left = {"north": ("n-2",), "south": ("s-1",)}
    context.store.put("config", "main", _stored(REVOKED_VERSION, left))


@when("one follower is cut from the store, loses its link, and the key n-1 is taken away")
def lose_link(context: Context) -> None:
    cut_and_revoke(context, "one follower is")

    async def lose() -> None:
        coordinator = context.site.entries[0].election.coordinator
        follower = context.site.entries[1].state.settings.instance
        coordinator.members.members[follower].link.close()

    run(context, lose())


@when("all followers are cut from the store and {count:d} versions come within {ms:d} ms")
def write_many(context: Context, count: int, ms: int) -> None:
    _cut(context, "all followers are")
    context.watched = [_VersionRecorder(entry) for entry in context.site.entries]

    async def write() -> None:
        context.watching = [asyncio.create_task(each.watch()) for each in context.watched]
        for number in range(1, count + 1):
            context.store.put("config", "main", _stored(FIRST_VERSION + number, KEYS))
            await asyncio.sleep(ms / count / 1000)

    run(context, write())


@when("{count:d} versions are written {ms:d} ms apart")
def write_some(context: Context, count: int, ms: int) -> None:
    context.reads = _count_reads(context)

    async def write() -> None:
        for number in range(1, count + 1):
            context.store.put("config", "main", _stored(FIRST_VERSION + number, KEYS))
            await asyncio.sleep(ms / 1000)

    run(context, write())


def _count_reads(context: Context) -> list[str]:
    reads: list[str] = []
    for entry in context.site.entries:
        store = entry.store.store
        read = store.read_configuration

        async def counted(read: Any = read) -> Any:
            reads.append("read")
            return await read()

        # PlatformStore has slots, so that the method is replaced on the entry's wrapper.
        entry.store.__dict__["read_configuration"] = counted
    return reads


@then("all entries together read the configuration at most {most:d} times")
def check_reads(context: Context, most: int) -> None:
    assert len(context.reads) <= most, len(context.reads)


def _check_hold(context: Context, version: int, limit_ms: int) -> None:
    def hold() -> bool:
        return all(each.state.version() == version for each in context.site.entries)

    run(context, context.site.until(hold, limit_ms / 1000))


@then("within {limit_ms:d} ms all entries hold version {version:d}")
def check_hold(context: Context, limit_ms: int, version: int) -> None:
    _check_hold(context, version, limit_ms)


@then("within {limit_ms:d} ms all entries hold version {version:d}, in which nobody holds n-1")
def check_revoked(context: Context, limit_ms: int, version: int) -> None:
    _check_hold(context, version, limit_ms)
    for entry in context.site.entries:
        assert not find_workspace(entry.state.configuration, credential_digest(b"n-1"))
        assert find_workspace(entry.state.configuration, credential_digest(b"n-2"))


@then("no entry has gone back to an older version")
def check_monotone(context: Context) -> None:
    for task in context.watching:
        task.cancel()
    for each in context.watched:
        assert each.seen == sorted(each.seen), each.seen


class _Link:
    def __init__(self) -> None:
        self.sent: list[PeerMessage] = []

    def send(self, message: PeerMessage) -> None:
        self.sent.append(message)


def _corrupt(message: EncodedConfiguration, broken: str) -> EncodedConfiguration:
    if broken == "with another digest":
        return EncodedConfiguration(message.version, b"\0" * 32, message.body)
    if broken == "of another version":
        return EncodedConfiguration(message.version + 100, message.digest, message.body)
    body = zlib.compress(b"\x93\x01\x02\x03")
    if broken == "cut off":
        body = message.body[: len(message.body) // 2]
    return EncodedConfiguration(message.version, hashlib.sha256(body).digest(), body)


@then("an entry that hears any messages, some of them {broken}, holds the newest whole one")
def check_any_order(context: Context, broken: str) -> None:
    heard = strategies.tuples(strategies.integers(1, 30), strategies.booleans())

    @settings(derandomize=True, database=None, max_examples=100, deadline=None)
    @given_any(strategies.lists(heard, max_size=12))
    def check(messages: list[tuple[int, bool]]) -> None:
        state = EntryState(settings_for("entry-0"), entry_dependencies("entry-0"))
        exchange = ConfigurationExchange(state)
        newest = 0
        for version, sound in messages:
            message = encode_configuration(with_workspaces(KEYS, version=version))
            exchange.on_message(message if sound else _corrupt(message, broken), _Link())
            newest = max(newest, version if sound else 0)
            assert state.version() == newest, messages

    check()


@given("an entry that hears of a newer version in each of {count:d} messages within a second")
def hear_often(context: Context, count: int) -> None:
    state = EntryState(settings_for("entry-0"), entry_dependencies("entry-0"))
    exchange = ConfigurationExchange(state)
    context.link = _Link()

    async def hear() -> None:
        for _ in range(count):
            exchange.on_version(5, context.link)
            await asyncio.sleep(1.0 / count)

    run(context, hear())


@then("it has asked for it at most {most:d} times")
def check_asked(context: Context, most: int) -> None:
    assert 1 <= len(context.link.sent) <= most, context.link.sent


@then("any configuration is decoded as it was encoded")
def check_any_configuration(context: Context) -> None:
    @settings(derandomize=True, database=None, max_examples=200, deadline=None)
    @given_any(
        strategies.dictionaries(strategies.text(), strategies.lists(strategies.text(), max_size=3)),
        strategies.integers(1, 2**40),
        strategies.booleans(),
        strategies.one_of(strategies.none(), strategies.integers(0, 9)),
    )
    def check(keys: dict[str, list[str]], version: int, public: bool, priority: int | None) -> None:
        held = {name: tuple(names) for name, names in keys.items()}
        sent = with_workspaces(held, version=version, public=public)
        workspaces = tuple(replace(each, priority=priority) for each in sent.workspaces or ())
        engine = engine_spec([model_spec("notes", adapters=("a1", "a2"))])
        services = sent.services | {"models": ServiceSpec("models", "/h", 9, engine)}
        sent = replace(sent, workspaces=workspaces, services=services)
        message = decode_peer(encode_peer(encode_configuration(sent))[4:])
        assert isinstance(message, EncodedConfiguration)
        got: Configuration = decode_configuration(message)
        assert got == sent

    check()


@when("a configuration with the weights {weights} comes into force")
def apply_weights(context: Context, weights: str) -> None:
    state = context.entry.state
    first, second = map(float, weights.split(","))
    services = (("service", first), ("without-targets", second))
    routes = tuple(replace(each, services=services) for each in state.configuration.routes)
    state.apply_configuration(replace(state.configuration, version=2, routes=routes), source="test")
