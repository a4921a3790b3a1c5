"""Define requests and replies of the stand-ins."""

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
    """Describe a request; `path_suffix` is the raw path after the route's prefix."""

    method: str
    path: str
    query: dict[str, list[str]]
    headers: Message
    body: bytes
    path_suffix: str = ""

    @property
    def name(self) -> str:
        """Return the decoded path suffix."""
        return unquote(self.path_suffix)

    def query_value(self, key: str, default: str = "") -> str:
        """Return the first value of a query parameter."""
        return self.query.get(key, [default])[0]

    def query_int(self, key: str, default: int = 0) -> int:
        """Return a query parameter as an integer; raise ValueError if it is not one."""
        return int(self.query_value(key, str(default)))

    def json_body(self) -> object:
        """Return the parsed JSON body; raise ValueError if it is not JSON."""
        return json.loads(self.body)

    def json_object(self) -> dict[str, Any]:
        """Return the JSON body; raise ValueError if it is not an object."""
        value = self.json_body()
        if not isinstance(value, dict):
            raise ValueError("request body must be a JSON object")
        return value


@dataclass(slots=True)
class Reply:
    """Describe a JSON response, or a stream of server-sent events if `stream` is set."""

    status: int = 200
    value: object = field(default_factory=dict)
    stream: Iterator[bytes] | None = None


RouteHandler = Callable[[Request], Reply]


def matches_path(path: str, request: Request) -> bool:
    """Return whether a route's path matches a request, and set its path suffix."""
    if not path.endswith(ANY):
        return path == request.path
    prefix = path.removesuffix(ANY)
    request.path_suffix = request.path.removeprefix(prefix)
    return request.path.startswith(prefix)
