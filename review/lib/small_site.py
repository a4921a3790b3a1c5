"""Run a small deployment on loopback: entries as processes, and stand-ins for what is around them.

The stand-ins are the platform's store, model servers, plain services and consumers. They use the
standard library only, and behave as the users' pages say unless a case changes a hook.
"""

import asyncio
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs
from urllib.parse import urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
# The module of the line `run` in deploy/system.toml.
RUN = ["-P", "-m", "mimosaspur_platform"]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_S = 8.0
LEASE_MS = 3_000
THAW_MS = 300


class Record:
    """Write what happens, with the time since the start in seconds."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start_s = time.monotonic()
        self.entries = []

    def now_s(self):
        return time.monotonic() - self.start_s

    def write(self, what, **fields):
        entry = {"t": round(self.now_s(), 3), "what": what, **fields}
        self.entries.append(entry)
        self.file.write(json.dumps(entry) + "\n")
        self.file.flush()
        return entry

    def of(self, what):
        return [entry for entry in self.entries if entry["what"] == what]


# ---------------------------------------------------------------------------------------- HTTP


class Call:
    """Hold one request that a stand-in has read."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def header(self, name):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None


async def read_call(reader):
    """Return the next request on a connection, None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = [(line.partition(":")[0], line.partition(":")[2].strip()) for line in lines]
    call = Call(method, target, headers, b"")
    length = int(call.header("content-length") or 0)
    try:
        if length:
            call.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError):
        return None
    return call


def head_bytes(status, headers):
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def whole_response(status, headers, body):
    return head_bytes(status, [*headers, ("Content-Length", len(body))]) + body


def reset(writer):
    """End a channel by a reset, whatever is still in its buffers."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def listen(handler, host="127.0.0.1", port=0):
    """Listen; return the server and its port. Errors of ended connections are dropped."""

    async def serve(reader, writer):
        try:
            await handler(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, host, port)
    return server, server.sockets[0].getsockname()[1]


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


# --------------------------------------------------------------------------------------- store


class Store:
    """Stand in for the platform's metadata store. Each entry calls it at a port of its own."""

    def __init__(self, record):
        self.record = record
        self.objects = {}
        self.history = []
        self.revision = 1
        self.changed = asyncio.Event()
        self.servers = []
        # A case may set: (caller, call) -> "" or "reset" (executed, then the channel is reset),
        # "mute" (executed, not answered), "refuse" (503) or "ignore" (not executed, no answer).
        self.fault = lambda caller, call: ""

    async def port_for(self, caller):
        server, port = await listen(lambda reader, writer: self._serve(caller, reader, writer))
        self.servers.append(server)
        return port

    def put(self, kind, name, specification):
        self.revision += 1
        metadata = {"name": name, "revision": self.revision, "finalizers": [], "deleting": False}
        stored = {"metadata": metadata, "specification": specification, "status": None}
        self.objects.setdefault(kind, {})[name] = stored
        self._changed(kind, stored, False)
        return stored

    def delete(self, kind, name):
        self.revision += 1
        self._changed(kind, self.objects[kind].pop(name), True)

    def lease(self):
        stored = self.objects.get("mimosaspur-leases", {}).get("orders")
        return stored["specification"] if stored else None

    def _changed(self, kind, stored, deleted):
        self.history.append((self.revision, kind, stored, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, caller, reader, writer):
        while (call := await read_call(reader)) is not None:
            fault = self.fault(caller, call)
            if fault == "ignore":
                await asyncio.sleep(60)
                return
            if fault == "refuse":
                writer.write(whole_response(503, [], b"null"))
                continue
            status, answer = await self._answer(caller, call)
            if fault:
                self.record.write("store_answer_lost", caller=caller, how=fault, status=status)
            if fault == "reset":
                reset(writer)
                return
            if fault == "mute":
                await asyncio.sleep(60)
                return
            await asyncio.sleep(0.004)
            body = json.dumps(answer).encode()
            writer.write(whole_response(status, [("Content-Type", "application/json")], body))
            await writer.drain()

    async def _answer(self, caller, call):
        url = urlsplit(call.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix("/api/objects/").partition("/")
        if call.method in ("POST", "PUT"):
            return self._write(caller, call, kind, name)
        if "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query["wait_ms"]))
        if name:
            stored = self.objects.get(kind, {}).get(name)
            return (200, stored) if stored else (404, None)
        items = list(self.objects.get(kind, {}).values())
        return 200, {"items": items, "has_more": False, "at": self.revision}

    def _write(self, caller, call, kind, name):
        wanted = json.loads(call.body)
        name = name or wanted["metadata"]["name"]
        known = self.objects.get(kind, {}).get(name)
        revision = wanted["metadata"].get("revision")
        if known and (call.method == "POST" or (revision and known["metadata"]["revision"] != revision)):
            return 409, known
        if call.method == "PUT" and not known:
            return 404, None
        stored = self.put(kind, name, wanted["specification"])
        self.record.write("store_write", caller=caller, kind=kind, value=wanted["specification"])
        return 200, stored

    async def _watch(self, kind, since, wait_ms):
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_ms / 1000
        while True:
            events = [
                {"object": stored, "deleted": deleted}
                for revision, of, stored, deleted in self.history
                if of == kind and revision > since
            ]
            if events or loop.time() >= end_s:
                return 200, {"events": events, "at": self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(end_s):
                    await self.changed.wait()


# ------------------------------------------------------------------------------------- servers


class Server:
    """Stand in for a plain server of a service."""

    kind = "plain"

    def __init__(self, site, name, service, zone):
        self.site = site
        self.record = site.record
        self.name = name
        self.service = service
        self.zone = zone
        self.host = "127.0.0.1"
        self.port = 0
        self.server = None
        self.state = "ready"
        self.sequence = 0
        self.work_s = 0.045
        self.slots = 6
        self.running = 0
        self.writers = set()
        # A case may replace it: async (server, call, reader, writer) -> True if it has answered.
        self.hook = None

    async def start(self):
        self.server, self.port = await listen(self._serve, self.host, self.port)
        self.register()

    async def crash(self):
        """End as a crashed process does: its channels are reset, and its port refuses others."""
        self.record.write("server_crashes", server=self.name, running=self.running)
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def restart(self):
        """Start again, as a new lifetime with a new id at the same address."""
        with contextlib.suppress(KeyError):
            self.site.store.delete("servers", self.name)
        self.name = f"{self.name.split('~')[0]}~{new_id()}"
        await self.start()
        self.record.write("server_starts", server=self.name)

    def register(self):
        self.site.store.put("servers", self.name, self.registration())
        self.record.write("store_write", caller=self.name, kind="servers")

    def registration(self):
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "state": self.state,
            "slots": self.slots,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
        }

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (call := await read_call(reader)) is not None:
                if not await self.answer(call, reader, writer):
                    return
        finally:
            self.writers.discard(writer)

    def signed(self, call, extra=()):
        headers = [("X-Response-Signature", f"{self.name}.{call.header('x-attempt-id')}"), *extra]
        if call.header("x-attempt-id"):
            headers.append(("X-Attempt-Id", call.header("x-attempt-id")))
        return headers

    def arrived(self, call):
        return self.record.write(
            "arrived", server=self.name, id=call.header("x-attempt-id"), path=call.target
        )

    def ran(self, call):
        self.record.write("ran", server=self.name, id=call.header("x-attempt-id"))

    def misdirected(self, call):
        meant = call.header("x-expected-instance")
        return meant is not None and meant != self.name

    async def reject(self, call, writer, status):
        self.record.write(
            "rejected", server=self.name, id=call.header("x-attempt-id"), status=status
        )
        headers = [("X-Not-Executed", "1"), ("X-Attempt-Id", call.header("x-attempt-id") or "")]
        writer.write(whole_response(status, headers, b"no"))
        await writer.drain()
        return True

    async def answer(self, call, reader, writer):
        if call.target == "/health":
            writer.write(whole_response(200, [("X-Instance-Id", self.name)], b"ok"))
            return True
        if self.misdirected(call):
            return await self.reject(call, writer, 421)
        self.arrived(call)
        if self.hook and (done := await self.hook(self, call, reader, writer)) is not None:
            return done
        return await self.run(call, writer)

    async def run(self, call, writer):
        self.ran(call)
        await asyncio.sleep(self.work_s)
        body = f"answer of {self.name} to {call.header('x-attempt-id')}".encode()
        writer.write(whole_response(200, self.signed(call), body))
        await writer.drain()
        return True


class ModelServer(Server):
    """Stand in for a model server that doesn't check fencing tokens."""

    kind = "model"

    def __init__(self, site, name, service, zone, models):
        super().__init__(site, name, service, zone)
        self.models = list(models)
        self.orders = 0
        self.busy = False
        self.runs = {}
        self.events = 8
        self.event_s = 0.03
        self.report = self._report()
        self.tasks = set()

    async def start(self):
        await super().start()
        self.tasks.add(asyncio.create_task(self._refresh()))

    def registration(self):
        entry = super().registration()
        models = [{"name": name, "version": 1, "adapters": []} for name in self.models]
        return {**entry, "slots": 64, "stage": "both", "models": models}

    def _report(self):
        models = [{"name": name, "version": 1, "adapters": []} for name in self.models]
        return {
            "stage": "both",
            "models": models,
            "busy": self.busy,
            "sequence": self.orders,
            "waiting": 0,
            "running": sum(self.runs.values()),
            "kv_used": 1000 * sum(self.runs.values()),
            "kv_total": 100_000,
            "handles": 0,
            "coming": [],
            "at_hand": {"in_memory": [], "on_disk": []},
        }

    async def _refresh(self):
        # Reports are as of some hundred ms ago.
        while True:
            report = self._report()
            await asyncio.sleep(0.1)
            self.report = report

    async def answer(self, call, reader, writer):
        if call.target == "/api/report":
            body = json.dumps(self.report).encode()
            writer.write(whole_response(200, [("Content-Type", "application/json")], body))
            return True
        if call.target == "/api/order":
            status = self._order(call)
            writer.write(whole_response(status, [], b"{}"))
            return True
        return await super().answer(call, reader, writer)

    def _order(self, call):
        order = json.loads(call.body)
        status = self._order_status(call, order)
        self.record.write("order", server=self.name, status=status, **order)
        return status

    def _order_status(self, call, order):
        if self.misdirected(call):
            return 421
        if self.busy or order.get("expected", self.orders) != self.orders:
            return 409
        model = order["model"]
        if order["operation"] == "load" and model in self.models:
            return 200
        if order["operation"] == "unload" and model not in self.models:
            return 200
        if order["operation"] == "load" and len(self.models) >= self.site.models_per_server:
            self.record.write("overcommitted", server=self.name, model=model, holds=self.models)
            return 409
        self.orders += 1
        self.busy = True
        self.tasks.add(asyncio.create_task(self._carry_out(order)))
        return 202

    async def _carry_out(self, order):
        model = order["model"]
        if order["operation"] == "load":
            await asyncio.sleep(self.site.load_s)
            self.models.append(model)
        else:
            while self.runs.get(model):
                await asyncio.sleep(0.01)
            self.models.remove(model)
        self.busy = False
        self.register()

    async def answer_stream(self, call, writer, events, first=1, chunked=True):
        """Send a stream of events with increasing ids."""
        framing = [("Transfer-Encoding", "chunked")] if chunked else []
        headers = [("Content-Type", "text/event-stream"), ("X-Weight-Versions", "1"), *framing]
        writer.write(head_bytes(200, self.signed(call, headers)))
        for number in range(first, events + 1):
            await asyncio.sleep(self.event_s)
            event = f"id: {number}\ndata: {call.header('x-attempt-id')} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event) if chunked else event)
            await writer.drain()
        if chunked:
            writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def run(self, call, writer):
        model = (call.header("x-model") or "").partition("/")[0]
        if model not in self.models:
            return await self.reject(call, writer, 421)
        self.runs[model] = self.runs.get(model, 0) + 1
        try:
            self.ran(call)
            first = int(call.header("last-event-id") or 0) + 1
            await self.answer_stream(call, writer, self.events, first)
        finally:
            self.runs[model] -= 1
        return True


# ------------------------------------------------------------------------------------- entries


class Entry:
    """Run one entry as a process, started as in the deploy file."""

    def __init__(self, site, number):
        self.site = site
        self.record = site.record
        self.name = f"frontend-{number}"
        # The metrics port is fixed, so each entry has a loopback address of its own.
        self.ip = f"127.0.{random.randint(10, 250)}.{random.randint(2, 250)}"
        self.zone = f"zone-{number}"
        self.front = free_port(self.ip)
        self.ready = free_port(self.ip)
        self.process = None

    async def prepare(self):
        store_port = await self.site.store.port_for(self.name)
        peer = free_port(self.ip)
        lines = {
            "node_name": self.name,
            "role": "entry",
            "machine_class": "frontend",
            "serves": "frontend",
            "ip": self.ip,
            "zone": self.zone,
            "region": "region",
            "listen.front": f"{self.ip}:{self.front}",
            "listen.ready": f"{self.ip}:{self.ready}",
            "internal_port_range": f"{peer},{peer + 15}",
            "first_start": "true",
            "limits.cpu_share": "0.817",
            "limits.cores": "1",
            "limits.memory_mb": "300",
            "limits.file_descriptors": "4100",
            "limits.link_mbps": "1000.0",
            "heartbeat_ms": "1200",
            "bounds.stability_window_ms": "3000",
            "bounds.drain_ms": "2000",
            "bounds.grace_s": f"{GRACE_S:g}",
            "bounds.config_apply_ms": "2000",
            "bounds.retry_budget_ratio": "0.2",
            "bounds.budget_window_s": "10",
            "bounds.budget_slack": "52",
            "bounds.fence_checked": "false",
            "bounds.lease_ms": str(LEASE_MS),
            "bounds.thaw_ms": str(THAW_MS),
            "bounds.ceiling_window_s": "5",
            "bounds.ceiling_overage": "1.1",
            "platform.address": f"127.0.0.1:{store_port}",
            "platform.form": "objects",
        }
        self.settings = self.site.folder / f"{self.name}.conf"
        text = "".join(f"{name}={value}\n" for name, value in lines.items())
        self.settings.write_text(text, encoding="utf-8")

    async def start(self):
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "MIMOSASPUR_SETTINGS": str(self.settings),
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
        }
        log = open(self.site.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, *RUN, cwd=REPOSITORY, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.record.write("started", entry=self.name, pid=self.process.pid)

    def signal(self, number):
        self.record.write("signal", entry=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200" in line

    def log_lines(self):
        path = self.site.folder / f"{self.name}.log"
        for line in path.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                yield json.loads(line)


# ----------------------------------------------------------------------------------- consumers


class Answer:
    """Hold what a consumer got."""

    def __init__(self):
        self.status = 0
        self.headers = []
        self.body = b""
        self.complete = False
        self.error = ""

    def header(self, name):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None


_ids = itertools.count(1)


def new_id():
    return f"{next(_ids):06d}{random.randrange(16**8):08x}"


def request_bytes(method, host, path, headers, body=b""):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def read_answer(reader, timeout_s):
    """Read one response to its end; never raises for what the other side does."""
    answer = Answer()
    try:
        async with asyncio.timeout(timeout_s):
            head = await reader.readuntil(b"\r\n\r\n")
            first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
            answer.status = int(first.split(" ")[1])
            for line in lines:
                answer.headers.append((line.partition(":")[0], line.partition(":")[2].strip()))
            await _read_body(reader, answer)
    except TimeoutError:
        answer.error = "timeout"
    except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
        answer.error = type(error).__name__
    return answer


async def _read_body(reader, answer):
    if answer.header("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0] or b"x", 16)
            data = await reader.readexactly(size + 2)
            if not size:
                answer.complete = True
                return
            answer.body += data[:-2]
    length = answer.header("content-length")
    if length is not None:
        answer.body = await reader.readexactly(int(length))
    else:
        # Read in pieces, so that what came before a reset is kept.
        while data := await reader.read(65536):
            answer.body += data
    answer.complete = True


async def send(site, entry, path, *, method="POST", headers=(), body=b"", timeout_s=5.0, id=None):
    """Send one request on a new channel; record it and its answer."""
    identity = id or new_id()
    all_headers = [("X-Attempt-Id", identity), ("X-Deadline-Ms", int(timeout_s * 1000)), *headers]
    site.record.write("sent", id=identity, entry=entry.name, path=path)
    try:
        reader, writer = await asyncio.open_connection(entry.ip, entry.front)
    except OSError as error:
        site.record.write("answered", id=identity, status=0, error=repr(error))
        answer = Answer()
        answer.error = repr(error)
        return identity, answer
    try:
        writer.write(request_bytes(method, site.host, path, all_headers, body))
        answer = await read_answer(reader, timeout_s)
    finally:
        writer.close()
    site.record.write(
        "answered",
        id=identity,
        status=answer.status,
        complete=answer.complete,
        size=len(answer.body),
        error=answer.error,
        signed=answer.header("x-response-signature"),
    )
    return identity, answer


class KeptChannel:
    """Send requests one after another on one channel, and open a new one when it has ended."""

    def __init__(self, site, entry):
        self.site = site
        self.entry = entry

    async def run(self, path, *, method="POST", pause_s=0.02, timeout_s=4.0):
        while True:
            with contextlib.suppress(OSError):
                await self._use_channel(path, method, pause_s, timeout_s)
            await asyncio.sleep(0.1)

    async def _use_channel(self, path, method, pause_s, timeout_s):
        reader, writer = await asyncio.open_connection(self.entry.ip, self.entry.front)
        answered = 0
        try:
            while True:
                identity = new_id()
                headers = [("X-Attempt-Id", identity), ("X-Deadline-Ms", int(timeout_s * 1000))]
                self.site.record.write(
                    "sent", id=identity, entry=self.entry.name, path=path, answered_before=answered
                )
                writer.write(request_bytes(method, self.site.host, path, headers))
                answer = await read_answer(reader, timeout_s)
                self.site.record.write(
                    "answered",
                    id=identity,
                    entry=self.entry.name,
                    status=answer.status,
                    complete=answer.complete,
                    error=answer.error,
                    answered_before=answered,
                )
                if not answer.complete or answer.header("connection") == "close":
                    return
                answered += 1
                await asyncio.sleep(pause_s)
        finally:
            writer.close()


# ---------------------------------------------------------------------------------------- site


class Site:
    """Hold all parts of one small deployment, and end them."""

    host = "small.example"

    def __init__(self, folder, *, models=8, models_per_server=2, load_s=0.3, loads_per_s=20.0):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(folder)
        self.store = Store(self.record)
        self.models = [f"model{number}" for number in range(models)]
        self.models_per_server = models_per_server
        self.load_s = load_s
        self.loads_per_s = loads_per_s
        self.servers = []
        self.entries = []
        self.version = 0
        self.stream_route = {}
        self.plain_routes = {}
        # Routes that are not in the first configuration.
        self.later_routes = []
        self.tasks = []

    def configure(self):
        """Write the configuration, one version on."""
        self.version += 7
        base = {"hostname": self.host, "priority": 1}
        stream = {
            "name": "chat",
            "path_prefix": "/chat/",
            "route_kind": "streaming",
            "service": "models",
            "timeout_ms": 8000,
            "target_latency_ms": 800,
            "gap_aim_ms": 400,
            "max_attempts": 2,
            "sticky_sessions": True,
        }
        book = {
            "name": "book",
            "path_prefix": "/book/",
            "route_kind": "unsafe",
            "service": "desk",
            "timeout_ms": 4000,
            "target_latency_ms": 400,
            "max_attempts": 2,
        }
        look = {**book, "name": "look", "path_prefix": "/look/", "route_kind": "safe"}
        routes = [{**base, **stream, **self.stream_route}]
        for route in (book, look):
            routes.append({**base, **route, **self.plain_routes})
        routes += self.later_routes
        engine = {
            "slots": 64,
            "kv_cache_tokens": 100_000,
            "weights_mb": 100.0 * self.models_per_server,
            "adapter_slots": 4,
            "loads_per_s": self.loads_per_s,
            "models": [
                {"name": name, "weights_mb": 95.0, "load_s": self.load_s, "adapters": 0}
                for name in self.models
            ],
        }
        services = [
            {
                "name": "models",
                "health_check_path": "/health",
                "connection_limit": 360,
                "engine": engine,
            },
            {"name": "desk", "health_check_path": "/health", "connection_limit": 96},
        ]
        limits = {
            "header_bytes": 16384,
            "body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        value = {"version": self.version, "routes": routes, "services": services, "limits": limits}
        self.store.put("config", "main", value)

    async def start(self, *, entries=3, model_servers=3, plain_servers=2, wait=True):
        self.configure()
        names = itertools.cycle(self.models)
        for number in range(model_servers):
            held = [next(names) for _ in range(self.models_per_server)]
            zone = f"zone-{number % 3 + 1}"
            self.servers.append(ModelServer(self, f"i-model{number}", "models", zone, held))
        for number in range(plain_servers):
            self.servers.append(Server(self, f"i-desk{number}", "desk", f"zone-{number % 3 + 1}"))
        for server in self.servers:
            await server.start()
        for number in range(1, entries + 1):
            entry = Entry(self, number)
            await entry.prepare()
            self.entries.append(entry)
            await entry.start()
        if wait:
            await self.wait_until_ready()

    async def wait_until_ready(self, timeout_s=20.0):
        async with asyncio.timeout(timeout_s):
            for entry in self.entries:
                while not await entry.is_ready():
                    await asyncio.sleep(0.1)
        self.record.write("ready")

    def holder(self):
        lease = self.store.lease()
        names = {entry.name: entry for entry in self.entries}
        return names.get(lease["holder"]) if lease else None

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for entry in self.entries:
            if entry.process and entry.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    entry.process.send_signal(signal.SIGCONT)
                    entry.process.kill()
                await entry.process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(play, **site_options):
    """Play a case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""

    async def main():
        # A script that is stopped ends its processes too.
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        site = Site(Path(sys.argv[0]).resolve().parent, **site_options)
        try:
            async with asyncio.timeout(110):
                broken = await play(site)
        except (Exception, asyncio.CancelledError) as error:  # any error of the case itself
            site.record.write("could_not_run", error=repr(error))
            print(f"could not run: {error!r}")
            return 2
        finally:
            await site.close()
        site.record.write("verdict", broken=broken or "")
        print(f"broken: {broken}" if broken else "held")
        return 1 if broken else 0

    return asyncio.run(main())
