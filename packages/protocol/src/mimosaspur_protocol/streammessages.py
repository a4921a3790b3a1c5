"""Define the datagrams in which entries tell one another which version began a stream."""

import msgspec

# Stays below the size at which datagrams are fragmented.
MAX_RECORDS_PER_DATAGRAM = 30


class RecordMessage(msgspec.Struct, array_like=True, frozen=True):
    """Hold the version that began a stream, by the stream's key."""

    key: bytes
    version: str
    change: int


class StreamsBegun(msgspec.Struct, array_like=True, tag="begun", frozen=True):
    """Ask an entry to remember streams, and to acknowledge it."""

    sender: str
    number: int
    records: list[RecordMessage]
    # Whether they were sent in vain before, so that later ones may have arrived meanwhile.
    late: bool = False


class StreamsNoted(msgspec.Struct, array_like=True, tag="noted", frozen=True):
    """Acknowledge that streams are remembered."""

    sender: str
    number: int


class StreamQuestion(msgspec.Struct, array_like=True, tag="asked", frozen=True):
    """Ask which version began a stream."""

    sender: str
    number: int
    service: str
    key: bytes


class StreamAnswer(msgspec.Struct, array_like=True, tag="known", frozen=True):
    """Answer with the stream's record, if it is known, and the recent versions of its service."""

    sender: str
    number: int
    record: RecordMessage | None
    versions: list[str]
    # Whether no other version can have begun a stream; earlier builds don't tell.
    complete: bool = False


StreamMessage = StreamsBegun | StreamsNoted | StreamQuestion | StreamAnswer

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(StreamMessage)


class StreamMessageInvalid(Exception):
    """Raised when a datagram can't be decoded."""


def encode_stream_message(message: StreamMessage) -> bytes:
    """Return the datagram of a message."""
    return _encoder.encode(message)


def decode_stream_message(data: bytes) -> StreamMessage:
    """Decode a datagram; raise StreamMessageInvalid."""
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise StreamMessageInvalid(str(error)) from error
