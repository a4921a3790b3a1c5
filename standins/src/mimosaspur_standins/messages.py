"""Hold requests and replies of the stand-ins."""

import json
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from email.message import Message
from typing import Any
from urllib.parse import unquote

ANY = "*"


@dataclass(slots=True)
class Request:
    """Hold one request; `rest` is the raw path behind the prefix of its route."""

    method: str
    path: str
    query: dict[str, list[str]]
    headers: Message
    body: bytes
    rest: str = ""

    @property
    def name(self) -> str:
        """Give the decoded rest of the path."""
        return unquote(self.rest)

    def first(self, key: str, default: str = "") -> str:
        """Give the first value of a query parameter."""
        return self.query.get(key, [default])[0]

    def number(self, key: str, default: int = 0) -> int:
        """Give a query parameter as a number; raise ValueError when it isn't one."""
        return int(self.first(key, str(default)))

    def value(self) -> object:
        """Give the JSON body; raise ValueError when it isn't JSON."""
        return json.loads(self.body)

    def mapping(self) -> dict[str, Any]:
        """Give the JSON body; raise ValueError when it isn't an object."""
        value = self.value()
        if not isinstance(value, dict):
            raise ValueError("send a JSON object")
        return value


@dataclass(slots=True)
class Reply:
    """Hold a JSON answer, or a stream of server-sent events when `stream` is set."""

    status: int = 200
    value: object = field(default_factory=dict)
    stream: Iterator[bytes] | None = None


Handle = Callable[[Request], Reply]


def fits(path: str, request: Request) -> bool:
    """Tell whether a route's path fits a request and note the rest of its path."""
    if not path.endswith(ANY):
        return path == request.path
    prefix = path.removesuffix(ANY)
    request.rest = request.path.removeprefix(prefix)
    return request.path.startswith(prefix)
