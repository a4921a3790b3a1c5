"""Parse an engine's server-sent events and encode those for callers."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

DONE = b"[DONE]"
DONE_EVENT = b"data: [DONE]\n\n"
_BLANK_LINE = b"\n\n"


@dataclass(slots=True, frozen=True)
class EngineEvent:
    """Hold one event; number is 0 if the engine sent no id."""

    number: int
    data: bytes


class EventReader:
    """Parse a byte stream into events."""

    __slots__ = ("buffer",)

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> Iterator[EngineEvent]:
        """Yield the events that are now complete."""
        self.buffer += data.replace(b"\r\n", b"\n")
        *blocks, self.buffer = self.buffer.split(_BLANK_LINE)
        for block in blocks:
            event = _parse_event(block)
            if event:
                yield event


def _parse_event(block: bytes) -> EngineEvent | None:
    number = 0
    data: list[bytes] = []
    for line in block.split(b"\n"):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            data.append(value)
        elif name == b"id" and value.isdigit():
            number = int(value)
    return EngineEvent(number, b"\n".join(data)) if data else None


def event_for_caller(data: bytes, model: str) -> bytes:
    """Return an engine's chunk as a caller's event with the model name that the caller used."""
    chunk = msgspec.json.decode(data)
    chunk["model"] = model
    return b"data: " + msgspec.json.encode(chunk) + _BLANK_LINE


class CompletionBuilder:
    """Combine an engine's chunks into one chat completion."""

    __slots__ = ("finish_reason", "first_chunk", "text", "usage")

    def __init__(self) -> None:
        self.first_chunk: dict[str, Any] = {}
        self.text: list[str] = []
        self.finish_reason: str | None = None
        self.usage: Any = None

    def add_chunk(self, data: bytes) -> None:
        """Add one chunk."""
        chunk = msgspec.json.decode(data)
        self.first_chunk = self.first_chunk or chunk
        self.usage = chunk.get("usage") or self.usage
        for choice in chunk.get("choices", []):
            self.text.append(choice.get("delta", {}).get("content") or "")
            self.finish_reason = choice.get("finish_reason") or self.finish_reason

    def body(self, model: str) -> bytes:
        """Return the completion as JSON with the model name that the caller used."""
        message = {"role": "assistant", "content": "".join(self.text)}
        choice = {"index": 0, "message": message, "finish_reason": self.finish_reason}
        completion = {
            "id": self.first_chunk.get("id", ""),
            "object": "chat.completion",
            "created": self.first_chunk.get("created", 0),
            "model": model,
            "choices": [choice],
        }
        if self.usage:
            completion["usage"] = self.usage
        return msgspec.json.encode(completion)
