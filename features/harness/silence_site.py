"""Run entries before services whose targets fall silent, and judge what callers get."""

import asyncio
import itertools
import signal
from collections import Counter
from dataclasses import dataclass

import msgspec

from harness.direct_store import StoreStandIn
from harness.entry_processes import EntryProcess
from harness.entry_processes import EntryProcesses
from harness.entry_site import Answer
from harness.entry_site import EntrySite
from harness.silence_configuration import EARLY_KEY
from harness.silence_configuration import KEY
from harness.silence_configuration import MAX_ATTEMPTS
from harness.silence_configuration import PATIENCE_S
from harness.silence_configuration import STREAM_KINDS
from harness.silence_configuration import TIMEOUT_MS
from harness.silence_configuration import configuration
from harness.silence_configuration import is_engine_service
from harness.silent_target import MODEL
from harness.silent_target import SERVERS
from harness.silent_target import WHOLE_BODY
from harness.silent_target import SilentTarget
from harness.silent_target import all_events
from harness.silent_target import registration
from harness.still_target import StillTarget

EVENT_COUNT = 20
SHORT_EVENT_COUNT = 8
EVENT_S = 0.2
# When the targets fall silent: before the silence can be noticed, streams sent at the start are
# older than the time in which a first event is due.
SILENT_AT_S = 3.0
# The same where only requests that come in the silence matter.
SOON_SILENT_AT_S = 0.5
AGAIN_AFTER_S = 3.0
# Quick requests to each service, from which the retry budget grows, and those sent at once.
QUICK_COUNT = 40
QUICK_AT_ONCE = 4
# The time limit of requests that stay with a target which is gone.
SHORT_LIMIT_S = 5.0
# Relative to the silence: before the head, before the first event or half, between the halves,
# and while the target reads nothing.
STAGES_S = (-0.05, -0.15, -0.25, 0.1)
# Streams that are written when the silence begins.
WRITTEN_S = (0.0, 0.3, 1.5)
# Relative to a silence in which connections are not accepted.
CONNECTING_S = (0.05, 0.1, 0.3, 0.6)
# How long after its time limit a caller waits for an answer.
NO_ANSWER_S = 1.0
DRAINING_STATUS = 503
NOT_CONNECTED = 0


@dataclass(slots=True, frozen=True)
class SitePlan:
    """Describe a site, which of its targets fall silent, and what is changed beside it."""

    entries: int
    # Of each service, and how many of them hold the model and fall silent.
    targets: int
    holders: int
    silent: int
    # One engine service and one plain service for each; None is for ever.
    silences: tuple[float | None, ...]
    times: int
    changes: tuple[str, ...]
    # Whether connections are accepted during a silence.
    accepts: bool = True

    @property
    def silent_at_s(self) -> float:
        """Return when the targets fall silent."""
        return SILENT_AT_S if self.accepts else SOON_SILENT_AT_S

    @property
    def event_count(self) -> int:
        """Return the number of events of a stream."""
        return EVENT_COUNT if self.accepts else SHORT_EVENT_COUNT


@dataclass(slots=True, frozen=True)
class Call:
    """Describe one request; its time is relative to the start."""

    name: str
    kind: str
    service: str
    at_s: float
    silence: float | None

    @property
    def stays(self) -> bool:
        """Return whether it can't leave its target."""
        return self.kind in ("single", "once")

    @property
    def limit_s(self) -> float:
        """Return its time limit."""
        return SHORT_LIMIT_S if self.silence is None and self.stays else TIMEOUT_MS / 1000


class SilenceSite(EntrySite):
    """Run a store, services of each silence, and entries."""

    def __init__(self, plan: SitePlan, entries: EntryProcesses) -> None:
        super().__init__(entries, store=StoreStandIn())
        self.processes = entries
        self.plan = plan
        self.services: dict[str, float | None] = {}
        for number, silence in enumerate(plan.silences):
            self.services |= {f"engines-{number}": silence, f"plain-{number}": silence}
        self.store.put("config", "main", configuration(list(self.services)))
        self.targets = {service: self._targets(service) for service in self.services}
        self.answers: list[tuple[Call, int, Answer]] = []
        # When each entry was asked to stop, since the start.
        self.stopped_s: dict[int, float] = {}

    async def start(self) -> None:
        """Start the store, the targets and the entries."""
        for service, targets in self.targets.items():
            for target in targets:
                await target.start()
                self.store.put(SERVERS, target.identity, registration(target, service))
        await self.start_entries()

    def stop(self) -> None:
        """Stop the targets and remove the entries' files."""
        for target in itertools.chain.from_iterable(self.targets.values()):
            target.stop()
        self.entries.stop()

    async def play(self) -> None:
        """Send all requests, with the silences and the changes beside them."""
        await asyncio.gather(*(self._grow_budget(service) for service in self.services))
        work = [self._send(call, number) for number, call in enumerate(self._calls())]
        silences = [self._silence(*each) for each in self.services.items()]
        await asyncio.gather(*work, *silences, self._change())

    def failures(self) -> list[str]:
        """Return what is wrong with the answers, and with the runs and retries behind them."""
        failures = [
            f"{call.name}, {call.kind} at {call.at_s:g} s to {call.service} by entry {entry}, "
            f"silent {call.silence}: {reason}"
            for call, entry, answer in self.answers
            if (reason := self._failure(call, entry, answer))
        ]
        return failures + self._wrong_counts()

    def _targets(self, service: str) -> list[SilentTarget]:
        is_engine = is_engine_service(service)
        kind = SilentTarget if self.plan.accepts else StillTarget
        return [
            kind(
                f"{service}-{number}",
                is_engine=is_engine,
                event_count=self.plan.event_count,
                event_s=EVENT_S,
                holds_model=number < self.plan.holders,
            )
            for number in range(self.plan.targets)
        ]

    def _calls(self) -> list[Call]:
        per_service = max(1, self.plan.entries // 8)
        numbers = itertools.count(1)
        return [
            Call(f"c{next(numbers)}", kind, service, at_s, silence)
            for service, silence in self.services.items()
            for kind, at_s in self._schedule(is_engine_service(service))
            for _ in range(per_service)
        ]

    def _schedule(self, is_engine: bool) -> list[tuple[str, float]]:
        """Return the kinds of requests to a service and when they are sent."""
        kinds = ("stream", "single") if is_engine else ("safe", "once")
        if not self.plan.accepts:
            times_s = [SOON_SILENT_AT_S + connecting_s for connecting_s in CONNECTING_S]
            return [(kind, at_s) for kind in kinds for at_s in times_s]
        stages_s = [SILENT_AT_S + stage_s for stage_s in STAGES_S]
        if not is_engine:
            return [(kind, at_s) for kind in kinds for at_s in stages_s]
        written = [("stream", at_s) for at_s in WRITTEN_S]
        return [("early", 0.1), ("single", 1.6), *written, *(("stream", at) for at in stages_s)]

    async def _grow_budget(self, service: str) -> None:
        is_engine = is_engine_service(service)
        count = max(QUICK_COUNT, 8 * self.plan.entries)
        for first in range(0, count, QUICK_AT_ONCE):
            calls = (
                self._call(number, Call("", "quick", service, 0.0, None), is_engine=is_engine)
                for number in range(first, first + QUICK_AT_ONCE)
            )
            await asyncio.gather(*calls)

    async def _send(self, call: Call, number: int) -> None:
        await asyncio.sleep(call.at_s)
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        try:
            async with asyncio.timeout(call.limit_s + NO_ANSWER_S):
                answer = await self._call(number, call, is_engine=is_engine_service(call.service))
        except TimeoutError:
            answer = Answer(sent_s, loop.time() - sent_s, 0, False, "no answer")
        self.answers.append((call, number % self.entries.count, answer))

    async def _call(self, number: int, call: Call, *, is_engine: bool) -> Answer:
        key = EARLY_KEY if call.kind == "early" else KEY
        limit_ms = round(call.limit_s * 1000)
        return await self.call(
            number,
            b"{}",
            path=f"/{call.kind}/{call.service}/x",
            model=MODEL if is_engine else "",
            identity=call.name,
            headers={"Authorization": f"Bearer {key}", "X-Deadline-Ms": str(limit_ms)},
        )

    async def _silence(self, service: str, silence: float | None) -> None:
        """Silence those targets of a service that run the most requests."""
        await asyncio.sleep(self.plan.silent_at_s)
        targets = sorted(self.targets[service], key=lambda target: -target.in_flight)
        for _ in range(self.plan.times):
            for target in targets[: self.plan.silent]:
                target.fall_silent(silence)
            await asyncio.sleep(AGAIN_AFTER_S)

    async def _change(self) -> None:
        """Make each change within the silence, the first one just before it."""
        begin_s = asyncio.get_running_loop().time()
        await asyncio.sleep(self.plan.silent_at_s - 0.1)
        for number, change in enumerate(self.plan.changes):
            if change.startswith("SIG"):
                for index, entry in self._signalled(change):
                    if change == "SIGTERM":
                        self.stopped_s[index] = asyncio.get_running_loop().time() - begin_s
                    entry.process.send_signal(signal.Signals[change])
            elif change != "nothing":
                changed = configuration(list(self.services), version=number + 2, change=change)
                self.store.put("config", "main", changed)
            await asyncio.sleep(0.3)

    def _signalled(self, change: str) -> list[tuple[int, EntryProcess]]:
        """Return the only entry, or some of many, the coordinator not among them."""
        entries = list(enumerate(self.processes.entries))
        if len(entries) == 1:
            return entries
        others = [each for each in entries if not each[1].coordinates()]
        return others[:3] if change == "SIGTERM" else others[3:6]

    def _failure(self, call: Call, entry: int, answer: Answer) -> str:
        stopped_s = self.stopped_s.get(entry)
        is_leaving = stopped_s is not None and call.at_s > stopped_s - 0.05
        if is_leaving and answer.status in (DRAINING_STATUS, NOT_CONNECTED):
            # It sends callers elsewhere.
            return ""
        if call.silence is None and call.stays and answer.lasted_s >= call.limit_s - 0.1:
            return ""
        wanted = all_events(self.plan.event_count) if call.kind in STREAM_KINDS else WHOLE_BODY
        if (answer.status, answer.text.encode(), answer.whole) != (200, wanted, True):
            events = answer.text.count("\n\n")
            got = f"{answer.status}, {events} events, whole: {answer.whole}"
            return f"{got}, after {answer.lasted_s:.2f} s, at {self._reached(call)}"
        if call.silence is None and answer.longest_pause_s > PATIENCE_S:
            return f"a pause of {answer.longest_pause_s:.2f} s"
        return ""

    def _reached(self, call: Call) -> str:
        """Return the targets that a request was sent to."""
        arrivals = itertools.chain.from_iterable(
            target.arrivals for target in self.targets[call.service]
        )
        return ", ".join(each.target for each in arrivals if each.request == call.name)

    def _wrong_counts(self) -> list[str]:
        sent: Counter[str] = Counter()
        ran: Counter[str] = Counter()
        for target in itertools.chain.from_iterable(self.targets.values()):
            sent.update(each.request for each in target.arrivals)
            ran.update(each.request for each in target.arrivals if each.ran)
        names = [call.name for call, _, _ in self.answers]
        wrong = [f"{name} ran {ran[name]} times" for name in names if ran[name] > MAX_ATTEMPTS]
        if not self.plan.accepts:
            # A retry is also spent on a connection that fails, and returned later.
            return wrong
        spent = self._spent_retries()
        return wrong + [
            f"{name}: {spent[name]} retries spent, {max(0, sent[name] - 1)} sent"
            for name in names
            if spent[name] != max(0, sent[name] - 1)
        ]

    def _spent_retries(self) -> Counter[str]:
        """Return the retries that were taken from the budget and kept, by request."""
        spent: Counter[str] = Counter()
        for entry in self.processes.entries:
            for line in map(msgspec.json.decode, entry.log_lines()):
                if line["event"] == "left_out":
                    assert "repeat" not in line["counts"], line
                if line["event"] == "repeat":
                    sign = {"granted": 1, "returned": -1, "refused": 0}[line["outcome"]]
                    spent[line["request"]] += sign * line["repeats"]
        return spent
