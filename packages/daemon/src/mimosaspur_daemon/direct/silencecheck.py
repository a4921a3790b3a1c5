"""Check whether the target that runs a request is silent, or sends no answer."""

import asyncio
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

from mimosaspur_daemon.direct.attempt import Attempt
from mimosaspur_daemon.direct.attemptlog import log_endless
from mimosaspur_state.routes import RouteKind

T = TypeVar("T")

# A repeatable request gets a backup when its first event takes this many times its predicted time.
SILENCE_TIMEOUT_FACTOR = 3.0
MIN_SILENCE_TIMEOUT_MS = 900
# A stream that has begun gets a backup after a pause of this many gap objectives, or of the minimum
# if that is longer, but while its caller still waits.
STALL_TIMEOUT_FACTOR = 5
MIN_STALL_TIMEOUT_MS = 2_000
MAX_STALL_PATIENCE_SHARE = 0.6
# A stream's target that has paused for this long is probed, and the stream gets a backup if the
# target's machine is out of reach.
PROBE_AFTER_MS = 600
# Interval between checks of a run whose target is silent.
SILENCE_CHECK_S = 0.1
# A target that has sent something within this time is still sending.
STILL_SENDING_S = 0.1
# It sends no answer if its last event, or the request, is older than that data by this time.
MIN_SENDING_MS = 150


class SilenceCheck:
    """Read a run's response, and ask for a backup while its target is silent."""

    __slots__ = ("attempt", "handler", "next_check_s", "view")

    def __init__(self, attempt: Attempt) -> None:
        self.attempt = attempt
        self.handler = attempt.handler
        self.view = attempt.view
        # When data without an event leads to the next check for silence.
        self.next_check_s = 0.0

    async def read_first(self, read: Coroutine[Any, Any, T]) -> T:
        """Read the first data of a response; ask for a backup while it is late."""
        reading = asyncio.get_running_loop().create_task(read)
        try:
            while not (await asyncio.wait({reading}, timeout=SILENCE_CHECK_S))[0]:
                self.check()
            return reading.result()
        finally:
            reading.cancel()
            # No cycle of the task, its error and the error's traceback, as frames hold bodies.
            del reading

    async def read_chunk(self) -> bytes | None:
        """Read the next data of a stream; ask for a backup while it is late."""
        while True:
            try:
                # A cancelled read has consumed nothing, so it can be repeated.
                async with asyncio.timeout(SILENCE_CHECK_S):
                    return await self.attempt.channel.read_chunk()
            except TimeoutError:
                self.check()

    def check(self) -> None:
        """Ask for a backup if the response, or all that its target writes, has paused for long."""
        attempt = self.attempt
        silent_ms = attempt.silent_ms()
        waits_for_silent = (
            self.handler.route.kind is RouteKind.STREAM
            and not attempt.first_token
            and self.view.is_silent()
        )
        if (
            silent_ms >= self._timeout_ms()
            or waits_for_silent
            or (attempt.first_token and silent_ms >= PROBE_AFTER_MS and self._is_out_of_reach())
        ):
            self.handler.runs.on_silence(attempt)

    def check_again(self) -> None:
        """Check for silence unless that was done a moment ago."""
        now_s = asyncio.get_running_loop().time()
        if now_s >= self.next_check_s:
            self.next_check_s = now_s + SILENCE_CHECK_S
            self.check()

    def on_deadline(self) -> None:
        """Count a target as failing that still sends as the request's time has passed."""
        if asyncio.get_running_loop().time() < self.handler.deadline_s or not self.is_sending():
            return
        if self.attempt.first_token and not self.attempt.events.held():
            # Its events may only be more than fit into the time.
            return
        self.view.health.record_failure()
        part = "body" if self.attempt.head_received else "head"
        log_endless(self.attempt, part=part, cause="it doesn't end within the request's time")

    def is_sending(self) -> bool:
        """Return whether data of the response still comes, but no event."""
        channel = self.attempt.channel
        idle_s = asyncio.get_running_loop().time() - channel.last_read_s
        return (
            channel.received_bytes > 0
            and idle_s < STILL_SENDING_S
            and self.attempt.silent_ms() > idle_s * 1000 + MIN_SENDING_MS
        )

    def _is_out_of_reach(self) -> bool:
        return self.handler.state.reachability.is_out_of_reach(self.view.record)

    def _timeout_ms(self) -> float:
        """Return the time after which a response that has paused, or not begun, needs a backup."""
        route = self.handler.route
        if self.attempt.first_token:
            pause_ms = max(MIN_STALL_TIMEOUT_MS, STALL_TIMEOUT_FACTOR * route.gap_objective_ms)
            patience_ms = self.handler.target_selector.patience_s * 1000
            return min(pause_ms, MAX_STALL_PATIENCE_SHARE * patience_ms)
        if route.kind is not RouteKind.STREAM:
            return route.objective_ms
        wait_ms = max(MIN_SILENCE_TIMEOUT_MS, self.attempt.predicted_ms * SILENCE_TIMEOUT_FACTOR)
        return wait_ms + route.objective_ms
