"""Small stand-ins for the platform, its store and servers, and the entries as processes.

Only the standard library is used. All addresses are loopback ones of a network number that is
drawn for each run, so that runs beside each other don't meet.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import struct
import subprocess
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
FRONT, READY, CONTROL = 8149, 8141, 8144


def _reserve_net():
    """Return the second byte of loopback addresses that no other script uses, and what holds it."""
    while True:
        net = random.SystemRandom().randrange(20, 250)
        holder = socket.socket()
        try:
            holder.bind((f"127.{net}.3.1", CONTROL))
            return net, holder
        except OSError:
            holder.close()


NET, NET_HOLDER = _reserve_net()


class Closed(Exception):
    """Signal that the other end has closed or reset a connection."""


class Record:
    """Write record.txt: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.out = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.out.write(f"{self.now():9.3f} {text}\n")
        self.out.flush()


def server_ip(number):
    return f"127.{NET}.1.{number}"


def reset(writer):
    """Close a connection with a reset."""
    with contextlib.suppress(OSError, AttributeError):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def get(headers, name, default=None):
    return next((value for key, value in headers if key == name), default)


async def read_head(reader):
    """Return the first line and the headers of a message; raise Closed."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError) as error:
        raise Closed(repr(error)) from error
    lines = raw[:-4].decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:])
    return lines[0], [(name.strip().lower(), value.strip()) for name, _, value in pairs]


async def read_body(reader, headers):
    """Return a body by its framing; raise Closed."""
    try:
        if "chunked" not in get(headers, "transfer-encoding", ""):
            return await reader.readexactly(int(get(headers, "content-length", "0")))
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
        return body
    except (asyncio.IncompleteReadError, OSError, ValueError) as error:
        raise Closed(repr(error)) from error


class Store:
    """The platform's store: objects by kind and name, lists, watches, conditional writes."""

    def __init__(self, record):
        self.record = record
        self.objects, self.history, self.revision = {}, [], 1
        self.era = 1
        self.away = False
        self.changed = asyncio.Event()
        self.connections = set()

    async def start(self):
        server = await asyncio.start_server(self._serve, f"127.{NET}.2.1", 0, limit=1 << 20)
        self.server = server
        return server.sockets[0].getsockname()[:2]

    def put(self, kind, name, specification):
        self.revision += 1
        old = self.objects.setdefault(kind, {}).get(name)
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": old["metadata"]["created"] if old else self.revision,
            "finalizers": [],
            "deleting": False,
        }
        stored = {"metadata": metadata, "specification": specification, "status": None}
        self.objects[kind][name] = stored
        self._add_change(kind, stored, deleted=False)
        return stored

    def delete(self, kind, name):
        stored = self.objects.get(kind, {}).pop(name, None)
        if stored:
            self.revision += 1
            self._add_change(kind, stored, deleted=True)

    def copy(self):
        """Return a copy of the contents, from which the store may be restored."""
        contents = {kind: dict(objects) for kind, objects in self.objects.items()}
        return contents, list(self.history), self.revision

    def go_away(self):
        """Answer nothing, and reset what is open, until `come_back`."""
        self.away = True
        for writer in list(self.connections):
            reset(writer)

    def come_back(self, copy):
        """Come back with the contents of a copy; the era rises by one."""
        self.objects, self.history, self.revision = copy
        self.era += 1
        self.away = False
        self._wake()

    def _add_change(self, kind, stored, *, deleted):
        self.history.append((self.revision, kind, stored, deleted))
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if self.away:
                    reset(writer)
                    return
                method, target, _ = line.split(" ", 2)
                status, answer = await self._answer(method, target, body)
                if self.away:
                    reset(writer)
                    return
                data = json.dumps(answer).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Store-Era: {self.era}\r\nContent-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (Closed, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _answer(self, method, target, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix("/api/objects/").partition("/")
        if method in ("POST", "PUT"):
            return self._write(method, kind, name, json.loads(body))
        if "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)))
        if name:
            stored = self.objects.get(kind, {}).get(name)
            return (200, stored) if stored else (404, None)
        names = sorted(each for each in self.objects.get(kind, {}) if each > query.get("after", ""))
        items = [self.objects[kind][each] for each in names[:500]]
        return 200, {"items": items, "has_more": len(names) > 500, "at": self.revision}

    def _write(self, method, kind, name, call):
        name = name or call["metadata"]["name"]
        known = self.objects.get(kind, {}).get(name)
        wanted = call["metadata"].get("revision")
        if method == "POST" and known:
            return 409, known
        if method == "PUT" and not known:
            return 404, None
        if wanted and known and known["metadata"]["revision"] != wanted:
            return 409, known
        stored = self.put(kind, name, call["specification"])
        if "lease" in kind:
            self.record.write(f"store: {kind}/{name} is {json.dumps(call['specification'])}")
        return 200, stored

    async def _watch(self, kind, since, wait_ms):
        era, end_s = self.era, time.monotonic() + wait_ms / 1000
        while True:
            if since > self.revision or era != self.era:
                return 410, None
            events = [
                {"object": stored, "deleted": deleted}
                for revision, of, stored, deleted in self.history
                if of == kind and revision > since
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "at": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left_s)


class Entry:
    """One entry on a machine of its own, started by the command of the deploy file."""

    def __init__(self, number, store_address, folder, **fields):
        self.ip = f"127.{NET}.0.{number}"
        self.name = f"frontend-{number}"
        lines = {
            "node_name": self.name,
            "role": "entry",
            "machine_class": "frontend",
            "serves": "frontend",
            "ip": self.ip,
            "zone": f"z{number % 3}",
            "region": "r",
            "zones.z0": "r",
            "zones.z1": "r",
            "zones.z2": "r",
            "listen.front": f"{self.ip}:{FRONT}",
            "listen.ready": f"{self.ip}:{READY}",
            "listen.control": f"{self.ip}:{CONTROL}",
            "internal_port_range": "7380,7395",
            "first_start": "true",
            "limits.cpu_share": "0.817",
            "limits.cores": "1",
            "limits.memory_mb": "300",
            "limits.file_descriptors": "4100",
            "limits.link_mbps": "1000.0",
            "limits.disk_mb": "0",
            "discovery": "platform",
            "entry": "virtual_ip",
            "heartbeat_ms": "1200",
            "bounds.seed_lag_s": "3",
            "bounds.reuse_after_s": "2",
            "bounds.stability_window_ms": "3000",
            "bounds.ack_timeout_ms": "4000",
            "bounds.catch_up_s": "4",
            "bounds.drain_ms": "2000",
            "bounds.grace_s": "8",
            "bounds.loss_slack_ms": "200",
            "bounds.config_apply_ms": "2000",
            "bounds.downgrade_slack_ms": "250",
            "bounds.outer_ms": "5000",
            "bounds.retry_budget_ratio": "0.2",
            "bounds.budget_window_s": "10",
            "bounds.budget_slack": "54",
            "bounds.recover_s": "12",
            "bounds.pass_ms": "120",
            "bounds.again_s": "0",
            "bounds.fence_checked": "false",
            "bounds.lease_ms": "3000",
            "bounds.thaw_ms": "300",
            "bounds.ceiling_window_s": "5",
            "bounds.ceiling_overage": "1.1",
            "platform.address": f"{store_address[0]}:{store_address[1]}",
            "platform.form": "objects",
            "platform.writes_per_s": "400",
            "platform.reads_per_s": "2000",
            "platform.history_s": "20",
            "platform.value_bytes": "1048576",
            **fields,
        }
        self.memory_mb = float(lines["limits.memory_mb"])
        self.settings = Path(folder) / f"{self.name}.conf"
        self.settings.write_text("".join(f"{name}={value}\n" for name, value in lines.items()))
        self.log = Path(folder) / f"{self.name}.log"
        self.process = None

    def start(self):
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["MIMOSASPUR_SETTINGS"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-P", "-m", "mimosaspur_platform"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def runs(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.runs():
            self.process.send_signal(number)

    def kill(self):
        if self.process:
            self.signal(signal.SIGKILL)
            self.process.wait()

    async def is_ready(self):
        if not self.runs():
            return False
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, READY), 1)
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200" in line
        except (OSError, TimeoutError):
            return False

    async def wait_until_ready(self, limit_s=20):
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    def memory_used_mb(self):
        """Return the process's memory, and what it has received and not yet read."""
        resident = 0.0
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS"):
                    resident = int(line.split()[1]) * 1024 / 1e6
        return resident + self._unread_mb()

    def _unread_mb(self):
        parts = [int(part) for part in self.ip.split(".")]
        address = "".join(f"{part:02X}" for part in reversed(parts))
        total = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if fields[1].startswith(address + ":") and fields[3] == "01":
                total += int(fields[4].split(":")[1], 16)
        return total / 1e6


def route(name, prefix, kind, service, **more):
    fields = {
        "name": name,
        "hostname": "h.example",
        "path_prefix": prefix,
        "route_kind": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": service,
        "max_attempts": 1,
        "resumable": False,
        "sticky_sessions": False,
        "gap_aim_ms": 400,
    }
    return fields | more


def model(name):
    return {
        "name": name,
        "weights_mb": 72700.0,
        "load_s": 2.4,
        "adapters": 0,
        "adapter_mb": 66.0,
        "warm_s": 1.2,
        "disk_s": 1.6,
    }


def configuration(version, routes, models=()):
    """Return a configuration with a plain service `app`, and engines `llm` if there are models."""
    services = [
        {
            "name": "app",
            "health_check_path": "/health",
            "connection_limit": 100,
            "protocol": "h1",
            "tls": False,
        }
    ]
    if models:
        engine = {
            "slots": 64,
            "kv_cache_tokens": 143666,
            "kv_token_bytes": 163840,
            "link_mbps": 370000.0,
            "moves": True,
            "backups": True,
            "stride": 2,
            "cap": 12,
            "host_mb": 150000.0,
            "disk_mb": 450000.0,
            "pin_ms": 4000.0,
            "hold_ms": 2000.0,
            "handle_s": 5.0,
            "models": [model(name) for name in models],
            "weights_mb": 230000.0,
            "adapter_slots": 8,
            "loads_per_s": 2.4,
        }
        services.append(
            {
                "name": "llm",
                "health_check_path": "/health",
                "connection_limit": 360,
                "protocol": "h1",
                "tls": False,
                "engine": engine,
            }
        )
    limits = {
        "header_bytes": 16384,
        "body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    return {"version": version, "routes": routes, "services": services, "limits": limits}


def registration(service, address, zone, born, **more):
    fields = {
        "service": service,
        "address": f"{address[0]}:{address[1]}",
        "zone": zone,
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 0,
        "born": born,
    }
    return fields | more


def _stop(_number, _frame):
    raise SystemExit(2)


def run_case(play):
    """Run a case; exit with 0 if the rule held, 1 if it was broken, 2 if it couldn't run.

    `play` gets the folder of the case's settings and logs, and returns whether the rule held, None
    if the case couldn't run.
    """
    # A script that is stopped ends its processes too.
    signal.signal(signal.SIGTERM, _stop)
    with tempfile.TemporaryDirectory(prefix="review-2-") as folder:
        try:
            held = asyncio.run(play(folder))
        except Exception as error:  # noqa: BLE001
            print(f"could not run: {error!r}")
            held = None
    raise SystemExit({True: 0, False: 1, None: 2}[held])
