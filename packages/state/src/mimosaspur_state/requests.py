"""Define a caller's request as it is sent to a target."""

from dataclasses import dataclass
from enum import Enum


class RequestKind(Enum):
    """Enumerate the kinds of requests."""

    CHAT = "chat"
    SERVICE = "service"


@dataclass(slots=True, frozen=True)
class Work:
    """Hold the data that a target needs to run one request."""

    request_id: str
    kind: RequestKind
    name: str
    method: str
    path: str
    content_type: str
    body: bytes
    stream: bool
    priority: int
    idempotent: bool
    idempotency_key: str
    prefix: str
