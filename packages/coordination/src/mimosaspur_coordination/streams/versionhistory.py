"""Track which software versions a service's targets have had, and how sure that is."""

from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from mimosaspur_coordination.fleetports import VersionRecord
from mimosaspur_state.clock import Clock

DISTANT_PAST_MS = -1_000_000_000
# The difference that is allowed for between the clocks of two machines over lag_ms.
CLOCK_MARGIN_MS = 200


@dataclass(slots=True)
class ServiceVersions:
    """Hold the versions of one service."""

    present: frozenset[str] = frozenset()
    first_seen_ms: dict[str, int] = field(default_factory=dict)
    # When the last target of a version went.
    gone_ms: dict[str, int] = field(default_factory=dict)
    # Versions in use that the store's record named, and those that were registered ever since.
    named: frozenset[str] = frozenset()
    recorded: frozenset[str] = frozenset()
    # Since when the record and the lists together name all versions that could begin a stream.
    covered_since_ms: int = DISTANT_PAST_MS

    def seen_since_ms(self, version: str) -> int:
        """Return when a version was first seen."""
        return self.first_seen_ms.get(version, DISTANT_PAST_MS)


class VersionHistory:
    """Track versions by service, for as long as a stream that a version began may be resumed.

    An entry uses a version for new streams only `lag_ms` and CLOCK_MARGIN_MS after it has first
    seen it, and takes a list of targets for current only for less than `lag_ms`. So no stream was
    begun anywhere by a version that is missing in a current list.

    This needs ages that are never too low, however long an answer was on its way or waited for
    this process: see `answer_age_ms`.

    What an entry hasn't seen itself, since it has just started, it learns from the store's record
    of versions. A version that was never seen with a lifetime of lists is recorded before its use.
    """

    __slots__ = (
        "clock",
        "confirmed_ms",
        "continuous_since_ms",
        "lag_ms",
        "lifetime_ms",
        "record_read_ms",
        "services",
    )

    def __init__(self, *, clock: Clock, lag_ms: int, lifetime_ms: int) -> None:
        # Must count time in suspend.
        self.clock = clock
        self.lag_ms = lag_ms
        self.lifetime_ms = lifetime_ms
        self.services: dict[str, ServiceVersions] = {}
        # The age of the list of targets, and since when it was never too old.
        self.confirmed_ms = DISTANT_PAST_MS
        self.continuous_since_ms = clock.now_ms()
        # When the store was last asked for its record of versions.
        self.record_read_ms = DISTANT_PAST_MS

    def confirm(self, *, age_ms: int) -> None:
        """Record that the list of targets was current age_ms ago, or later."""
        now_ms = self.clock.now_ms()
        gap_ms = now_ms - self.confirmed_ms
        if gap_ms >= self.lag_ms:
            self.continuous_since_ms = now_ms
        if gap_ms >= self.lifetime_ms - self.lag_ms:
            self._forget_first_seen()
        self.confirmed_ms = max(self.confirmed_ms, now_ms - age_ms)

    def update(self, versions: Mapping[str, Collection[str]]) -> set[str]:
        """Apply the versions of all registered targets; return the services with a new one."""
        grown = set()
        for service in {*versions, *self.services}:
            known = self.services.setdefault(service, ServiceVersions())
            if self._update_service(known, frozenset(versions.get(service, ()))):
                grown.add(service)
        return grown

    def is_current(self) -> bool:
        """Return whether the list of targets is recent enough to rely on."""
        return self.clock.now_ms() - self.confirmed_ms < self.lag_ms

    def list_state(self) -> dict[str, int | None]:
        """Return what tells whether the list of targets is current, for logs."""
        now_ms = self.clock.now_ms()
        was_confirmed = self.confirmed_ms != DISTANT_PAST_MS
        return {
            "list_age_ms": now_ms - self.confirmed_ms if was_confirmed else None,
            "list_complete_ms": now_ms - self.continuous_since_ms,
        }

    def recent(self, service: str) -> set[str]:
        """Return the versions that may have begun a stream that may still be resumed."""
        known = self.services.get(service)
        if known is None:
            return set()
        oldest_ms = self.clock.now_ms() - self.lifetime_ms
        gone = {version for version, at_ms in known.gone_ms.items() if at_ms > oldest_ms}
        return gone | known.present

    def is_complete(self, service: str) -> bool:
        """Return whether no version is missing that may have begun a stream."""
        known = self.services.get(service)
        lived = self.clock.now_ms() - self.continuous_since_ms >= self.lifetime_ms
        covered = known is not None and known.covered_since_ms >= self.continuous_since_ms
        return (lived or covered) and self.is_current()

    def sole_version(self, service: str) -> str | None:
        """Return the only version that can have begun a stream, None if that isn't sure."""
        recent = self.recent(service)
        if len(recent) != 1 or not self.is_complete(service):
            return None
        return next(iter(recent))

    def may_have_several(self, service: str) -> bool:
        """Return whether other entries must be told which version began a stream."""
        # One that isn't sure of the only version either needs the answers of all otherwise.
        return self.sole_version(service) is None

    def may_begin(self, service: str, version: str) -> bool:
        """Return whether a new stream may go to a version: all entries know it by now.

        Those that start later know it from the record.
        """
        known = self.services.get(service)
        if known is None or version in known.recorded:
            return True
        if known.present == {version} and not self._has_just_gone(known):
            return True
        if (
            known.named & known.present
            or DISTANT_PAST_MS < self.record_read_ms < known.seen_since_ms(version)
        ):
            return False
        return self.is_known_to_all(service, version)

    def is_known_to_all(self, service: str, version: str) -> bool:
        """Return whether each list that counts as current holds a version."""
        known = self.services[service]
        seen_ms = self.clock.now_ms() - known.seen_since_ms(version)
        return seen_ms >= self.lag_ms + CLOCK_MARGIN_MS

    def apply_record(self, record: VersionRecord | None, *, asked_ms: int) -> set[str]:
        """Apply the store's record as of asked_ms; return the services with a further version."""
        now_ms = self.clock.now_ms()
        before = {service: self.recent(service) for service in self.services}
        self.record_read_ms = asked_ms
        for service in {*self.services, *(record.services if record else ())}:
            known = self.services.setdefault(service, ServiceVersions())
            versions = record.services.get(service) if record and not record.restored else None
            in_use = {version for version, used in (versions or {}).items() if used}
            known.named = frozenset(in_use)
            known.recorded = known.present & known.named
            # Lists that were read before the record miss what has gone before them.
            if versions is None or asked_ms < self.continuous_since_ms or not self.is_current():
                continue
            if known.covered_since_ms < self.continuous_since_ms:
                known.covered_since_ms = asked_ms
                # A version that isn't registered may have begun streams until just now.
                known.gone_ms |= dict.fromkeys(versions.keys() - known.present, now_ms)
                for version in known.present - in_use:
                    known.first_seen_ms[version] = asked_ms
            for version in versions.keys() - known.present:
                known.gone_ms.setdefault(version, now_ms)
        return {service for service, known in before.items() if self.recent(service) - known}

    def has_read_record(self) -> bool:
        """Return whether the record was read since the lists were last too old."""
        return self.record_read_ms >= self.continuous_since_ms

    def is_record_due(self) -> bool:
        """Return whether the record must be read to rely on the lists, or to use a version."""
        if not self.is_current():
            return False
        return not self.has_read_record() or any(
            self._lacks_record(service, known, version)
            for service, known in self.services.items()
            for version in known.present - known.recorded
        )

    def _lacks_record(self, service: str, known: ServiceVersions, version: str) -> bool:
        if version in known.named:
            # It was gone for a moment.
            return True
        was_read = self.record_read_ms >= known.seen_since_ms(version)
        is_missed = bool(known.named & known.present) or not was_read
        return is_missed and self.is_known_to_all(service, version)

    def _has_just_gone(self, known: ServiceVersions) -> bool:
        """Return whether a version has gone that others may still have in a current list."""
        oldest_ms = self.clock.now_ms() - self.lag_ms - CLOCK_MARGIN_MS
        return any(at_ms > oldest_ms for at_ms in known.gone_ms.values())

    def _forget_first_seen(self) -> None:
        """Take all versions for new ones.

        One may have been away for so long that other entries have forgotten it.
        """
        now_ms = self.clock.now_ms()
        for known in self.services.values():
            known.first_seen_ms = dict.fromkeys(known.first_seen_ms, now_ms)
            known.recorded = frozenset()

    def _update_service(self, known: ServiceVersions, present: frozenset[str]) -> bool:
        now_ms = self.clock.now_ms()
        was_first = not known.first_seen_ms
        for version in present - known.present:
            # Entries that started while it was gone don't know a version that comes back.
            known.gone_ms.pop(version, None)
            known.first_seen_ms[version] = now_ms
        for version in known.present - present:
            known.gone_ms[version] = now_ms
        grown = not was_first and bool(present - known.present)
        known.present = present
        known.recorded &= present
        return grown
