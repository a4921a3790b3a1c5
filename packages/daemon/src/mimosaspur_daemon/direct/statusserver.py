"""Serve the readiness check, the metrics and what operators ask."""

import asyncio
from functools import partial

import msgspec

from mimosaspur_coordination.quarantine.traits import parse_trait
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.explain.answer import answer_question
from mimosaspur_protocol.explanations import EXPLAIN_PATH
from mimosaspur_state.counters import PREFIX
from mimosaspur_state.routes import CallerLimits
from mimosaspur_transport.callerconnection import BadRequest
from mimosaspur_transport.callerconnection import CallerConnection
from mimosaspur_transport.callerconnection import CallerDisconnected
from mimosaspur_transport.callerconnection import CallerRequest
from mimosaspur_transport.callerconnection import EofNotifyingReader

METRICS_PATH = "/metrics"
# Limits on callers of these addresses, which send small requests and few of them.
STATUS_LIMITS = CallerLimits(body_bytes=65_536)
MAX_CONNECTIONS = 64
# Lists what is quarantined; DELETE on a trait's name below it lifts its quarantine.
QUARANTINE_PATH = "/quarantine"
# Lists the targets that name a request limit.
LIMITS_PATH = "/limits"
# Lists the software versions of each service's targets.
VERSIONS_PATH = "/versions"


class StatusServer:
    """Answer readiness checks and metrics requests."""

    def __init__(self, state: EntryState) -> None:
        self.state = state
        self.servers: list[asyncio.Server] = []
        # The oldest first.
        self.connections: dict[CallerConnection, None] = {}

    async def listen(self) -> None:
        """Start accepting connections."""
        loop = asyncio.get_running_loop()

        def protocol(*, for_operators: bool) -> asyncio.StreamReaderProtocol:
            serve = partial(self._serve, for_operators=for_operators)
            return asyncio.StreamReaderProtocol(EofNotifyingReader(loop), serve, loop=loop)

        settings = self.state.settings
        addresses = {settings.ready_address: False}
        if settings.metrics_port:
            addresses[settings.ip, settings.metrics_port] = True
        for address, for_operators in addresses.items():
            factory = partial(protocol, for_operators=for_operators)
            self.servers.append(await loop.create_server(factory, *address))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, for_operators: bool
    ) -> None:
        assert isinstance(reader, EofNotifyingReader)
        connection = CallerConnection(reader, writer, limits=STATUS_LIMITS)
        if len(self.connections) >= MAX_CONNECTIONS:
            # The balancer opens a connection for each check.
            oldest = next(iter(self.connections))
            self.connections.pop(oldest)
            oldest.abort()
        self.connections[connection] = None
        try:
            while (request := await connection.next_request()) is not None:
                status, body = self._answer(request, for_operators=for_operators)
                await connection.send_response(status, [], body, close=False)
                if not connection.start_next_cycle():
                    break
        except BadRequest as error:
            self.state.log.write("bad_request", address="ready", detail=error.detail)
        except CallerDisconnected:
            pass
        finally:
            self.connections.pop(connection, None)
            connection.close()

    def _answer(self, request: CallerRequest, *, for_operators: bool) -> tuple[int, bytes]:
        if for_operators and request.path.startswith(QUARANTINE_PATH):
            return self._answer_quarantine(request)
        if for_operators and request.path == LIMITS_PATH:
            return 200, msgspec.json.encode(self.state.notices.listing())
        if for_operators and request.path == VERSIONS_PATH:
            return 200, msgspec.json.encode(self.state.stream_versions.listing())
        if for_operators and request.path == EXPLAIN_PATH:
            return answer_question(self.state, request)
        if request.path == METRICS_PATH:
            return 200, (self.state.log.counters.render() + self._render_memory()).encode()
        if request.path != self.state.dependencies.dialect.ready_path.decode():
            return 404, b""
        return (200 if self.state.ready() else 503), b""

    def _render_memory(self) -> str:
        """Return the use of the memory budget in the Prometheus text format."""
        budget = self.state.memory
        return (
            f"{PREFIX}callers_memory_bytes {budget.used_bytes}\n"
            f"{PREFIX}callers_memory_limit_bytes {budget.limit_bytes:.0f}\n"
            f"{PREFIX}callers_gave_way_total {budget.given_way}\n"
        )

    def _answer_quarantine(self, request: CallerRequest) -> tuple[int, bytes]:
        """List what is quarantined, or lift the quarantine of the trait that is named."""
        quarantine = self.state.quarantine
        if request.method == b"GET" and request.path == QUARANTINE_PATH:
            return 200, msgspec.json.encode(quarantine.listing())
        if request.method != b"DELETE":
            return 405, b""
        try:
            trait = parse_trait(request.path.removeprefix(f"{QUARANTINE_PATH}/"))
        except ValueError:
            return 400, b"Name a request or a part: DELETE /quarantine/DIGEST or .../part:ID\n"
        return (200 if quarantine.lift(trait) else 404), b""
