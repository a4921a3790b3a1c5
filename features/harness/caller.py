"""Send requests to an entry over HTTP, as callers do."""

import contextlib
import http.client
import json
import socket
import threading
import time
from dataclasses import dataclass
from dataclasses import field
from typing import Any

CALL_TIMEOUT_S = 40.0
MS_PER_S = 1000
DONE = "[DONE]"


@dataclass(slots=True)
class Reply:
    """Reply as far as received; `broken` is set if the connection broke."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    broken: bool = False

    def json(self) -> Any:
        """Return the body's JSON."""
        return json.loads(self.body)

    def events(self) -> list[str]:
        """Return the data of each event of a streamed answer."""
        blocks = self.body.decode().split("\n\n")
        return [block.removeprefix("data: ") for block in blocks if block.startswith("data: ")]

    def text(self) -> str:
        """Return the answer's text, or as much of a streamed answer as was received."""
        if self.headers.get("content-type", "").startswith("text/event-stream"):
            return "".join(_delta(event) for event in self.events() if event != DONE)
        return str(self.json()["choices"][0]["message"]["content"])

    def is_complete(self) -> bool:
        """Return whether the reply succeeded and, if streamed, ended with [DONE]."""
        if self.broken or self.status != 200:
            return False
        if self.headers.get("content-type", "").startswith("text/event-stream"):
            return self.events()[-1:] == [DONE]
        return True

    def error(self) -> dict[str, Any]:
        """Return the error object of the body or, if streamed, of the last event."""
        if self.headers.get("content-type", "").startswith("text/event-stream"):
            found: dict[str, Any] = json.loads(self.events()[-1])["error"]
            return found
        error: dict[str, Any] = self.json()["error"]
        return error


def _delta(event: str) -> str:
    chunk = json.loads(event)
    return "".join(choice["delta"].get("content") or "" for choice in chunk.get("choices", []))


class Call:
    """Run one request in a thread; `reply` is filled as data arrives."""

    def __init__(
        self, address: str, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> None:
        host, _, port = address.rpartition(":")
        self.connection = http.client.HTTPConnection(host, int(port), timeout=CALL_TIMEOUT_S)
        self.request = (method, path, body, headers)
        self.reply = Reply()
        self.sent_at = time.monotonic()
        self.ended_at = 0.0
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def wait(self) -> Reply:
        """Return the finished reply; fail after a timeout."""
        self.thread.join(CALL_TIMEOUT_S + 5)
        assert not self.thread.is_alive(), f"no reply to {self.request[:2]} within the timeout"
        return self.reply

    def duration_ms(self) -> float:
        """Return the time until the reply had ended."""
        self.wait()
        return (self.ended_at - self.sent_at) * MS_PER_S

    def disconnect(self) -> None:
        """Close the caller's connection immediately."""
        sock = self.connection.sock
        if sock:
            # close() sends no FIN while the reading thread still uses the socket; shutdown() does.
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self.connection.close()

    def _run(self) -> None:
        method, path, body, headers = self.request
        try:
            self.connection.request(method, path, body or None, headers)
            response = self.connection.getresponse()
            self.reply.status = response.status
            self.reply.headers = {name.lower(): value for name, value in response.getheaders()}
            while part := response.read1(65536):
                self.reply.body += part
        except (OSError, http.client.HTTPException, ValueError):
            self.reply.broken = True
        finally:
            self.connection.close()
            self.ended_at = time.monotonic()


def chat_call(
    address: str,
    model: str,
    content: str,
    *,
    max_tokens: int = 16,
    stream: bool = False,
    headers: dict[str, str] | None = None,
) -> Call:
    """Start a chat request."""
    body = {
        "model": model,
        "messages": [{"role": "user", "content": content}],
        "max_tokens": max_tokens,
        "stream": stream,
    }
    sent = {"Content-Type": "application/json", **(headers or {})}
    return Call(address, "POST", "/v1/chat/completions", json.dumps(body).encode(), sent)


def service_call(
    address: str, service: str, body: str, *, headers: dict[str, str] | None = None
) -> Call:
    """Start a request to a plain service."""
    path = f"/services/{service}/run"
    sent = {"Content-Type": "text/plain", **(headers or {})}
    return Call(address, "POST", path, body.encode(), sent)
