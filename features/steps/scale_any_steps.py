"""Compare incremental indexes with full scans, in any order of events."""

from collections.abc import Callable
from typing import Any
from unittest import mock

import msgspec
from behave import given
from behave import then
from behave import when
from behave.runner import Context
from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from mimosaspur_coordination import orders
from mimosaspur_coordination.mirror import Mirror
from mimosaspur_coordination.routing import Candidate
from mimosaspur_coordination.routing import candidates_for
from mimosaspur_coordination.targetdirectory import TargetDirectory
from mimosaspur_coordination.targetdirectory import service_resident
from mimosaspur_daemon.engine_snapshot import EngineSnapshot
from mimosaspur_daemon.engine_snapshot import SnapshotBuilder
from mimosaspur_state import keys
from mimosaspur_state.bundle import BundleIndex
from mimosaspur_state.bundle import bundle_from_value
from mimosaspur_state.engine import EngineState
from mimosaspur_state.engine import Resident
from mimosaspur_state.engine import ResidentKind
from mimosaspur_state.engine import ResidentState
from mimosaspur_state.instances import Instance
from mimosaspur_state.objects import StoredObject
from mimosaspur_state.placement import PlacementRecord
from mimosaspur_state.placement import Replica
from mimosaspur_state.placement import ReplicaState
from mimosaspur_state.placement import placement_from_value

REGION = "alajuela"
SERVICE = "bookings"
OWN_TARGET = "t0"
EXAMPLES = 150
MAX_EVENTS = 25
TARGETS = st.sampled_from(["t0", "t1", "t2", "t3", "t4"])
VERSIONS = st.sampled_from("123")
MODELS = st.sampled_from(["notes", "maps"])
RESIDENTS = [f"{name}@{version}" for name in ("notes", "maps", "lora") for version in "123"]
REPLICAS = st.lists(
    st.builds(Replica, TARGETS, VERSIONS, st.sampled_from(ReplicaState)),
    max_size=4,
    unique_by=lambda replica: (replica.target, replica.version),
).map(tuple)
RESIDENT_TUPLES = st.lists(
    st.sampled_from([*RESIDENTS, service_resident(SERVICE)]), max_size=3
).map(tuple)
TARGET_PORTS = st.dictionaries(TARGETS, st.integers(1, 2), max_size=5)

Event = tuple[str, Any, Any]


def index_of(version: str) -> BundleIndex:
    lora = {"name": "lora", "version": version, "memory_mb": 1}
    notes = {"name": "notes", "version": version, "memory_mb": 1, "adapters": [lora]}
    maps = {"name": "maps", "version": "1", "memory_mb": 1}
    if version == "3":
        # An adapter may move to another model.
        notes["adapters"], maps["adapters"] = [], [lora]
    return BundleIndex.build(
        int(version), bundle_from_value({"name": "b", "models": [notes, maps]})
    )


INDEXES = {version: index_of(version) for version in "123"}
RECORD_EVENTS = st.tuples(st.just("record"), MODELS, st.one_of(st.none(), REPLICAS))
DIRECTORY_EVENTS = st.one_of(
    RECORD_EVENTS,
    st.tuples(st.just("carrier"), st.just(SERVICE), REPLICAS),
    st.tuples(st.just("list"), TARGET_PORTS, st.none()),
    st.tuples(st.just("said"), TARGETS, RESIDENT_TUPLES),
    st.tuples(st.just("said late"), TARGETS, RESIDENT_TUPLES),
    st.tuples(st.just("resident"), TARGETS, RESIDENT_TUPLES),
    st.tuples(st.just("lost"), TARGETS, st.none()),
    st.tuples(st.just("busy"), TARGETS, st.integers(0, 1)),
)


def residents() -> st.SearchStrategy[tuple[Resident, ...]]:
    one = st.builds(
        lambda name, base, state: Resident(
            name,
            base if name.startswith("lora") else None,
            ResidentKind.ADAPTER if name.startswith("lora") else ResidentKind.MODEL,
            1,
            (0,),
            state,
            "",
        ),
        st.sampled_from(RESIDENTS),
        st.sampled_from(RESIDENTS[:6]),
        st.sampled_from(ResidentState),
    )
    return st.lists(one, max_size=4, unique_by=lambda item: item.id).map(tuple)


KEEPER_EVENTS = st.one_of(
    RECORD_EVENTS,
    st.tuples(st.just("unreadable"), MODELS, st.none()),
    st.tuples(st.just("bundle"), VERSIONS, st.none()),
    st.tuples(st.just("report"), residents(), st.none()),
    st.tuples(st.just("nothing"), st.none(), st.none()),
)


class MirrorChanges:
    """Apply record changes to a mirror."""

    def __init__(self) -> None:
        self.mirror = Mirror(mock.Mock(), ("",), wait_ms=1)
        self.version = 0

    def put(self, key: str, value: Any) -> None:
        """Apply one change to the mirror."""
        self.version += 1
        self.mirror.apply_update(StoredObject(key, self.version, value))

    def record(self, model: str, replicas: tuple[Replica, ...] | None) -> None:
        """Change a model's record, or delete it."""
        value = None if replicas is None else PlacementRecord(model, 1, replicas).to_value()
        self.put(keys.placement(REGION, model), value)


class DirectoryComparison:
    """Apply events to a directory and compare it with a full scan."""

    def __init__(self) -> None:
        self.changes = MirrorChanges()
        self.directory = TargetDirectory(self.changes.mirror, region=REGION)
        self.former_hints: dict[str, Any] = {}

    def apply(self, event: Event) -> None:
        """Apply one event."""
        kind, what, how = event
        hints = self.directory.hints
        if kind == "record":
            self.changes.record(what, how)
        elif kind == "carrier":
            value = PlacementRecord(what, 1, how).to_value()
            self.changes.put(keys.service_registration(REGION, what), value)
        elif kind == "list":
            self.former_hints.update(hints)
            listed = [
                Instance(name, "target", f"127.0.0.1:{port}", REGION, "d", False)
                for name, port in what.items()
            ]
            self.directory.update(listed)
        elif kind == "said late" and what in self.former_hints:
            # The connection to a former address may still deliver a report.
            self.former_hints[what].on_connect(False, how)
        elif what in hints:
            self._apply_to_hint(kind, hints[what], how)

    def _apply_to_hint(self, kind: str, hint: Any, how: Any) -> None:
        if kind == "said":
            hint.on_connect(False, how)
        elif kind == "resident":
            hint.residents = frozenset(how)
        elif kind == "lost":
            hint.on_disconnect(1)
        elif kind == "busy":
            hint.in_flight = how

    def check(self) -> None:
        """Compare all candidates with those of a full scan."""
        for index in INDEXES.values():
            for served in index.served.values():
                item = self.changes.mirror.get(keys.placement(REGION, served.model.name))
                record = placement_from_value(item.value) if item else None
                scanned = candidates_for(served, record, self.directory.hints)
                assert candidate_keys(self.directory.for_model(served)) == candidate_keys(scanned)
        assert candidate_keys(self.directory.for_service(SERVICE)) == candidate_keys(
            self.scan_service()
        )

    def scan_service(self) -> list[Candidate]:
        """Return a service's candidates by scanning all hints."""
        item = self.changes.mirror.get(keys.service_registration(REGION, SERVICE))
        record = placement_from_value(item.value) if item else None
        carrying = {replica.target for replica in record.ready()} if record else set()
        resident = service_resident(SERVICE)
        return [
            Candidate(hint, resident)
            for hint in self.directory.hints.values()
            if hint.name in carrying or resident in hint.residents
        ]


def candidate_keys(candidates: list[Candidate]) -> list[tuple[int, str]]:
    return [(id(candidate.hint), candidate.resident) for candidate in candidates]


class SituationComparison:
    """Apply events to an engine keeper's situations and compare them with a full scan."""

    def __init__(self) -> None:
        self.changes = MirrorChanges()
        self.situations = SnapshotBuilder(self.changes.mirror, region=REGION, target=OWN_TARGET)
        self.index = INDEXES["1"]
        self.residents: tuple[Resident, ...] = ()

    def apply(self, event: Event) -> None:
        """Apply one event."""
        kind, what, how = event
        if kind == "record":
            self.changes.record(what, how)
        elif kind == "unreadable":
            self.changes.put(keys.placement(REGION, what), {"model": what})
        elif kind == "bundle":
            self.index = INDEXES[what]
        elif kind == "report":
            self.residents = what

    def check(self) -> None:
        """Compare the situation with that of a full scan."""
        report = EngineState("e", 1, (10,), self.residents)
        found = self.situations.build(report, self.index)
        assert found == self.scan(report), (found, self.scan(report))

    def scan(self, report: EngineState) -> EngineSnapshot:
        """Return the situation by decoding all records."""
        found = []
        for item in self.changes.mirror.list_prefix(keys.placements(REGION)):
            try:
                found.append((item, placement_from_value(item.value)))
            except msgspec.ValidationError:
                continue
        known = [record for _, record in found]
        assignments = orders.assignments_on(found, OWN_TARGET, self.index)
        ready = orders.ready_models(known, self.index)
        unwanted = orders.unwanted_residents(assignments, report, self.index, ready)
        return EngineSnapshot(report, self.index, known, assignments, unwanted)


def check_in_any_order(
    world: Callable[[], DirectoryComparison | SituationComparison], events: st.SearchStrategy[Event]
) -> None:
    @settings(
        max_examples=EXAMPLES,
        derandomize=True,
        database=None,
        deadline=None,
        phases=(Phase.generate, Phase.shrink),
        suppress_health_check=list(HealthCheck),
    )
    @given_any(st.lists(events, min_size=1, max_size=MAX_EVENTS))
    def check(order: list[Event]) -> None:
        made = world()
        for event in order:
            made.apply(event)
            made.check()

    check()


@then("in any order of events its candidates are those of the scan, in the same order")
def check_directory(context: Context) -> None:
    check_in_any_order(DirectoryComparison, DIRECTORY_EVENTS)


@then("in any order of events its situation is that of the scan")
def check_situations(context: Context) -> None:
    check_in_any_order(SituationComparison, KEEPER_EVENTS)


@given('target "{name}" was listed, then listed at a new address')
def list_twice(context: Context, name: str) -> None:
    context.world = DirectoryComparison()
    for port in (1, 2):
        context.world.apply(("list", {name: port}, None))


@when('it says "{now}" there and "{late}" over its former connection')
def say_late(context: Context, now: str, late: str) -> None:
    (name,) = context.world.directory.hints
    context.world.apply(("said", name, (now,)))
    context.world.apply(("said late", name, (late,)))


@then('its directory\'s candidates are those of the scan, "{name}" with "{resident}" among them')
def check_late(context: Context, name: str, resident: str) -> None:
    context.world.check()
    served = INDEXES["1"].served[resident.partition("@")[0]]
    found = context.world.directory.for_model(served)
    assert [(it.hint.name, it.resident) for it in found] == [(name, resident)], found
