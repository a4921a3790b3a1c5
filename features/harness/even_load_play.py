"""Play requests of many entries whose information on the engines' load is old, in virtual time."""

import heapq
import random
import statistics
from dataclasses import dataclass

from harness.direct_fleet import ManualClock
from harness.speed_simulation import SPEEDS
from harness.speed_simulation import TOKENS_PER_MS
from mimosaspur_coordination.evenload import LoadAge
from mimosaspur_coordination.evenload import spread_ms
from mimosaspur_coordination.fleetview import FleetView
from mimosaspur_coordination.fleetview import Prompt
from mimosaspur_coordination.fleetview import TargetView
from mimosaspur_coordination.targetchoice import choose_engine
from mimosaspur_state.fleet import OutstandingWork
from mimosaspur_state.fleet import TargetRecord

RANK = 3
PROMPT_TOKENS = 2_368
OBJECTIVE_MS = 1_509
OVERHEAD_MS = 28.0


@dataclass(slots=True)
class Outcome:
    """Hold what a play measured."""

    p99_ms: float
    busiest_to_mean: float


class EvenLoadPlay:
    """Send the requests of many entries, spread by the age of the reports or not."""

    def __init__(
        self, *, spread: bool, entries: int, engines: int, age_ms: int, load: float, seed: int
    ) -> None:
        self.spread = spread
        self.age_ms = age_ms
        self.random = random.Random(seed)
        random.seed(seed)
        self.clock = ManualClock(0)
        self.names = [f"engine-{n}" for n in range(engines)]
        self.speeds = {name: SPEEDS[n % 3] for n, name in enumerate(self.names)}
        self.free_ms = dict.fromkeys(self.names, 0.0)
        self.fleets = [FleetView(clock=self.clock) for _ in range(entries)]
        usual = statistics.geometric_mean(list(self.speeds.values()))
        for fleet in self.fleets:
            fleet.paces.adaptive = False
            fleet.paces.factors[""] = 20.0 / TOKENS_PER_MS / usual
            records = [
                TargetRecord(name, "s", ("127.0.0.1", 1), "here", residents={"m": frozenset()})
                for name in self.names
            ]
            fleet.update(records, ())
            for name, view in fleet.targets.items():
                view.prefill_factor = usual / self.speeds[name]
        self.per_ms = load * TOKENS_PER_MS * sum(self.speeds.values()) / PROMPT_TOKENS
        self.load_age = LoadAge(clock=self.clock)

    def play(self, seconds: float) -> Outcome:
        """Play some time; return the latency and the distribution of work."""
        waits, work = [], dict.fromkeys(self.names, 0.0)
        ends: list[tuple[float, int, TargetView, float]] = []
        now_ms, number, next_report_ms = 0.0, 0, 0.0
        while now_ms < seconds * 1000:
            now_ms += self.random.expovariate(self.per_ms)
            self.clock.ms = round(now_ms)
            while ends and ends[0][0] <= now_ms:
                _, _, view, unread = heapq.heappop(ends)
                view.on_prefill_end(unread=unread, rank=RANK)
            if now_ms >= next_report_ms:
                next_report_ms = now_ms + max(1, self.age_ms)
                self._report()
            fleet = self.random.choice(self.fleets)
            prompt = Prompt("m", prompt_tokens=round(PROMPT_TOKENS * self.random.uniform(0.6, 1.4)))
            view = self._choose(fleet, prompt)
            name = view.record.identity
            unread = view.on_sent(prompt, rank=RANK)
            reads_ms = prompt.prompt_tokens / TOKENS_PER_MS / self.speeds[name]
            self.free_ms[name] = max(now_ms, self.free_ms[name]) + reads_ms
            work[name] += reads_ms
            waits.append(self.free_ms[name] - now_ms + OVERHEAD_MS)
            number += 1
            heapq.heappush(ends, (self.free_ms[name] + OVERHEAD_MS, number, view, unread))
        waits.sort()
        return Outcome(
            waits[round(0.99 * len(waits))], max(work.values()) / statistics.mean(work.values())
        )

    def _report(self) -> None:
        """Tell each entry the work of the others as it is now; it ages until the next report."""
        self.load_age.on_update()
        for name in self.names:
            works = [fleet.targets[name].own_work for fleet in self.fleets]
            total = sum(sum(each.prefill_tokens.values()) for each in works)
            for fleet, own in zip(self.fleets, works, strict=True):
                others = OutstandingWork()
                others.prefill_tokens[RANK] = total - sum(own.prefill_tokens.values())
                fleet.targets[name].others_work = others

    def _choose(self, fleet: FleetView, prompt: Prompt) -> TargetView:
        spread = 0.0
        if self.spread:
            age_ms = self.load_age.highest_age_ms()
            spread = spread_ms(entries=len(self.fleets), age_ms=age_ms, spare_ms=OBJECTIVE_MS)
        views = fleet.serving_targets("s")
        chosen = choose_engine(
            views, prompt, rank=RANK, domain="here", kv_tokens=0, spread_ms=spread
        )
        assert chosen
        return chosen
