"""Watch the operators' configuration and the registered targets in the platform's store."""

import asyncio

from mimosaspur_coordination.backoff import Backoff
from mimosaspur_coordination.fleetports import ConfigurationChange
from mimosaspur_coordination.storefreshness import CONFIGURATION_WATCH_SHARE
from mimosaspur_coordination.storefreshness import TARGETS_PAUSE_SHARE
from mimosaspur_coordination.storefreshness import TARGETS_WATCH_SHARE
from mimosaspur_coordination.storefreshness import answer_age_ms
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.storechanges import CONFIGURATION
from mimosaspur_daemon.direct.storechanges import TARGETS
from mimosaspur_state.errors import RevisionTooOld
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.policy import Mechanism

# A store that stops answering never ends a waiting watch. Watches are short so that a change right
# after the store's return is known within 3 s, while the instance still counts as unsettled.
WATCH_WAIT_MS = 2_000
# Pause between two watches, as a share of the time in which a leaving target must be known. Calls
# are priced, and a pause collects many changes in one answer; the rest allows for a failed call.
WATCH_PAUSE_SHARE = 0.35
# How often an entry checks whether the coordinator still reads the store for it.
COORDINATOR_POLL_S = 0.05
# Minimum time between watches of the configuration: versions in quick succession are read together,
# and a store whose watches don't wait isn't flooded.
MIN_CONFIGURATION_INTERVAL_S = 0.2
# Maximum backoff of lists while the store is unreachable, 600 ms with jitter. The sum with
# REREGISTRATION_GRACE_MS stays below 3 s, since by then after the store's return it must be known
# which targets leave or are gone.
MAX_LIST_BACKOFF_MS = 400
# Registrations that expired while the store was unreachable are back this soon after its return.
REREGISTRATION_GRACE_MS = 2_000
# A newer configuration comes from the coordinator within a few ms, on a slow link within some
# hundred; after this time it is read from the store.
PEER_CONFIGURATION_WAIT_MS = 400
UNKNOWN_REVISION = -1


class WatchStatus:
    """Track the failures of lists and watches of one kind of object, and log outages."""

    __slots__ = ("failed_watches", "kind", "list_backoff", "state", "watch_backoff")

    def __init__(self, kind: str, state: EntryState) -> None:
        self.kind = kind
        self.state = state
        self.list_backoff = Backoff(max_delay_ms=MAX_LIST_BACKOFF_MS, undelayed_failures=0)
        # While lists work, little is missed between two watches that fail.
        self.watch_backoff = Backoff()
        # Consecutive failed watches.
        self.failed_watches = 0

    async def pause(self, *, watched: bool) -> None:
        """Wait after a failed list or watch."""
        await asyncio.sleep((self.watch_backoff if watched else self.list_backoff).delay_s())

    def failed(self, error: Exception, *, watched: bool) -> bool:
        """Record a failed list or watch; return whether the store may have been unreachable.

        It may have been if a list fails, or a watch after one that worked. Watches that keep
        failing while lists work show nothing new.
        """
        (self.watch_backoff if watched else self.list_backoff).record_failure()
        first = not self.failed_watches
        self.failed_watches += watched
        if isinstance(error, RevisionTooOld):
            return False
        if self.kind not in self.state.unavailable:
            self.state.unavailable.add(self.kind)
            what = f"store: {self.kind}"
            self.state.log.always("dependency_lost", what=what, error=str(error))
        return first or not watched

    def list_succeeded(self) -> None:
        """Record a successful list, which doesn't show that watches work."""
        self.list_backoff.record_success()
        if self.failed_watches < 2:
            self._log_recovery()

    def watch_succeeded(self) -> None:
        """Record a successful watch."""
        self.watch_backoff.record_success()
        self.list_backoff.record_success()
        self.failed_watches = 0
        self._log_recovery()

    def _log_recovery(self) -> None:
        if self.kind in self.state.unavailable:
            self.state.unavailable.discard(self.kind)
            self.state.log.always("dependency_regained", what=f"store: {self.kind}")


class StoreWatch:
    """Keep an entry's configuration and targets up to date, the last known ones in an outage."""

    def __init__(self, state: EntryState) -> None:
        self.state = state
        self.store = state.dependencies.store
        self.target_status = WatchStatus(TARGETS, state)
        self.configuration_status = WatchStatus(CONFIGURATION, state)
        # Until when missing registrations may return, 0 if none are expected.
        self.grace_until_ms = 0
        # Whether the store may have been unreachable, so that registrations may have expired.
        self.may_have_been_away = False
        # Must count time in suspend, as an answer may have waited for this process meanwhile.
        self.wait_clock = state.stream_versions.clock
        # The ages of the last answers as they were read. The next ones are waited for the shorter.
        self.targets_age_ms = 0
        self.configuration_age_ms = 0

    async def follow_targets(self) -> None:
        """Follow the targets for as long as the process runs."""
        revision = UNKNOWN_REVISION
        while True:
            try:
                if self._served_by_coordinator():
                    revision = UNKNOWN_REVISION
                    await asyncio.sleep(COORDINATOR_POLL_S)
                    continue
                if revision == UNKNOWN_REVISION or self._grace_just_ended():
                    revision = await self._list_targets()
                else:
                    revision = await self._watch_targets(revision)
                await asyncio.sleep(self._pause_s())
            except (RevisionTooOld, StoreUnavailable) as error:
                watched = revision != UNKNOWN_REVISION
                if self.target_status.failed(error, watched=watched):
                    self.may_have_been_away = True
                # Resume with a list, which is answered at once or not at all, unlike a watch.
                revision = UNKNOWN_REVISION
                await self.target_status.pause(watched=watched)

    async def follow_configuration(self) -> None:
        """Follow the configuration for as long as the process runs."""
        revision = UNKNOWN_REVISION
        while True:
            try:
                if self._served_by_coordinator() and not self._must_read_newer():
                    revision = UNKNOWN_REVISION
                    await asyncio.sleep(COORDINATOR_POLL_S)
                    continue
                revision = await self._next_configuration(revision)
            except (RevisionTooOld, StoreUnavailable) as error:
                watched = revision != UNKNOWN_REVISION
                self.configuration_status.failed(error, watched=watched)
                revision = UNKNOWN_REVISION
                await self.configuration_status.pause(watched=watched)

    async def _next_configuration(self, revision: int) -> int:
        """Read the configuration, or wait for a newer one; return its revision."""
        asked_ms = self.wait_clock.now_ms()
        wait_ms = 0
        if revision == UNKNOWN_REVISION:
            change = await self.store.read_configuration()
            self.configuration_status.list_succeeded()
        else:
            wait_ms = self._wait_ms(CONFIGURATION_WATCH_SHARE) - self.configuration_age_ms
            wait_ms = max(0, wait_ms)
            change = await self.store.watch_configuration(revision, wait_ms=wait_ms)
            self.configuration_status.watch_succeeded()
        self.configuration_age_ms = self._age_ms(asked_ms, wait_ms, timed_out=change.timed_out)
        self._confirm(CONFIGURATION, age_ms=self.configuration_age_ms)
        self._configuration_changed(change)
        if revision != UNKNOWN_REVISION:
            took_s = (self.wait_clock.now_ms() - asked_ms) / 1000
            await asyncio.sleep(max(0.0, MIN_CONFIGURATION_INTERVAL_S - took_s))
        return change.revision

    def _served_by_coordinator(self) -> bool:
        """Return whether the coordinator reads the store for this entry."""
        if self.state.coordinating or not self.state.targets_known:
            return False
        return self.state.configuration is not None and self.state.freshness.coordinator_is_fresh()

    def _must_read_newer(self) -> bool:
        """Return whether to read a newer configuration that the coordinator has announced."""
        if self.state.freshness.coordinator_version <= self.state.version():
            return False
        # The coordinator also sends it, which saves the store a call from each entry.
        waits = self.state.uses(Mechanism.PEER_CONFIGURATION)
        return not waits or self.state.freshness.version_age_ms() >= PEER_CONFIGURATION_WAIT_MS

    def _pause_s(self) -> float:
        part = TARGETS_PAUSE_SHARE if self.state.coordinating else WATCH_PAUSE_SHARE
        return max(0.0, self.state.settings.drain_ms * part - self.targets_age_ms) / 1000

    def _wait_ms(self, part: float) -> int:
        if not self.state.coordinating:
            return WATCH_WAIT_MS
        return round(self.state.settings.drain_ms * part)

    def _grace_just_ended(self) -> bool:
        """Return, once, whether targets that are still missing now count as gone."""
        if not self.grace_until_ms or self.state.clock.now_ms() < self.grace_until_ms:
            return False
        self.grace_until_ms = 0
        return True

    def _is_overtaken(self, known: int, answered: int) -> bool:
        """Return whether the coordinator has sent a newer list than the answer that was awaited."""
        return known < self.state.fleet.revision > answered

    async def _list_targets(self) -> int:
        asked_ms = self.wait_clock.now_ms()
        known = self.state.fleet.revision
        listing = await self.store.list_targets()
        self.target_status.list_succeeded()
        if self._is_overtaken(known, listing.revision):
            return UNKNOWN_REVISION
        now_ms = self.state.clock.now_ms()
        if self.may_have_been_away:
            self.may_have_been_away = False
            self.grace_until_ms = now_ms + REREGISTRATION_GRACE_MS
        # While the store is unreachable, registrations expire although the targets live.
        keep = self.state.fleet.targets if now_ms < self.grace_until_ms else ()
        self.state.on_targets_changed(self.state.fleet.replace(listing.targets, keep=keep))
        self.state.fleet.revision = max(self.state.fleet.revision, listing.revision)
        self.targets_age_ms = self._age_ms(asked_ms)
        # Until then registrations may be missing whose targets live, also ones never seen here.
        if now_ms >= self.grace_until_ms:
            self._confirm_targets()
        return listing.revision

    async def _watch_targets(self, revision: int) -> int:
        asked_ms = self.wait_clock.now_ms()
        known = self.state.fleet.revision
        wait_ms = self._wait_ms(TARGETS_WATCH_SHARE)
        changes = await self.store.watch_targets(revision, wait_ms=wait_ms)
        self.target_status.watch_succeeded()
        if self._is_overtaken(known, changes.revision):
            return UNKNOWN_REVISION
        lapsing = self.state.clock.now_ms() < self.grace_until_ms
        removed = [] if lapsing else list(changes.removed)
        self.state.on_targets_changed(self.state.fleet.update(changes.changed, removed))
        self.state.fleet.revision = max(self.state.fleet.revision, changes.revision)
        self.targets_age_ms = self._age_ms(asked_ms, wait_ms, timed_out=changes.timed_out)
        if not lapsing:
            # Removals are held back here meanwhile: other entries must not rely on this data.
            self._confirm_targets()
        return changes.revision

    def _age_ms(self, asked_ms: int, wait_ms: int = 0, *, timed_out: bool = False) -> int:
        """Return the age of the answer to a list or a watch that is read now."""
        now_ms = self.wait_clock.now_ms()
        return answer_age_ms(asked_ms=asked_ms, wait_ms=wait_ms, timed_out=timed_out, now_ms=now_ms)

    def _confirm_targets(self) -> None:
        self._confirm(TARGETS, age_ms=self.targets_age_ms)
        self.state.stream_versions.history.confirm(age_ms=self.targets_age_ms)

    def _confirm(self, kind: str, *, age_ms: int) -> None:
        self.state.freshness.confirm(kind, age_ms=age_ms)

    def _configuration_changed(self, change: ConfigurationChange) -> None:
        if change.configuration:
            self.state.apply_configuration(change.configuration, source="store")
