"""Move running streams off targets that will be gone before the streams end."""

import asyncio
from collections.abc import Collection
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mimosaspur_coordination.fleetports import CallDeferred
from mimosaspur_coordination.fleetports import EngineOutOfReach
from mimosaspur_coordination.fleetports import EngineSilent
from mimosaspur_coordination.fleetview import TargetView
from mimosaspur_coordination.targetchoice import choose_engine
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_state.routes import EngineSpec

if TYPE_CHECKING:
    from mimosaspur_daemon.direct.attempt import Attempt
    from mimosaspur_daemon.direct.requesthandler import RequestHandler

# Moved streams go first in engine queues, to keep their pause short.
MOVED_RANK = 0
# A copy that starts with less time than this left would not complete before its source is gone.
MIN_COPY_TIME_S = 0.1
# Requests to a leaving target for its remaining time, without those that met its silence, and the
# delay between them.
MAX_REPORT_REQUESTS = 3
REPORT_RETRY_DELAY_S = 0.15


@dataclass(slots=True, frozen=True)
class MovedRun:
    """Identify where a stopped run continues, and the memory that it continues from."""

    view: TargetView
    source: TargetView
    handle: str

    def address(self) -> bytes:
        """Return the memory's address in the form that request headers use."""
        host, port = self.source.record.address
        return f"{host}:{port}/{self.handle}".encode()


class Evacuation:
    """Move this entry's streams off targets that are being removed."""

    def __init__(self, state: EntryState, handlers: Collection["RequestHandler"]) -> None:
        self.state = state
        self.handlers = handlers
        # Targets whose evacuation has begun, by identity and start time.
        self.evacuated: set[tuple[str, int]] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Start the evacuation of leaving targets whenever the targets have changed."""
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
        """Move the streams off a leaving target that will be gone before they end."""
        gone_in_ms = await self._remaining_ms(view)
        if gone_in_ms is None:
            return
        loop = asyncio.get_running_loop()
        end_s = loop.time() + gone_in_ms / 1000 - MIN_COPY_TIME_S
        streams = self._streams(view)
        # Shortest prompts first: their memory is copied fastest.
        streams.sort(key=lambda attempt: attempt.handler.prompt.prompt_tokens)
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
        """Return a leaving target's remaining time; None if it finishes what it runs."""
        requests = 0
        while requests < MAX_REPORT_REQUESTS and self._streams(view):
            report = None
            try:
                report = await self.state.engines.report(view.record)
            except EngineSilent:
                # Its streams can be moved once it goes on.
                await asyncio.sleep(REPORT_RETRY_DELAY_S)
                continue
            except (CallDeferred, EngineOutOfReach):
                pass
            requests += 1
            if report and report.terminates_in_ms is not None:
                return report.terminates_in_ms
            # Reports may lag behind by some hundred ms.
            await asyncio.sleep(REPORT_RETRY_DELAY_S)
        return None

    def _streams(self, view: TargetView) -> list["Attempt"]:
        attempts = [handler.runs.leading for handler in self.handlers]
        return [each for each in attempts if each and each.view is view and each.first_token]

    def _destination(self, attempt: "Attempt") -> TargetView | None:
        handler = attempt.handler
        views = self.state.fleet.serving_targets(handler.service)
        holders = [
            view
            for view in views
            if view is not attempt.view
            and view.record.version == attempt.version
            and view.can_run(handler.prompt)
            and not view.health.is_cooling_down()
            and self.state.notices.may_send(view.record, rank=MOVED_RANK)
        ]
        engine = self._engine_spec(handler.service)
        return choose_engine(
            holders,
            handler.prompt,
            rank=MOVED_RANK,
            domain=attempt.view.record.failure_domain,
            kv_tokens=engine.kv_cache_tokens if engine else 0,
        )

    def _engine_spec(self, service: str) -> EngineSpec | None:
        configuration = self.state.configuration
        spec = configuration.services.get(service) if configuration else None
        return spec.engine if spec else None
