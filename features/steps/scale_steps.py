"""Steps for the cost of a large region to one process."""

import threading
from collections.abc import Callable
from typing import Any
from unittest import mock

import msgspec
from behave import given
from behave import then
from behave import when
from behave.runner import Context

from mimosaspur_coordination import recordcache
from mimosaspur_coordination.listreadlimiter import ListReadLimiter
from mimosaspur_coordination.mirror import Mirror
from mimosaspur_coordination.recordcache import RecordCache
from mimosaspur_coordination.targetdirectory import TargetDirectory
from mimosaspur_daemon.engine_snapshot import SnapshotBuilder
from mimosaspur_daemon.instancelistpoller import InstanceListPoller
from mimosaspur_state import keys
from mimosaspur_state.bundle import BundleIndex
from mimosaspur_state.bundle import bundle_from_value
from mimosaspur_state.clock import SystemClock
from mimosaspur_state.engine import EngineState
from mimosaspur_state.instances import Instance
from mimosaspur_state.objects import StoredObject
from mimosaspur_state.placement import PlacementRecord
from mimosaspur_state.placement import Replica
from mimosaspur_state.placement import ReplicaState
from mimosaspur_state.settings import PlatformSettings

REGION = "alajuela"
PREFIX = keys.placements(REGION)
PAUSE_MS = 2000
STEP_MS = 100
MAX_SEARCHED_MS = 200_000
FAILS = "fails"
NOBODY = "nobody"
NEVER = "never"
MINUTE_MS = 60_000
TIMEOUT_S = 10.0
ADDRESS = "127.0.0.1:1"
NEW_ADDRESS = "127.0.0.1:2"


class FakeInstanceList:
    """Fake an instance list and count its readings."""

    def __init__(self, size_bytes: int) -> None:
        self.size_bytes = size_bytes
        self.listed = [instance("t1", ADDRESS)]
        self.readings = 0

    def instances(self) -> list[Instance]:
        """Return the listed instances."""
        self.readings += 1
        return list(self.listed)


def instance(name: str, address: str) -> Instance:
    return Instance(name, "target", address, REGION, "terminal-norte", False)


def record(model: str, target: str, version: str = "1") -> Any:
    replica = Replica(target, version, ReplicaState.READY)
    return PlacementRecord(model, 1, (replica,)).to_value()


def new_mirror() -> Mirror:
    return Mirror(mock.Mock(), (PREFIX,), wait_ms=1)


def parse_sought(text: str) -> list[str]:
    return [] if text == NOBODY else text.split()


@given("an instance list of {size:d} bytes that may take {rate:d} bytes a second")
def make_pace(context: Context, size: int, rate: int) -> None:
    context.size_bytes = size
    context.rate = rate
    context.pace = ListReadLimiter(interval_ms=PAUSE_MS, bytes_per_second=rate)
    context.last_ms = 0
    context.sought = []


@given('it was read at "{readings}" while "{sought}" was sought in vain')
def read_before(context: Context, readings: str, sought: str) -> None:
    context.sought = parse_sought(sought)
    context.was_read = readings != NEVER
    for reading in [] if readings == NEVER else readings.split():
        context.last_ms = int(reading.removesuffix(FAILS))
        if reading.endswith(FAILS):
            context.pace.record_failure(context.last_ms)
        else:
            # Nothing is sought before the first reading.
            tried = context.sought if context.last_ms else []
            context.pace.record_read(context.last_ms, context.size_bytes, tried)


@then("it is read next at {next_ms:d} ms")
def check_next(context: Context, next_ms: int) -> None:
    first_ms = context.last_ms + STEP_MS if context.was_read else 0
    times = range(first_ms, MAX_SEARCHED_MS, STEP_MS)
    found = next(now_ms for now_ms in times if context.pace.is_due(now_ms, context.sought))
    assert found == next_ms, f"it is read at {found} ms"


@when("new targets are sought all the time for {minutes:d} minutes")
def seek_always(context: Context, minutes: int) -> None:
    context.span_ms = minutes * MINUTE_MS
    context.readings = 0
    for now_ms in range(0, context.span_ms, STEP_MS):
        sought = [f"t{now_ms}"]
        if context.pace.is_due(now_ms, sought):
            context.readings += 1
            context.pace.record_read(now_ms, context.size_bytes, sought)


@then("the readings took at most {rate:d} bytes a second and two lists")
def check_bytes(context: Context, rate: int) -> None:
    read = context.readings * context.size_bytes
    most = rate * context.span_ms / 1000 + 2 * context.size_bytes
    assert 0 < read <= most, f"{read} bytes in {context.readings} readings, at most {most}"


@given("an entry's follower of an instance list of {size:d} bytes that looks every {pause:d} ms")
def make_follower(context: Context, size: int, pause: int) -> None:
    context.mirror = new_mirror()
    context.mirror.reachable = True
    context.directory = TargetDirectory(context.mirror, region=REGION)
    context.listing = FakeInstanceList(size)
    settings = PlatformSettings(ADDRESS, ADDRESS, instance_list_ms=pause)
    context.follower = InstanceListPoller(
        context.listing,
        context.directory,
        context.mirror,
        mock.Mock(),
        clock=SystemClock(),
        settings=settings,
    )
    context.mirror.listeners.append(context.follower.on_placement_change)
    context.stop = threading.Event()
    thread = threading.Thread(target=context.follower.run, args=(context.stop,), daemon=True)
    context.add_cleanup(context.stop.set)
    thread.start()


@given('it has read the list, which does not name "{name}" yet')
def await_first(context: Context, name: str) -> None:
    await_condition(lambda: "t1" in context.directory.hints)
    assert name not in context.directory.hints


@when('the list names "{name}" and a placement record does too')
def name_target(context: Context, name: str) -> None:
    context.listing.listed.append(instance(name, ADDRESS))
    item = StoredObject(keys.placement(REGION, "notes"), 1, record("notes", name))
    context.mirror.apply_update(item)


@when('the connection to "{name}" is lost and the list gives it a new address')
def lose_target(context: Context, name: str) -> None:
    context.listing.listed = [instance(name, NEW_ADDRESS)]
    context.directory.hints[name].on_disconnect(1)


@then('the entry knows "{name}" long before the next regular reading')
def check_known(context: Context, name: str) -> None:
    # The next regular reading comes after 20 s, past the timeout.
    await_condition(lambda: name in context.directory.hints)
    assert name not in context.directory.unresolved_targets()


@then('the entry knows the new address of "{name}" long before the next regular reading')
def check_address(context: Context, name: str) -> None:
    await_condition(lambda: context.directory.hints[name].address == NEW_ADDRESS)


def await_condition(condition: Callable[[], bool]) -> None:
    pause = threading.Event()
    for _ in range(int(TIMEOUT_S / 0.01)):
        if condition():
            return
        pause.wait(0.01)
    raise AssertionError(f"not within {TIMEOUT_S} s")


@given("a mirror with {count:d} placement records")
def fill_mirror(context: Context, count: int) -> None:
    context.mirror = new_mirror()
    for number in range(count):
        model = f"m{number}"
        item = StoredObject(keys.placement(REGION, model), number + 1, record(model, "t1"))
        context.mirror.apply_update(item)
    context.count = count
    context.cache = RecordCache(context.mirror)
    decoding = mock.patch.object(recordcache, "_decode_record", wraps=recordcache._decode_record)
    context.decoding = decoding.start()
    context.add_cleanup(decoding.stop)
    walks = mock.patch.object(context.mirror, "list_prefix", wraps=context.mirror.list_prefix)
    context.walks = walks.start()
    context.add_cleanup(walks.stop)


@when("every record is read three times by each way of reading")
def read_thrice(context: Context) -> None:
    for _ in range(3):
        for number in range(context.count):
            assert context.cache.get(keys.placement(REGION, f"m{number}")) is not None
        assert len(context.cache.all(PREFIX)) == context.count
        assert len(context.cache.readable(PREFIX)) == context.count


@when("one record changes, one is deleted and one can't be read")
def change_records(context: Context) -> None:
    version = context.count + 1
    context.decoding.reset_mock()
    changes = (record("m0", "t2"), None, {"model": "m2"})
    for number, value in enumerate(changes):
        key = keys.placement(REGION, f"m{number}")
        context.mirror.apply_update(StoredObject(key, version + number, value))
    found = {item.model: item for _, item in context.cache.readable(PREFIX)}
    context.readable = found
    assert found["m0"].replicas[0].target == "t2"
    assert context.cache.get(keys.placement(REGION, "m1")) is None


@then("{count:d} records were decoded")
@then("{count:d} more were decoded")
def check_decoded(context: Context, count: int) -> None:
    assert context.decoding.call_count == count, context.decoding.call_count


@then("the unreadable one is left out by who may go on and refused to who may not")
def check_unreadable(context: Context) -> None:
    assert len(context.readable) == context.count - 2
    key = keys.placement(REGION, "m2")
    reads: list[Callable[[], Any]] = [
        lambda: context.cache.get(key),
        lambda: context.cache.all(PREFIX),
    ]
    for read in reads:
        try:
            read()
        except msgspec.ValidationError:
            continue
        raise AssertionError("an unreadable record was not refused")


@when("the keeper's situation is asked for {times:d} times with the same report")
def ask_situation(context: Context, times: int) -> None:
    bundle = {"name": "b", "models": [{"name": "m0", "version": "1", "memory_mb": 1}]}
    index = BundleIndex.build(1, bundle_from_value(bundle))
    situations = SnapshotBuilder(context.mirror, region=REGION, target="t1")
    for _ in range(times):
        found = situations.build(EngineState("e", 1, (10,)), index)
        assert len(found.assignments) == context.count


@then("the mirror was gone through once")
def check_walks(context: Context) -> None:
    assert context.walks.call_count == 1, context.walks.call_count
