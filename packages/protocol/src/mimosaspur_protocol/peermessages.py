"""Define the messages between entries and their coordinator, as length-prefixed msgpack."""

import msgspec

from mimosaspur_coordination.quarantine.crashledger import Stage

LENGTH_BYTES = 4
MAX_MESSAGE_BYTES = 4_000_000


class TargetWork(msgspec.Struct, array_like=True, frozen=True):
    """Count the work of one entry, or of all entries, at a target."""

    target: str
    requests: int
    # Prompt tokens before the first output token, by rank.
    prefill_tokens: dict[int, int]
    held_tokens: int
    by_model: dict[str, int]


class ModelDemandUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Report the demand for a model since the last report and the requests waiting now."""

    model: str
    tokens: int
    waiting: int
    # Shortest time-to-first-event objective of these requests' routes; 0 without requests.
    objective_ms: int
    # Waiting requests whose objective is shorter than the model's load; -1 if unknown, as from
    # earlier versions.
    urgent_waiting: int = -1
    # Lowest priority number among the requests, 0 is the highest priority.
    priority: int = 0
    # Requests refused since the last report because no engine holds the model; in the first report
    # on a link, all whose callers may return.
    rejected: int = 0


class AdapterDemandUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Count the requests for an adapter since the last report."""

    model: str
    adapter: str
    requests: int


class ModelPaceUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Report a model's cost per token relative to a typical model, and its measurement count."""

    model: str
    factor: float
    measurements: float


class EngineSpeedUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Report how slow a lifetime of an engine is, relative to a usual engine of its service."""

    target: str
    # Start of the lifetime.
    started_ms: int
    # Time to read prompts, and time between events; above 1 is slower.
    prefill: float
    prefill_measurements: float
    decode: float
    decode_measurements: float


class QuotaSpending(msgspec.Struct, array_like=True, frozen=True):
    """Report a workspace's quota spent and refused at an entry since its last report."""

    workspace: str
    spent: float
    refused: float


class ServiceUseReport(msgspec.Struct, array_like=True, frozen=True):
    """Report what workspaces ask of a service, and whether it is short of room at the entry."""

    service: str
    short: bool
    # By workspace: thousandths of a token per second asked and served.
    by_workspace: dict[str, tuple[int, int]]


class ServiceShares(msgspec.Struct, array_like=True, frozen=True):
    """Issue the shares of a service's room to all entries, while it is short of it."""

    service: str
    # By limited workspace, over all entries: its share and what it asks for, in thousandths of a
    # token per second.
    by_workspace: dict[str, tuple[int, int]]


class CrashReport(msgspec.Struct, array_like=True, frozen=True):
    """Report what was at a target when it crashed."""

    # The target's incarnation.
    target: str
    # Time since the crash became known.
    age_ms: int
    # Digests of requests, and parts of their prompts.
    traits: list[tuple[bytes, Stage]]
    # The parts of each request's prompt, by digest.
    parts: dict[bytes, list[bytes]] = msgspec.field(default_factory=dict)
    # Parts that targets had served before.
    served: list[bytes] = msgspec.field(default_factory=list)
    # Whether all entries have reported what they had there.
    acknowledged: bool = False


class LimitUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Report the request limit that a target names, by its incarnation."""

    target: str
    # Increases with each change of what the target names.
    version: int
    # None if it names none any more.
    per_s: float | None


class PermitRequest(msgspec.Struct, array_like=True, frozen=True):
    """Ask for permits to send requests to a target that names a limit."""

    target: str
    # Numbers of requests that wait, by rank.
    waiting: dict[int, int]
    # Permits for requests that are likely to come soon.
    ahead: int
    # Requests sent in the window before the entry knew the limit, reported once.
    sent_before: int = 0


class LoadUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Report a load that an engine may still carry out."""

    identity: str
    # Start time of the engine's process that the order was meant for.
    started_ms: int
    model: str
    adapter: str
    expected_sequence: int
    # 0 if it won't be carried out any more.
    remaining_ms: int


class EntryReport(msgspec.Struct, array_like=True, tag="entry"):
    """Report an entry's state to the coordinator."""

    instance: str
    # Sequence number of the entry's reports, from 1.
    number: int
    work: list[TargetWork]
    model_demand: list[ModelDemandUpdate]
    # Model and adapter of requests waiting for the adapter.
    waiting_adapters: list[tuple[str, str]]
    # Targets to which connecting failed since the last report.
    unreachable: list[str]
    adapter_demand: list[AdapterDemandUpdate] = msgspec.field(default_factory=list)
    # Changes since the last report.
    paces: list[ModelPaceUpdate] = msgspec.field(default_factory=list)
    # Whether the entry is shutting down and accepts no new callers.
    leaving: bool = False
    # 0 if the entry has no configuration.
    configuration_version: int = 0
    quotas: list[QuotaSpending] = msgspec.field(default_factory=list)
    # Changes since the last report; all that is known in the first one on a link.
    crashes: list[CrashReport] = msgspec.field(default_factory=list)
    # Changes since the last report; all that is known in the first one on a link.
    limits: list[LimitUpdate] = msgspec.field(default_factory=list)
    permits: list[PermitRequest] = msgspec.field(default_factory=list)
    # When this report was made, on the entry's clock; the permits that answer it echo it.
    asked_ms: int = 0
    # The number of the last message with permits that arrived on this link.
    permits_number: int = 0
    # Where the entry takes datagrams about streams; None if it doesn't.
    stream_address: tuple[str, int] | None = None
    # All that is known, in the first report on a link.
    loads: list[LoadUpdate] = msgspec.field(default_factory=list)
    # Incarnations of targets that have said that they leave; as `limits`.
    leaving_targets: list[str] = msgspec.field(default_factory=list)
    # Traits of suspected requests that have a turn or are at targets, and of those that wait for
    # one, by request.
    suspects_sent: list[bytes] = msgspec.field(default_factory=list)
    suspects_waiting: list[tuple[bytes, ...]] = msgspec.field(default_factory=list)
    # The number of the last message with turns that arrived on this link.
    turns_number: int = 0
    # Where the entry is; empty if unknown.
    failure_domain: str = ""
    # Measured since the last report; in the first one on a link, what earlier coordinators sent.
    speeds: list[EngineSpeedUpdate] = msgspec.field(default_factory=list)
    # Services that are short of room at any entry; None if the last report's still hold.
    uses: list[ServiceUseReport] | None = None
    # The `crashes_number` of the last fleet report that arrived on this link.
    crashes_number: int = 0
    # The same of the last one on whose crashes the entry has reported all that it had there.
    evidence_number: int = 0


class EngineResidents(msgspec.Struct, array_like=True, frozen=True):
    """Report an engine's models and adapters, and the models about to be unloaded."""

    target: str
    models: dict[str, list[str]]
    unloading: list[str]
    # Models that it held when it went out of reach, while it may still return with them.
    out_of_reach: list[str] = []


class TargetRegistration(msgspec.Struct, array_like=True, frozen=True):
    """Hold a target's registration, without its residents."""

    identity: str
    service: str
    host: str
    port: int
    failure_domain: str
    leaving: bool
    slots: int
    started_ms: int
    version: str = ""


class StoreUpdate(msgspec.Struct, array_like=True):
    """Share the coordinator's view of the store, so that entries need not read it."""

    # Time since the store last confirmed this data.
    age_ms: int
    # Store revision that the targets reflect.
    revision: int
    # Whether `targets` is the full list rather than the changes.
    is_complete: bool
    targets: list[TargetRegistration]
    removed: list[str]


class EntryAddress(msgspec.Struct, array_like=True, frozen=True):
    """Tell where an entry takes datagrams about streams."""

    instance: str
    address: tuple[str, int]


class QuotaRemaining(msgspec.Struct, array_like=True, frozen=True):
    """Report a workspace's remaining quota and its demand per second, over all entries."""

    workspace: str
    remaining: float
    demand_per_s: float


class ReportAck(msgspec.Struct, array_like=True, tag="counted"):
    """Acknowledge the entry's reports that the next fleet report includes."""

    work_report_number: int
    quota_report_number: int = 0


class FleetReport(msgspec.Struct, array_like=True, tag="fleet"):
    """Report changes of the work of all entries and of engines' residents.

    The message is the same for all entries, so that it is encoded once. Each entry subtracts its
    own work as of the report that was acknowledged.
    """

    token: int
    # Whether the coordinator may issue orders; if not, another entry should take over.
    can_issue_orders: bool
    entry_count: int
    # Work at all targets, or at those with changes.
    work: list[TargetWork]
    residents: list[EngineResidents]
    # Estimated time until each loading model is ready.
    model_ready_in_ms: dict[str, int]
    # Changes since the last report, over all entries.
    paces: list[ModelPaceUpdate] = msgspec.field(default_factory=list)
    # Number of entries that are not leaving, including the recipient.
    staying_count: int = 0
    store: StoreUpdate | None = None
    # Newest known version; 0 if none.
    configuration_version: int = 0
    # Quotas whose remainder differs from the entries' estimate.
    quotas: list[QuotaRemaining] = msgspec.field(default_factory=list)
    # Number of entries that share the retry limit; 0 if unknown.
    sharer_count: int = 0
    # Changes since the last report; all that is known in the first one on a link.
    crashes: list[CrashReport] = msgspec.field(default_factory=list)
    # For how long the evidence of all entries on crashes is known; -1 while an entry is missing.
    evidence_age_ms: int = -1
    # Changes since the last report; all that is known in the first one on a link.
    limits: list[LimitUpdate] = msgspec.field(default_factory=list)
    # Requests that wait for permits at all entries, by target and rank.
    permit_queues: dict[str, dict[int, int]] = msgspec.field(default_factory=dict)
    # Entries that have joined or left since the last report; all in the first one on a link.
    entries_joined: list[EntryAddress] = msgspec.field(default_factory=list)
    entries_left: list[str] = msgspec.field(default_factory=list)
    entries_complete: bool = False
    # Changes since the last report; all that is known in the first one on a link.
    loads: list[LoadUpdate] = msgspec.field(default_factory=list)
    leaving_targets: list[str] = msgspec.field(default_factory=list)
    # Whether the coordinator gives turns for suspected requests: earlier versions don't.
    gives_turns: bool = False
    # Where the coordinator is; empty if unknown.
    failure_domain: str = ""
    # Time until each model that is requested and that no engine holds or loads would be ready; -1
    # if it will not be loaded. Changes since the last report, 0 for a model that left the forecast;
    # all in the first one on a link.
    load_forecast: dict[str, int] = msgspec.field(default_factory=dict)
    # Whether `model_ready_in_ms` is left out, as the times last sent still hold.
    ready_times_hold: bool = False
    # Changes since the last report; all that is known in the first one on a link.
    speeds: list[EngineSpeedUpdate] = msgspec.field(default_factory=list)
    # All services that are short of room; None if those sent last still hold, as in each report of
    # earlier versions.
    shares: list[ServiceShares] | None = None
    # How often this coordinator has sent changes in `crashes`, this report included.
    crashes_number: int = 0
    # As `model_ready_in_ms`, by model and version, of services that run several versions.
    version_ready_in_ms: dict[str, dict[str, int]] = msgspec.field(default_factory=dict)


class IssuedPermits(msgspec.Struct, array_like=True, tag="permits"):
    """Issue permits to one entry, by target, or tell how long its requests will wait."""

    # Increases by one with each message on a link that issues permits.
    number: int
    asked_ms: int
    counts: dict[str, int]
    # Expected waits of the requests that the entry has last reported, the next one first.
    waits_ms: dict[str, list[int]]


class IssuedTurns(msgspec.Struct, array_like=True, tag="turns"):
    """Let an entry send one suspected request for each combination of traits."""

    # Increases by one with each message on a link.
    number: int
    asked_ms: int
    traits: list[tuple[bytes, ...]]


class StepDown(msgspec.Struct, array_like=True, tag="leaving"):
    """Announce that a holder of the lease issues no more orders, with the age of the last one.

    That may be an earlier holder's, and in the future. It holds for one token of the lease, 0 if
    the sender has taken up none.
    """

    last_order_age_ms: int
    token: int = 0


class LeaseReadRequest(msgspec.Struct, array_like=True, tag="prove"):
    """Ask an entry to read the lease for the coordinator; the reply echoes requested_ms."""

    requested_ms: int


class LeaseReadReply(msgspec.Struct, array_like=True, tag="proof"):
    """Report the lease holder that an entry read, if the store was reachable."""

    instance: str
    requested_ms: int
    store_reachable: bool
    holder: str
    token: int


class ConfigurationRequest(msgspec.Struct, array_like=True, tag="wanted"):
    """Request the configuration of a peer that has reported a newer version."""

    known_version: int


class EncodedConfiguration(msgspec.Struct, array_like=True, tag="configuration"):
    """Carry an encoded configuration and the digest of its body."""

    version: int
    digest: bytes
    body: bytes


PeerMessage = (
    LeaseReadRequest
    | LeaseReadReply
    | EntryReport
    | ReportAck
    | FleetReport
    | IssuedPermits
    | IssuedTurns
    | StepDown
    | ConfigurationRequest
    | EncodedConfiguration
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PeerMessage)


class PeerProtocolError(Exception):
    """Raised when a peer sends an invalid message."""


def encode_peer(message: PeerMessage) -> bytes:
    """Return the frame of a message: its length and its body."""
    body = _encoder.encode(message)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def decode_peer(body: bytes) -> PeerMessage:
    """Decode the body of a frame; raise PeerProtocolError."""
    try:
        return _decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise PeerProtocolError(str(error)) from error
