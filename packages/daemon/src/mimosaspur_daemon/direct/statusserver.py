"""Serve the readiness check and the metrics."""

import asyncio

from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_state.routes import CallerLimits
from mimosaspur_transport.callerconnection import BadRequest
from mimosaspur_transport.callerconnection import CallerConnection
from mimosaspur_transport.callerconnection import CallerDisconnected
from mimosaspur_transport.callerconnection import CallerRequest
from mimosaspur_transport.callerconnection import EofNotifyingReader

METRICS_PATH = "/metrics"


class StatusServer:
    """Answer readiness checks and metrics requests."""

    def __init__(self, state: EntryState) -> None:
        self.state = state
        self.servers: list[asyncio.Server] = []

    async def listen(self) -> None:
        """Start accepting connections."""
        loop = asyncio.get_running_loop()

        def protocol() -> asyncio.StreamReaderProtocol:
            return asyncio.StreamReaderProtocol(EofNotifyingReader(loop), self._serve, loop=loop)

        settings = self.state.settings
        addresses = [settings.ready_address]
        if settings.metrics_port:
            addresses.append((settings.ip, settings.metrics_port))
        for address in addresses:
            self.servers.append(await loop.create_server(protocol, *address))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        assert isinstance(reader, EofNotifyingReader)
        connection = CallerConnection(reader, writer, limits=CallerLimits())
        try:
            while (request := await connection.next_request()) is not None:
                status, body = self._answer(request)
                await connection.send_response(status, [], body, close=False)
                if not connection.start_next_cycle():
                    break
        except BadRequest as error:
            self.state.log.write("bad_request", address="ready", detail=error.detail)
        except CallerDisconnected:
            pass
        finally:
            connection.close()

    def _answer(self, request: CallerRequest) -> tuple[int, bytes]:
        if request.path == METRICS_PATH:
            return 200, self.state.log.counters.render().encode()
        if request.path != self.state.dependencies.dialect.ready_path.decode():
            return 404, b""
        return (200 if self.state.ready() else 503), b""
