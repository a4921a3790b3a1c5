"""Distinguish targets that have crashed from lost connections."""

import asyncio
import contextlib
from collections.abc import Callable
from collections.abc import Mapping
from typing import TYPE_CHECKING

from mimosaspur_coordination.fleetview import TargetView
from mimosaspur_coordination.quarantine.crashledger import Stage
from mimosaspur_coordination.quarantine.traits import RequestTraits
from mimosaspur_transport.httpchannel import ChannelBroken
from mimosaspur_transport.httpchannel import ConnectionRefused
from mimosaspur_transport.httpchannel import HttpChannel

if TYPE_CHECKING:
    from mimosaspur_daemon.direct.entrystate import EntryState

PROBE_COUNT = 2
# A process that crashes may close its listening socket after its connections.
PROBE_INTERVAL_S = 0.1
# A refusal arrives within a round trip; a target that is out of reach answers nothing.
FIRST_PROBE_WAIT_S = 0.05

# Called with the traits of a request whose target has not crashed.
SurvivalHandler = Callable[[RequestTraits], None]
# Called with the target's incarnation, its requests, and the time since the first was broken off.
CrashHandler = Callable[[str, Mapping[RequestTraits, Stage], int], None]


class _Probe:
    """Hold the requests that a target had, until it is known whether it has crashed."""

    __slots__ = ("answered", "began_ms", "ended", "requests")

    def __init__(self, *, began_ms: int) -> None:
        self.began_ms = began_ms
        self.requests: dict[RequestTraits, Stage] = {}
        # Those of them that may have run to their end.
        self.ended: set[RequestTraits] = set()
        # Set after the first attempt to connect.
        self.answered = asyncio.Event()


class CrashDetector:
    """Connect to targets whose connections were lost: one that refuses has crashed."""

    def __init__(
        self, state: "EntryState", *, on_crash: CrashHandler, on_survival: SurvivalHandler
    ) -> None:
        self.state = state
        self.on_crash = on_crash
        self.on_survival = on_survival
        # By incarnation: a target may start again under its identity.
        self.probes: dict[str, _Probe] = {}
        # Incarnations found to have crashed, to which further requests may belong.
        self.crashed: dict[str, None] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def on_connection_lost(self, view: TargetView, traits: RequestTraits, stage: Stage) -> None:
        """Probe a target that has broken off a request."""
        if probe := self._probe_for(view, traits, stage):
            probe.ended.discard(traits)

    def on_unmarked_end(self, view: TargetView, traits: RequestTraits, *, served: bool) -> None:
        """Probe a target that has closed the connection of a response that may be complete.

        If it lives, a request that was served is cleared; an error clears nothing.
        """
        probe = self._probe_for(view, traits, Stage.RUNNING)
        if probe and served:
            probe.ended.add(traits)

    def has_crashed(self, view: TargetView) -> bool:
        """Return whether a target is known to have crashed."""
        return view.record.incarnation in self.crashed

    def _probe_for(self, view: TargetView, traits: RequestTraits, stage: Stage) -> _Probe | None:
        """Return the probe of a target that had a request, None if there is nothing to find out."""
        incarnation = view.record.incarnation
        if incarnation in self.crashed:
            self.on_crash(incarnation, {traits: stage}, 0)
            return None
        known = self.state.fleet.targets.get(view.record.identity)
        if known is None or known.record.leaving:
            # It ends as announced.
            return None
        probe = self.probes.get(incarnation)
        if probe is None:
            probe = self.probes[incarnation] = _Probe(began_ms=self.state.clock.now_ms())
            task = asyncio.get_running_loop().create_task(self._probe(view, probe))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        probe.requests[traits] = max(stage, probe.requests.get(traits, stage))
        return probe

    async def wait_for_first_probe(self, view: TargetView) -> None:
        """Wait until it is likely to be known whether a target has crashed."""
        probe = self.probes.get(view.record.incarnation)
        if probe is None:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_PROBE_WAIT_S):
                await probe.answered.wait()

    async def _probe(self, view: TargetView, probe: _Probe) -> None:
        incarnation = view.record.incarnation
        try:
            for _ in range(PROBE_COUNT):
                channel = await self._connect(view)
                if channel is None:
                    self._remember(incarnation)
                    age_ms = self.state.clock.now_ms() - probe.began_ms
                    self.on_crash(incarnation, probe.requests, age_ms)
                    return
                probe.answered.set()
                await asyncio.sleep(PROBE_INTERVAL_S)
                if channel.is_reusable():
                    self.state.adopt(view.record, channel)
                    for traits in probe.ended:
                        self.on_survival(traits)
                    return
                channel.close()
        except ChannelBroken:
            # The target may only be out of reach.
            return
        finally:
            probe.answered.set()
            del self.probes[incarnation]

    async def _connect(self, view: TargetView) -> HttpChannel | None:
        """Return a connection, None if it is refused; raise ChannelBroken."""
        try:
            return await HttpChannel.open(view.record.address)
        except ConnectionRefused:
            return None

    def _remember(self, incarnation: str) -> None:
        known = {view.record.incarnation for view in self.state.fleet.targets.values()}
        self.crashed = {each: None for each in self.crashed if each in known}
        self.crashed[incarnation] = None
