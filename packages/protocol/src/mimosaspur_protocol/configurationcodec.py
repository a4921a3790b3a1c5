"""Encode a whole configuration for another entry, and decode it there."""

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

# Links of entries may be thin, and the names in a configuration repeat themselves; more effort
# saves little.
COMPRESSION_LEVEL = 1
# What is unpacked is never larger: a broken peer must not take all memory.
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
    """Return the message that passes a configuration on; of API keys it holds digests only."""
    body = _Body(
        configuration.version,
        configuration.routes,
        configuration.services,
        configuration.limits,
        configuration.workspaces,
    )
    packed = zlib.compress(_encoder.encode(body), COMPRESSION_LEVEL)
    return EncodedConfiguration(configuration.version, _digest(packed), packed)


def decode_configuration(told: EncodedConfiguration) -> Configuration:
    """Return the configuration of a message; raise PeerProtocolError unless it is whole."""
    if _digest(told.body) != told.digest:
        raise PeerProtocolError("the configuration's digest is another one")
    try:
        unpacker = zlib.decompressobj()
        encoded = unpacker.decompress(told.body, MAX_BODY_BYTES)
        if not unpacker.eof:
            raise PeerProtocolError("the configuration is cut off or too large")
        body = _decoder.decode(encoded)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise PeerProtocolError(f"the configuration can't be read: {error}") from error
    if body.version != told.version:
        raise PeerProtocolError(f"version {body.version} came as version {told.version}")
    return Configuration(body.version, body.routes, body.services, body.limits, body.workspaces)


def _digest(body: bytes) -> bytes:
    return hashlib.sha256(body).digest()
