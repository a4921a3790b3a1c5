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
    path_suffix: str = ""

    @property
    def name(self) -> str:
        """Give the decoded rest of the path."""
        return unquote(self.path_suffix)

    def query_value(self, key: str, default: str = "") -> str:
        """Give the first value of a query parameter."""
        return self.query.get(key, [default])[0]

    def query_int(self, key: str, default: int = 0) -> int:
        """Give a query parameter as a number; raise ValueError when it isn't one."""
        return int(self.query_value(key, str(default)))

    def json_body(self) -> object:
        """Give the JSON body; raise ValueError when it isn't JSON."""
        return json.loads(self.body)

    def json_object(self) -> dict[str, Any]:
        """Give the JSON body; raise ValueError when it isn't an object."""
        value = self.json_body()
        if not isinstance(value, dict):
            raise ValueError("send a JSON object")
        return value


@dataclass(slots=True)
class Reply:
    """Hold a JSON answer, or a stream of server-sent events when `stream` is set."""

    status: int = 200
    value: object = field(default_factory=dict)
    stream: Iterator[bytes] | None = None


RouteHandler = Callable[[Request], Reply]


def matches_path(path: str, request: Request) -> bool:
    """Tell whether a route's path fits a request and note the rest of its path."""
    if not path.endswith(ANY):
        return path == request.path
    prefix = path.removesuffix(ANY)
    request.path_suffix = request.path.removeprefix(prefix)
    return request.path.startswith(prefix)
