"""Write an instance's demand and status records for the planner."""

import threading
from collections.abc import Callable

import msgspec

from mimosaspur_coordination.demandcounter import BUCKET_COUNT
from mimosaspur_coordination.demandcounter import DemandCounter
from mimosaspur_daemon.singlewriterrecord import SingleWriterRecord
from mimosaspur_state import keys
from mimosaspur_state.objects import ObjectStore
from mimosaspur_state.records import DemandReport
from mimosaspur_state.records import TargetStatus
from mimosaspur_state.settings import Settings

STATUS_CHECK_INTERVAL_S = 0.5


class DemandReporter:
    """Write an entry's demand whenever it changes."""

    def __init__(self, store: ObjectStore, settings: Settings, demand: DemandCounter) -> None:
        self.settings = settings
        self.demand = demand
        key = keys.demand(settings.instance.region, settings.instance.name)
        self.record = SingleWriterRecord(store, key)

    def run(self, stop: threading.Event) -> None:
        """Report until `stop` is set."""
        interval_ms = self.settings.planner.demand_report_ms
        window_ms = self.settings.planner.demand_window_ms
        beats_per_rotation = max(1, window_ms // BUCKET_COUNT // interval_ms)
        beat = 0
        last_written = None
        while not stop.wait(interval_ms / 1000):
            beat += 1
            if beat % beats_per_rotation == 0:
                self.demand.rotate()
            models = self.demand.totals()
            report = DemandReport(self.settings.instance.name, window_ms, models, beat)
            if models != last_written and self.record.try_write(report):
                last_written = models


class StatusReporter:
    """Write a target's status on changes and as a heartbeat."""

    def __init__(
        self, store: ObjectStore, settings: Settings, build_status: Callable[[int], TargetStatus]
    ) -> None:
        self.build_status = build_status
        assert settings.target is not None
        self.interval_s = settings.target.status_ms / 1000
        key = keys.status(settings.instance.region, settings.instance.name)
        self.record = SingleWriterRecord(store, key)
        self.wake = threading.Event()

    def on_status_change(self) -> None:
        """Trigger a check of the status."""
        self.wake.set()

    def run(self, stop: threading.Event) -> None:
        """Report until `stop` is set."""
        beat = 0
        last_written: TargetStatus | None = None
        quiet_s = 0.0
        while not stop.is_set():
            self.wake.wait(STATUS_CHECK_INTERVAL_S)
            self.wake.clear()
            quiet_s += STATUS_CHECK_INTERVAL_S
            if (
                last_written == _without_transient_fields(self.build_status(0))
                and quiet_s < self.interval_s
            ):
                continue
            beat += 1
            status = self.build_status(beat)
            if self.record.try_write(status):
                last_written = _without_transient_fields(status)
                quiet_s = 0.0


def _without_transient_fields(status: TargetStatus) -> TargetStatus:
    """Return the status without the fields that change with every request."""
    return msgspec.structs.replace(status, active=0, queued=0, service_time_ms=0, beat=0)
