"""Run chat requests at an engine, resuming streams that break or fall silent."""

import contextlib
from collections.abc import Iterator

import msgspec
import urllib3

from mimosaspur_protocol.sse import DONE
from mimosaspur_protocol.sse import EngineEvent
from mimosaspur_protocol.sse import EventReader
from mimosaspur_state.codes import Outcome
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import MimosaspurError
from mimosaspur_state.requests import Work
from mimosaspur_state.settings import split_address

MAX_RESUMES = 3
CONNECT_TIMEOUT_S = 1.0
READ_BYTES = 65_536
OK = 200
NOT_FOUND = 404
CLIENT_ERRORS = range(400, 500)


class EngineRejected(Exception):
    """Say that the engine refused a request as wrong; carry its own answer."""

    def __init__(self, status: int, content_type: str, body: bytes) -> None:
        super().__init__(f"the engine answered {status}")
        self.status = status
        self.content_type = content_type
        self.body = body


class _StreamBroken(Exception):
    """Say that a stream broke or fell silent before its end."""


class EngineChat:
    """Stream one engine's answers, each call on a connection of its own.

    A kept connection may have gone silent: a request sent on it never comes, and the engine
    can't resume a stream that it never began.
    """

    def __init__(self, address: str, *, silent_ms: int) -> None:
        self.host, self.port = split_address(address)
        self.timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=silent_ms / 1000)

    def stream(self, work: Work, stream_id: str, resident: str) -> Iterator[EngineEvent]:
        """Yield the answer's events up to the one before its end mark.

        Raise MimosaspurError when the answer can't be completed, EngineRejected when the
        engine finds the request wrong.
        """
        try:
            response = self._begin(work, stream_id, resident)
        except _StreamBroken:
            yield from self._resume(stream_id, 0)
            return
        last = 0
        try:
            for event in _events(response):
                last = event.number or last
                if event.data == DONE:
                    return
                yield event
        except _StreamBroken:
            yield from self._resume(stream_id, last)

    def adopt(self, stream_id: str) -> Iterator[EngineEvent]:
        """Yield all events of a stream that a predecessor of this process began."""
        yield from self._resume(stream_id, 0)

    def cancel(self, stream_id: str) -> None:
        """Tell the engine that nobody waits for a stream."""
        # Without an answer the engine ends the work by itself at max_tokens.
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            self._call("DELETE", _stream_path(stream_id)).close()

    def _begin(self, work: Work, stream_id: str, resident: str) -> urllib3.BaseHTTPResponse:
        body = msgspec.json.decode(work.body)
        body["model"] = resident
        body["stream"] = True
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": stream_id,
            "X-Priority": str(work.priority),
        }
        try:
            response = self._call(
                "POST", "/v1/chat/completions", headers, msgspec.json.encode(body)
            )
        except urllib3.exceptions.NewConnectionError as error:
            raise MimosaspurError(ResultCode.NO_READY_TARGET, "The engine is down.") from error
        except urllib3.exceptions.HTTPError as error:
            raise _StreamBroken from error
        if response.status != OK:
            _raise_for_status(response, resident)
        return response

    def _resume(self, stream_id: str, last: int) -> Iterator[EngineEvent]:
        tries_left = MAX_RESUMES
        while tries_left:
            tries_left -= 1
            try:
                for event in _events(self._reopen(stream_id, last)):
                    # A long stream may break any number of times as long as it gets on.
                    tries_left = MAX_RESUMES
                    last = event.number or last
                    if event.data == DONE:
                        return
                    yield event
            except _StreamBroken:
                continue
        raise _incomplete_answer("The engine's stream broke and could not be resumed.")

    def _reopen(self, stream_id: str, last: int) -> urllib3.BaseHTTPResponse:
        try:
            response = self._call("GET", _stream_path(stream_id), {"Last-Event-ID": str(last)})
        except urllib3.exceptions.NewConnectionError as error:
            raise _incomplete_answer("The engine is down.") from error
        except urllib3.exceptions.HTTPError as error:
            raise _StreamBroken from error
        if response.status != OK:
            response.close()
            raise _incomplete_answer("The engine does not know the stream any more.")
        return response

    def _call(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> urllib3.BaseHTTPResponse:
        pool = urllib3.HTTPConnectionPool(
            self.host, self.port, timeout=self.timeout, maxsize=1, retries=False
        )
        sent = {**(headers or {}), "Connection": "close"}
        return pool.request(method, path, body=body, headers=sent, preload_content=False)


def _events(response: urllib3.BaseHTTPResponse) -> Iterator[EngineEvent]:
    reader = EventReader()
    try:
        while data := response.read1(READ_BYTES):
            yield from reader.feed(data)
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise _StreamBroken from error
    finally:
        response.close()
    # An end without the end mark is a break, however orderly the connection closed.
    raise _StreamBroken


def _raise_for_status(response: urllib3.BaseHTTPResponse, resident: str) -> None:
    body = response.data
    if response.status == NOT_FOUND:
        raise MimosaspurError(ResultCode.NOT_READY_HERE, f"The engine does not hold {resident}.")
    if response.status in CLIENT_ERRORS:
        content_type = response.headers.get("Content-Type", "application/json")
        raise EngineRejected(response.status, content_type, body)
    raise MimosaspurError(
        ResultCode.ENGINE_ERROR,
        f"The engine answered {response.status}.",
        outcome=Outcome.UNKNOWN,
    )


def _incomplete_answer(detail: str) -> MimosaspurError:
    return MimosaspurError(ResultCode.ANSWER_CUT, detail, outcome=Outcome.UNKNOWN)


def _stream_path(stream_id: str) -> str:
    return f"/v1/streams/{stream_id}"
