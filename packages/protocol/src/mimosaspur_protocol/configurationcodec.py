"""Encode and decode a configuration that entries exchange."""

import hashlib
import zlib

import msgspec

from mimosaspur_protocol.peermessages import EncodedConfiguration
from mimosaspur_protocol.peermessages import PeerProtocolError
from mimosaspur_state.routes import CallerLimits
from mimosaspur_state.routes import Configuration
from mimosaspur_state.routes import Route
from mimosaspur_state.routes import ServiceSpec
from mimosaspur_state.workspaces import Workspace

# Names repeat in a configuration, so that higher levels save little.
COMPRESSION_LEVEL = 1
# Limit of the decompressed size, so that a faulty peer cannot exhaust memory.
MAX_BODY_BYTES = 16_000_000


class _Body(msgspec.Struct, array_like=True):
    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    limits: CallerLimits
    workspaces: tuple[Workspace, ...] | None


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Body)


def encode_configuration(configuration: Configuration) -> EncodedConfiguration:
    """Return the message for a configuration; it contains only digests of API keys."""
    body = _Body(
        configuration.version,
        configuration.routes,
        configuration.services,
        configuration.limits,
        configuration.workspaces,
    )
    packed = zlib.compress(_encoder.encode(body), COMPRESSION_LEVEL)
    return EncodedConfiguration(configuration.version, _digest(packed), packed)


def decode_configuration(message: EncodedConfiguration) -> Configuration:
    """Return the configuration of a message; raise PeerProtocolError if it is not intact."""
    if _digest(message.body) != message.digest:
        raise PeerProtocolError("configuration digest does not match its body")
    try:
        unpacker = zlib.decompressobj()
        encoded = unpacker.decompress(message.body, MAX_BODY_BYTES)
        if not unpacker.eof:
            raise PeerProtocolError("configuration is truncated or too large")
        body = _decoder.decode(encoded)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise PeerProtocolError(f"cannot decode configuration: {error}") from error
    if body.version != message.version:
        raise PeerProtocolError(f"body has version {body.version}, message {message.version}")
    return Configuration(body.version, body.routes, body.services, body.limits, body.workspaces)


def _digest(body: bytes) -> bytes:
    return hashlib.sha256(body).digest()
