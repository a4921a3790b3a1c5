"""Run chat requests at an engine and resume streams that break or time out."""

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
from mimosaspur_transport.headcheck import HttpPool

MAX_RESUMES = 3
CONNECT_TIMEOUT_S = 1.0
READ_BYTES = 65_536
OK = 200
NOT_FOUND = 404
CLIENT_ERRORS = range(400, 500)


class EngineRejected(Exception):
    """Signal that the engine rejected a request; carry the engine's response."""

    def __init__(self, status: int, content_type: str, body: bytes) -> None:
        super().__init__(f"the engine responded with status {status}")
        self.status = status
        self.content_type = content_type
        self.body = body


class _StreamBroken(Exception):
    """Signal that a stream broke or timed out before its end."""


class EngineChat:
    """Stream one engine's answers, with a new connection for each call.

    A kept-alive connection may be dead: a request sent on it may not arrive, and the engine
    can't resume a stream that was never started.
    """

    def __init__(self, address: str, *, silent_ms: int) -> None:
        self.host, self.port = split_address(address)
        self.timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=silent_ms / 1000)

    def stream(self, work: Work, stream_id: str, resident: str) -> Iterator[EngineEvent]:
        """Yield the answer's events up to the one before its end mark.

        Raise MimosaspurError when the answer can't be completed, EngineRejected when the
        engine rejects the request.
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
        """Yield all events of a stream that a previous process started."""
        yield from self._resume(stream_id, 0)

    def cancel(self, stream_id: str) -> None:
        """Cancel a stream at the engine."""
        # If the call fails, the run still ends at max_tokens.
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
                    # Only attempts without progress count, so a long stream may break many times.
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
            raise _incomplete_answer("The engine no longer has the stream.")
        return response

    def _call(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> urllib3.BaseHTTPResponse:
        pool = HttpPool(self.host, self.port, timeout=self.timeout, maxsize=1, retries=False)
        all_headers = {**(headers or {}), "Connection": "close"}
        return pool.request(method, path, body=body, headers=all_headers, preload_content=False)


def _events(response: urllib3.BaseHTTPResponse) -> Iterator[EngineEvent]:
    reader = EventReader()
    try:
        while data := response.read1(READ_BYTES):
            yield from reader.feed(data)
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise _StreamBroken from error
    finally:
        response.close()
    # A stream without the end mark is incomplete, even if the connection closed cleanly.
    raise _StreamBroken


def _raise_for_status(response: urllib3.BaseHTTPResponse, resident: str) -> None:
    try:
        body = response.data
    except urllib3.exceptions.HTTPError as error:
        raise _StreamBroken from error
    if response.status == NOT_FOUND:
        raise MimosaspurError(ResultCode.NOT_READY_HERE, f"The engine has not loaded {resident}.")
    if response.status in CLIENT_ERRORS:
        content_type = response.headers.get("Content-Type", "application/json")
        raise EngineRejected(response.status, content_type, body)
    raise MimosaspurError(
        ResultCode.ENGINE_ERROR,
        f"The engine responded with status {response.status}.",
        outcome=Outcome.UNKNOWN,
    )


def _incomplete_answer(detail: str) -> MimosaspurError:
    return MimosaspurError(ResultCode.ANSWER_CUT, detail, outcome=Outcome.UNKNOWN)


def _stream_path(stream_id: str) -> str:
    return f"/v1/streams/{stream_id}"
