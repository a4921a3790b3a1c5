"""Exchange newer configurations between an entry and the coordinator."""

import contextlib
from functools import singledispatchmethod

from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_protocol.configurationcodec import decode_configuration
from mimosaspur_protocol.configurationcodec import encode_configuration
from mimosaspur_protocol.peermessages import ConfigurationRequest
from mimosaspur_protocol.peermessages import EncodedConfiguration
from mimosaspur_protocol.peermessages import PeerMessage
from mimosaspur_protocol.peermessages import PeerProtocolError
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.policy import Mechanism
from mimosaspur_state.routes import Configuration
from mimosaspur_transport.peerlink import PeerLink
from mimosaspur_transport.peerlink import PeerLost

# A peer that doesn't answer a request is asked again, or another one is, after this time.
REQUEST_RETRY_MS = 500
NO_REQUEST_MS = -1_000_000_000


class ConfigurationExchange:
    """Request newer configurations from one peer at a time, and send them to peers that ask.

    Only whole configurations are sent, so that no receiver has to assemble one from parts.
    """

    __slots__ = ("encoded", "encoded_from", "requested_ms", "state")

    def __init__(self, state: EntryState) -> None:
        self.state = state
        self.requested_ms = NO_REQUEST_MS
        # A configuration encoded for peers, and that configuration.
        self.encoded: EncodedConfiguration | None = None
        self.encoded_from: Configuration | None = None

    def on_version(self, version: int, link: PeerLink) -> None:
        """Request a peer's configuration if its version is newer than the one in force."""
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
        """Handle a peer's message if it is about configurations."""

    @on_message.register
    def _on_request(self, message: ConfigurationRequest, link: PeerLink) -> None:
        """Send the configuration in force to a peer that has an older one."""
        configuration = self.state.configuration
        if configuration is None or configuration.version <= message.known_version:
            return
        # The same version may have got weights since, see EntryState.apply_configuration.
        if self.encoded is None or self.encoded_from is not configuration:
            self.encoded = encode_configuration(configuration)
            self.encoded_from = configuration
        with contextlib.suppress(PeerLost):
            link.send(self.encoded)

    @on_message.register
    def _on_configuration(self, message: EncodedConfiguration, link: PeerLink) -> None:
        """Adopt a peer's configuration if it can be decoded and is newer."""
        self.requested_ms = NO_REQUEST_MS
        try:
            configuration = decode_configuration(message)
        except PeerProtocolError as error:
            self.state.log.always(
                "configuration_unreadable",
                code=int(ResultCode.BAD_CONFIGURATION),
                version=message.version,
                error=str(error),
            )
            return
        self.state.apply_configuration(configuration, source="peer")
