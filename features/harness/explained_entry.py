"""Set up an entry whose choices are explained, in one state or at random."""

import asyncio
import contextlib
import random
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace
from enum import Enum

from harness.direct_entry import HOST
from harness.direct_entry import DirectEntry
from harness.direct_entry import engine_spec
from harness.direct_entry import model_spec
from harness.direct_entry import read_response
from harness.direct_target import ScriptedTarget
from harness.direct_workspaces import KEYS
from harness.direct_workspaces import with_workspaces
from harness.recorded_log import RecordedLog
from mimosaspur_coordination.fleetview import TargetView
from mimosaspur_coordination.shares.division import Share
from mimosaspur_daemon.direct.explain.explanation import explain
from mimosaspur_protocol.explanations import ExplainRequest
from mimosaspur_protocol.explanations import Explanation
from mimosaspur_state.fleet import OutstandingWork
from mimosaspur_state.workspaces import Quota
from mimosaspur_state.workspaces import QuotaUnit

MODELS = ("a", "b", "c")
TARGET_NAMES = ("t-0", "t-1", "t-2", "t-3")
# Work that takes an engine no time, little, most of the objective, and longer than a caller waits.
QUEUED_TOKENS = (0, 0, 0, 200, 4_000, 400_000)
# A request that waits isn't answered in this time; its caller waits for 2 s or more.
WAIT_S = 0.08
POLL_S = 0.005
# Longer than a caller waits.
LONG_REST = b"60"
# A permit lapses this long after it was asked for: the test's outlast it.
PERMITS_ASKED_MS = 600_000
HEADER_LIMIT = b"x-request-limit"
# More urgent than the route's, and longer than an idle engine takes.
URGENT_OBJECTIVE_MS = 60.0
# Of 64 slots, seven eighths are for requests that can wait.
FULL_SLOTS = 60

Headers = list[tuple[str, str]]


@dataclass(slots=True)
class Sent:
    """Hold what became of a request: the target that got it, or the code of its refusal."""

    target: str = ""
    code: int = 0
    # Why it was held back for more urgent requests, and for how long.
    reason: str = ""
    held_ms: float = 0.0
    # The targets of which it waits for a permit or the end of a rest, while it isn't answered.
    permits_of: frozenset[str] = frozenset()


class ExplainedEntry:
    """An entry with four scripted engines."""

    def __init__(self) -> None:
        self.log = RecordedLog("entry-0")
        engine = engine_spec([model_spec(name) for name in MODELS])
        self.entry = DirectEntry(engine=engine, log=self.log)
        self.state = self.entry.state
        self.targets = [ScriptedTarget(name) for name in TARGET_NAMES]
        # A request that was sent before the one that is explained.
        self.copy: asyncio.Task[Sent] | None = None

    async def start(self) -> None:
        """Start the targets and the entry."""
        await self.entry.start(*self.targets)
        for view in self.state.fleet.targets.values():
            view.residents = {"a": frozenset("x")}

    def randomize(self) -> ExplainRequest:
        """Put the entry in a random state, and return a random question."""
        state = self.state
        state.staying_entries = random.choice((0, 3, 24))
        for view in state.fleet.targets.values():
            held = random.sample(MODELS, random.randint(0, 2))
            view.residents = {name: frozenset(random.choice(("", "x"))) for name in held}
            view.unloading = frozenset(held[:1]) if random.random() < 0.1 else frozenset()
            tokens = random.choice(QUEUED_TOKENS)
            view.others_work = OutstandingWork(random.randint(0, 40), {0: tokens})
            view.health.last_failure_share = random.choice((0.0, 0.0, 0.6))
            if random.random() < 0.1:
                view.health.record_unreachable()
            if random.random() < 0.1:
                state.notices.on_head(view.record, 503, [(b"Retry-After", LONG_REST)])
            if random.random() < 0.4:
                self._limit(view)
            if random.random() < 0.1:
                state.fleet.update([replace(view.record, leaving=True)], [])
        if random.random() < 0.3:
            self._add_urgent_kind()
        tokens = random.choice((10, 3_000))
        model = random.choice(("a", "a", "b", "c", "a/x", ""))
        headers = self._add_workspaces() if random.random() < 0.5 else []
        return ExplainRequest(HOST, "/stream/x", model=model, prompt_tokens=tokens, headers=headers)

    def _limit(self, view: TargetView) -> None:
        """Let a target limit its requests, with permits at hand or none."""
        notices = self.state.notices
        per_s = random.choice((b"0.001", b"20"))
        notices.on_head(view.record, 200, [(HEADER_LIMIT, per_s)])
        holder = notices.holder
        if random.random() < 0.6:
            # A coordinator issues permits, and nobody else waits for them.
            holder.apply_queues({})
        if permits := random.choice((0, 0, 2)):
            asked_ms = holder.clock.now_ms() + PERMITS_ASKED_MS
            holder.apply_permits(1, asked_ms, {view.record.incarnation: permits})

    def _add_urgent_kind(self) -> None:
        """Let more urgent requests have come for all models, and some engines be nearly full."""
        for model in MODELS:
            urgency = 0, URGENT_OBJECTIVE_MS
            self.state.scheduler.kinds.record(model, urgency, prompt_tokens=10)
        for view in self.state.fleet.targets.values():
            if random.random() < 0.7:
                view.others_work = OutstandingWork(random.choice((8, FULL_SLOTS)), {0: 1_000})

    def _add_workspaces(self) -> Headers:
        """Add workspaces with quotas, shares or both, and return the headers of one's caller."""
        state = self.state
        current = with_workspaces(KEYS, version=2)
        assert state.configuration
        quota = random.choice((None, Quota(QuotaUnit.REQUESTS, 0.01, 1.0)))
        weight = random.choice((None, 1.0))
        workspaces = tuple(
            replace(each, quota=quota, weight=weight) for each in current.workspaces or ()
        )
        services = state.configuration.services
        current = replace(current, services=services, workspaces=workspaces)
        state.apply_configuration(current, source="test")
        state.freshness.confirm("configuration", age_ms=0)
        if quota and random.random() < 0.9:
            state.quotas.apply_update([], entries=1)
            while random.random() < 0.4 and not state.quotas.admit("north", 1.0):
                pass
        if weight:
            state.shares.apply_shares({"service": {"north": Share(1_000.0, 9_000.0)}}, entries=1)
            state.shares.take("service", "north", random.choice((-500.0, 500.0)))
        return [("Authorization", f"Bearer {random.choice(('n-1', 's-1'))}")]

    def start_copy(self, question: ExplainRequest) -> None:
        """Begin to send the request that a question describes."""
        self.copy = asyncio.get_running_loop().create_task(self.send(question))

    async def copy_waits(self) -> None:
        """Wait until the copy, if there is one, waits at the entry for a verdict."""
        while self.copy and not self.state.quarantine.next_probes:
            assert not self.copy.done(), self.copy
            await asyncio.sleep(POLL_S)

    async def send(self, question: ExplainRequest) -> Sent:
        """Send the request that a question describes."""
        reader, writer = await self.entry.connect()
        fields = [("Host", question.host), ("Content-Length", "0"), ("X-Kind", "stream")]
        fields += [("X-Model", question.model), *question.headers]
        fields.append(("X-Token-Counts", f"{question.prompt_tokens},{question.output_tokens}"))
        if question.time_limit_ms:
            fields.append(("X-Deadline-Ms", str(question.time_limit_ms)))
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields if value)
        writer.write(f"POST {question.path} HTTP/1.1\r\n{lines}\r\n".encode())
        answer = await read_response(reader)
        writer.close()
        target = next((each.name for each in self.targets if each.seen), "")
        sent = Sent(target, 0 if target else int(answer.body.split()[0]))
        for line in self.log.of_kind("deferred"):
            sent.reason, sent.held_ms = str(line["reason"]), float(str(line["held_ms"]))
        return sent


async def explain_and_send(seed: int) -> tuple[Explanation, Sent]:
    """Return an explanation in a random state, and what became of the same request after it."""
    random.seed(seed)
    played = ExplainedEntry()
    await played.start()
    question = played.randomize()
    random.seed(seed)
    explanation = explain(played.state, question)
    random.seed(seed)
    sent = Sent()
    with contextlib.suppress(TimeoutError):
        waits = explanation.waits_for and not is_held_back(explanation)
        async with asyncio.timeout(WAIT_S if waits else 5.0):
            sent = await played.send(question)
    waiters = played.state.notices.holder.waiters
    sent.permits_of = frozenset(target for each in waiters for target in each.targets)
    played.entry.callers.stop_accepting()
    return explanation, sent


def is_held_back(explanation: Explanation) -> bool:
    """Return whether a request is told to be held back for more urgent ones, and then sent."""
    wait = explanation.waits_for
    return bool(explanation.chosen and wait and wait.what.startswith("more urgent requests"))


def snapshot(value: object) -> object:
    """Return plain data that tells whether an object has changed."""
    if value is None or isinstance(value, bool | int | float | str | bytes | Enum):
        return value
    if isinstance(value, Mapping):
        return {str(key): snapshot(each) for key, each in value.items()}
    if isinstance(value, list | tuple | deque):
        return [snapshot(each) for each in value]
    if isinstance(value, set | frozenset):
        return sorted(map(str, value))
    names = [*getattr(type(value), "__slots__", ()), *getattr(value, "__dict__", ())]
    kept = [name for name in names if name not in ("clock", "random", "__weakref__")]
    return {name: snapshot(getattr(value, name)) for name in kept}
