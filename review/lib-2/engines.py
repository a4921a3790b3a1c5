"""Stand-ins for model servers that hold models as they are ordered to, and stream answers."""

import asyncio
import json
import time

from small_site_2 import Closed, get, read_body, read_head, registration, server_ip


class Engine:
    """One model server: it holds three models, and takes one order at a time."""

    def __init__(self, number, models, store, record, *, load_s=0.4, unload_s=0.03):
        self.number = number
        self.models = list(models)
        self.store = store
        self.record = record
        self.load_s, self.unload_s = load_s, unload_s
        self.name = f"i-llm{number}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.busy_until = 0.0
        # Of each order that was taken: time, holder, generation number.
        self.orders = []
        self.runs = []
        self.servers = []

    async def start(self):
        server = await asyncio.start_server(
            self._serve, server_ip(10 + self.number), 0, limit=1 << 18
        )
        self.address = server.sockets[0].getsockname()[:2]
        self.servers.append(server)
        self.register()

    def register(self):
        fields = registration("llm", self.address, f"z{self.number % 3}", self.born)
        held = [{"name": name, "version": 1, "adapters": []} for name in self.models]
        self.store.put(
            "servers", self.name, fields | {"slots": 64, "models": held, "sequence": self.sequence}
        )

    async def _serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                _, target, _ = line.split(" ", 2)
                if target == "/api/report":
                    self._answer(writer, 200, self._report())
                elif target == "/api/order":
                    self._answer(writer, self._order(headers, json.loads(body)), {})
                elif target.startswith("/api/"):
                    self._answer(writer, 404, {})
                else:
                    await self._run(headers, writer)
                await writer.drain()
        except (Closed, OSError):
            pass
        finally:
            writer.close()

    def _answer(self, writer, status, fields):
        data = json.dumps(fields).encode()
        head = (
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        )
        writer.write(head.encode() + data)

    def _report(self):
        held = [{"name": name, "version": 1, "adapters": []} for name in self.models]
        return {
            "stage": "both",
            "models": held,
            "busy": time.monotonic() < self.busy_until,
            "sequence": self.sequence,
            "waiting": 0,
            "running": 0,
            "kv_used": 0,
            "kv_total": 143666,
            "handles": 0,
            "born": self.born,
            "at_hand": {"in_memory": [], "on_disk": []},
        }

    def _order(self, headers, order):
        holder, token = order.get("holder"), order.get("fencing_token")
        if get(headers, "x-expected-instance", self.name) != self.name:
            return 421
        if holder is None or token is None or order["operation"] not in ("load", "unload"):
            return 400
        status = 202
        if (
            time.monotonic() < self.busy_until
            or order.get("expected", self.sequence) != self.sequence
        ):
            status = 409
        elif (order["model"] in self.models) == (order["operation"] == "load"):
            status = 200
        self.orders.append((self.record.now(), holder, token))
        self.record.write(
            f"{self.name}: {order['operation']} {order['model']} of {holder}, {token}: {status}"
        )
        if status == 202:
            self.sequence += 1
            self._carry_out(order["operation"], order["model"])
        return status

    def _carry_out(self, operation, model):
        loop = asyncio.get_running_loop()
        takes_s = self.load_s if operation == "load" else self.unload_s
        self.busy_until = time.monotonic() + takes_s
        if operation == "unload":
            self.models.remove(model)
        else:
            loop.call_later(takes_s, self.models.append, model)
        loop.call_later(takes_s + 0.01, self.register)

    async def _run(self, headers, writer):
        name, model = get(headers, "x-attempt-id"), get(headers, "x-model", "").partition("/")[0]
        if get(headers, "x-expected-instance") != self.name or model not in self.models:
            writer.write(
                f"HTTP/1.1 421 X\r\nX-Attempt-Id: {name}\r\nX-Instance-Id: {self.name}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return
        self.runs.append(name)
        writer.write(
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {name}\r\nX-Response-Signature: s.{name}\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(1, 4):
            event = f"id: {number}\ndata: {name} {number}\n\n".encode()
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write(b"0\r\n\r\n")
