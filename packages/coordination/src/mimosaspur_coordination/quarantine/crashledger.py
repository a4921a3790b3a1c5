"""Record which requests were at targets that crashed, and quarantine the one that crashes them.

A record only grows: of two copies, each request keeps the later stage. So copies from any number of
entries can be merged in any order, any number of times.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from enum import IntEnum

from mimosaspur_coordination.quarantine.blame import QUARANTINE_THRESHOLD
from mimosaspur_coordination.quarantine.blame import Evidence
from mimosaspur_coordination.quarantine.blame import find_culprit
from mimosaspur_state.clock import Clock

# Evidence of other entries arrives within this time, longer than a report takes to reach all.
SETTLE_MS = 500
RETENTION_MS = 600_000
MAX_CRASHES = 100
MAX_REQUESTS_PER_CRASH = 64


class Stage(IntEnum):
    """Order what may be known of a request at a target that crashed."""

    # The target hadn't begun to respond.
    QUEUED = 1
    RUNNING = 2
    # It is held to have crashed the target.
    BLAMED = 3
    # It has completed at a target, so that it doesn't crash them.
    CLEARED = 4


@dataclass(slots=True)
class Crash:
    """Hold the requests that were at a target when it crashed, by digest."""

    # The target's incarnation.
    target: str
    # On this instance's clock.
    known_since_ms: int
    requests: dict[bytes, Stage] = field(default_factory=dict)
    # Whether all entries have reported what they had there.
    complete: bool = False

    def is_explained(self) -> bool:
        """Return whether a request is blamed for the crash."""
        return Stage.BLAMED in self.requests.values()

    def suspects(self) -> dict[bytes, Stage]:
        """Return the requests that may have crashed the target, only those blamed if there are."""
        explained = self.is_explained()
        return {
            digest: stage
            for digest, stage in self.requests.items()
            if stage is Stage.BLAMED or (stage < Stage.BLAMED and not explained)
        }


class CrashLedger:
    """Hold the crashes that are known here, by incarnation: each target crashes once in one."""

    __slots__ = ("_by_request", "clock", "covered", "covered_since_ms", "crashes", "unreported")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        # Oldest first.
        self.crashes: dict[str, Crash] = {}
        # By target, the requests that were added or changed since they were last reported.
        self.unreported: dict[str, set[bytes]] = {}
        # The evidence of all entries is known on crashes since then, once `covered`; None if
        # nothing is known of it.
        self.covered_since_ms: int | None = None
        # Whether no entry is missing now.
        self.covered = False
        # Derived from `crashes`: those that each request is a suspect of; None after a change.
        self._by_request: dict[bytes, list[Crash]] | None = None

    def record(
        self, target: str, requests: Mapping[bytes, Stage], *, age_ms: int = 0, report: bool = True
    ) -> bool:
        """Merge what is known of a crash; return whether it adds anything."""
        crash = self.crashes.get(target)
        if crash is None:
            if not requests or age_ms >= RETENTION_MS:
                return False
            crash = self.crashes[target] = Crash(target, self.clock.now_ms() - age_ms)
        changed = set()
        # Runs go before queued requests if there isn't room for all.
        for digest, stage in sorted(requests.items(), key=lambda item: -item[1]):
            known = crash.requests.get(digest)
            if known is None and len(crash.requests) >= MAX_REQUESTS_PER_CRASH:
                break
            if known is None or known < stage:
                crash.requests[digest] = stage
                changed.add(digest)
        if changed:
            self._by_request = None
            if report:
                self.unreported.setdefault(target, set()).update(changed)
        self._drop_excess()
        return bool(changed)

    def clear(self, digest: bytes) -> bool:
        """Record that a request has completed at a target; return whether it was suspected."""
        found = [each.target for each in self.crashes.values() if digest in each.requests]
        cleared = [self.record(target, {digest: Stage.CLEARED}) for target in found]
        return any(cleared)

    def crash_count(self, digest: bytes) -> int:
        """Return how many crashes a request is a suspect of."""
        return len(self._crashes_of(digest))

    def is_quarantined(self, digest: bytes) -> bool:
        """Return whether a request is blamed for as many crashes as are enough."""
        return _is_enough(digest, self._crashes_of(digest))

    def quarantined(self) -> dict[bytes, list[Crash]]:
        """Return the quarantined requests with the crashes that they are blamed for."""
        index = self._index()
        return {digest: own for digest, own in index.items() if _is_enough(digest, own)}

    def set_covered(self, age_ms: int) -> bool:
        """Set the age of the oldest crash with the evidence of all entries, negative if unknown.

        Return whether crashes are covered that were not before.
        """
        before = self.covered
        self.covered = age_ms >= 0
        if self.covered:
            self.covered_since_ms = self.clock.now_ms() - age_ms
        return self.covered and not before and bool(self.crashes)

    def settles_in_ms(self, digest: bytes) -> int:
        """Return the time until a verdict on a request is due, 0 if none is."""
        crashes = self._crashes_of(digest)
        if len(crashes) < QUARANTINE_THRESHOLD or self.is_quarantined(digest):
            return 0
        newest_ms = max(crash.known_since_ms for crash in crashes)
        return max(0, newest_ms + SETTLE_MS - self.clock.now_ms())

    def assign_blame(self) -> None:
        """Blame crashes on requests where the evidence suffices."""
        self._mark_complete()
        blamed = {
            digest
            for crash in self.crashes.values()
            for digest, stage in crash.requests.items()
            if stage is Stage.BLAMED
        }
        for digest in blamed:
            # One that was blamed before is blamed for each further crash at once.
            self._blame(digest)
        while (culprit := self._find_culprit()) is not None:
            self._blame(culprit)

    def take_unreported(self) -> list[Crash]:
        """Return what has been added or changed since the last call."""
        changed = [
            Crash(target, self.crashes[target].known_since_ms, self._stages(target, digests))
            for target, digests in self.unreported.items()
        ]
        self.unreported.clear()
        return changed

    def report_all(self) -> None:
        """Report all records again, to a coordinator that may not have them."""
        self.unreported = {target: set(each.requests) for target, each in self.crashes.items()}

    def _stages(self, target: str, digests: Iterable[bytes]) -> dict[bytes, Stage]:
        return {digest: self.crashes[target].requests[digest] for digest in digests}

    def _blame(self, digest: bytes) -> None:
        for crash in list(self._crashes_of(digest)):
            self.record(crash.target, {digest: Stage.BLAMED})

    def _mark_complete(self) -> None:
        """Mark the settled crashes on which all entries have reported."""
        if not self.covered or self.covered_since_ms is None:
            return
        settled_ms = self.clock.now_ms() - SETTLE_MS
        for crash in self.crashes.values():
            crash.complete |= self.covered_since_ms <= crash.known_since_ms <= settled_ms

    def _find_culprit(self) -> bytes | None:
        """Return a request that explains enough crashes for which nothing is blamed yet."""
        settled_ms = self.clock.now_ms() - SETTLE_MS
        unexplained = [
            Evidence(crash.suspects(), crash.complete)
            for crash in self.crashes.values()
            if crash.known_since_ms <= settled_ms and not crash.is_explained()
        ]
        return find_culprit(unexplained)

    def _crashes_of(self, digest: bytes) -> list[Crash]:
        return self._index().get(digest, []) if self.crashes else []

    def _index(self) -> dict[bytes, list[Crash]]:
        self._expire()
        if self._by_request is None:
            self._by_request = {}
            for crash in self.crashes.values():
                for digest in crash.suspects():
                    self._by_request.setdefault(digest, []).append(crash)
        return self._by_request

    def _expire(self) -> None:
        oldest_ms = self.clock.now_ms() - RETENTION_MS
        self._remove([key for key, each in self.crashes.items() if each.known_since_ms < oldest_ms])

    def _drop_excess(self) -> None:
        """Keep the number of records bounded; those behind a verdict go last."""
        excess = len(self.crashes) - MAX_CRASHES
        if excess > 0:
            unexplained = [key for key, each in self.crashes.items() if not each.is_explained()]
            explained = [key for key, each in self.crashes.items() if each.is_explained()]
            self._remove([*unexplained, *explained][:excess])

    def _remove(self, targets: Sequence[str]) -> None:
        for target in targets:
            del self.crashes[target]
            self.unreported.pop(target, None)
            self._by_request = None


def _is_enough(digest: bytes, crashes: Iterable[Crash]) -> bool:
    """Return whether a request is blamed for enough of its crashes to be quarantined."""
    blamed = sum(crash.requests[digest] is Stage.BLAMED for crash in crashes)
    return blamed >= QUARANTINE_THRESHOLD
