"""Call the platform's object API."""

from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from mimosaspur_coordination.buckets import TokenBucket
from mimosaspur_state.clock import Clock
from mimosaspur_state.clock import Deadline
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import MimosaspurError
from mimosaspur_state.errors import RevisionTooOld
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.errors import VersionConflict
from mimosaspur_state.objects import ABSENT
from mimosaspur_state.objects import Snapshot
from mimosaspur_state.objects import StoredObject
from mimosaspur_transport.jsonhttp import JsonHttpClient
from mimosaspur_transport.jsonhttp import JsonResponse

ReadT = TypeVar("ReadT")

PAGE_OBJECT_COUNT = 200
OK = 200
NOT_FOUND = 404
GONE = 410
PRECONDITION_FAILED = 412


class _Page(msgspec.Struct, frozen=True):
    revision: int
    objects: list[StoredObject]
    more: bool


class _Changes(msgspec.Struct, frozen=True):
    revision: int
    events: list[StoredObject]


class _Version(msgspec.Struct, frozen=True):
    version: int


class HttpObjectStore:
    """Call the object API within a rate limit, with a timeout on each call."""

    __slots__ = ("clock", "http", "read_bucket", "timeout_ms", "write_bucket")

    def __init__(
        self,
        address: str,
        *,
        caller: str,
        timeout_ms: int,
        clock: Clock,
        reads_per_second: float,
        writes_per_second: float,
    ) -> None:
        self.http = JsonHttpClient(address, caller=caller, timeout_ms=timeout_ms, clock=clock)
        self.timeout_ms = timeout_ms
        self.clock = clock
        self.read_bucket = TokenBucket(reads_per_second, clock=clock)
        self.write_bucket = TokenBucket(writes_per_second, clock=clock)

    def get(self, key: str) -> StoredObject | None:
        """Return the object, or None if it is absent."""
        self._acquire_token(self.read_bucket)
        reply = self.http.call("GET", _object_path(key))
        if reply.status == NOT_FOUND:
            return None
        return _decode_reply(reply, StoredObject)

    def list(self, prefix: str) -> Snapshot:
        """Return all objects whose key starts with the prefix, fetched in pages."""
        objects: list[StoredObject] = []
        first: int | None = None
        more = True
        while more:
            after = objects[-1].key if objects else ""
            page = self._fetch_page(prefix, after)
            objects.extend(page.objects)
            more = page.more and bool(page.objects)
            # The pages differ in age; only the first revision is valid for all of them.
            first = page.revision if first is None else first
        return Snapshot(first or 0, objects)

    def page(self, prefix: str, *, after: str, limit: int) -> Snapshot:
        """Return the first objects after a key, in key order; none at the end."""
        found = self._fetch_page(prefix, after, limit)
        return Snapshot(found.revision, found.objects)

    def create(self, key: str, value: object) -> int:
        """Create the object and return its version; raise VersionConflict if it exists."""
        return self._put(key, value, {"If-None-Match": "*"})

    def update(self, key: str, value: object, version: int) -> int:
        """Replace the object; raise VersionConflict unless it has this version."""
        return self._put(key, value, _if_match(version))

    def delete(self, key: str, version: int) -> None:
        """Delete the object; raise VersionConflict unless it has this version."""
        self._acquire_token(self.write_bucket)
        reply = self.http.call("DELETE", _object_path(key), headers=_if_match(version))
        if reply.status == NOT_FOUND:
            raise VersionConflict(key, ABSENT)
        self._decode_version(key, reply)

    def watch(self, prefixes: tuple[str, ...], since: int, wait_ms: int) -> Snapshot:
        """Return the changes after a revision, empty after wait_ms; may raise RevisionTooOld."""
        self._acquire_token(self.read_bucket)
        pairs = [("prefix", prefix) for prefix in prefixes]
        query = urlencode([*pairs, ("since", str(since)), ("wait_ms", str(wait_ms))])
        reply = self.http.call("GET", f"/watch?{query}", extra_ms=wait_ms)
        if reply.status == GONE:
            raise RevisionTooOld(f"revision {since} is too old")
        changes = _decode_reply(reply, _Changes)
        return Snapshot(changes.revision, changes.events)

    def _fetch_page(self, prefix: str, after: str, limit: int = PAGE_OBJECT_COUNT) -> _Page:
        self._acquire_token(self.read_bucket)
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        return _decode_reply(self.http.call("GET", f"/objects?{query}"), _Page)

    def _put(self, key: str, value: object, condition: dict[str, str]) -> int:
        self._acquire_token(self.write_bucket)
        headers = {**condition, "Content-Type": "application/json"}
        return self._decode_version(
            key, self.http.call("PUT", _object_path(key), headers=headers, value=value)
        )

    def _decode_version(self, key: str, reply: JsonResponse) -> int:
        version = _decode_reply(reply, _Version, also=PRECONDITION_FAILED).version
        if reply.status == PRECONDITION_FAILED:
            raise VersionConflict(key, version)
        return version

    def _acquire_token(self, bucket: TokenBucket) -> None:
        if not bucket.acquire(Deadline(self.clock, self.timeout_ms)):
            raise StoreUnavailable("object API rate limit exhausted; the request was not sent")


def _object_path(key: str) -> str:
    return f"/objects/{key}"


def _if_match(version: int) -> dict[str, str]:
    return {"If-Match": f'"{version}"'}


def _decode_reply(reply: JsonResponse, kind: type[ReadT], *, also: int = OK) -> ReadT:
    if reply.status not in (OK, also):
        detail = f"The object API rejected the call with status {reply.status}: {reply.value}."
        raise MimosaspurError(ResultCode.INTERNAL, detail)
    try:
        return msgspec.convert(reply.value, kind)
    except msgspec.ValidationError as error:
        raise StoreUnavailable(f"the object API's response can't be decoded: {error}") from error
