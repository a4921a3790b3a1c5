"""Simulate streams at engines of uneven speed, in virtual time, as several entries choose them."""

import heapq
import random
from dataclasses import dataclass
from dataclasses import field

from harness.direct_fleet import ManualClock
from mimosaspur_coordination.enginespeed.decodepace import StreamGaps
from mimosaspur_coordination.enginespeed.shared import SharedEngineSpeeds
from mimosaspur_coordination.fleetview import FleetView
from mimosaspur_coordination.fleetview import Prompt
from mimosaspur_coordination.fleetview import TargetView
from mimosaspur_coordination.streampauses import StreamPauses
from mimosaspur_coordination.targetchoice import choose_engine
from mimosaspur_state.fleet import OutstandingWork
from mimosaspur_state.fleet import TargetRecord

RANK = 1
GAP_OBJECTIVE_MS = 400
# As measured: the shortest step, prompt tokens read in a ms and in a step, tokens of an event.
STEP_MS = 8.2
READ_PER_MS = 25.8
CHUNK = 2_048
EVENT_TOKENS = 3
SLOTS = 64
# Engines are slow for a seventh of the time, for about half a second.
SLOW_TIMES = 2.5
SLOW_MS = 500.0
USUAL_MS = 3_000.0
# How often entries hear of one another's work, and after how many reports of the speeds measured.
REPORT_MS = 200.0
SPEED_REPORTS = 5
# The start of the engines' lifetimes, in which speeds are shared.
STARTED_MS = 1


@dataclass(slots=True, frozen=True)
class Kind:
    """Describe one kind of stream and its rate for each engine."""

    name: str
    prompt_tokens: int
    events: int
    objective_ms: float
    per_engine_s: float


KINDS = (
    Kind("urgent", 2_368, 8, 611, 4.5),
    Kind("patient", 2_368, 8, 2_511, 0.63),
    Kind("long", 1_460, 57, 1_509, 1.24),
)


@dataclass(slots=True, eq=False)
class Stream:
    """Track a stream at an engine."""

    kind: Kind
    prompt: Prompt
    view: TargetView
    arrived_ms: float
    predicted_ms: float
    unread: float
    pauses: StreamPauses
    left_to_read: float
    engine: "Engine"
    gaps: StreamGaps = field(default_factory=StreamGaps)
    written: int = 0
    first_ms: float = 0.0

    def is_late(self) -> bool:
        """Return whether the stream missed its objective for the first event or for pauses."""
        return self.first_ms > self.kind.objective_ms or self.paused()

    def paused(self) -> bool:
        """Return whether the stream paused for too long."""
        return self.pauses.longest_ms > GAP_OBJECTIVE_MS


@dataclass(slots=True, eq=False)
class Engine:
    """Run steps that read a chunk of prompts and write a token of each stream."""

    name: str
    speed: float
    chance: random.Random
    reading: list[Stream] = field(default_factory=list)
    writing: list[Stream] = field(default_factory=list)
    # When the engine turns slow, or usual again.
    slow: bool = False
    changes_ms: float = 0.0
    busy: bool = False

    def step(self, now_ms: float) -> tuple[float, list[Stream]]:
        """Begin a step; return how long it takes and the streams that it has read."""
        while self.changes_ms <= now_ms:
            self.slow = bool(self.changes_ms) and not self.slow
            mean_ms = SLOW_MS if self.slow else USUAL_MS
            self.changes_ms += self.chance.expovariate(1 / mean_ms)
        budget = float(CHUNK)
        read = []
        for stream in list(self.reading):
            taken = min(budget, stream.left_to_read)
            stream.left_to_read -= taken
            budget -= taken
            if stream.left_to_read > 0:
                break
            self.reading.remove(stream)
            read.append(stream)
        takes_ms = max(STEP_MS, (CHUNK - budget) / READ_PER_MS) / self.speed
        return takes_ms * (SLOW_TIMES if self.slow else 1.0), read


class PauseSimulation:
    """Serve a mix of streams for some time, with or without weighing pauses."""

    def __init__(
        self,
        speeds: dict[str, float],
        *,
        weighs_pauses: bool,
        seed: int,
        entries: int = 4,
        holders: int = 0,
    ) -> None:
        self.chance = random.Random(seed)
        # The choice of a target has jitter.
        random.seed(seed)
        self.weighs_pauses = weighs_pauses
        self.clock = ManualClock(0)
        self.now_ms = 0.0
        self.engines = {
            name: Engine(name, speed, random.Random(seed + number))
            for number, (name, speed) in enumerate(speeds.items())
        }
        names = list(speeds)
        self.fleets = [FleetView(clock=self.clock) for _ in range(entries)]
        # Each model is held by as many engines as told, or by all.
        self.models = {
            f"m{number}": {names[(number + each) % len(names)] for each in range(holders)}
            or set(names)
            for number in range(len(names))
        }
        for fleet in self.fleets:
            fleet.update([self._record(name) for name in names], ())
        self.shared_speeds = SharedEngineSpeeds(lambda _: STARTED_MS)
        self.report_count = 0
        self.streams: list[Stream] = []
        # Time, number and what happens.
        self.events: list[tuple[float, int, str, object]] = []
        self.number = 0
        for kind in KINDS:
            self._plan_arrival(kind)
        self._plan(REPORT_MS, "report", None)

    def _record(self, name: str) -> TargetRecord:
        residents = {model: frozenset[str]() for model, held in self.models.items() if name in held}
        return TargetRecord(
            name,
            "models",
            ("127.0.0.1", 1),
            "here",
            slots=SLOTS,
            residents=residents,
            started_ms=STARTED_MS,
        )

    def _plan(self, in_ms: float, what: str, whom: object) -> None:
        self.number += 1
        heapq.heappush(self.events, (self.now_ms + in_ms, self.number, what, whom))

    def _plan_arrival(self, kind: Kind) -> None:
        per_ms = kind.per_engine_s * len(self.engines) / 1000
        self._plan(self.chance.expovariate(per_ms), "arrival", kind)

    def run(self, seconds: float) -> None:
        """Let requests arrive for some time."""
        until_ms = self.now_ms + seconds * 1000
        while self.events[0][0] <= until_ms:
            self.now_ms, _, what, whom = heapq.heappop(self.events)
            self.clock.ms = round(self.now_ms)
            if isinstance(whom, Kind):
                self._plan_arrival(whom)
                self._send(whom)
            elif isinstance(whom, tuple):
                self._end_step(*whom)
            else:
                self._plan(REPORT_MS, what, None)
                self._report()
        self.now_ms = until_ms

    def _send(self, kind: Kind) -> None:
        fleet = self.chance.choice(self.fleets)
        prompt = Prompt(
            self.chance.choice(list(self.models)),
            prompt_tokens=kind.prompt_tokens,
            output_tokens=kind.events * EVENT_TOKENS,
        )
        views = [view for view in fleet.serving_targets("models") if view.can_run(prompt)]
        view = choose_engine(
            views,
            prompt,
            rank=RANK,
            domain="here",
            kv_tokens=117_500,
            gap_objective_ms=GAP_OBJECTIVE_MS if self.weighs_pauses else 0.0,
            spare_ms=kind.objective_ms,
        )
        assert view is not None, "a request was refused"
        pauses = StreamPauses(view, prompt, gap_objective_ms=GAP_OBJECTIVE_MS)
        predicted_ms = view.first_token_ms(prompt, rank=RANK)
        unread = view.on_sent(prompt, rank=RANK)
        engine = self.engines[view.record.identity]
        tokens = float(kind.prompt_tokens)
        stream = Stream(
            kind, prompt, view, self.now_ms, predicted_ms, unread, pauses, tokens, engine
        )
        self.streams.append(stream)
        engine.reading.append(stream)
        if not engine.busy:
            self._step(engine)

    def _step(self, engine: Engine) -> None:
        engine.busy = bool(engine.reading or engine.writing)
        if engine.busy:
            takes_ms, read = engine.step(self.now_ms)
            self._plan(takes_ms, "step", (engine, read))

    def _end_step(self, engine: Engine, read: list[Stream]) -> None:
        engine.writing += read
        for stream in list(engine.writing):
            stream.written += 1
            if stream.written % EVENT_TOKENS == 0:
                self._on_event(stream)
        self._step(engine)

    def _on_event(self, stream: Stream) -> None:
        stream.pauses.on_event(self.now_ms)
        view = stream.view
        stream.gaps.on_events(1, now_ms=self.now_ms, is_reading=view.reads_prompts())
        if not stream.first_ms:
            stream.first_ms = self.now_ms - stream.arrived_ms
            view.on_prefill_end(unread=stream.unread, rank=RANK)
            view.on_first_token(
                stream.prompt,
                unread=stream.unread,
                predicted_ms=stream.predicted_ms,
                took_ms=stream.first_ms,
            )
        if stream.written == stream.kind.events * EVENT_TOKENS:
            stream.engine.writing.remove(stream)
            stream.pauses.on_end()
            view.record_gaps(stream.gaps)
            view.on_end(stream.prompt)

    def _share_speeds(self) -> None:
        """Combine what the entries have measured of the engines, as a coordinator does."""
        for number, fleet in enumerate(self.fleets):
            speeds = fleet.take_speeds()
            self.shared_speeds.add_report(str(number), self.report_count, speeds)
        changes = self.shared_speeds.take_changes()
        for fleet in self.fleets:
            fleet.apply_speeds(changes)

    def _report(self) -> None:
        self.report_count += 1
        if self.report_count % SPEED_REPORTS == 0:
            self._share_speeds()
        for fleet in self.fleets:
            for name, view in fleet.targets.items():
                others = [each.targets[name].own_work for each in self.fleets if each is not fleet]
                tokens = sum(sum(work.prefill_tokens.values()) for work in others)
                view.others_work = OutstandingWork(
                    sum(work.requests for work in others),
                    {RANK: tokens},
                    sum(work.held_tokens for work in others),
                )

    def late(self, kind: str = "") -> tuple[int, int, int]:
        """Return the ended streams of a kind, those that were late, and those by a pause."""
        ended = [each for each in self.streams if each.first_ms and kind in ("", each.kind.name)]
        late = sum(each.is_late() for each in ended)
        return len(ended), late, sum(each.paused() for each in ended)
