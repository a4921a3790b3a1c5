"""Steps for weights in a configuration that entries of two versions exchange."""

import zlib
from dataclasses import replace

import msgspec
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_workspaces import KEYS
from harness.direct_workspaces import with_workspaces
from mimosaspur_daemon.direct.configurationexchange import ConfigurationExchange
from mimosaspur_protocol.configurationcodec import _digest
from mimosaspur_protocol.configurationcodec import decode_configuration
from mimosaspur_protocol.configurationcodec import encode_configuration
from mimosaspur_protocol.peermessages import ConfigurationRequest
from mimosaspur_protocol.peermessages import EncodedConfiguration
from mimosaspur_state.routes import Configuration


class _RecordingLink:
    """A fake link to a peer that keeps the messages sent."""

    def __init__(self) -> None:
        self.messages: list[EncodedConfiguration] = []

    def send(self, message: EncodedConfiguration) -> None:
        """Keep a message."""
        self.messages.append(message)


def _weighted(weight: float | None) -> Configuration:
    """Return version 3 of the configuration with this weight for north."""
    current = with_workspaces(KEYS, version=3)
    first, *others = current.workspaces or ()
    return replace(current, workspaces=(replace(first, weight=weight), *others))


def _encode_without_weights(configuration: Configuration) -> EncodedConfiguration:
    """Return the message of an entry whose version doesn't know of weights."""
    message = encode_configuration(configuration)
    *fields, workspaces = msgspec.msgpack.decode(zlib.decompress(message.body))
    for each in workspaces:
        del each["weight"]
    body = zlib.compress(msgspec.msgpack.encode([*fields, workspaces]))
    return EncodedConfiguration(message.version, _digest(body), body)


@when("it gets version 3 with a weight of {weight:g} from {order}")
def get_version(context: Context, weight: float, order: str) -> None:
    state = context.entry.state
    context.exchange = ConfigurationExchange(state)
    context.link = _RecordingLink()
    context.weight = weight
    for sender in order.split(", and then "):
        if "peer" in sender:
            message = _encode_without_weights(_weighted(weight))
            context.exchange.on_message(message, context.link)
        else:
            state.apply_configuration(_weighted(weight), source="store")
        # Keeps what it passes on until that changes.
        context.exchange.on_message(ConfigurationRequest(2), context.link)


@then("north has that weight in version 3, also as the entry passes it on")
def check_weight(context: Context) -> None:
    state = context.entry.state
    passed_on = decode_configuration(context.link.messages[-1])
    for current in (state.configuration, passed_on):
        weights = {each.name: each.weight for each in current.workspaces or ()}
        assert current.version == 3 and weights == {"north": context.weight, "south": None}, weights
    assert state.shares.weights == {"north": context.weight, "south": 1.0}, state.shares.weights
