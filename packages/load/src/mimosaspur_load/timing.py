"""Time single streams, and keep several under way."""

import http.client
import json
import threading
import time
import uuid
from dataclasses import dataclass

from mimosaspur_load.callers import chat_body
from mimosaspur_transport.headcheck import HttpConnection

MS_PER_SECOND = 1000
CALL_S = 120.0
DATA = b"data: {"
OK = 200


@dataclass(slots=True, frozen=True)
class Timed:
    """Hold the times of a stream's tokens, in milliseconds after the request was sent."""

    token_ms: list[float]

    @property
    def first_ms(self) -> float:
        """Return when the first token came."""
        return self.token_ms[0]

    @property
    def per_token_ms(self) -> float:
        """Return the mean time between tokens."""
        return (self.token_ms[-1] - self.token_ms[0]) / max(1, len(self.token_ms) - 1)


def time_stream(address: str, model: str, tokens: int) -> Timed:
    """Ask for a stream and time its tokens; raise RuntimeError unless all come."""
    host, _, port = address.rpartition(":")
    connection = HttpConnection(host, int(port), timeout=CALL_S)
    body = chat_body(model, uuid.uuid4().hex, tokens, stream=True)
    headers = {"Content-Type": "application/json", "X-Request-Id": uuid.uuid4().hex}
    try:
        connection.connect()
        began = time.perf_counter()
        connection.request("POST", "/v1/chat/completions", body, headers)
        response = connection.getresponse()
        if response.status != OK:
            raise RuntimeError(f"{address} answered {response.status}: {response.read()!r}")
        times = [
            (time.perf_counter() - began) * MS_PER_SECOND
            for line in response
            if line.startswith(DATA) and _has_text(line)
        ]
    finally:
        connection.close()
    if len(times) != tokens:
        raise RuntimeError(f"{address} sent {len(times)} of {tokens} tokens")
    return Timed(times)


def _has_text(line: bytes) -> bool:
    choices = json.loads(line.removeprefix(b"data: ")).get("choices", [])
    return any(choice["delta"].get("content") for choice in choices)


class Streams:
    """Keep some streams under way until told to stop."""

    def __init__(self, address: str, model: str, *, count: int, tokens: int) -> None:
        self.address = address
        self.model = model
        self.tokens = tokens
        self.stopping = threading.Event()
        self.lock = threading.Lock()
        self.done = 0
        self.failed: list[str] = []
        self.threads = [threading.Thread(target=self._run, daemon=True) for _ in range(count)]

    def start(self) -> None:
        """Begin."""
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Let the streams under way end; raise RuntimeError if any failed."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()
        if self.failed:
            raise RuntimeError(f"{len(self.failed)} streams failed, first: {self.failed[0]}")

    def _run(self) -> None:
        while not self.stopping.is_set():
            try:
                time_stream(self.address, self.model, self.tokens)
            except (OSError, RuntimeError, http.client.HTTPException) as error:
                self.failed.append(repr(error))
                return
            with self.lock:
                self.done += 1
