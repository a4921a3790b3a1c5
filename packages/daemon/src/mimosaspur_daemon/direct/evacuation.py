"""Move running streams off targets that will be gone before the streams end."""

import asyncio
from collections.abc import Collection
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mimosaspur_coordination.fleetview import TargetView
from mimosaspur_coordination.targetchoice import choose_engine
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_state.routes import EngineSpec

if TYPE_CHECKING:
    from mimosaspur_daemon.direct.attempt import Attempt
    from mimosaspur_daemon.direct.requesthandler import RequestHandler

# A stream that goes on at another engine must not pause for long.
MOVED_RANK = 0
# A copy that would begin later than this before its source is gone would not be whole in time.
MIN_COPY_TIME_S = 0.1
# A leaving target is asked so often, so far apart, when it will be gone.
MAX_REPORT_REQUESTS = 3
REPORT_RETRY_DELAY_S = 0.15


@dataclass(slots=True, frozen=True)
class MovedRun:
    """Name where a stopped run goes on, and the memory from which it does."""

    view: TargetView
    source: TargetView
    handle: str

    def address(self) -> bytes:
        """Return the memory's address as requests name it."""
        host, port = self.source.record.address
        return f"{host}:{port}/{self.handle}".encode()


class Evacuation:
    """Watch for targets that are taken away, and move this entry's streams off them."""

    def __init__(self, state: EntryState, journeys: Collection["RequestHandler"]) -> None:
        self.state = state
        self.handlers = journeys
        # Targets that are emptied already, each in its lifetime.
        self.evacuated: set[tuple[str, int]] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Look at the targets whenever they have changed, for as long as the process runs."""
        while True:
            await self.state.targets_updated.wait()
            self.state.targets_updated.clear()
            for view in list(self.state.fleet.targets.values()):
                key = (view.record.identity, view.record.started_ms)
                if view.record.leaving and key not in self.evacuated:
                    self.evacuated.add(key)
                    self._spawn(view)

    def _spawn(self, view: TargetView) -> None:
        task = asyncio.create_task(self._evacuate(view))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _evacuate(self, view: TargetView) -> None:
        """Move the streams off a leaving target that won't end them."""
        gone_in_ms = await self._remaining_ms(view)
        if gone_in_ms is None:
            return
        loop = asyncio.get_running_loop()
        end_s = loop.time() + gone_in_ms / 1000 - MIN_COPY_TIME_S
        streams = self._streams(view)
        # Those with little memory first: they are copied soonest.
        streams.sort(key=lambda each: each.handler.prompt.prompt_tokens)
        moved = 0
        for attempt in streams:
            if loop.time() >= end_s:
                break
            to = None if attempt.ended else self._destination(attempt)
            if to is not None:
                moved += await attempt.move(to)
        self.state.log.always(
            "evacuated",
            target=view.record.identity,
            gone_in_ms=gone_in_ms,
            streams=len(streams),
            moved=moved,
        )

    async def _remaining_ms(self, view: TargetView) -> int | None:
        """Ask a leaving target when it will be gone; None if it ends what it runs."""
        for _ in range(MAX_REPORT_REQUESTS):
            if not self._streams(view):
                return None
            report = await self.state.dependencies.engines.report(view.record)
            if report and report.terminates_in_ms is not None:
                return report.terminates_in_ms
            # A report shows what held some hundred ms ago.
            await asyncio.sleep(REPORT_RETRY_DELAY_S)
        return None

    def _streams(self, view: TargetView) -> list["Attempt"]:
        attempts = [journey.attempt for journey in self.handlers if journey.attempt]
        return [each for each in attempts if each.view is view and each.first_token]

    def _destination(self, attempt: "Attempt") -> TargetView | None:
        journey = attempt.handler
        views = self.state.fleet.serving_targets(journey.service)
        holders = [
            view
            for view in views
            if view is not attempt.view
            and view.can_run(journey.prompt)
            and not view.health.is_cooling_down()
        ]
        engine = self._engine_spec(journey.service)
        return choose_engine(
            holders,
            journey.prompt,
            rank=MOVED_RANK,
            domain=attempt.view.record.failure_domain,
            kv_tokens=engine.kv_cache_tokens if engine else 0,
        )

    def _engine_spec(self, service: str) -> EngineSpec | None:
        configuration = self.state.configuration
        spec = configuration.services.get(service) if configuration else None
        return spec.engine if spec else None
