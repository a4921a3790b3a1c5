"""Run the engine's jobs: prefill, token generation, cancellation and resumable streams."""

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
    """Describe the generation for a request and the events of its stream."""

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
        """Return whether the job has finished or was cancelled."""
        return self.state in ("finished", "cancelled")

    def usage(self) -> dict[str, int]:
        """Return the token counts in the format of the API."""
        count = len(self.tokens)
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": count,
            "total_tokens": self.prompt_tokens + count,
        }

    def envelope(self, kind: str, choice: dict[str, Any]) -> dict[str, Any]:
        """Return the fields common to all responses."""
        return {
            "id": self.request_id,
            "object": kind,
            "created": self.created,
            "model": self.resident.id,
            "choices": [{"index": 0, **choice}],
        }

    def chunk(self, text: str) -> dict[str, Any]:
        """Return the event for a token."""
        choice = {"delta": {"role": "assistant", "content": text}, "finish_reason": None}
        return self.envelope("chat.completion.chunk", choice)

    def last_chunk(self) -> dict[str, Any]:
        """Return the final event of the stream."""
        envelope = self.envelope("chat.completion.chunk", {"delta": {}, "finish_reason": "stop"})
        return {**envelope, "usage": self.usage()}

    def full_response(self) -> dict[str, Any]:
        """Return the response for a request without streaming."""
        message = {"role": "assistant", "content": "".join(self.tokens)}
        envelope = self.envelope("chat.completion", {"message": message, "finish_reason": "stop"})
        return {**envelope, "usage": self.usage()}


class Scheduler:
    """Run up to `slots` jobs concurrently, in FIFO order."""

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
        """Queue a job for a request; the resident stays reserved until the job ends."""
        texts = [message_text(message) for message in body["messages"]]
        limit = body.get("max_tokens")
        tokens = answer_tokens(resident.id, texts[-1], *([] if limit is None else [int(limit)]))
        prompt_tokens = sum(len(text.split()) for text in texts)
        # One condition per job, so that a token wakes only the readers of its job.
        changed = threading.Condition(self.lock)
        job = Job(request_id, resident, texts[0], tokens, prompt_tokens, changed)
        with self.lock:
            self.drop_expired()
            self.jobs[request_id] = job
            self.queue.append(job)
            self.record_load()
        threading.Thread(target=self.run, args=(job,), daemon=True).start()
        return job

    def run(self, job: Job) -> None:
        """Run a job to its end, whether or not its stream is being read."""
        try:
            if self.acquire_slot(job):
                self.generate_tokens(job)
                self.release_slot(job)
        finally:
            self.residents.release(job.resident)

    def acquire_slot(self, job: Job) -> bool:
        """Wait for a slot; return False if the job was cancelled while queued."""
        with self.lock:
            job.changed.wait_for(lambda: job.ended() or self.may_start(job))
            self.queue.remove(job)
            if not job.ended():
                job.state = "running"
                self.active += 1
                self.runs[job.request_id] += 1
            self.record_load()
            self.notify_next()
            return not job.ended()

    def may_start(self, job: Job) -> bool:
        """Return whether the job may take a slot; the caller must hold the lock."""
        return self.active < self.slots and self.queue[0] is job

    def generate_tokens(self, job: Job) -> None:
        """Append the token events at their due times until the end or a cancellation."""
        hit = self.cache.lookup(job.resident.id, job.first_text)
        due_ms = now_ms() + (self.prefill_ms / CACHE_HIT_SPEEDUP if hit else self.prefill_ms)
        if self.cancelled_before(job, due_ms):
            return
        self.cache.store(job.resident.id, job.first_text)
        for token in job.tokens:
            if self.cancelled_before(job, due_ms):
                return
            due_ms += self.token_ms
            with self.lock:
                job.events.append(job.chunk(token))
                self.rate.add()
                job.changed.notify_all()

    def cancelled_before(self, job: Job, due_ms: float) -> bool:
        """Wait until the due time; return True if the job is cancelled first."""
        with self.lock:
            wait_s = max(0, due_ms - now_ms()) / MS_PER_SECOND
            return job.changed.wait_for(job.ended, wait_s)

    def release_slot(self, job: Job) -> None:
        """Finish a job that has run and release its slot."""
        with self.lock:
            if not job.ended():
                job.events.append(job.last_chunk())
                self.end(job, "finished")
                self.finished.append(job.request_id)
            self.active -= 1
            self.record_load()
            self.notify_next()

    def end(self, job: Job, state: str) -> None:
        """Record the end of a job; the caller must hold the lock."""
        job.state = state
        job.ended_ms = now_ms()
        self.ended.append(job)
        job.changed.notify_all()

    def notify_next(self) -> None:
        """Wake the first job in the queue; the caller must hold the lock."""
        if self.queue:
            self.queue[0].changed.notify_all()

    def cancel(self, request_id: str) -> bool:
        """Cancel a job unless it has ended; return False if it is unknown."""
        with self.lock:
            job = self.find(request_id)
            if job is None:
                return False
            if not job.ended():
                self.end(job, "cancelled")
                self.cancelled.append(request_id)
            return True

    def find(self, request_id: str) -> Job | None:
        """Return a job that has not ended, or ended within STREAM_RETENTION_MS."""
        with self.lock:
            self.drop_expired()
            return self.jobs.get(request_id)

    def drop_expired(self) -> None:
        """Drop jobs past their retention; the caller must hold the lock."""
        oldest = now_ms() - STREAM_RETENTION_MS
        while self.ended and self.ended[0].ended_ms < oldest:
            job = self.ended.popleft()
            # The request id may have been reused by a newer job.
            if self.jobs.get(job.request_id) is job:
                del self.jobs[job.request_id]

    def wait(self, job: Job) -> bool:
        """Wait for the end; return whether the job finished."""
        with self.lock:
            job.changed.wait_for(job.ended)
            return job.state == "finished"

    def stream(self, job: Job, after: int) -> Iterator[bytes]:
        """Yield the server-sent events after number `after` as they are generated."""
        sent = after
        while True:
            new_events, ended = self.wait_for_events(job, sent)
            for event in new_events:
                sent += 1
                yield f"id: {sent}\ndata: {json.dumps(event)}\n\n".encode()
            if ended:
                break
        if job.state == "finished":
            yield DONE_EVENT

    def wait_for_events(self, job: Job, sent: int) -> tuple[list[dict[str, Any]], bool]:
        """Wait for events beyond those sent; also return whether the job has ended."""
        with self.lock:
            job.changed.wait_for(lambda: len(job.events) > sent or job.ended())
            return job.events[sent:], job.ended()

    def record_load(self) -> None:
        """Record the current load; the caller must hold the lock."""
        load = {"active": self.active, "waiting": len(self.queue)}
        self.samples.append((now_ms(), load))

    def load(self) -> dict[str, int]:
        """Return the load as it was `load_lag_ms` ago."""
        visible_until_ms = now_ms() - self.load_lag_ms
        with self.lock:
            seen = (load for at_ms, load in reversed(self.samples) if at_ms <= visible_until_ms)
            load = next(seen, {"active": 0, "waiting": 0})
            return {**load, "slots": self.slots, "tokens_per_second": self.rate.count()}


def message_text(message: dict[str, Any]) -> str:
    """Return the text of a message; content in parts is returned as JSON."""
    content = message["content"]
    return content if isinstance(content, str) else json.dumps(content)
