"""Serve callers' connections, one task each."""

import asyncio
import resource
import socket
from functools import partial

from mimosaspur_coordination.limits.memorybudget import MIN_STALL_MS
from mimosaspur_coordination.scheduling.callertimes import retry_after_s
from mimosaspur_coordination.scheduling.loadoutlook import MAX_HOLD_SHARE
from mimosaspur_daemon.direct.admission import check_leaving
from mimosaspur_daemon.direct.admission import find_route
from mimosaspur_daemon.direct.admission import pick_service
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.prompts import time_limit_ms
from mimosaspur_daemon.direct.refusal import RequestFailed
from mimosaspur_daemon.direct.refusal import internal_failure
from mimosaspur_daemon.direct.requesthandler import UNSERVED_CODES
from mimosaspur_daemon.direct.requesthandler import RequestHandler
from mimosaspur_daemon.direct.workspacequota import authenticate
from mimosaspur_daemon.direct.workspacequota import charge_quota
from mimosaspur_daemon.direct.workspacequota import refund_unless_run
from mimosaspur_daemon.direct.workspacequota import wait_for_first_quotas
from mimosaspur_protocol.callerapi import decimal_s
from mimosaspur_state.codes import CODE_TABLE
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.routes import CallerLimits
from mimosaspur_transport.callerconnection import BadRequest
from mimosaspur_transport.callerconnection import BodyLate
from mimosaspur_transport.callerconnection import CallerConnection
from mimosaspur_transport.callerconnection import CallerDisconnected
from mimosaspur_transport.callerconnection import CallerRequest
from mimosaspur_transport.callerconnection import EofNotifyingReader
from mimosaspur_transport.callerconnection import MemoryShort
from mimosaspur_transport.dialect import Headers
from mimosaspur_transport.dialect import header

LISTEN_BACKLOG = 512
# Connections that the event loop accepts at once, before any of them is looked at.
ACCEPTED_AT_ONCE = 16
# A connection without input for this long has no request under way: callers send a request within
# some ms.
MIN_IDLE_S = 0.3
# Descriptors for files, listeners, the store and other entries.
OWN_DESCRIPTORS = 300
# Sent to a caller for which there is no connection, before anything is read.
TOO_MANY_CONNECTIONS = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n"
    b"Connection: close\r\n\r\n"
)


class CallerServer:
    """Accept callers' connections and serve their requests."""

    def __init__(self, state: EntryState) -> None:
        self.state = state
        self.connections: set[CallerConnection] = set()
        # One for each connection, until the last of what was written has been sent.
        self.tasks: set[asyncio.Task[None]] = set()
        self.handlers: set[RequestHandler] = set()
        self.server: asyncio.Server | None = None
        self.max_connections = max_connections(state.settings.descriptors)

    async def listen(self) -> None:
        """Start accepting connections."""
        loop = asyncio.get_running_loop()
        host, port = self.state.settings.callers_address

        def protocol() -> asyncio.StreamReaderProtocol:
            reader = EofNotifyingReader(loop)
            return asyncio.StreamReaderProtocol(reader, self._on_connection, loop=loop)

        listening = socket.create_server((host, port), backlog=LISTEN_BACKLOG)
        self.server = await loop.create_server(protocol, sock=listening, backlog=ACCEPTED_AT_ONCE)
        # The event loop has set the kernel's queue to what it accepts at once.
        listening.listen(LISTEN_BACKLOG)

    def in_flight(self) -> int:
        """Return the number of requests in progress."""
        return sum(connection.answer_pending for connection in self.connections)

    def close_idle(self, *, min_idle_s: float = MIN_IDLE_S) -> None:
        """Close connections that have had no request in progress, nor a part of one, for a time."""
        for connection in self.connections:
            if connection.is_idle() and connection.idle_duration_s() >= min_idle_s:
                connection.close()

    def reset_partial(self) -> None:
        """Reset connections that have carried a part of a request, and no more at present."""
        for connection in self.connections:
            if connection.is_inside_request() and not connection.has_unread_input():
                connection.reset_unread()

    def end_requests(self) -> None:
        """End unfinished requests, with an error response if none has started."""
        for handler in list(self.handlers):
            handler.end_now()
        # Requests that still wait for quotas have no handler yet.
        self.state.quotas_received.set()

    def stop_accepting(self) -> None:
        """Stop accepting connections."""
        if self.server:
            self.server.close()

    def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.tasks) >= self.max_connections and not self._free_connection():
            self.state.log.write("connection_refused", open=len(self.tasks))
            writer.write(TOO_MANY_CONNECTIONS)
            writer.close()
            return
        task = asyncio.get_running_loop().create_task(self._serve(reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _free_connection(self) -> bool:
        """Close the connection that has been idle, or has waited for its caller, the longest."""
        idlest = max(self.connections, key=CallerConnection.idle_duration_s, default=None)
        is_idle = idlest is not None and idlest.idle_duration_s() >= MIN_IDLE_S
        if idlest and is_idle:
            self.connections.discard(idlest)
            idlest.close()
        elif not self.state.memory.free_longest_stalled():
            return False
        self.state.log.write("connection_freed", open=len(self.tasks), idle=is_idle)
        return True

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        assert isinstance(reader, EofNotifyingReader)
        connection = CallerConnection(
            reader, writer, limits=self._limits(), budget=self.state.memory
        )
        self.connections.add(connection)
        try:
            await self._serve_requests(connection)
        except BadRequest as error:
            await self._refuse_malformed(connection, error)
        except CallerDisconnected:
            connection.abort()
        except asyncio.CancelledError:
            # The process ends, and waits for nothing any more.
            connection.abort()
            raise
        except Exception as error:  # noqa: BLE001 - any error must reach the caller
            await self._fail_connection(connection, internal_failure(error))
        finally:
            self.connections.discard(connection)
            connection.memory.close()
            connection.close()
            await connection.wait_closed()

    async def _serve_requests(self, connection: CallerConnection) -> None:
        while True:
            connection.limits = self._limits()
            head = await connection.read_head()
            if head is None:
                return
            request = await self._read_body(connection, head)
            if request is None:
                return
            if not await self._answer_until_disconnect(connection, request):
                connection.abort()
                return
            if not connection.start_next_cycle():
                return

    async def _read_body(
        self, connection: CallerConnection, head: CallerRequest
    ) -> CallerRequest | None:
        """Return the request with its body; None if it was refused before its body had come."""
        try:
            return await connection.read_body(head, time_limit_s=self._body_limit_s)
        except RequestFailed as error:
            failure = error
        except BodyLate:
            failure = RequestFailed(ResultCode.BODY_LATE)
        except MemoryShort:
            failure = self._memory_failure(head)
        await self._refuse(connection, head, failure, None, close=True)
        await connection.linger()
        return None

    def _body_limit_s(self, head: CallerRequest) -> float:
        """Return when a request's body is late, on the event loop's clock; raise RequestFailed.

        What is known to be refused is refused before its body is read.
        """
        route = find_route(self.state, head)
        authenticate(self.state, route, head)
        return head.arrived_s + time_limit_ms(head, route, self.state.dependencies.dialect) / 1000

    def _memory_failure(self, head: CallerRequest) -> RequestFailed:
        """Return the refusal of a request whose body finds no memory."""
        try:
            left_s = self._body_limit_s(head) - asyncio.get_running_loop().time()
        except RequestFailed as error:
            return error
        # What stalls now has given way by then.
        retry_s = retry_after_s(MIN_STALL_MS / 1000, left_s=left_s, spread=True)
        return RequestFailed(ResultCode.MEMORY_SHORT, retry_after_s=retry_s)

    async def _answer_until_disconnect(
        self, connection: CallerConnection, request: CallerRequest
    ) -> bool:
        """Answer a request unless the caller leaves; return whether it was answered in full."""
        task = asyncio.get_running_loop().create_task(self._answer(connection, request))
        connection.reader.on_disconnect = partial(_cancel, task)
        if connection.reader.at_eof() or connection.reader.exception():
            task.cancel()
        try:
            return await task
        except asyncio.CancelledError:
            if _is_cancelled():
                task.cancel()
                raise
            return False
        finally:
            connection.reader.on_disconnect = None
            # No cycle of the task, its error and the error's traceback, as frames hold bodies.
            del task

    async def _answer(self, connection: CallerConnection, request: CallerRequest) -> bool:
        """Answer a request; return whether the response was sent in full."""
        handler: RequestHandler | None = None
        try:
            route = find_route(self.state, request)
            workspace = authenticate(self.state, route, request)
            await wait_for_first_quotas(self.state, workspace)
            service = pick_service(route)
            handler = RequestHandler(self.state, route, service, request, connection, workspace)
            check_leaving(handler.target_selector)
            self.state.quarantine.check(handler.traits)
            charge_quota(handler)
            await self._run(handler)
        except RequestFailed as failure:
            return await self._fail(connection, request, failure, handler)
        except CallerDisconnected:
            raise
        except asyncio.CancelledError as error:
            if _is_cancelled():
                raise
            # Something else that the request waited for was cancelled.
            return await self._fail(connection, request, internal_failure(error), handler)
        except Exception as error:  # noqa: BLE001 - any error must reach the caller
            return await self._fail(connection, request, internal_failure(error), handler)
        return True

    async def _run(self, handler: RequestHandler) -> None:
        self.handlers.add(handler)
        try:
            await handler.run()
        finally:
            self.handlers.discard(handler)
            refund_unless_run(handler)

    async def _fail(
        self,
        connection: CallerConnection,
        request: CallerRequest,
        failure: RequestFailed,
        handler: RequestHandler | None,
    ) -> bool:
        """Send an error response unless one has begun; return whether a whole one was sent."""
        if connection.has_begun_response():
            self._log(request, failure, handler)
            return not connection.answer_pending
        await self._refuse(connection, request, failure, handler)
        return True

    async def _refuse(
        self,
        connection: CallerConnection,
        request: CallerRequest,
        failure: RequestFailed,
        handler: RequestHandler | None,
        *,
        close: bool = False,
    ) -> None:
        self._log(request, failure, handler)
        if handler:
            self._count_late_rejection(handler, failure.code)
        headers: Headers = [(b"Content-Type", b"text/plain")]
        name = self.state.dependencies.dialect.request_id
        identity = header(request.headers, name)
        if identity is not None:
            headers.append((name, identity))
        if failure.retry_after_s is not None:
            headers.append((b"Retry-After", decimal_s(failure.retry_after_s).encode()))
        body = _error_text(failure.code).encode()
        await connection.send_response(
            failure.status, headers, body, close=close or self.state.leaving
        )

    def _count_late_rejection(self, handler: RequestHandler, code: ResultCode) -> None:
        """Count a request that no target takes if it was held for long before it was refused."""
        held_ms = (asyncio.get_running_loop().time() - handler.request.arrived_s) * 1000
        if code in UNSERVED_CODES and held_ms > MAX_HOLD_SHARE * handler.route.objective_ms:
            self.state.log.counters.count("requests_rejected_late", str(code.value))

    async def _refuse_malformed(self, connection: CallerConnection, error: BadRequest) -> None:
        self.state.log.write("bad_request", status=error.status, detail=error.detail)
        await self._send_last(connection, error.status, f"{error.detail}\n")
        await connection.linger()

    async def _fail_connection(self, connection: CallerConnection, failure: RequestFailed) -> None:
        """Answer an error outside of a request that was read, unless a response has begun."""
        self.state.log.write("connection_failed", code=failure.code.value, detail=failure.detail)
        if connection.has_begun_response():
            connection.abort()
        else:
            await self._send_last(connection, failure.status, _error_text(failure.code))

    async def _send_last(self, connection: CallerConnection, status: int, text: str) -> None:
        """Send the last response on a connection."""
        try:
            await connection.send_response(status, [], text.encode(), close=True)
        except CallerDisconnected:
            connection.abort()

    def _log(
        self, request: CallerRequest, failure: RequestFailed, handler: RequestHandler | None
    ) -> None:
        identity = header(request.headers, self.state.dependencies.dialect.request_id) or b""
        elapsed_s = asyncio.get_running_loop().time() - request.arrived_s
        self.state.log.write(
            "given_up",
            request=identity.decode("latin-1"),
            digest=handler.traits.digest.hex() if handler else "",
            parts=handler.traits.part_names() if handler else [],
            path=request.path,
            model=(header(request.headers, self.state.dependencies.dialect.model) or b"").decode(
                "latin-1"
            ),
            code=failure.code.value,
            refusal=handler.refusal.value if handler and handler.refusal else None,
            detail=failure.detail,
            held_ms=round(elapsed_s * 1000),
            retry_after_s=failure.retry_after_s,
            started=bool(handler and handler.started),
            sent=handler.outcome.listing() if handler else [],
            version=self.state.configuration.version if self.state.configuration else None,
        )

    def _limits(self) -> CallerLimits:
        configuration = self.state.configuration
        return configuration.limits if configuration else CallerLimits()


def max_connections(descriptors: int) -> int:
    """Return how many callers' connections a process with so many descriptors keeps open.

    Each may need a connection to a target beside it.
    """
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit != resource.RLIM_INFINITY:
        descriptors = min(descriptors, soft_limit)
    own = min(OWN_DESCRIPTORS, descriptors // 2)
    return (descriptors - own) // 2


def _error_text(code: ResultCode) -> str:
    info = CODE_TABLE[code]
    return f"{code.value} {info.meaning} {info.next_step}\n"


def _is_cancelled() -> bool:
    """Return whether the current task is asked to end."""
    task = asyncio.current_task()
    return bool(task and task.cancelling())


def _cancel(task: "asyncio.Task[bool]") -> None:
    task.cancel()
