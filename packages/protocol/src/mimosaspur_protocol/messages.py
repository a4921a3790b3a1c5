"""Define the messages between entries and targets."""

from dataclasses import dataclass
from dataclasses import field

from mimosaspur_state.codes import Outcome
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.load import Load
from mimosaspur_state.requests import Work


@dataclass(slots=True, frozen=True)
class Hello:
    """Open a connection (entry to target).

    `connection` increases with each connection of one incarnation, so that a target can reject
    messages from older connections.
    """

    instance: str
    incarnation: str
    connection: int
    generation: int


@dataclass(slots=True, frozen=True)
class Welcome:
    """Answer Hello with the target's identity and what it can serve now."""

    instance: str
    incarnation: str
    generation: int
    draining: bool
    residents: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Submit:
    """Submit a request to a target; deadline_ms is the caller's remaining time."""

    attempt: int
    generation: int
    deadline_ms: int
    resident: str
    work: Work


@dataclass(slots=True, frozen=True)
class Resume:
    """Request an attempt's answer from a byte offset on a new connection.

    `incarnation` is the target's at the time of the submit. If it is unchanged and the target has
    no record of the attempt, it never received it; after a restart the outcome is unknown.
    """

    incarnation: str
    offset: int
    submit: Submit


@dataclass(slots=True, frozen=True)
class Cancel:
    """Release an answer that the entry has received completely or no longer needs."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Refused:
    """Report that an attempt was not run and never will be."""

    request_id: str
    attempt: int
    code: ResultCode
    detail: str
    retry_after_ms: int


@dataclass(slots=True, frozen=True)
class Started:
    """Start an answer with the status and content type of the engine or service."""

    request_id: str
    attempt: int
    status: int
    content_type: str
    replayed: bool


@dataclass(slots=True, frozen=True)
class Chunk:
    """Carry a part of an answer; offset is in bytes from the answer's start."""

    request_id: str
    attempt: int
    offset: int
    data: bytes


@dataclass(slots=True, frozen=True)
class End:
    """Complete an answer; total is its length in bytes."""

    request_id: str
    attempt: int
    total: int


@dataclass(slots=True, frozen=True)
class Failed:
    """Abort an answer that cannot be completed."""

    request_id: str
    attempt: int
    code: ResultCode
    detail: str
    outcome: Outcome


@dataclass(slots=True, frozen=True)
class Ping:
    """Request a heartbeat (entry to target)."""

    sequence: int
    generation: int


@dataclass(slots=True, frozen=True)
class Pong:
    """Answer Ping with the target's state."""

    sequence: int
    generation: int
    draining: bool
    load: Load


@dataclass(slots=True, frozen=True)
class Draining:
    """Ask an entry to send no new requests to this target."""

    instance: str


@dataclass(slots=True, frozen=True)
class Residents:
    """Report what the target can serve now, after each change."""

    residents: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class BundleRequest:
    """Request the bundle in force from a peer with a newer one (either direction)."""

    have: int


@dataclass(slots=True, frozen=True)
class BundleOffer:
    """Send the bundle in force as zlib-compressed JSON."""

    generation: int
    packed: bytes = field(repr=False)


@dataclass(slots=True, frozen=True)
class Generation:
    """Report the generation in force at the target."""

    generation: int


MESSAGE_TYPES: tuple[type, ...] = (
    Hello,
    Welcome,
    Submit,
    Resume,
    Cancel,
    Refused,
    Started,
    Chunk,
    End,
    Failed,
    Ping,
    Pong,
    Draining,
    Residents,
    BundleRequest,
    BundleOffer,
    Generation,
)

Message = (
    Hello
    | Welcome
    | Submit
    | Resume
    | Cancel
    | Refused
    | Started
    | Chunk
    | End
    | Failed
    | Ping
    | Pong
    | Draining
    | Residents
    | BundleRequest
    | BundleOffer
    | Generation
)
