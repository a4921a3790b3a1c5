"""Find out whether silent targets can be reached at all."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from mimosaspur_state.clock import Clock
from mimosaspur_state.fleet import TargetRecord
from mimosaspur_transport.httpchannel import ChannelBroken
from mimosaspur_transport.httpchannel import HttpChannel

PROBE_TIMEOUT_MS = 400
# For how long a result holds.
VALIDITY_MS = 1_000


@dataclass(slots=True)
class Probe:
    """Hold what one attempt to connect has shown."""

    began_ms: int
    # None until it has ended.
    reached: bool | None = None


class ReachabilityProbes:
    """Connect to silent targets: the machine of one that only pauses accepts connections."""

    __slots__ = ("adopt", "clock", "probes", "tasks")

    def __init__(self, *, clock: Clock, adopt: Callable[[TargetRecord, HttpChannel], None]) -> None:
        self.clock = clock
        # Takes over the connection to a target that was reached.
        self.adopt = adopt
        # By incarnation.
        self.probes: dict[str, Probe] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def is_out_of_reach(self, target: TargetRecord) -> bool:
        """Return whether the last probe of a target failed; start one unless there was one."""
        now_ms = self.clock.now_ms()
        probe = self.probes.get(target.incarnation)
        if probe is None or now_ms - probe.began_ms >= VALIDITY_MS:
            self._start(target, now_ms)
            return False
        return probe.reached is False

    def _start(self, target: TargetRecord, now_ms: int) -> None:
        recent = {
            key: each for key, each in self.probes.items() if now_ms - each.began_ms < VALIDITY_MS
        }
        probe = Probe(now_ms)
        self.probes = recent | {target.incarnation: probe}
        task = asyncio.get_running_loop().create_task(self._connect(target, probe))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _connect(self, target: TargetRecord, probe: Probe) -> None:
        try:
            channel = await HttpChannel.open(target.address, timeout_ms=PROBE_TIMEOUT_MS)
        except ChannelBroken:
            probe.reached = False
            return
        probe.reached = True
        self.adopt(target, channel)
