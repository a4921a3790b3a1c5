"""Record which requests were at targets that crashed, and quarantine what crashes them.

A request has several traits, each of which may be behind a crash. A record only grows: of two
copies, each trait keeps the later stage. So copies from any number of entries can be merged in any
order, any number of times.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from enum import IntEnum

from mimosaspur_coordination.quarantine.blame import QUARANTINE_THRESHOLD
from mimosaspur_coordination.quarantine.blame import Evidence
from mimosaspur_coordination.quarantine.blame import PartHoldings
from mimosaspur_coordination.quarantine.blame import find_culprit
from mimosaspur_coordination.quarantine.servedparts import ServedParts
from mimosaspur_coordination.quarantine.traits import RequestTraits
from mimosaspur_coordination.quarantine.traits import is_part
from mimosaspur_state.clock import Clock

# A suspect of enough crashes waits for so long after the last one for what else was there: once
# that is served, nothing but the suspect explains them.
RIVALS_WAIT_MS = 2_000
# Evidence of other entries arrives within this time, longer than a report takes to reach all.
SETTLE_MS = 500
RETENTION_MS = 600_000
# How long requests with a part that was served before are rejected after its last crash: such a
# part is blamed wrongly if all targets crash for another reason and serve nothing meanwhile.
SERVED_PART_RETENTION_MS = 30_000
# A part that was served so shortly before a crash is not suspected of it.
RECENTLY_SERVED_MS = 1_000
MAX_CRASHES = 100
MAX_REQUESTS_PER_CRASH = 64
# Parts of prompts that are recorded with their requests, each as often as requests hold it: of one
# crash, and of all. The latter fit into one message between entries.
MAX_HELD_PARTS_PER_CRASH = 8_192
MAX_HELD_PARTS = 40_960
# Requests with a part that may have caused this many crashes are held back.
MIN_PART_CRASHES = 2


class Stage(IntEnum):
    """Order what may be known of a trait at a target that crashed."""

    # The target hadn't begun to respond to a request with it, or had long been responding.
    QUEUED = 1
    RUNNING = 2
    # It is held to have crashed the target.
    BLAMED = 3
    # A target has served a request with it to its end, so that it doesn't crash them.
    CLEARED = 4


@dataclass(slots=True)
class Crash:
    """Hold what was at a target when it crashed."""

    # The target's incarnation.
    target: str
    # On this instance's clock.
    known_since_ms: int
    traits: dict[bytes, Stage] = field(default_factory=dict)
    # The parts of each request's prompt, by digest.
    parts: dict[bytes, tuple[bytes, ...]] = field(default_factory=dict)
    # Parts that targets had served at some time before.
    served: set[bytes] = field(default_factory=set)
    # Whether all entries have reported what they had there.
    complete: bool = False
    # Whether all have told the coordinator so: the end of an entry loses no evidence then.
    acknowledged: bool = False
    # The number of `parts`, each as often as requests hold it.
    held_parts: int = 0
    # Derived from `parts`; None after a change of them.
    cached_holdings: PartHoldings | None = None
    # Derived from all else; None after a change.
    cached_evidence: Evidence | None = None

    def is_explained(self) -> bool:
        """Return whether a trait is blamed for the crash."""
        return Stage.BLAMED in self.traits.values()

    def suspects(self) -> dict[bytes, Stage]:
        """Return the traits that may have crashed the target, only those blamed if there are."""
        explained = self.is_explained()
        return {
            trait: stage
            for trait, stage in self.traits.items()
            if stage is Stage.BLAMED or (stage < Stage.BLAMED and not explained)
        }

    def evidence(self) -> Evidence:
        """Return what is known of the crash, to find what caused it."""
        if self.cached_evidence is None:
            self.cached_evidence = self._evidence()
        return self.cached_evidence

    def _evidence(self) -> Evidence:
        if self.cached_holdings is None:
            self.cached_holdings = PartHoldings(self.parts)
        uncleared = {key: stage for key, stage in self.traits.items() if stage < Stage.CLEARED}
        return Evidence(
            suspects=uncleared,
            complete=self.complete,
            known_ms=self.known_since_ms,
            parts=self.parts,
            served=self.served,
            blamed={key for key, stage in uncleared.items() if stage is Stage.BLAMED},
            cached_holdings=self.cached_holdings,
        )

    def has_room_for(self, trait: bytes) -> bool:
        """Return whether another trait may be recorded."""
        if is_part(trait):
            return len(self.traits) < MAX_REQUESTS_PER_CRASH + MAX_HELD_PARTS_PER_CRASH
        return self.request_count() < MAX_REQUESTS_PER_CRASH

    def request_count(self) -> int:
        """Return the number of requests that were there, as far as is known."""
        return sum(not is_part(trait) for trait in self.traits)


class CrashLedger:
    """Hold the crashes that are known here, by incarnation: each target crashes once in one."""

    __slots__ = (
        "_by_trait",
        "_oldest_ms",
        "_reviewed",
        "_version",
        "clock",
        "covered",
        "covered_since_ms",
        "crashes",
        "served",
        "unreported",
    )

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        # Oldest first.
        self.crashes: dict[str, Crash] = {}
        # By target, the traits that were added or changed since they were last reported.
        self.unreported: dict[str, set[bytes]] = {}
        # What targets have served at this instance.
        self.served = ServedParts(clock=clock)
        # The evidence of all entries is known on crashes since then, once `covered`; None if
        # nothing is known of it.
        self.covered_since_ms: int | None = None
        # Whether no entry is missing now.
        self.covered = False
        # Derived from `crashes`: those that each trait is a suspect of; None after a change.
        self._by_trait: dict[bytes, list[Crash]] | None = None
        # When the oldest of them became known.
        self._oldest_ms = 0
        # The number of changes so far, and what the last review has seen of the crashes.
        self._version = 0
        self._reviewed: tuple[int, int, int] | None = None

    def record(
        self,
        target: str,
        traits: Mapping[bytes, Stage],
        *,
        parts: Mapping[bytes, Sequence[bytes]] | None = None,
        served: Iterable[bytes] = (),
        age_ms: int = 0,
        acknowledged: bool = False,
        report: bool = True,
    ) -> bool:
        """Merge what is known of a crash; return whether it adds anything.

        `parts` tells the parts of requests by digest; they are recorded as traits too.
        """
        crash = self.crashes.get(target)
        if crash is None:
            if not traits or age_ms >= RETENTION_MS:
                return False
            crash = self.crashes[target] = Crash(target, self.clock.now_ms() - age_ms)
        parts = self._fitting(crash, traits, parts or {})
        changed = self._merge(crash, _with_parts(traits, parts))
        described = parts.keys() & crash.traits.keys() - crash.parts.keys()
        if described:
            crash.parts.update((digest, tuple(parts[digest])) for digest in described)
            crash.held_parts += sum(len(parts[digest]) for digest in described)
            crash.cached_holdings = None
        changed |= described
        newly_served = crash.traits.keys() & set(served) - crash.served
        crash.served |= newly_served
        changed |= newly_served
        own = self._judge_by_own_memory(crash, changed)
        if changed:
            self._on_change(crash)
            # What this instance adds is news even to whom the rest was learned from.
            news = changed | own if report else own
            if news:
                self.unreported.setdefault(target, set()).update(news)
        newly_acknowledged = acknowledged and not crash.acknowledged
        if newly_acknowledged:
            crash.acknowledged = crash.complete = True
            crash.cached_evidence = None
            if report:
                self.unreported.setdefault(target, set())
        self._drop_excess()
        return bool(changed) or newly_acknowledged

    def unacknowledged(self) -> list[str]:
        """Return the crashes on which some entry may still have to report."""
        return [target for target, crash in self.crashes.items() if not crash.acknowledged]

    def acknowledge(self, target: str, *, covered_ms: int) -> None:
        """Record that all entries have reported on a crash, unless it was before all followed.

        `covered_ms` is the age of the oldest crash with the evidence of all entries, negative if
        one is missing.
        """
        crash = self.crashes.get(target)
        if crash and covered_ms >= self.clock.now_ms() - crash.known_since_ms:
            self.record(target, {}, acknowledged=True)

    def on_served(self, parts: Sequence[bytes]) -> bool:
        """Record that a target has served a request with these parts; return as `clear` does."""
        self.served.record(parts)
        return self._clear(parts)

    def clear(self, trait: bytes) -> bool:
        """Record that a trait doesn't crash targets; return whether it was suspected."""
        return self._clear((trait,))

    def _clear(self, traits: Sequence[bytes]) -> bool:
        found = {
            each.target: suspects
            for each in self.crashes.values()
            if (suspects := [key for key in traits if _is_suspect(each, key)])
        }
        cleared = [
            self.record(target, dict.fromkeys(suspects, Stage.CLEARED))
            for target, suspects in found.items()
        ]
        return any(cleared)

    def crash_count(self, trait: bytes) -> int:
        """Return how many crashes a trait is a suspect of."""
        return len(self._crashes_of(trait))

    def is_quarantined(self, trait: bytes) -> bool:
        """Return whether a trait is blamed for as many crashes as are enough."""
        return self._is_enough(trait, self._crashes_of(trait))

    def has_quarantined(self, traits: Iterable[bytes]) -> bool:
        """Return whether one of some traits is quarantined."""
        if not self.crashes:
            return False
        index = self._index()
        return any(self._is_enough(trait, index[trait]) for trait in traits if trait in index)

    def quarantined(self) -> dict[bytes, list[Crash]]:
        """Return the quarantined traits with the crashes that they are blamed for."""
        index = self._index()
        return {trait: own for trait, own in index.items() if self._is_enough(trait, own)}

    def holding(self, traits: RequestTraits) -> list[bytes]:
        """Return the traits for which a request has to wait for other requests with them.

        A part that was served before holds none back: most of those with it are sound.
        """
        return self.suspected(traits.all())

    def suspected(self, traits: Iterable[bytes]) -> list[bytes]:
        """Return those of some traits for which requests have to wait for one another."""
        if not self.crashes:
            return []
        index = self._index()
        return [trait for trait in traits if trait in index and self._holds(trait)]

    def _holds(self, trait: bytes) -> bool:
        crashes = self._crashes_of(trait)
        if not is_part(trait):
            return bool(crashes)
        served = any(trait in crash.served for crash in crashes)
        return len(crashes) >= MIN_PART_CRASHES and not served

    def set_covered(self, age_ms: int) -> bool:
        """Set the age of the oldest crash with the evidence of all entries, negative if unknown.

        Return whether crashes are covered that were not before.
        """
        before = self.covered
        self.covered = age_ms >= 0
        if self.covered:
            self.covered_since_ms = self.clock.now_ms() - age_ms
        return self.covered and not before and bool(self.crashes)

    def settles_in_ms(self, trait: bytes) -> int:
        """Return the time until a verdict on a trait is due, 0 if none is."""
        return self._verdict_wait_ms(trait, SETTLE_MS)

    def _verdict_wait_ms(self, trait: bytes, wait_ms: int) -> int:
        """Return what is left of a time after the last crash of an undecided suspect of enough."""
        crashes = self._crashes_of(trait)
        if len(crashes) < QUARANTINE_THRESHOLD or self.is_quarantined(trait):
            return 0
        newest_ms = max(crash.known_since_ms for crash in crashes)
        return max(0, newest_ms + wait_ms - self.clock.now_ms())

    def has_undecided(self) -> bool:
        """Return whether a trait is a suspect of enough crashes, and not blamed for them."""
        enough = (each for each, own in self._index().items() if len(own) >= QUARANTINE_THRESHOLD)
        return not all(map(self.is_quarantined, enough))

    def held_ms(self, trait: bytes) -> int:
        """Return for how long a request with a trait isn't sent, 0 if it may be."""
        # While evidence is missing, only further crashes bring a verdict.
        return self._verdict_wait_ms(trait, RIVALS_WAIT_MS if self.covered else SETTLE_MS)

    def assign_blame(self) -> None:
        """Blame crashes on traits where the evidence suffices."""
        self._mark_complete()
        if self._review_state() == self._reviewed:
            return
        blamed = {
            trait
            for crash in self.crashes.values()
            for trait, stage in crash.traits.items()
            if stage is Stage.BLAMED
        }
        for trait in blamed:
            # One that was blamed before is blamed for each further crash at once.
            self._blame(trait)
        while (culprit := self._find_culprit()) is not None:
            self._blame(culprit)
        self._reviewed = self._review_state()

    def take_unreported(self) -> list[Crash]:
        """Return what has been added or changed since the last call."""
        changed = [self._extract(target, traits) for target, traits in self.unreported.items()]
        self.unreported.clear()
        return changed

    def report_all(self) -> None:
        """Report all records again, to a coordinator that may not have them."""
        self.unreported = {target: set(each.traits) for target, each in self.crashes.items()}

    def _extract(self, target: str, traits: set[bytes]) -> Crash:
        """Return the part of a record that concerns some traits."""
        crash = self.crashes[target]
        return Crash(
            target,
            crash.known_since_ms,
            {trait: crash.traits[trait] for trait in traits},
            {digest: crash.parts[digest] for digest in traits & crash.parts.keys()},
            traits & crash.served,
            acknowledged=crash.acknowledged,
        )

    def _fitting(
        self, crash: Crash, traits: Mapping[bytes, Stage], parts: Mapping[bytes, Sequence[bytes]]
    ) -> dict[bytes, Sequence[bytes]]:
        """Return the prompts for which a record has room; the likeliest culprits go first.

        These are the requests that ran, and of them those with a part that wasn't served here.
        """
        left = MAX_HELD_PARTS_PER_CRASH - crash.held_parts
        if left >= sum(map(len, parts.values())):
            return dict(parts)

        def rank(digest: bytes) -> tuple[bool, bool, bytes]:
            is_proved = all(self.served.last_ms(part) is not None for part in parts[digest])
            return traits.get(digest, Stage.QUEUED) < Stage.RUNNING, is_proved, digest

        fitting = {digest: parts[digest] for digest in parts.keys() & crash.parts.keys()}
        for digest in sorted(parts.keys() - crash.parts.keys(), key=rank):
            if len(parts[digest]) <= left:
                fitting[digest] = parts[digest]
                left -= len(parts[digest])
        return fitting

    def _merge(self, crash: Crash, traits: Mapping[bytes, Stage]) -> set[bytes]:
        """Raise stages in a record; return the traits that were added or changed."""
        changed = set()
        # Runs go before queued requests if there isn't room for all.
        for trait, stage in sorted(traits.items(), key=lambda item: -item[1]):
            known = crash.traits.get(trait)
            if known is None and not crash.has_room_for(trait):
                continue
            if known is None or known < stage:
                crash.traits[trait] = stage
                changed.add(trait)
        return changed

    def _judge_by_own_memory(self, crash: Crash, traits: Iterable[bytes]) -> set[bytes]:
        """Clear parts that were served just before a crash, and note those served earlier.

        Return the parts that were changed.
        """
        changed = set()
        for trait in traits:
            if crash.traits[trait] is Stage.CLEARED:
                continue
            served_ms = self.served.last_ms(trait)
            if served_ms is None or served_ms < crash.known_since_ms - RETENTION_MS:
                continue
            if served_ms >= crash.known_since_ms - RECENTLY_SERVED_MS:
                crash.traits[trait] = Stage.CLEARED
                changed.add(trait)
            elif trait not in crash.served:
                crash.served.add(trait)
                changed.add(trait)
        return changed

    def _blame(self, trait: bytes) -> None:
        for crash in list(self.crashes.values()):
            if crash.traits.get(trait, Stage.BLAMED) < Stage.BLAMED and (
                not crash.is_explained() or crash.evidence().may_blame(trait)
            ):
                self.record(crash.target, {trait: Stage.BLAMED})

    def _on_change(self, crash: Crash) -> None:
        crash.cached_evidence = None
        self._by_trait = None
        self._version += 1

    def _review_state(self) -> tuple[int, int, int]:
        """Return what a review depends on: changes, and the settled and complete crashes."""
        complete = sum(crash.complete for crash in self.crashes.values())
        return self._version, len(self._settled()), complete

    def _settled(self) -> list[Crash]:
        settled_ms = self.clock.now_ms() - SETTLE_MS
        return [each for each in self.crashes.values() if each.known_since_ms <= settled_ms]

    def _mark_complete(self) -> None:
        """Mark the settled crashes on which all entries have reported."""
        if not self.covered or self.covered_since_ms is None:
            return
        for crash in self._settled():
            if not crash.complete and self.covered_since_ms <= crash.known_since_ms:
                crash.complete = True
                crash.cached_evidence = None

    def _find_culprit(self) -> bytes | None:
        """Return a trait that explains enough crashes, one at least that nothing is blamed for."""
        settled = self._settled()
        if all(crash.is_explained() for crash in settled):
            return None
        return find_culprit([crash.evidence() for crash in settled])

    def _crashes_of(self, trait: bytes) -> list[Crash]:
        return self._index().get(trait, []) if self.crashes else []

    def _index(self) -> dict[bytes, list[Crash]]:
        self._expire()
        if self._by_trait is None:
            self._by_trait = {}
            known = (each.known_since_ms for each in self.crashes.values())
            self._oldest_ms = min(known, default=self.clock.now_ms())
            for crash in self.crashes.values():
                for trait in crash.suspects():
                    self._by_trait.setdefault(trait, []).append(crash)
        return self._by_trait

    def _is_enough(self, trait: bytes, crashes: Sequence[Crash]) -> bool:
        """Return whether a trait is blamed for enough of its crashes to be quarantined."""
        blamed = [crash for crash in crashes if crash.traits[trait] is Stage.BLAMED]
        if len(blamed) < QUARANTINE_THRESHOLD:
            return False
        if not any(trait in crash.served for crash in blamed):
            return True
        newest_ms = max(crash.known_since_ms for crash in blamed)
        return self.clock.now_ms() - newest_ms < SERVED_PART_RETENTION_MS

    def _expire(self) -> None:
        oldest_ms = self.clock.now_ms() - RETENTION_MS
        if self._by_trait is not None and oldest_ms <= self._oldest_ms:
            return
        self._remove([key for key, each in self.crashes.items() if each.known_since_ms < oldest_ms])

    def _drop_excess(self) -> None:
        """Keep the number of records bounded; those behind a verdict go last."""
        excess = len(self.crashes) - MAX_CRASHES
        excess_parts = sum(each.held_parts for each in self.crashes.values()) - MAX_HELD_PARTS
        if excess <= 0 and excess_parts <= 0:
            return
        unexplained = [key for key, each in self.crashes.items() if not each.is_explained()]
        explained = [key for key, each in self.crashes.items() if each.is_explained()]
        removed: list[str] = []
        for target in [*unexplained, *explained]:
            if len(removed) >= excess and excess_parts <= 0:
                break
            removed.append(target)
            excess_parts -= self.crashes[target].held_parts
        self._remove(removed)

    def _remove(self, targets: Sequence[str]) -> None:
        for target in targets:
            self._on_change(self.crashes.pop(target))
            self.unreported.pop(target, None)


def _is_suspect(crash: Crash, trait: bytes) -> bool:
    return crash.traits.get(trait, Stage.CLEARED) < Stage.CLEARED


def _with_parts(
    traits: Mapping[bytes, Stage], parts: Mapping[bytes, Sequence[bytes]]
) -> dict[bytes, Stage]:
    """Add the parts of requests that were at a target, at the furthest stage of their requests."""
    merged = dict(traits)
    for digest, own in parts.items():
        stage = traits.get(digest, Stage.CLEARED)
        if stage <= Stage.RUNNING:
            for part in own:
                merged[part] = max(stage, merged.get(part, stage))
    return merged
