"""Do the engine's work: prefill, tokens, cancelling, and streams that can be resumed."""

import json
import threading
import time
from collections import Counter
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from .answers import answer_tokens
from .base import MS_PER_SECOND
from .base import now_ms
from .counting import SlidingWindow
from .orders import Resident
from .prefixes import PrefixCache
from .residents import Residents

STREAM_RETENTION_MS = 30_000
CACHE_HIT_SPEEDUP = 4
MAX_SAMPLES = 10_000
DONE_EVENT = b"data: [DONE]\n\n"


@dataclass(slots=True)
class Job:
    """Hold one request's work and the events of its stream."""

    request_id: str
    resident: Resident
    first_text: str
    tokens: list[str]
    prompt_tokens: int
    changed: threading.Condition
    created: int = field(default_factory=lambda: int(time.time()))
    events: list[dict[str, Any]] = field(default_factory=list)
    state: str = "waiting"
    ended_ms: float = 0

    def ended(self) -> bool:
        """Tell whether nothing more will come."""
        return self.state in ("finished", "cancelled")

    def usage(self) -> dict[str, int]:
        """Count tokens as the API does."""
        count = len(self.tokens)
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": count,
            "total_tokens": self.prompt_tokens + count,
        }

    def envelope(self, kind: str, choice: dict[str, Any]) -> dict[str, Any]:
        """Give the common shape of an answer."""
        return {
            "id": self.request_id,
            "object": kind,
            "created": self.created,
            "model": self.resident.id,
            "choices": [{"index": 0, **choice}],
        }

    def chunk(self, text: str) -> dict[str, Any]:
        """Give one token's event."""
        choice = {"delta": {"role": "assistant", "content": text}, "finish_reason": None}
        return self.envelope("chat.completion.chunk", choice)

    def last_chunk(self) -> dict[str, Any]:
        """Give the event that ends the answer."""
        frame = self.envelope("chat.completion.chunk", {"delta": {}, "finish_reason": "stop"})
        return {**frame, "usage": self.usage()}

    def full_response(self) -> dict[str, Any]:
        """Give the answer in one piece."""
        message = {"role": "assistant", "content": "".join(self.tokens)}
        frame = self.envelope("chat.completion", {"message": message, "finish_reason": "stop"})
        return {**frame, "usage": self.usage()}


class Scheduler:
    """Run work in `slots` slots, first come first served."""

    def __init__(
        self,
        *,
        residents: Residents,
        cache: PrefixCache,
        slots: int,
        prefill_ms: float,
        token_ms: float,
        load_lag_ms: float,
    ) -> None:
        self.residents = residents
        self.cache = cache
        self.slots = slots
        self.prefill_ms = prefill_ms
        self.token_ms = token_ms
        self.load_lag_ms = load_lag_ms
        self.lock = threading.RLock()
        self.jobs: dict[str, Job] = {}
        self.ended: deque[Job] = deque()
        self.queue: list[Job] = []
        self.active = 0
        self.runs: Counter[str] = Counter()
        self.cancelled: list[str] = []
        self.finished: list[str] = []
        self.rate = SlidingWindow()
        self.samples: deque[tuple[float, dict[str, int]]] = deque(maxlen=MAX_SAMPLES)

    def submit(self, request_id: str, resident: Resident, body: dict[str, Any]) -> Job:
        """Queue the work of a request; the resident is held until its end."""
        texts = [message_text(message) for message in body["messages"]]
        limit = body.get("max_tokens")
        tokens = answer_tokens(resident.id, texts[-1], *([] if limit is None else [int(limit)]))
        prompt_tokens = sum(len(text.split()) for text in texts)
        # Each work has its own condition, so that a token wakes its readers only.
        changed = threading.Condition(self.lock)
        work = Job(request_id, resident, texts[0], tokens, prompt_tokens, changed)
        with self.lock:
            self.drop_expired()
            self.jobs[request_id] = work
            self.queue.append(work)
            self.record_load()
        threading.Thread(target=self.run, args=(work,), daemon=True).start()
        return work

    def run(self, work: Job) -> None:
        """Do a piece of work to its end, whether anybody listens or not."""
        try:
            if self.acquire_slot(work):
                self.generate_tokens(work)
                self.release_slot(work)
        finally:
            self.residents.release(work.resident)

    def acquire_slot(self, work: Job) -> bool:
        """Wait for a slot; False when the work was cancelled before."""
        with self.lock:
            work.changed.wait_for(lambda: work.ended() or self.may_start(work))
            self.queue.remove(work)
            if not work.ended():
                work.state = "running"
                self.active += 1
                self.runs[work.request_id] += 1
            self.record_load()
            self.notify_next()
            return not work.ended()

    def may_start(self, work: Job) -> bool:
        """Tell whether it is the work's turn; the caller holds the lock."""
        return self.active < self.slots and self.queue[0] is work

    def generate_tokens(self, work: Job) -> None:
        """Produce the events at their times until the end or a cancel."""
        hit = self.cache.lookup(work.resident.id, work.first_text)
        due_ms = now_ms() + (self.prefill_ms / CACHE_HIT_SPEEDUP if hit else self.prefill_ms)
        if self.cancelled_before(work, due_ms):
            return
        self.cache.store(work.resident.id, work.first_text)
        for token in work.tokens:
            if self.cancelled_before(work, due_ms):
                return
            due_ms += self.token_ms
            with self.lock:
                work.events.append(work.chunk(token))
                self.rate.add()
                work.changed.notify_all()

    def cancelled_before(self, work: Job, due_ms: float) -> bool:
        """Wait until a time, or for a cancel."""
        with self.lock:
            wait_s = max(0, due_ms - now_ms()) / MS_PER_SECOND
            return work.changed.wait_for(work.ended, wait_s)

    def release_slot(self, work: Job) -> None:
        """End work that ran."""
        with self.lock:
            if not work.ended():
                work.events.append(work.last_chunk())
                self.end(work, "finished")
                self.finished.append(work.request_id)
            self.active -= 1
            self.record_load()
            self.notify_next()

    def end(self, work: Job, state: str) -> None:
        """Note the end of work; the caller holds the lock."""
        work.state = state
        work.ended_ms = now_ms()
        self.ended.append(work)
        work.changed.notify_all()

    def notify_next(self) -> None:
        """Let the first in the queue look for a slot; the caller holds the lock."""
        if self.queue:
            self.queue[0].changed.notify_all()

    def cancel(self, request_id: str) -> bool:
        """Cancel work; False when it is unknown; ended work stays as it is."""
        with self.lock:
            work = self.find(request_id)
            if work is None:
                return False
            if not work.ended():
                self.end(work, "cancelled")
                self.cancelled.append(request_id)
            return True

    def find(self, request_id: str) -> Job | None:
        """Find work that runs, or that ended up to 30 s ago."""
        with self.lock:
            self.drop_expired()
            return self.jobs.get(request_id)

    def drop_expired(self) -> None:
        """Drop streams that ended long ago; the caller holds the lock."""
        oldest = now_ms() - STREAM_RETENTION_MS
        while self.ended and self.ended[0].ended_ms < oldest:
            work = self.ended.popleft()
            # The same request id may have begun again since.
            if self.jobs.get(work.request_id) is work:
                del self.jobs[work.request_id]

    def wait(self, work: Job) -> bool:
        """Wait for the end; tell whether the work finished."""
        with self.lock:
            work.changed.wait_for(work.ended)
            return work.state == "finished"

    def stream(self, work: Job, after: int) -> Iterator[bytes]:
        """Give the server-sent events after number `after`, as they come."""
        sent = after
        while True:
            fresh, ended = self.wait_for_events(work, sent)
            for event in fresh:
                sent += 1
                yield f"id: {sent}\ndata: {json.dumps(event)}\n\n".encode()
            if ended:
                break
        if work.state == "finished":
            yield DONE_EVENT

    def wait_for_events(self, work: Job, sent: int) -> tuple[list[dict[str, Any]], bool]:
        """Wait for events beyond those sent; tell also whether the work ended."""
        with self.lock:
            work.changed.wait_for(lambda: len(work.events) > sent or work.ended())
            return work.events[sent:], work.ended()

    def record_load(self) -> None:
        """Note the load; the caller holds the lock."""
        load = {"active": self.active, "waiting": len(self.queue)}
        self.samples.append((now_ms(), load))

    def load(self) -> dict[str, int]:
        """Give the load as it was some time ago."""
        seen_until = now_ms() - self.load_lag_ms
        with self.lock:
            seen = (load for at_ms, load in reversed(self.samples) if at_ms <= seen_until)
            load = next(seen, {"active": 0, "waiting": 0})
            return {**load, "slots": self.slots, "tokens_per_second": self.rate.count()}


def message_text(message: dict[str, Any]) -> str:
    """Give the text of a message; content in parts counts as its JSON."""
    content = message["content"]
    return content if isinstance(content, str) else json.dumps(content)
