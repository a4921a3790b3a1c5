"""Run an entry's caller server in the test process, with scripted targets."""

import asyncio
import itertools
import os
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

import h11

from harness.direct_target import ScriptedTarget
from harness.share_leases import held_share
from mimosaspur_coordination.fleetports import ConfigurationChange
from mimosaspur_coordination.fleetports import HeadHandler
from mimosaspur_coordination.fleetports import LeaseRecord
from mimosaspur_coordination.fleetports import StoppedRun
from mimosaspur_coordination.fleetports import TargetChanges
from mimosaspur_coordination.fleetports import TargetListing
from mimosaspur_coordination.fleetports import VersionRecord
from mimosaspur_daemon.direct.callers import CallerServer
from mimosaspur_daemon.direct.entrystate import EntryDependencies
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_state.clock import SystemClock
from mimosaspur_state.directsettings import DirectSettings
from mimosaspur_state.directsettings import OrderBounds
from mimosaspur_state.directsettings import RetryBounds
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.eventlog import EventLog
from mimosaspur_state.fleet import EngineOrder
from mimosaspur_state.fleet import EngineReport
from mimosaspur_state.fleet import OrderOutcome
from mimosaspur_state.fleet import TargetRecord
from mimosaspur_state.routes import Configuration
from mimosaspur_state.routes import EngineSpec
from mimosaspur_state.routes import ModelSpec
from mimosaspur_state.routes import Route
from mimosaspur_state.routes import RouteKind
from mimosaspur_state.routes import ServiceSpec
from mimosaspur_transport.dialect import Dialect

DOMAIN = "here"
OTHER_DOMAIN = "there"
HOST = "site.example"
DIALECT = Dialect(proof=b"x-proof", reserved=frozenset((b"x-priority", b"x-expected-identity")))
REQUEST_KINDS = {
    "an idempotent request": ("safe", RouteKind.IDEMPOTENT, False),
    "a request that may run once": ("once", RouteKind.AT_MOST_ONCE, False),
    "a stream": ("stream", RouteKind.STREAM, False),
    "a resumable stream": ("resumable-stream", RouteKind.STREAM, True),
}
TIMEOUT_MS = 4_000
# Entries that share the retry budget.
RETRY_SHARERS = 4


class UnavailableStore:
    """Simulate a store that is unavailable."""

    async def list_targets(self) -> TargetListing:
        """Fail."""
        raise StoreUnavailable("none")

    async def watch_targets(self, revision: int, *, wait_ms: int) -> TargetChanges:
        """Fail."""
        raise StoreUnavailable("none")

    async def read_configuration(self) -> ConfigurationChange:
        """Fail."""
        raise StoreUnavailable("none")

    async def watch_configuration(self, revision: int, *, wait_ms: int) -> ConfigurationChange:
        """Fail."""
        raise StoreUnavailable("none")

    async def read_lease(self) -> LeaseRecord | None:
        """Fail."""
        raise StoreUnavailable("none")

    async def write_lease(self, record: LeaseRecord) -> LeaseRecord:
        """Fail."""
        raise StoreUnavailable("none")

    async def read_versions(self) -> VersionRecord | None:
        """Fail."""
        raise StoreUnavailable("none")

    async def write_versions(self, record: VersionRecord) -> VersionRecord:
        """Fail."""
        raise StoreUnavailable("none")


class UnresponsiveEngines:
    """Simulate engines that do not respond."""

    def set_head_handler(self, handler: HeadHandler) -> None:
        """Ignore the handler, as calls have no heads here."""

    async def report(self, target: TargetRecord) -> EngineReport | None:
        """Return no report."""
        return None

    async def order(self, target: TargetRecord, order: EngineOrder) -> OrderOutcome:
        """Return an unknown outcome."""
        return OrderOutcome.UNKNOWN

    async def stop_and_copy(
        self, source: TargetRecord, request: bytes, to: TargetRecord
    ) -> StoppedRun | None:
        """Return no stopped run."""
        return None

    async def drop_copy(self, source: TargetRecord, handle: str) -> None:
        """Do nothing."""


def settings_for(instance: str, *, peer_port: int = 0, handover_ms: int = 300) -> DirectSettings:
    """Return settings for the loopback address and ephemeral ports."""
    return DirectSettings(
        instance=instance,
        ip="127.0.0.1",
        failure_domain=DOMAIN,
        callers_address=("127.0.0.1", 0),
        ready_address=("127.0.0.1", 0),
        peer_port=peer_port,
        metrics_port=0,
        store_address=("127.0.0.1", 1),
        memory_mb=300,
        descriptors=1_000,
        shutdown_ms=8_000,
        configuration_ms=2_000,
        drain_ms=2_000,
        target_heartbeat_ms=1_200,
        retries=RetryBounds(ratio=0.2, window_ms=10_000, slack=50),
        orders=OrderBounds(handover_ms=handover_ms, load_window_ms=5_000, load_overage=1.1),
    )


def null_log(instance: str) -> EventLog:
    """Return a log that discards its lines."""
    return EventLog(instance, fd=os.open(os.devnull, os.O_WRONLY))


def entry_dependencies(instance: str, **ports: object) -> EntryDependencies:
    """Return dependencies that do not respond, except for the given ones."""
    settings = settings_for(instance)
    base = EntryDependencies(
        clock=SystemClock(),
        log=null_log(instance),
        dialect=DIALECT,
        store=UnavailableStore(),
        engines=UnresponsiveEngines(),
        reload=lambda: settings,
        changed=lambda: False,
    )
    return replace(base, **ports)  # type: ignore[arg-type]


def model_spec(name: str, **fields: float | tuple[str, ...]) -> ModelSpec:
    """Return a 70 GB model that loads in 9 s, in 2 s from disk and in 1 s from memory."""
    model = ModelSpec(name, 70_000.0, load_s=9.0, disk_load_s=2.0, memory_load_s=1.0)
    return replace(model, **fields)  # type: ignore[arg-type]


def engine_spec(models: list[ModelSpec], **fields: float) -> EngineSpec:
    """Return engines with memory for three models."""
    named = {model.name: model for model in models}
    spec = EngineSpec(64, 100_000, 220_000.0, 4, 2.0, 440_000.0, 150_000.0, named)
    return replace(spec, **fields)  # type: ignore[arg-type]


def configuration(engine: EngineSpec | None = None) -> Configuration:
    """Return a configuration with one route of each kind to a single service."""
    routes = tuple(
        Route(
            name=name,
            host=HOST,
            prefix=f"/{name}/",
            kind=kind,
            services=(("service", 1.0),),
            timeout_ms=TIMEOUT_MS,
            objective_ms=300,
            priority=0,
            max_attempts=2,
            resumable=resumable,
            gap_objective_ms=100,
        )
        for name, kind, resumable in REQUEST_KINDS.values()
    )
    services = {"service": ServiceSpec("service", "/health", 100, engine)}
    return Configuration(1, routes, services)


@dataclass(slots=True)
class ReceivedResponse:
    """Hold the response that a caller received."""

    status: int
    body: bytes
    whole: bool
    headers: dict[str, str]
    # When each piece of the body came, on the event loop's clock.
    pieces_s: list[float] = field(default_factory=list)

    def longest_pause_s(self) -> float:
        """Return the longest time between two pieces of the body."""
        return max((b - a for a, b in itertools.pairwise(self.pieces_s)), default=0.0)


class DirectEntry:
    """Serve callers on a free port with the given targets."""

    def __init__(self, *, engine: EngineSpec | None = None, **ports: object) -> None:
        settings = settings_for("entry-0")
        dependencies = entry_dependencies("entry-0", **ports)
        self.state = EntryState(settings, dependencies)
        self.state.retry_share = held_share(
            settings.retries.window_ms, sharers=RETRY_SHARERS, clock=dependencies.clock
        )
        self.state.configuration = configuration(engine)
        self.state.targets_known = True
        self.callers = CallerServer(self.state)
        self.port = 0

    async def start(self, *targets: ScriptedTarget) -> None:
        """Start the targets, the first in the entry's own failure domain, and listen."""
        for number, target in enumerate(targets):
            domain = OTHER_DOMAIN if number else DOMAIN
            self.add(target.name, await target.start(), domain)
        await self.callers.listen()
        assert self.callers.server
        self.port = self.callers.server.sockets[0].getsockname()[1]

    def add(self, identity: str, address: tuple[str, int], domain: str = DOMAIN) -> TargetRecord:
        """Register a target."""
        record = TargetRecord(identity, "service", address, domain, slots=4)
        self.state.fleet.update([record], [])
        return record

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a caller's connection."""
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def call(self, route: str, *, headers: dict[str, str] | None = None) -> ReceivedResponse:
        """Send one request and receive its answer."""
        reader, writer = await self.connect()
        writer.write(request_bytes(route, headers))
        try:
            return await read_response(reader)
        finally:
            writer.close()


def request_bytes(route: str, headers: dict[str, str] | None = None, body: bytes = b"{}") -> bytes:
    """Return a caller's request."""
    fields = {
        "Host": HOST,
        "X-Request-Id": "r-1",
        "X-Kind": route,
        "Content-Length": str(len(body)),
    } | (headers or {})
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"POST /{route}/x HTTP/1.1\r\n{lines}\r\n".encode() + body


async def read_response(reader: asyncio.StreamReader) -> ReceivedResponse:
    """Read one response to its end, or to the point where it breaks off."""
    codec = h11.Connection(h11.CLIENT)
    codec.send(h11.Request(method="POST", target="/", headers=[("Host", HOST)]))
    codec.send(h11.EndOfMessage())
    response = ReceivedResponse(0, b"", whole=False, headers={})
    try:
        while True:
            event = codec.next_event()
            if event is h11.NEED_DATA:
                codec.receive_data(await reader.read(65_536))
            elif isinstance(event, h11.Response):
                response.status = event.status_code
                response.headers = {name.decode(): value.decode() for name, value in event.headers}
            elif isinstance(event, h11.Data):
                response.body += bytes(event.data)
                response.pieces_s.append(asyncio.get_running_loop().time())
            else:
                response.whole = isinstance(event, h11.EndOfMessage)
                return response
    except (OSError, h11.ProtocolError):
        return response
