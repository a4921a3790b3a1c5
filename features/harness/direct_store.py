"""Simulate the platform's store over HTTP, with one fault at a time."""

import asyncio
import copy
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import urlsplit

import h11
import msgspec

PAGE_SIZE = 2


@dataclass(slots=True, frozen=True)
class StoreCopy:
    """Hold a copy of a store's contents."""

    objects: dict[str, dict[str, dict[str, Any]]]
    history: list[tuple[int, str, dict[str, Any], bool]]
    revision: int


@dataclass(slots=True)
class StoreStandIn:
    """Hold objects by kind and name; a silent store accepts calls and answers none."""

    objects: dict[str, dict[str, dict[str, Any]]] = field(default_factory=dict)
    history: list[tuple[int, str, dict[str, Any], bool]] = field(default_factory=list)
    revision: int = 1
    silent: bool = False
    status: int = 0
    compacted_revision: int = 0
    calls: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    server: asyncio.Server | None = None
    # Sent in a header of all answers unless None.
    era: str | None = None
    page_size: int = PAGE_SIZE

    def copy(self) -> StoreCopy:
        """Return a copy of the contents for a restore."""
        return copy.deepcopy(StoreCopy(self.objects, self.history, self.revision))

    def restore(self, old: StoreCopy, *, era: str | None) -> None:
        """Restore a copy, under another era."""
        old = copy.deepcopy(old)
        self.objects, self.history, self.revision = old.objects, old.history, old.revision
        self.era = era
        self.changed.set()
        self.changed = asyncio.Event()

    async def start(self) -> tuple[str, int]:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        return host, port

    def put(self, kind: str, name: str, specification: object) -> dict[str, Any]:
        """Write an object."""
        self.revision += 1
        metadata = {"name": name, "revision": self.revision, "finalizers": [], "deleting": False}
        stored = {"metadata": metadata, "specification": specification, "status": None}
        self.objects.setdefault(kind, {})[name] = stored
        self._record_change(kind, stored, deleted=False)
        return stored

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.revision += 1
        self._record_change(kind, self.objects[kind].pop(name), deleted=True)

    def expire(self, kind: str, name: str) -> dict[str, Any]:
        """Remove an object without an event, as while the store is unreachable."""
        return self.objects[kind].pop(name)

    def compact_history(self) -> None:
        """Drop the history, so that older revisions can't be watched."""
        self.history.clear()
        self.compacted_revision = self.revision

    def _record_change(self, kind: str, stored: dict[str, Any], *, deleted: bool) -> None:
        self.history.append((self.revision, kind, stored, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        codec = h11.Connection(h11.SERVER)
        try:
            while (call := await _read_call(codec, reader)) is not None:
                self.calls += 1
                if self.silent:
                    await asyncio.sleep(60)
                status, answer = await self._answer(*call)
                body = msgspec.json.encode(answer)
                headers = [("Content-Length", str(len(body)))]
                if self.era is not None:
                    headers.append(("Store-Era", self.era))
                writer.write(codec.send(h11.Response(status_code=status, headers=headers)) or b"")
                writer.write(codec.send(h11.Data(data=body)) or b"")
                writer.write(codec.send(h11.EndOfMessage()) or b"")
                codec.start_next_cycle()
        except (OSError, h11.ProtocolError):
            pass
        finally:
            writer.close()

    async def _answer(self, method: str, target: str, body: bytes) -> tuple[int, object]:
        if self.status:
            return self.status, None
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix("/api/objects/").partition("/")
        if method in ("POST", "PUT"):
            return self._write(kind, name, msgspec.json.decode(body))
        if "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query["wait_ms"]))
        if name:
            stored = self.objects.get(kind, {}).get(name)
            return (200, stored) if stored else (404, None)
        return 200, self._list(kind, query.get("after", ""))

    def _write(self, kind: str, name: str, call: dict[str, Any]) -> tuple[int, object]:
        name = name or call["metadata"]["name"]
        known = self.objects.get(kind, {}).get(name)
        wanted = call["metadata"].get("revision")
        if known and known["metadata"]["revision"] != wanted:
            return 409, known
        if wanted and not known:
            return 404, None
        return 200, self.put(kind, name, call["specification"])

    def _list(self, kind: str, after: str) -> dict[str, Any]:
        names = sorted(name for name in self.objects.get(kind, {}) if name > after)
        items = [self.objects[kind][name] for name in names[: self.page_size]]
        return {"items": items, "has_more": len(names) > self.page_size, "at": self.revision}

    async def _watch(self, kind: str, since: int, wait_ms: int) -> tuple[int, object]:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_ms / 1000
        while True:
            if since < self.compacted_revision or since > self.revision:
                return 410, None
            events = [
                {"object": stored, "deleted": deleted}
                for revision, of, stored, deleted in self.history
                if of == kind and revision > since
            ]
            if events or loop.time() >= end_s:
                return 200, {"events": events, "at": self.revision}
            try:
                async with asyncio.timeout_at(end_s):
                    await self.changed.wait()
            except TimeoutError:
                continue


async def _read_call(
    codec: h11.Connection, reader: asyncio.StreamReader
) -> tuple[str, str, bytes] | None:
    head: h11.Request | None = None
    body = b""
    while True:
        event = codec.next_event()
        if event is h11.NEED_DATA:
            codec.receive_data(await reader.read(65_536))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage) and head:
            return head.method.decode(), head.target.decode(), body
        else:
            return None
