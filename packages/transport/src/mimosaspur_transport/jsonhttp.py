"""Make JSON calls with a deadline over HTTP to the platform."""

import json
from dataclasses import dataclass
from typing import Any

import urllib3
from urllib3.exceptions import HTTPError

from mimosaspur_state.clock import Clock
from mimosaspur_state.clock import Deadline
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.settings import split_address
from mimosaspur_transport.headcheck import HttpPool

CALLER_HEADER = "X-Caller"
TOO_MANY_REQUESTS = 429
MIN_SERVER_ERROR_STATUS = 500
READ_BYTES = 65_536
# The largest answers are pages of 200 objects.
MAX_RESPONSE_BYTES = 16_000_000
MAX_IDLE_CONNECTIONS = 8
MS_PER_SECOND = 1000


@dataclass(slots=True, frozen=True)
class JsonResponse:
    """Hold a response's status, decoded JSON body and body size."""

    status: int
    value: Any
    size_bytes: int = 0


class JsonHttpClient:
    """Call one address; raise StoreUnavailable without a valid response in time."""

    __slots__ = ("address", "clock", "headers", "pool", "timeout_ms")

    def __init__(self, address: str, *, caller: str, timeout_ms: int, clock: Clock) -> None:
        split_address(address)
        self.address = address
        self.timeout_ms = timeout_ms
        self.clock = clock
        self.headers = {CALLER_HEADER: caller}
        self.pool = self._new_pool()

    def call(
        self,
        method: str,
        path: str,
        *,
        headers: dict[str, str] | None = None,
        value: object = None,
        extra_ms: int = 0,
    ) -> JsonResponse:
        """Make one call; extra_ms is how long the server may hold the request open."""
        deadline = Deadline(self.clock, self.timeout_ms + extra_ms)
        pool = self.pool
        try:
            reply = self._exchange(pool, deadline, method, path, headers or {}, value)
        except (HTTPError, OSError, ValueError) as error:
            # The other idle connections may be dead too, so none is reused.
            if self.pool is pool:
                self.pool = self._new_pool()
            raise StoreUnavailable(f"{method} {self.address}{path}: {error}") from error
        if reply.status == TOO_MANY_REQUESTS or reply.status >= MIN_SERVER_ERROR_STATUS:
            raise StoreUnavailable(f"{method} {self.address}{path}: status {reply.status}")
        return reply

    def _exchange(
        self,
        pool: HttpPool,
        deadline: Deadline,
        method: str,
        path: str,
        headers: dict[str, str],
        value: object,
    ) -> JsonResponse:
        body = None if value is None else json.dumps(value).encode()
        left_s = deadline.remaining_s()
        response = pool.urlopen(
            method,
            path,
            body=body,
            headers={**self.headers, **headers},
            retries=False,
            redirect=False,
            timeout=urllib3.Timeout(
                connect=min(left_s, self.timeout_ms / MS_PER_SECOND), read=left_s
            ),
            preload_content=False,
        )
        data = _read_all(response, deadline)
        return JsonResponse(response.status, _decode_json(response.status, data), len(data))

    def _new_pool(self) -> HttpPool:
        host, port = split_address(self.address)
        return HttpPool(host, port, maxsize=MAX_IDLE_CONNECTIONS, block=False)


def _read_all(response: urllib3.BaseHTTPResponse, deadline: Deadline) -> bytes:
    parts: list[bytes] = []
    size = 0
    whole = False
    try:
        # The socket's timeout covers one read only; a slow response must time out too.
        while part := response.read1(READ_BYTES):
            parts.append(part)
            size += len(part)
            if size > MAX_RESPONSE_BYTES:
                raise ValueError("the response exceeds the size limit")
            if deadline.has_passed():
                raise TimeoutError("the response did not end in time")
        whole = True
    finally:
        if whole:
            response.release_conn()
        else:
            response.close()
    return b"".join(parts)


def _decode_json(status: int, data: bytes) -> object:
    if status >= MIN_SERVER_ERROR_STATUS or status == TOO_MANY_REQUESTS:
        return None
    return json.loads(data) if data else None
