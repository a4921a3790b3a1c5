"""Define what entries and their coordinator tell one another, as length-prefixed msgpack."""

import msgspec

LENGTH_BYTES = 4
MAX_MESSAGE_BYTES = 4_000_000


class TargetWork(msgspec.Struct, array_like=True, frozen=True):
    """Hold what one entry, or all entries, have at a target."""

    target: str
    requests: int
    # Prompt tokens still to be read, by rank.
    prefill_tokens: dict[int, int]
    held_tokens: int
    by_model: dict[str, int]


class ModelDemandUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Hold what callers asked of a model since the last report, and how many wait for it now."""

    model: str
    tokens: int
    waiting: int
    # The shortest time to a first event among these requests' routes; 0 without requests.
    objective_ms: int


class AdapterDemandUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Count the requests for an adapter since the last report."""

    model: str
    adapter: str
    requests: int


class ModelPaceUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Hold how long a model's tokens take beside a common model's, and the measurements of it."""

    model: str
    factor: float
    measurements: float


class QuotaSpending(msgspec.Struct, array_like=True, frozen=True):
    """Tell what an entry spent of a workspace's quota since its last report, and refused."""

    workspace: str
    spent: float
    refused: float


class EntryReport(msgspec.Struct, array_like=True, tag="entry"):
    """Tell the coordinator what an entry does."""

    instance: str
    # Counts the entry's reports from 1 on.
    number: int
    work: list[TargetWork]
    model_demand: list[ModelDemandUpdate]
    # Model and adapter of requests that wait for the adapter.
    waiting_adapters: list[tuple[str, str]]
    # Targets to which no connection could be opened since the last report.
    unreachable: list[str]
    adapter_demand: list[AdapterDemandUpdate] = msgspec.field(default_factory=list)
    # Paces that have changed since the last report.
    paces: list[ModelPaceUpdate] = msgspec.field(default_factory=list)
    # Whether it takes no new callers, since it is about to end.
    leaving: bool = False
    # The version of the configuration that is in force there, 0 without one.
    configuration_version: int = 0
    quotas: list[QuotaSpending] = msgspec.field(default_factory=list)


class EngineResidents(msgspec.Struct, array_like=True, frozen=True):
    """Hold what an engine holds, and which of its models are about to go."""

    target: str
    models: dict[str, list[str]]
    unloading: list[str]


class TargetRegistration(msgspec.Struct, array_like=True, frozen=True):
    """Hold what a target registered of itself, but for what it holds."""

    identity: str
    service: str
    host: str
    port: int
    failure_domain: str
    leaving: bool
    slots: int
    started_ms: int


class StoreUpdate(msgspec.Struct, array_like=True):
    """Tell what the coordinator reads in the store, so that others needn't."""

    # How long ago the store last confirmed what is told here.
    age_ms: int
    # The store's revision up to which changes of targets are told.
    revision: int
    # Whether these are all targets, or those that have changed.
    is_complete: bool
    targets: list[TargetRegistration]
    removed: list[str]


class QuotaRemaining(msgspec.Struct, array_like=True, frozen=True):
    """Tell what is left of a workspace's quota, and what a second asks of it, over all entries."""

    workspace: str
    remaining: float
    demand_per_s: float


class ReportAck(msgspec.Struct, array_like=True, tag="counted"):
    """Tell an entry which of its reports the next fleet report counts in."""

    # For the work at targets.
    work_report_number: int
    # For what is left of quotas.
    quota_report_number: int = 0


class FleetReport(msgspec.Struct, array_like=True, tag="fleet"):
    """Tell entries what changed: all entries' work, and what engines hold.

    It is the same for all entries, so that it is put together and encoded once. Each entry takes
    its own work off, as it stood in the report that was counted in.
    """

    token: int
    # Whether the coordinator may give orders; if not, another should take over.
    can_issue_orders: bool
    entry_count: int
    # The work at targets, or at those where it has changed.
    work: list[TargetWork]
    residents: list[EngineResidents]
    # Milliseconds until a model that is being loaded is expected.
    model_ready_in_ms: dict[str, int]
    # Paces that have changed since the last report, over all entries.
    paces: list[ModelPaceUpdate] = msgspec.field(default_factory=list)
    # Entries that stay, the one that is told among them if it does.
    staying_count: int = 0
    store: StoreUpdate | None = None
    # The version of the newest configuration, 0 if none is known.
    configuration_version: int = 0
    # Quotas of which another rest is left than entries expect.
    quotas: list[QuotaRemaining] = msgspec.field(default_factory=list)
    # Entries that the bound on repeats is divided by; 0 while that isn't known.
    sharer_count: int = 0


class StepDown(msgspec.Struct, array_like=True, tag="leaving"):
    """Tell entries that the coordinator gives no more orders; the age of its last one."""

    last_order_age_ms: int


class LeaseReadRequest(msgspec.Struct, array_like=True, tag="prove"):
    """Ask an entry to read the lease in the coordinator's place; `asked_ms` comes back."""

    requested_ms: int


class LeaseReadReply(msgspec.Struct, array_like=True, tag="proof"):
    """Tell the coordinator who held the lease when an entry read it, if it could read it."""

    instance: str
    requested_ms: int
    store_reachable: bool
    holder: str
    token: int


class ConfigurationRequest(msgspec.Struct, array_like=True, tag="wanted"):
    """Ask for the configuration of somebody who has told of a newer one."""

    known_version: int


class EncodedConfiguration(msgspec.Struct, array_like=True, tag="configuration"):
    """Pass on a whole configuration, encoded, with a digest of what is encoded."""

    version: int
    digest: bytes
    body: bytes


PeerMessage = (
    LeaseReadRequest
    | LeaseReadReply
    | EntryReport
    | ReportAck
    | FleetReport
    | StepDown
    | ConfigurationRequest
    | EncodedConfiguration
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PeerMessage)


class PeerProtocolError(Exception):
    """Say that the other end sent what no version of ours sends."""


def encode_peer(message: PeerMessage) -> bytes:
    """Return a message's frame."""
    body = _encoder.encode(message)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def decode_peer(body: bytes) -> PeerMessage:
    """Return the message of a frame's body; raise PeerProtocolError."""
    try:
        return _decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise PeerProtocolError(str(error)) from error
