"""Model entries that are killed, and share a record of versions in a store."""

from typing import NamedTuple

from hypothesis import strategies as st

from harness.direct_fleet import ManualClock
from mimosaspur_coordination.fleetports import VersionRecord
from mimosaspur_coordination.streams.versionhistory import DISTANT_PAST_MS
from mimosaspur_coordination.streams.versionhistory import VersionHistory
from mimosaspur_coordination.streams.versionrecorder import VersionRecorder

SERVICE = "service"
LAG_MS = 2_000
LIFETIME_MS = 15_000
ENTRIES = 2
VERSIONS = ("v1", "v2")
SERVED_S = 4
LIFETIME_S = LIFETIME_MS // 1000


class Step(NamedTuple):
    """Describe what happens next, and how long after the last step."""

    # A change of the fleet and the version that it is about.
    change: str
    version: str
    # Whether each entry reads the list, reads the record and writes it.
    lists: tuple[bool, ...]
    reads: tuple[bool, ...]
    writes: tuple[bool, ...]
    # What becomes of the writes.
    outcome: str
    ms: int


CHANGES = (*("",) * 4, "come", "come", "go", "go", "kill", "kill all", "kill all", "live long")
OUTCOMES = (*("written",) * 4, "the answer is lost", "late", "late ones arrive")
_flags = st.tuples(*[st.booleans()] * ENTRIES)
RECORD_STEPS = st.lists(
    st.builds(
        Step,
        st.sampled_from(CHANGES),
        st.sampled_from(VERSIONS),
        *[_flags] * 3,
        st.sampled_from(OUTCOMES),
        st.sampled_from((10, 400, 1_000, 2_100)),
    ),
    min_size=6,
    max_size=30,
)


class ModelEntry:
    """Hold what one entry knows of versions and of their record."""

    def __init__(self, clock: ManualClock) -> None:
        self.history = VersionHistory(clock=clock, lag_ms=LAG_MS, lifetime_ms=LIFETIME_MS)
        self.recorder = VersionRecorder(self.history)
        # Whether it must read the record before it writes.
        self.unsure = True


class RecordModel:
    """Play entries, lists and the record, and hold all streams that were begun."""

    def __init__(self) -> None:
        self.clock = ManualClock(100_000)
        self.present = {"v1"}
        self.came_ms = {"v1": 0}
        self.record: VersionRecord | None = None
        self.revision = 0
        # A write that is under way, and the revision that it needs.
        self.late: VersionRecord | None = None
        # By version, when a stream was last begun.
        self.begun: dict[str, int] = {}
        self.entries = [ModelEntry(self.clock) for _ in range(ENTRIES)]
        self.live(LIFETIME_S + 2)

    def step(self, step: Step) -> None:
        """Play one step; each entry begins streams at all versions where it may."""
        self.change(step.change, step.version, number=step.ms % ENTRIES)
        if step.outcome == "late ones arrive" and self.late:
            self._store(self.late)
            self.late = None
        for number, entry in enumerate(self.entries):
            if step.lists[number]:
                self.list(entry)
            if step.reads[number]:
                self.read(entry)
            if step.writes[number]:
                self.write(entry, step.outcome)
            self._begin(entry)

    def change(self, kind: str, version: str = "", *, number: int = 0) -> None:
        """Let a version come or go, kill an entry or all, or let them live on."""
        if kind == "come" and version not in self.present:
            self.present.add(version)
            self.came_ms[version] = self.clock.ms
        elif kind == "go" and self._may_go(version):
            self.present.discard(version)
        elif kind.startswith("live"):
            self.live(LIFETIME_S if kind == "live long" else SERVED_S)
        elif kind.startswith("kill"):
            for each in range(ENTRIES):
                if kind == "kill all" or each == number:
                    self.entries[each] = ModelEntry(self.clock)
                    self.list(self.entries[each])

    def live(self, seconds: int) -> None:
        """Let all entries read lists and the record, and write it, for some time."""
        for _ in range(seconds):
            for entry in self.entries:
                self.list(entry)
                if entry.history.is_record_due() or entry.unsure:
                    self.read(entry)
                self.write(entry)
                self._begin(entry)
            self.advance(1_000)

    def advance(self, ms: int) -> None:
        """Let time pass."""
        self.clock.ms += ms

    def soles(self) -> set[str | None]:
        """Return what entries take for the only version."""
        return {entry.history.sole_version(SERVICE) for entry in self.entries}

    def wrong(self) -> set[str]:
        """Return the versions at which an entry would go on with streams of another one."""
        oldest_ms = self.clock.ms - LIFETIME_MS
        begun = {version for version, at_ms in self.begun.items() if at_ms > oldest_ms}
        wrong = set()
        for entry in self.entries:
            sole = entry.history.sole_version(SERVICE)
            if sole in entry.history.services[SERVICE].present and not begun <= {sole}:
                wrong.add(sole)
        return wrong

    def list(self, entry: ModelEntry) -> None:
        """Let an entry read the list."""
        entry.history.update({SERVICE: set(self.present)})
        entry.history.confirm(age_ms=0)

    def read(self, entry: ModelEntry) -> None:
        """Let an entry read the record."""
        entry.recorder.apply(self.record)
        entry.history.apply_record(self.record, asked_ms=self.clock.ms)
        entry.unsure = False

    def write(self, entry: ModelEntry, outcome: str = "") -> None:
        """Let an entry write the record if it lacks something."""
        history = entry.history
        if entry.unsure or history.record_read_ms < history.continuous_since_ms:
            return
        record = entry.recorder.next_record()
        if record is None:
            return
        if outcome == "late":
            self.late, entry.unsure = record, True
            return
        stored = self._store(record)
        if not stored or outcome == "the answer is lost":
            entry.unsure = True
            return
        entry.recorder.apply(self.record)
        history.apply_record(self.record, asked_ms=self.clock.ms)

    def _store(self, record: VersionRecord) -> bool:
        """Write the record if its revision is still the store's."""
        if record.revision != (self.record.revision if self.record else 0):
            return False
        self.revision += 1
        self.record = VersionRecord(record.services, self.revision)
        return True

    def _may_go(self, version: str) -> bool:
        """Return whether a version has served for some seconds, and another one serves."""
        return self.clock.ms - self.came_ms.get(version, 0) >= 2 * LAG_MS and self.present != {
            version
        }

    def _recorded(self) -> set[str]:
        return set((self.record.services if self.record else {}).get(SERVICE, VERSIONS))

    def _begin(self, entry: ModelEntry) -> None:
        """Begin a stream at each version where this may be done."""
        history = entry.history
        # Without any answer of the store an entry doesn't wait for the record.
        if not history.is_current() or history.record_read_ms == DISTANT_PAST_MS:
            return
        present = history.services[SERVICE].present
        for version in present:
            # Where no version is recorded, streams don't wait for a store that may be away.
            if history.may_begin(SERVICE, version) and present & self._recorded():
                self.begun[version] = self.clock.ms
