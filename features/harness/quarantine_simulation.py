"""Simulate entries that share what they know of crashes, in virtual time."""

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from enum import Enum

from harness.direct_fleet import ManualClock
from mimosaspur_coordination.quarantine.blame import QUARANTINE_THRESHOLD
from mimosaspur_coordination.quarantine.crashledger import Crash
from mimosaspur_coordination.quarantine.crashledger import CrashLedger
from mimosaspur_coordination.quarantine.crashledger import Stage
from mimosaspur_coordination.quarantine.traits import RequestTraits

CULPRIT = b"culprit"
# Within this time entries in touch must act on the third crash.
TOUCH_WINDOW_MS = 3_000
STEP_MS = 250
# A sound request is at most at this many crashes without completing: two runs of a call, and two of
# its retry.
MAX_SOUND_RUNS = 4


class Event(Enum):
    """Name what happens to an entry between two runs."""

    NOTHING = "nothing"
    RESTART = "restart"
    CUT = "cut"
    HEAL = "heal"
    COORDINATE = "coordinate"
    # The entry dies with the crash, before it has told anybody.
    DIE = "die"


# An entry loses what it hasn't told anybody.
_LOSSES = (Event.RESTART, Event.DIE)


@dataclass(slots=True, frozen=True)
class Step:
    """Describe one run: the entry that sends the culprit, and the sound requests beside it."""

    entry: int
    event: Event
    # Numbers of sound requests at the same target, each with the entry that sent it.
    beside: Sequence[tuple[int, int]]
    # The sound request that completes elsewhere after it, if there is one of the number.
    completes: int
    # Whether the sound requests were running when the target crashed, or queued.
    running: bool


@dataclass(slots=True)
class _Entry:
    ledger: CrashLedger
    cut: bool = False
    connected_since_ms: int = 0
    restarted_in_cut: bool = False


@dataclass(slots=True)
class QuarantineSimulation:
    """Run steps, and count the runs of the culprit that came too late."""

    count: int
    clock: ManualClock = field(default_factory=lambda: ManualClock(0))
    entries: list[_Entry] = field(default_factory=list)
    coordinator: int = 0
    crash_times_ms: list[int] = field(default_factory=list)
    late_runs: int = 0
    runs: int = 0
    evidence_losses: int = 0
    # Evidence of crashes before may have been lost.
    complete_since_ms: int = 0
    # The number of crashes after which all entries in touch must act.
    due_after: int = QUARANTINE_THRESHOLD

    def __post_init__(self) -> None:
        self.entries = [self._new_entry() for _ in range(self.count)]

    def step(self, step: Step) -> None:
        """Apply an event, try to send the culprit, let sound requests complete, and synchronize."""
        if not self._is_connected(self.entries[step.entry]) and step.event is Event.DIE:
            step = replace(step, event=Event.RESTART)
        self._apply(step)
        if self._may_send(step.entry):
            self._crash(step)
        elif step.event is Event.DIE:
            self.entries[step.entry] = self._new_entry()
        self._complete(step)
        self.clock.ms += STEP_MS
        self._synchronize()
        for entry in self.entries:
            entry.ledger.assign_blame()

    def rejected(self) -> set[bytes]:
        """Return the requests that any entry rejects."""
        return {digest for entry in self.entries for digest in entry.ledger.quarantined()}

    def culprit(self) -> RequestTraits:
        """Return the traits of the request that crashes targets, for the current run."""
        return RequestTraits(CULPRIT)

    def sound(self, number: int) -> RequestTraits:
        """Return the traits of a sound request."""
        return RequestTraits(b"sound %d" % number)

    def sound_rejected(self) -> set[bytes]:
        """Return what any entry rejects of sound requests."""
        return self.rejected() - {CULPRIT}

    def is_caught(self) -> bool:
        """Return whether any entry rejects what crashes targets."""
        return CULPRIT in self.rejected()

    def _apply(self, step: Step) -> None:
        entry = self.entries[step.entry]
        if step.event in _LOSSES:
            # The coordinator notices a new process.
            self.complete_since_ms = self.clock.ms + 1
        if step.event is Event.RESTART:
            self.entries[step.entry] = self._new_entry(cut=entry.cut)
            self.entries[step.entry].restarted_in_cut = not self._is_connected(entry)
        elif step.event in (Event.CUT, Event.HEAL):
            if entry.cut and step.event is Event.HEAL:
                entry.connected_since_ms = self.clock.ms
                if entry.restarted_in_cut:
                    self.complete_since_ms = self.clock.ms
                    entry.restarted_in_cut = False
                entry.ledger.report_all()
            entry.cut = step.event is Event.CUT
        elif step.event is Event.COORDINATE:
            self.coordinator = step.entry
            for each in self.entries:
                each.connected_since_ms = self.clock.ms
                each.ledger.report_all()

    def _may_send(self, number: int) -> bool:
        ledger = self.entries[number].ledger
        traits = self.culprit()
        if any(map(ledger.is_quarantined, traits.all())):
            return False
        return not any(map(ledger.settles_in_ms, ledger.holding(traits)))

    def _crash(self, step: Step) -> None:
        self.runs += 1
        self._count_late(step.entry)
        target = f"i-{self.runs}"
        self.crash_times_ms.append(self.clock.ms)
        found: dict[int, dict[RequestTraits, Stage]] = {step.entry: {self.culprit(): Stage.RUNNING}}
        for number, entry in step.beside:
            traits = self.sound(number)
            if len(self._uncleared(traits.digest)) < MAX_SOUND_RUNS:
                stage = Stage.RUNNING if step.running else Stage.QUEUED
                found.setdefault(entry, {})[traits] = stage
        if step.event is Event.DIE:
            del found[step.entry]
            self.evidence_losses += 1
            self.entries[step.entry] = self._new_entry()
        for entry, requests in found.items():
            stages = {traits.digest: stage for traits, stage in requests.items()}
            parts = {traits.digest: traits.parts for traits in requests}
            self.entries[entry].ledger.record(target, stages, parts=parts)

    def _count_late(self, number: int) -> None:
        if len(self.crash_times_ms) < self.due_after:
            return
        entry = self.entries[number]
        last_ms = self.crash_times_ms[self.due_after - 1]
        due_ms = max(last_ms, entry.connected_since_ms) + TOUCH_WINDOW_MS
        self.late_runs += self._is_connected(entry) and self.clock.ms > due_ms

    def _is_connected(self, entry: _Entry) -> bool:
        return not entry.cut and not self.entries[self.coordinator].cut

    def _complete(self, step: Step) -> None:
        traits = self.sound(step.completes)
        ledger = self.entries[step.entry].ledger
        ledger.clear(traits.digest)
        ledger.on_served(traits.parts)

    def _uncleared(self, digest: bytes) -> set[str]:
        """Return the crashes of which some entry doesn't know that a request completed since."""
        return {
            target
            for entry in self.entries
            for target, crash in entry.ledger.crashes.items()
            if crash.traits.get(digest, Stage.CLEARED) < Stage.CLEARED
        }

    def _synchronize(self) -> None:
        """Send all reports to the coordinator, and its changes to the others."""
        center = self.entries[self.coordinator]
        missing = any(entry.cut for entry in self.entries)
        for entry in self.entries:
            entry.ledger.set_covered(-1 if missing else self.clock.ms - self.complete_since_ms)
        if center.cut:
            return
        members = [each for each in self.entries if each is not center and not each.cut]
        for member in members:
            for crash in member.ledger.take_unreported():
                self._copy(crash, center.ledger, report=True)
        center.ledger.report_all()
        for crash in center.ledger.take_unreported():
            for member in members:
                self._copy(crash, member.ledger, report=False)

    def _copy(self, crash: Crash, ledger: CrashLedger, *, report: bool) -> None:
        ledger.record(
            crash.target,
            crash.traits,
            parts=crash.parts,
            served=crash.served,
            age_ms=self._age(crash),
            report=report,
        )

    def _age(self, crash: Crash) -> int:
        return self.clock.ms - crash.known_since_ms

    def _new_entry(self, *, cut: bool = False) -> _Entry:
        return _Entry(CrashLedger(clock=self.clock), cut, self.clock.ms)


FIRST_PART = b"part:first"
CRASHING_PART = b"part:crashing"
SUBJECTS = 3
# The users allow crashes of five targets.
PART_CRASHES = 5
# Between what entries have served before and the first crash.
QUIET_MS = 5_000


class PartSimulation(QuarantineSimulation):
    """Run requests, no two alike, of which those with one part crash targets.

    All requests share the first part; sound ones share subjects with each other and with these.
    """

    def __init__(self, count: int) -> None:
        super().__init__(count, due_after=PART_CRASHES)
        for entry in self.entries:
            entry.ledger.on_served([FIRST_PART, *map(_subject, range(SUBJECTS))])
        self.clock.ms += QUIET_MS

    def culprit(self) -> RequestTraits:
        """Return the traits of the next request that crashes targets."""
        digest = b"%s %d" % (CULPRIT, self.runs)
        return RequestTraits(digest, (FIRST_PART, _subject(self.runs), CRASHING_PART))

    def sound(self, number: int) -> RequestTraits:
        """Return the traits of a sound request."""
        return RequestTraits(b"sound %d" % number, (FIRST_PART, _subject(number)))

    def sound_rejected(self) -> set[bytes]:
        """Return what any entry rejects of sound requests."""
        return {
            trait
            for trait in self.rejected()
            if trait != CRASHING_PART and not trait.startswith(CULPRIT)
        }

    def is_caught(self) -> bool:
        """Return whether any entry rejects the part that crashes targets."""
        return CRASHING_PART in self.rejected()


def _subject(number: int) -> bytes:
    return b"part:subject %d" % (number % SUBJECTS)
