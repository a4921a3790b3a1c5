"""Encode messages as msgpack frames and decode them."""

from collections.abc import Iterator
from typing import cast

import msgpack
import msgspec

from mimosaspur_protocol.messages import MESSAGE_TYPES
from mimosaspur_protocol.messages import Message

MAX_FRAME_BYTES = 16_000_000

_TYPE_NUMBERS: dict[type, int] = {kind: number for number, kind in enumerate(MESSAGE_TYPES)}


class ProtocolError(Exception):
    """Raised when a peer sends an invalid frame or message."""


def encode(message: Message) -> bytes:
    """Return the frame of a message: its type number and its fields."""
    fields = msgspec.to_builtins(message, builtin_types=(bytes,))
    return msgpack.packb([_TYPE_NUMBERS[type(message)], fields])


class Decoder:
    """Decode a byte stream into messages."""

    __slots__ = ("unpacker",)

    def __init__(self) -> None:
        self.unpacker = msgpack.Unpacker(max_buffer_size=MAX_FRAME_BYTES, raw=False)

    def feed(self, data: bytes) -> Iterator[Message]:
        """Yield the messages that are now complete; raise ProtocolError."""
        try:
            self.unpacker.feed(data)
            for frame in self.unpacker:
                yield _decode_message(frame)
        except (ValueError, msgpack.exceptions.UnpackException, msgpack.BufferFull) as error:
            raise ProtocolError(f"cannot decode frame: {error}") from error


def _decode_message(frame: object) -> Message:
    if not isinstance(frame, list) or len(frame) != 2:
        raise ProtocolError("frame is not a list of a type number and fields")
    number, fields = frame
    if not isinstance(number, int) or not 0 <= number < len(MESSAGE_TYPES):
        raise ProtocolError(f"unknown message type {number!r}")
    try:
        return cast(Message, msgspec.convert(fields, MESSAGE_TYPES[number]))
    except msgspec.ValidationError as error:
        raise ProtocolError(f"{MESSAGE_TYPES[number].__name__}: {error}") from error
