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

    `connection` grows with every connection of one incarnation, so that a target drops what
    still arrives on an older one.
    """

    instance: str
    incarnation: str
    connection: int
    generation: int


@dataclass(slots=True, frozen=True)
class Welcome:
    """Answer Hello: who the target is and what it can serve now."""

    instance: str
    incarnation: str
    generation: int
    draining: bool
    residents: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Submit:
    """Hand a request to a target; deadline_ms is what is left of the caller's time."""

    attempt: int
    generation: int
    deadline_ms: int
    resident: str
    work: Work


@dataclass(slots=True, frozen=True)
class Resume:
    """Ask, on a new connection, for an attempt's answer from an offset in bytes.

    `incarnation` is the target's when the attempt was submitted: the same one that doesn't
    know the attempt never got it; another one can't tell.
    """

    incarnation: str
    offset: int
    submit: Submit


@dataclass(slots=True, frozen=True)
class Cancel:
    """Say that nobody waits for the answer any more: the entry has it whole, or gave it up."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Refused:
    """Say that an attempt was not run and never will be."""

    request_id: str
    attempt: int
    code: ResultCode
    detail: str
    retry_after_ms: int


@dataclass(slots=True, frozen=True)
class Started:
    """Open an answer: the status and content type that the engine or service gave."""

    request_id: str
    attempt: int
    status: int
    content_type: str
    replayed: bool


@dataclass(slots=True, frozen=True)
class Chunk:
    """Carry a piece of an answer; offset is in bytes from the answer's start."""

    request_id: str
    attempt: int
    offset: int
    data: bytes


@dataclass(slots=True, frozen=True)
class End:
    """Close a whole answer; total is its length in bytes."""

    request_id: str
    attempt: int
    total: int


@dataclass(slots=True, frozen=True)
class Failed:
    """Close an answer that can't be completed."""

    request_id: str
    attempt: int
    code: ResultCode
    detail: str
    outcome: Outcome


@dataclass(slots=True, frozen=True)
class Ping:
    """Ask for a sign of life (entry to target)."""

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
    """Tell an entry to send this target nothing new."""

    instance: str


@dataclass(slots=True, frozen=True)
class Residents:
    """Tell an entry what the target can serve now, whenever that changes."""

    residents: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class BundleRequest:
    """Ask whoever is ahead for the bundle in force (either way)."""

    have: int


@dataclass(slots=True, frozen=True)
class BundleOffer:
    """Hand over the bundle in force, as JSON text packed with zlib."""

    generation: int
    packed: bytes = field(repr=False)


@dataclass(slots=True, frozen=True)
class Generation:
    """Tell an entry that a generation is in force here."""

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
