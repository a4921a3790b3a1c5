"""Play workspaces that compete for engines over many entries, in virtual time."""

import heapq
import random
from dataclasses import dataclass

from harness.direct_fleet import ManualClock
from mimosaspur_coordination.shares.holder import ShareHolder
from mimosaspur_coordination.shares.issuer import ShareIssuer
from mimosaspur_state.workspaces import Workspace

ENTRIES, ENGINES = 24, 22
TOKENS = 2_368
READ_MS = TOKENS / 25.8
OBJECTIVE_MS = 511
# A caller abandons a stream that has not begun by then.
PATIENCE_MS = 2_000
# Parts of the usual demand: two large workspaces, and 14 small ones.
DEMAND = {"w0": 0.3, "w1": 0.2} | {f"w{n}": 0.5 / 14 for n in range(2, 16)}
LARGE = "w0"
OTHERS = [name for name in DEMAND if name != LARGE]
USUAL_LOAD = 0.6
# Entries report every 100 ms; what they know of the engines' queues is up to twice as old.
REPORT_MS = 100
LOAD_MS = 200
RANK, LATE_RANK = 1, 9
BURST_MS = (3_000, 15_000)
END_MS = 16_000


@dataclass(slots=True, order=True)
class _Request:
    rank: int
    number: int
    at_ms: int
    entry: int
    workspace: str


class _Engine:
    """Read one prompt after another, those of the lowest rank first."""

    def __init__(self) -> None:
        self.queue: list[_Request] = []
        self.current: _Request | None = None
        self.ends_ms = 0.0
        # The queue by rank as entries know it, and what each of them has sent since.
        self.known = {RANK: 0, LATE_RANK: 0}
        self.sent: dict[tuple[int, int], int] = {}

    def predicted_ms(self, entry: int, rank: int) -> float:
        """Return what an entry predicts for the first event: one prompt is being read."""
        sent = sum(self.sent.get((entry, each), 0) for each in (RANK, LATE_RANK) if each <= rank)
        return (self.known[rank] + sent + 2) * READ_MS

    def on_report(self) -> None:
        """Tell the entries the queue as it is now."""
        self.known = {
            rank: sum(each.rank <= rank for each in self.queue) for rank in (RANK, LATE_RANK)
        }
        self.sent = {}

    def begin_next(self, now_ms: float) -> None:
        """Begin to read the next prompt whose caller still waits."""
        self.current = None
        while self.queue and self.current is None:
            request = heapq.heappop(self.queue)
            if now_ms - request.at_ms < PATIENCE_MS:
                self.current, self.ends_ms = request, now_ms + READ_MS


class FairSharePlay:
    """Send the requests of 16 workspaces through many entries, with shares or without."""

    def __init__(
        self, *, factor: float, shares: bool, lost_ms: int = END_MS, seed: int = 1
    ) -> None:
        self.shares, self.lost_ms = shares, lost_ms
        self.clock = ManualClock(0)
        self.holders = [ShareHolder(clock=self.clock) for _ in range(ENTRIES)]
        for holder in self.holders:
            holder.configure([Workspace(name, frozenset(), weight=1.0) for name in DEMAND])
            holder.apply_shares({}, entries=ENTRIES)
        self.issuer = ShareIssuer(clock=self.clock)
        # Whether shares were issued at any time.
        self.was_issued = False
        self.engines = [_Engine() for _ in range(ENGINES)]
        self.random = random.Random(seed)
        self.requests = self._arrivals(factor, seed)
        # Requests of the time of the burst whose first event came in time.
        self.on_time = dict.fromkeys(DEMAND, 0)

    def play(self) -> "FairSharePlay":
        """Play to the end."""
        next_report_ms = 0
        for request in self.requests:
            while next_report_ms <= request.at_ms:
                self._advance(next_report_ms)
                self._report()
                next_report_ms += REPORT_MS
            self._advance(request.at_ms)
            self._send(request)
        return self

    def kept(self, usual: "FairSharePlay") -> float:
        """Return the part of the other workspaces' answers in time that they keep in a burst."""
        return sum(self.on_time[each] for each in OTHERS) / sum(
            usual.on_time[each] for each in OTHERS
        )

    def _arrivals(self, factor: float, seed: int) -> list[_Request]:
        """Return the requests; those of other workspaces are the same for any factor."""
        usual_per_ms = USUAL_LOAD * ENGINES / READ_MS
        arrivals: list[tuple[float, int, str]] = []
        for name, part in DEMAND.items():
            source, at_ms = random.Random(f"{seed} {name}"), 0.0
            while at_ms < END_MS:
                bursts = name == LARGE and BURST_MS[0] <= at_ms < BURST_MS[1]
                at_ms += source.expovariate(usual_per_ms * part * (factor if bursts else 1))
                entry = source.randrange(ENTRIES)
                arrivals.append((at_ms, entry, name))
        return [
            _Request(RANK, number, round(at_ms), entry, name)
            for number, (at_ms, entry, name) in enumerate(sorted(arrivals))
        ]

    def _advance(self, now_ms: int) -> None:
        for engine in self.engines:
            while (done := engine.current) and engine.ends_ms <= now_ms:
                self.clock.ms = round(engine.ends_ms)
                self.holders[done.entry].on_served("s", done.workspace, TOKENS)
                in_time = engine.ends_ms - done.at_ms <= OBJECTIVE_MS
                self.on_time[done.workspace] += in_time and BURST_MS[0] <= done.at_ms < BURST_MS[1]
                engine.begin_next(engine.ends_ms)
        self.clock.ms = now_ms

    def _report(self) -> None:
        if not self.clock.ms % LOAD_MS:
            for engine in self.engines:
                engine.on_report()
        if self.clock.ms >= self.lost_ms:
            return
        for number, holder in enumerate(self.holders):
            uses = holder.take_report()
            if uses is not None:
                self.issuer.apply_use(str(number), uses)
        shares = self.issuer.take_changes(self.holders[0].weights)
        self.was_issued |= shares is not None
        for holder in self.holders:
            holder.apply_shares(shares, entries=ENTRIES)

    def _send(self, request: _Request) -> None:
        holder, key = self.holders[request.entry], ("s", request.workspace)
        holder.on_asked(*key, TOKENS)
        exceeds = self.shares and holder.exceeds(*key)
        # The choice of engines isn't what is tested here: the cheaper of two is the most even one.
        pair = self.random.sample(self.engines, 2)
        for rank in (LATE_RANK,) if exceeds else (RANK, LATE_RANK):
            engine = min(pair, key=lambda each: each.predicted_ms(request.entry, rank))
            predicted_ms = engine.predicted_ms(request.entry, rank)
            if predicted_ms > OBJECTIVE_MS:
                holder.on_shortage("s")
            if predicted_ms <= (PATIENCE_MS if rank == LATE_RANK else OBJECTIVE_MS):
                break
        else:
            return
        if not exceeds:
            holder.take(*key, TOKENS)
        request.rank = rank
        engine.sent[request.entry, rank] = engine.sent.get((request.entry, rank), 0) + 1
        heapq.heappush(engine.queue, request)
        if engine.current is None:
            engine.begin_next(self.clock.ms)
