"""Simulate entries and engines of different speeds in virtual time, with the entries' own code."""

import heapq
import itertools
import random
import statistics
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from functools import partial

from harness.direct_fleet import ManualClock
from mimosaspur_coordination.enginespeed.decodepace import StreamGaps
from mimosaspur_coordination.enginespeed.shared import SharedEngineSpeeds
from mimosaspur_coordination.fleetview import FleetView
from mimosaspur_coordination.fleetview import Prompt
from mimosaspur_coordination.fleetview import TargetView
from mimosaspur_coordination.modelpace import SharedPaces
from mimosaspur_coordination.targetchoice import choose_engine
from mimosaspur_state.fleet import OutstandingWork
from mimosaspur_state.fleet import TargetRecord

RANK = 3
DOMAIN = "here"
SPEEDS = (0.7, 0.7, 1.7)
TOKENS_PER_MS = 25.8
STEP_MS = 8.2
CHUNK_MS = 79.0
STEPS_PER_EVENT = 3
NETWORK_MS = 12.0
PROMPT_TOKENS = 2_368
EVENTS = 8
# An engine is this much slower for so long, for a seventh of the time.
SLOW_FACTOR = 2.5
SLOW_MS = 500
SLOW_SHARE = 1 / 7
REPORT_MS = 150
COMBINE_MS = 1_000
HOLDERS = 3
STARTED_MS = 1_000


@dataclass(slots=True)
class SimulatedEngine:
    """Read prompts one after another and write events between them."""

    speed: float
    # Time at which all prompts that were sent are read.
    free_ms: float = 0.0
    slow_until_ms: float = 0.0
    ratios: list[float] = field(default_factory=list)

    def factor(self, now_ms: float) -> float:
        """Return how much longer everything takes than at speed 1."""
        return (SLOW_FACTOR if now_ms < self.slow_until_ms else 1.0) / self.speed


class SpeedSimulation:
    """Run requests of many entries at engines that differ, and a coordinator that shares speeds."""

    def __init__(
        self,
        *,
        entries: int,
        engines: int,
        load: float,
        seed: int,
        speeds: Sequence[float] = SPEEDS,
        crowded: bool = False,
        share: bool = True,
    ) -> None:
        self.random = random.Random(seed)
        # The choice of an engine uses the module's own generator.
        random.seed(seed)
        self.clock = ManualClock(0)
        self.names = [f"engine-{n}" for n in range(engines)]
        self.engines = {
            name: SimulatedEngine(speeds[n % len(speeds)]) for n, name in enumerate(self.names)
        }
        self.started_ms = dict.fromkeys(self.names, STARTED_MS)
        self.holders = {
            f"model-{n}": self.random.sample(self.names, HOLDERS) for n in range(2 * engines)
        }
        if crowded:
            # Half of the models are at one engine alone.
            self.holders |= {f"model-{2 * n}": self.names[:1] for n in range(engines)}
        self.fleets = [FleetView(clock=self.clock, share_speeds=share) for _ in range(entries)]
        for fleet in self.fleets:
            fleet.update([self._record(name) for name in self.names], ())
        self.per_ms = load * TOKENS_PER_MS * sum(e.speed for e in self.engines.values())
        self.per_ms /= PROMPT_TOKENS
        self.numbers = itertools.count(1)
        self.coordinator_lost = False
        self.start_coordinator()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self._at(0.0, self._arrive)
        self._at(0.0, self._share_work)
        self._at(COMBINE_MS, self._share_speeds)
        for name in self.names:
            self._at(self._calm_ms(), partial(self._slow_down, name))

    def _record(self, name: str) -> TargetRecord:
        models = {model: frozenset[str]() for model, held in self.holders.items() if name in held}
        return TargetRecord(
            name, "s", ("127.0.0.1", 1), DOMAIN, residents=models, started_ms=self.started_ms[name]
        )

    def start_coordinator(self) -> None:
        """Start a coordinator that knows nothing; entries report all that they know first."""
        self.shared = SharedEngineSpeeds(self.started_ms.get)
        self.paces = SharedPaces()
        for fleet in self.fleets:
            fleet.on_coordinator_lost()
        self.coordinator_lost = False

    def restart_engine(self, name: str, *, speed: float) -> None:
        """Restart an engine under its identity, at another speed."""
        self.started_ms[name] += 1
        self.engines[name] = SimulatedEngine(speed)
        for fleet in self.fleets:
            fleet.update([self._record(name)], ())

    def run(self, seconds: float) -> None:
        """Run for some virtual time."""
        ends_ms = self.clock.now_ms() + seconds * 1000
        while self.events[0][0] <= ends_ms:
            at_ms, _, action = heapq.heappop(self.events)
            self.clock.ms = round(at_ms)
            action()
        self.clock.ms = round(ends_ms)

    def clear_ratios(self) -> None:
        """Forget the ratios measured so far."""
        for engine in self.engines.values():
            engine.ratios.clear()

    def median_ratios(self, *, at_least: int) -> dict[str, float]:
        """Return measured / predicted time to first token, as a median per engine."""
        return {
            name: statistics.median(engine.ratios)
            for name, engine in self.engines.items()
            if len(engine.ratios) >= at_least
        }

    def factors(self) -> list[dict[str, tuple[float, float]]]:
        """Return each entry's factors."""
        return [
            {name: (view.prefill_factor, view.decode_factor) for name, view in f.targets.items()}
            for f in self.fleets
        ]

    def _at(self, at_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (at_ms, next(self.order), action))

    def _after(self, ms: float, action: Callable[[], None]) -> None:
        self._at(self.clock.now_ms() + ms, action)

    def _calm_ms(self) -> float:
        return self.random.expovariate(SLOW_SHARE / (1 - SLOW_SHARE) / SLOW_MS)

    def _slow_down(self, name: str) -> None:
        self.engines[name].slow_until_ms = self.clock.now_ms() + SLOW_MS
        self._after(SLOW_MS + self._calm_ms(), partial(self._slow_down, name))

    def _arrive(self) -> None:
        self._after(self.random.expovariate(self.per_ms), self._arrive)
        fleet = self.random.choice(self.fleets)
        prompt = Prompt(
            self.random.choice(list(self.holders)),
            prompt_tokens=round(PROMPT_TOKENS * self.random.uniform(0.6, 1.4)),
            output_tokens=EVENTS * STEPS_PER_EVENT,
        )
        views = [view for view in fleet.serving_targets("s") if view.can_run(prompt)]
        view = choose_engine(views, prompt, rank=RANK, domain=DOMAIN, kv_tokens=0)
        assert view
        self._send(view, prompt)

    def _send(self, view: TargetView, prompt: Prompt) -> None:
        now_ms = self.clock.now_ms()
        engine = self.engines[view.record.identity]
        predicted_ms = view.first_token_ms(prompt, rank=RANK)
        unread = view.on_sent(prompt, rank=RANK)
        begins_ms = max(engine.free_ms, now_ms)
        reads_ms = prompt.prompt_tokens / TOKENS_PER_MS * engine.factor(begins_ms)
        engine.free_ms = begins_ms + reads_ms
        took_ms = NETWORK_MS + engine.free_ms - now_ms + 2 * STEP_MS / engine.speed

        def first() -> None:
            view.on_prefill_end(unread=unread, rank=RANK)
            view.on_first_token(prompt, unread=unread, predicted_ms=predicted_ms, took_ms=took_ms)
            engine.ratios.append(took_ms / predicted_ms)
            write(EVENTS - 1)

        gaps = StreamGaps()

        def write(remaining: int) -> None:
            now_ms = self.clock.now_ms()
            gaps.on_events(1, now_ms=now_ms, is_reading=view.reads_prompts())
            if not remaining:
                view.record_gaps(gaps)
                view.on_end(prompt)
                return
            step_ms = CHUNK_MS if engine.free_ms > now_ms else STEP_MS
            gap_ms = STEPS_PER_EVENT * step_ms * engine.factor(now_ms)
            self._after(gap_ms, lambda: write(remaining - 1))

        self._after(took_ms, first)

    def _share_work(self) -> None:
        """Tell each entry of the others' work, as it was a moment ago."""
        self._after(REPORT_MS, self._share_work)
        if self.coordinator_lost:
            return
        for name in self.names:
            works = [fleet.targets[name].own_work for fleet in self.fleets]
            total = sum(sum(work.prefill_tokens.values()) for work in works)
            requests = sum(work.requests for work in works)
            for fleet, own in zip(self.fleets, works, strict=True):
                others = OutstandingWork(requests - own.requests)
                others.prefill_tokens[RANK] = total - sum(own.prefill_tokens.values())
                fleet.targets[name].others_work = others

    def _share_speeds(self) -> None:
        """Combine what the entries have measured, and tell them."""
        self._after(COMBINE_MS, self._share_speeds)
        if self.coordinator_lost:
            return
        for index, fleet in enumerate(self.fleets):
            for model, pace in fleet.paces.take_changes().items():
                self.paces.add_report(model, pace)
            self.shared.add_report(f"entry-{index}", next(self.numbers), fleet.take_speeds())
        paces, speeds = self.paces.take_changes(), self.shared.take_changes()
        for fleet in self.fleets:
            for model, pace in paces.items():
                fleet.paces.apply_shared(model, pace)
            fleet.apply_speeds(speeds)
