"""Serve callers over HTTP, with a limit on requests in flight."""

import socket
import threading
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any
from wsgiref.types import StartResponse
from wsgiref.types import WSGIEnvironment

import msgspec

from mimosaspur_coordination.ports import Answer
from mimosaspur_coordination.ports import Dispatcher
from mimosaspur_protocol.callerapi import Deadlines
from mimosaspur_protocol.callerapi import error_body
from mimosaspur_protocol.callerapi import is_work
from mimosaspur_protocol.callerapi import parse_work
from mimosaspur_state.clock import Clock
from mimosaspur_state.clock import Deadline
from mimosaspur_state.codes import Outcome
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import MimosaspurError
from mimosaspur_state.log import log
from mimosaspur_state.metrics import Metrics
from mimosaspur_state.settings import EntrySettings
from mimosaspur_state.settings import split_address
from mimosaspur_transport.exchange import Exchange
from mimosaspur_transport.exchange import answer_headers
from mimosaspur_transport.exchange import close_chunks
from mimosaspur_transport.exchange import internal_error
from mimosaspur_transport.gateway import MS_PER_SECOND
from mimosaspur_transport.gateway import CallerHttpServer

EVENT_STREAM = "text/event-stream"
OK = 200
UNAVAILABLE = 503
# Time for workers to notice the abort after the grace period.
ABORT_TIMEOUT_S = 1


class CallerServer:
    """Serve callers and pass their requests to the dispatcher, within a limit."""

    def __init__(
        self, settings: EntrySettings, dispatcher: Dispatcher, clock: Clock, metrics: Metrics
    ) -> None:
        self.settings = settings
        self.dispatcher = dispatcher
        self.clock = clock
        self.metrics = metrics
        self.deadlines = Deadlines(settings.default_deadline_ms, settings.max_deadline_ms)
        self.in_flight = 0
        self.changed = threading.Condition()
        self.http = CallerHttpServer(
            split_address(settings.listen),
            self._handle_request,
            workers=settings.workers,
            timeout_s=settings.caller_timeout_ms / MS_PER_SECOND,
        )
        self.thread = threading.Thread(target=self.http.serve, name="callers", daemon=True)

    @property
    def address(self) -> str:
        """Return the bound address as ip:port."""
        host, port = self.http.bind_addr
        return f"{host}:{port}"

    def start(self) -> None:
        """Bind the address and start serving; raise OSError."""
        self.http.prepare()
        # The next process must be able to bind while connections of this one still close.
        self.http.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.thread.start()
        log("ENTRY", "Serving callers.", address=self.address)

    def stop_accepting(self) -> None:
        """Close the listening socket; requests in flight continue."""
        self.http.stop_accepting()

    def stop(self, grace_ms: int) -> None:
        """Wait for requests in flight up to the grace period, then abort them and stop."""
        self.stop_accepting()
        deadline = Deadline(self.clock, grace_ms)
        with self.changed:
            self.changed.wait_for(lambda: self.in_flight == 0, deadline.remaining_s())
            left = self.in_flight
        log("ENTRY", "Stopped serving callers.", given_up=left)
        self.http.aborting.set()
        self.http.shutdown_timeout = ABORT_TIMEOUT_S
        self.http.stop()
        self.thread.join()

    def acquire_slot(self) -> None:
        """Reserve a slot for a request; raise MimosaspurError at the limit."""
        with self.changed:
            if self.in_flight >= self.settings.max_in_flight:
                detail = f"The entry has {self.in_flight} requests in flight."
                raise MimosaspurError(ResultCode.QUEUE_FULL, detail)
            self.in_flight += 1
            self.metrics.gauge("entry.in_flight", self.in_flight)

    def release_slot(self) -> None:
        """Release a request's slot."""
        with self.changed:
            self.in_flight -= 1
            self.metrics.gauge("entry.in_flight", self.in_flight)
            self.changed.notify_all()

    def _handle_request(self, environ: WSGIEnvironment, start: StartResponse) -> Iterable[bytes]:
        exchange = Exchange(environ, start)
        try:
            if is_work(exchange.method, exchange.target):
                return self._handle_work(exchange)
            return self._handle_status(exchange)
        except MimosaspurError as error:
            self.metrics.count(f"entry.errors.{error.code.name.lower()}")
            return exchange.send_error(error)
        except Exception as error:  # noqa: BLE001  respond with an error to any failure
            log("ENTRY", "Request failed.", request_id=exchange.request_id, error=repr(error))
            return exchange.send_error(internal_error())

    def _handle_status(self, exchange: Exchange) -> Iterable[bytes]:
        if exchange.method not in ("GET", "HEAD"):
            raise MimosaspurError(ResultCode.NOT_FOUND)
        match exchange.target.partition("?")[0]:
            case "/healthz":
                generation = self.dispatcher.generation()
                return exchange.send_json(OK, {"alive": True, "generation": generation})
            case "/readyz":
                ready = self.dispatcher.ready() and not self.http.closing
                return exchange.send_json(OK if ready else UNAVAILABLE, {"ready": ready})
            case "/v1/models":
                return exchange.send_json(OK, self._list_models())
            case _:
                raise MimosaspurError(ResultCode.NOT_FOUND)

    def _list_models(self) -> dict[str, Any]:
        cards = [
            {
                "id": card.name,
                "object": "model",
                "created": 0,
                "owned_by": "mimosaspur",
                "version": card.version,
                "base": card.base,
            }
            for card in self.dispatcher.models()
        ]
        return {"object": "list", "data": cards}

    def _handle_work(self, exchange: Exchange) -> Iterable[bytes]:
        self.acquire_slot()
        began_ms = self.clock.now_ms()
        streaming = False
        try:
            request = exchange.read_request(self.settings.max_body_bytes, self._body_deadline())
            parsed = parse_work(request, self.deadlines)
            gone = exchange.caller.is_disconnected
            answer = self.dispatcher.dispatch(parsed.work, parsed.deadline_ms, gone)
            if not parsed.work.stream:
                return exchange.send_collected(answer)
            body = StreamBody(self, exchange, answer)
            streaming = True
            return body
        finally:
            self.metrics.timing("entry.first_ms", self.clock.now_ms() - began_ms)
            if not streaming:
                self.release_slot()

    def _body_deadline(self) -> Deadline:
        return Deadline(self.clock, self.settings.caller_timeout_ms)


class StreamBody:
    """Stream an answer's chunks; a truncated one ends without the final chunk."""

    __slots__ = (
        "chunks",
        "closed",
        "content_type",
        "exchange",
        "first_chunk",
        "is_truncated",
        "server",
    )

    def __init__(self, server: CallerServer, exchange: Exchange, answer: Answer) -> None:
        self.server = server
        self.exchange = exchange
        self.content_type = answer.content_type
        self.chunks = answer.chunks
        self.closed = False
        self.is_truncated = False
        # Before the first chunk, a failure can still be sent as an error response.
        try:
            self.first_chunk = next(self.chunks, b"")
            exchange.send_head(answer.status, answer_headers(answer))
        except BaseException:
            close_chunks(self.chunks)
            raise

    def __iter__(self) -> Iterator[bytes]:
        try:
            yield self.first_chunk
            for chunk in self.chunks:
                if self.exchange.caller.is_disconnected():
                    self._truncate(MimosaspurError(ResultCode.CANCELLED, outcome=Outcome.UNKNOWN))
                    return
                yield chunk
        except MimosaspurError as error:
            yield self._truncate(error)
        except Exception as error:  # noqa: BLE001  end the stream with an error on any failure
            log("ENTRY", "Stream failed.", request_id=self.exchange.request_id, error=repr(error))
            yield self._truncate(internal_error())

    def close(self) -> None:
        """Close the answer's chunks and release the request's slot."""
        if self.closed:
            return
        self.closed = True
        # The last event has been written by now, in the response's original encoding.
        if self.is_truncated:
            self.exchange.caller.truncate_response()
        try:
            close_chunks(self.chunks)
        finally:
            self.server.release_slot()

    def _truncate(self, error: MimosaspurError) -> bytes:
        request_id = self.exchange.request_id
        log("ENTRY", "Truncated a stream.", request_id=request_id, code=int(error.code))
        self.server.metrics.count("entry.streams_cut")
        self.is_truncated = True
        if not self.content_type.startswith(EVENT_STREAM):
            return b""
        return b"data: " + msgspec.json.encode(error_body(error, request_id)) + b"\n\n"
