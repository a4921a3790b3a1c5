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
from mimosaspur_daemon.direct.explain.explanation import explain
from mimosaspur_protocol.explanations import ExplainRequest
from mimosaspur_protocol.explanations import Explanation
from mimosaspur_state.fleet import OutstandingWork

MODELS = ("a", "b", "c")
TARGET_NAMES = ("t-0", "t-1", "t-2", "t-3")
# Work that takes an engine no time, little, most of the objective, and longer than a caller waits.
QUEUED_TOKENS = (0, 0, 0, 200, 4_000, 400_000)
# A request that waits isn't answered in this time; its caller waits for 2 s or more.
WAIT_S = 0.08
POLL_S = 0.005
# Longer than a caller waits.
LONG_REST = b"60"


@dataclass(slots=True)
class Sent:
    """Hold what became of a request: the target that got it, or the code of its refusal."""

    target: str = ""
    code: int = 0


class ExplainedEntry:
    """An entry with four scripted engines."""

    def __init__(self) -> None:
        self.entry = DirectEntry(engine=engine_spec([model_spec(name) for name in MODELS]))
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
            if random.random() < 0.1:
                state.fleet.update([replace(view.record, leaving=True)], [])
        tokens = random.choice((10, 3_000))
        model = random.choice(("a", "a", "b", "c", "a/x", ""))
        return ExplainRequest(HOST, "/stream/x", model=model, prompt_tokens=tokens)

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
        return Sent(target, 0 if target else int(answer.body.split()[0]))


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
        async with asyncio.timeout(WAIT_S if explanation.waits_for else 5.0):
            sent = await played.send(question)
    played.entry.callers.stop_accepting()
    return explanation, sent


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
