"""Pass newer configurations on between an entry and the coordinator."""

import contextlib
from functools import singledispatchmethod

from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_protocol.configurationcodec import decode_configuration
from mimosaspur_protocol.configurationcodec import encode_configuration
from mimosaspur_protocol.peermessages import ConfigurationRequest
from mimosaspur_protocol.peermessages import EncodedConfiguration
from mimosaspur_protocol.peermessages import PeerMessage
from mimosaspur_protocol.peermessages import PeerProtocolError
from mimosaspur_state.policy import Mechanism
from mimosaspur_transport.peerlink import PeerLink
from mimosaspur_transport.peerlink import PeerLost

# A peer that doesn't send what it was asked for is asked again, or another one is, after so long.
REQUEST_RETRY_MS = 500
NO_REQUEST_MS = -1_000_000_000


class ConfigurationExchange:
    """Ask one peer at a time for a newer configuration, and tell it to those who ask.

    Only whole configurations are passed on, so that nothing has to be put together from parts.
    """

    __slots__ = ("requested_ms", "encoded", "state")

    def __init__(self, state: EntryState) -> None:
        self.state = state
        self.requested_ms = NO_REQUEST_MS
        # The configuration in force, as it is told.
        self.encoded: EncodedConfiguration | None = None

    def on_version(self, version: int, link: PeerLink) -> None:
        """Ask a peer for the configuration that it has if that is newer."""
        now_ms = self.state.clock.now_ms()
        if version <= self.state.version() or now_ms - self.requested_ms < REQUEST_RETRY_MS:
            return
        if not self.state.uses(Mechanism.PEER_CONFIGURATION):
            return
        self.requested_ms = now_ms
        with contextlib.suppress(PeerLost):
            link.send(ConfigurationRequest(self.state.version()))

    @singledispatchmethod
    def on_message(self, message: PeerMessage, link: PeerLink) -> None:
        """Take a peer's message if it is one about configurations."""

    @on_message.register
    def _on_request(self, message: ConfigurationRequest, link: PeerLink) -> None:
        """Tell a peer the configuration in force here if it knows an older one."""
        configuration = self.state.configuration
        if configuration is None or configuration.version <= message.known_version:
            return
        if self.encoded is None or self.encoded.version != configuration.version:
            self.encoded = encode_configuration(configuration)
        with contextlib.suppress(PeerLost):
            link.send(self.encoded)

    @on_message.register
    def _on_configuration(self, message: EncodedConfiguration, link: PeerLink) -> None:
        """Put a peer's configuration in force if it is whole and newer."""
        self.requested_ms = NO_REQUEST_MS
        try:
            configuration = decode_configuration(message)
        except PeerProtocolError as error:
            self.state.log.always(
                "configuration_unreadable", version=message.version, error=str(error)
            )
            return
        self.state.apply_configuration(configuration, source="peer")
