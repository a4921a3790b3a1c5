"""Call the entries as callers do: on time, however long earlier answers take."""

import contextlib
import http.client
import json
import time
from concurrent.futures import ThreadPoolExecutor
from concurrent.futures import wait

from mimosaspur_load.arrivals import Arrival
from mimosaspur_load.arrivals import Kind
from mimosaspur_load.outcomes import OK
from mimosaspur_load.outcomes import Seen
from mimosaspur_transport.headcheck import HttpConnection

THREADS = 400
CALL_S = 60.0
MS_PER_SECOND = 1000
DATA = b"data: "
DONE = b"[DONE]"
EVENT_STREAM = "text/event-stream"
SYSTEM_PROMPT = "Answer as the floor's assistant, shortly."


class Callers:
    """Send arrivals at their times and keep what came back."""

    def __init__(self, entries: list[str]) -> None:
        self.entries = entries
        self.began = 0.0

    def run(self, arrivals: list[Arrival]) -> list[Seen]:
        """Send all, wait for all answers, and return what was seen in the arrivals' order."""
        with ThreadPoolExecutor(THREADS) as pool:
            self.began = time.monotonic()
            futures = []
            for arrival in arrivals:
                time.sleep(max(0, arrival.at_ms - self._now_ms()) / MS_PER_SECOND)
                futures.append(pool.submit(self._ask, arrival))
            wait(futures)
        return [future.result() for future in futures]

    def _now_ms(self) -> float:
        return (time.monotonic() - self.began) * MS_PER_SECOND

    def _ask(self, arrival: Arrival) -> Seen:
        seen = Seen(arrival.number)
        seen.sent_ms = self._now_ms() - arrival.at_ms
        # As the platform's balancer does, go to the next entry when one takes no connection.
        for step in range(len(self.entries)):
            address = self.entries[(arrival.entry + step) % len(self.entries)]
            host, _, port = address.rpartition(":")
            connection = HttpConnection(host, int(port), timeout=CALL_S)
            try:
                connection.connect()
            except OSError as error:
                seen.detail = f"connect: {error!r}"
                continue
            self._exchange(connection, arrival, seen)
            break
        seen.end_ms = self._now_ms() - arrival.at_ms
        return seen

    def _exchange(self, connection: HttpConnection, arrival: Arrival, seen: Seen) -> None:
        try:
            method, path, body, headers = request_of(arrival)
            connection.request(method, path, body, headers)
            self._read(connection.getresponse(), arrival, seen)
        except (OSError, http.client.HTTPException, ValueError) as error:
            seen.broken = True
            seen.detail = repr(error)
        finally:
            connection.close()

    def _read(self, response: http.client.HTTPResponse, arrival: Arrival, seen: Seen) -> None:
        seen.status = response.status
        seen.request_id = response.headers.get("X-Request-Id", "")
        if response.headers.get_content_type() == EVENT_STREAM:
            self._read_stream(response, arrival, seen)
            return
        body = response.read()
        seen.whole = True
        value = json.loads(body)
        if response.status != OK:
            _note_error(value, seen)
        elif arrival.kind is Kind.SERVICE:
            seen.text = str(value["echo"])
        else:
            seen.text = str(value["choices"][0]["message"]["content"])

    def _read_stream(
        self, response: http.client.HTTPResponse, arrival: Arrival, seen: Seen
    ) -> None:
        last_ms = 0.0
        parts: list[str] = []
        for line in response:
            if not line.startswith(DATA):
                continue
            data = line.removeprefix(DATA).strip()
            if data == DONE:
                seen.whole = True
                continue
            text = _text_of(json.loads(data), seen)
            if not text:
                continue
            now_ms = self._now_ms() - arrival.at_ms
            if seen.first_ms is None:
                seen.first_ms = now_ms
            else:
                seen.gaps_ms.append(now_ms - last_ms)
            last_ms = now_ms
            parts.append(text)
        seen.text = "".join(parts)


def request_of(arrival: Arrival) -> tuple[str, str, bytes, dict[str, str]]:
    """Return an arrival's method, path, body and headers."""
    headers = {
        "Content-Type": "application/json",
        "X-Deadline-Ms": str(arrival.deadline_ms),
        "X-Priority": str(arrival.priority),
    }
    if arrival.kind is Kind.SERVICE:
        headers["Idempotency-Key"] = arrival.content.replace(" ", "-")
        return "POST", f"/services/{arrival.name}/run", arrival.content.encode(), headers
    body = chat_body(arrival.name, arrival.content, arrival.max_tokens, stream=arrival.stream)
    return "POST", "/v1/chat/completions", body, headers


def chat_body(model: str, content: str, max_tokens: int, *, stream: bool) -> bytes:
    """Return the body of a chat request."""
    messages = [
        {"role": "system", "content": SYSTEM_PROMPT},
        {"role": "user", "content": content},
    ]
    value = {"model": model, "messages": messages, "max_tokens": max_tokens, "stream": stream}
    return json.dumps(value).encode()


def _text_of(event: dict[str, object], seen: Seen) -> str:
    if "error" in event:
        _note_error(event, seen)
        return ""
    choices = event.get("choices")
    assert isinstance(choices, list)
    return "".join(choice["delta"].get("content") or "" for choice in choices)


def _note_error(value: dict[str, object], seen: Seen) -> None:
    error = value.get("error")
    if not isinstance(error, dict):
        return
    with contextlib.suppress(KeyError, ValueError):
        seen.error_code = int(error["code"])
        seen.error_outcome = str(error["outcome"])
        seen.detail = str(error["message"])
