"""Call a model engine's administration API over HTTP."""

from http import HTTPStatus
from typing import TypeVar

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from mimosaspur_state.engine import EngineLoad
from mimosaspur_state.engine import EngineOrder
from mimosaspur_state.engine import EngineState
from mimosaspur_state.engine import EngineUnavailable
from mimosaspur_state.engine import OrderFenced
from mimosaspur_state.engine import OrderRefused
from mimosaspur_state.engine import OrderState
from mimosaspur_state.settings import split_address
from mimosaspur_transport.headcheck import HttpPool

MS_PER_SECOND = 1000

AnswerT = TypeVar("AnswerT")


class _Fencing(msgspec.Struct, frozen=True):
    """Hold the body of a response that rejects a stale fencing token."""

    fencing: int


class EngineAdmin:
    """Call one engine's administration API, without retries."""

    __slots__ = ("pool",)

    def __init__(self, address: str, timeout_ms: int) -> None:
        host, port = split_address(address)
        timeout = urllib3.Timeout(total=timeout_ms / MS_PER_SECOND)
        self.pool = HttpPool(host, port, maxsize=1, timeout=timeout, retries=False)

    def close(self) -> None:
        """Close the idle connection."""
        self.pool.close()

    def state(self) -> EngineState:
        """Return the engine's full state; raise EngineUnavailable."""
        return _decode_success(self._call("GET", "/admin/state"), EngineState)

    def load(self) -> EngineLoad:
        """Return the engine's load; raise EngineUnavailable."""
        return _decode_success(self._call("GET", "/admin/load"), EngineLoad)

    def order(self, order: EngineOrder) -> OrderState:
        """Send an order; raise EngineUnavailable, OrderFenced or OrderRefused."""
        response = self._call("POST", "/admin/orders", msgspec.json.encode(order))
        if response.status == HTTPStatus.CONFLICT:
            raise OrderFenced(_decode_body(response, _Fencing).fencing)
        if response.status == HTTPStatus.BAD_REQUEST:
            raise OrderRefused(response.data.decode(errors="replace"))
        return _decode_success(response, OrderState)

    def _call(self, method: str, path: str, body: bytes | None = None) -> urllib3.BaseHTTPResponse:
        headers = {"Content-Type": "application/json"} if body else {}
        try:
            return self.pool.request(
                method, path, body=body, headers=headers, retries=False, redirect=False
            )
        except (HTTPError, OSError) as error:
            raise EngineUnavailable(f"{method} {path}: {error}") from error


def _decode_success(response: urllib3.BaseHTTPResponse, kind: type[AnswerT]) -> AnswerT:
    if response.status not in (HTTPStatus.OK, HTTPStatus.ACCEPTED):
        raise EngineUnavailable(f"the engine responded with status {response.status}")
    return _decode_body(response, kind)


def _decode_body(response: urllib3.BaseHTTPResponse, kind: type[AnswerT]) -> AnswerT:
    try:
        return msgspec.json.decode(response.data, type=kind)
    except msgspec.MsgspecError as error:
        raise EngineUnavailable(f"the engine's response can't be decoded: {error}") from error
