"""Describe a caller's request on its way to a target."""

from dataclasses import dataclass
from enum import Enum


class RequestKind(Enum):
    """Name what a request asks of a target."""

    CHAT = "chat"
    SERVICE = "service"


@dataclass(slots=True, frozen=True)
class Work:
    """Hold what a target needs to run one request."""

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
