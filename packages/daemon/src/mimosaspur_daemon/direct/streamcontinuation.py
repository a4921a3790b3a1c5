"""Keep one request's stream at the software version that began it."""

from mimosaspur_coordination.streams.lookup import VersionSource
from mimosaspur_coordination.streams.streamrecords import StreamRecord
from mimosaspur_coordination.streams.streamrecords import stream_key
from mimosaspur_daemon.direct.refusal import RequestFailed
from mimosaspur_daemon.direct.streamversions import StreamVersions
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.routes import Route
from mimosaspur_state.routes import RouteKind
from mimosaspur_transport.dialect import Dialect
from mimosaspur_transport.dialect import Headers
from mimosaspur_transport.dialect import header
from mimosaspur_transport.dialect import header_values

# A longer ID of a request is not one that a caller was answered under.
MAX_ID_BYTES = 256


class StreamContinuation:
    """Track the version that a stream must go on at, and tell other entries of it."""

    __slots__ = (
        "announced",
        "is_agreed",
        "is_resumption",
        "key",
        "resumable",
        "service",
        "version",
        "versions",
    )

    def __init__(
        self,
        versions: StreamVersions,
        headers: Headers,
        dialect: Dialect,
        *,
        route: Route,
        service: str,
    ) -> None:
        """Read a request's headers; raise RequestFailed if they are invalid."""
        self.versions = versions
        self.service = service
        is_stream = route.kind is RouteKind.STREAM
        # Whether a caller may take the stream up.
        self.resumable = is_stream and route.resumable
        # Whether a caller takes one up.
        self.is_resumption = is_stream and _single(headers, dialect.last_event_id) is not None
        name = dialect.resumes if self.is_resumption else dialect.request_id
        root = _single(headers, name) if self.is_resumption else header(headers, name)
        # None if the request has no ID, so that nobody can name it.
        self.key = stream_key(service, root.decode("latin-1")) if root else None
        # The version that it has to go on at; None while any will do.
        self.version: str | None = None
        # What was last announced.
        self.announced: StreamRecord | None = None
        # Whether no entry can know an earlier version than that.
        self.is_agreed = True

    async def resolve(self, *, until_s: float) -> VersionSource | None:
        """Find a resumed stream's version and return how it is known, None if it is unknown.

        Other entries are asked until `until_s` of the event loop at most.
        """
        key = self.key or b""
        return self._apply(await self.versions.find(key, service=self.service, until_s=until_s))

    def asks_others(self) -> bool:
        """Return whether other entries are asked for a resumed stream's version."""
        return self.versions.asks_others(self.key or b"", service=self.service)

    def resolve_here(self) -> VersionSource | None:
        """Do what `resolve` does without asking other entries."""
        return self._apply(self.versions.find_here(self.key or b"", service=self.service))

    def _apply(self, found: tuple[str, VersionSource] | None) -> VersionSource | None:
        if found is None:
            return None
        self.version, source = found
        return source

    def allows(self, version: str) -> bool:
        """Return whether the stream may begin or go on at a version."""
        if self.version is not None:
            return version == self.version
        if not self.resumable:
            return True
        return self.versions.history.may_begin(self.service, version)

    async def before_send(self, version: str) -> bool:
        """Announce the version of the next attempt; return whether it may be sent.

        It may not if another entry may know that an earlier attempt, at another version, was to
        begin the stream.
        """
        if self.key is None or not self.resumable:
            return True
        changed = self.announced is not None and self.announced.version != version
        number = (self.announced.change if self.announced else 0) + changed
        self.announced = StreamRecord(version, number)
        # Until the witnesses know of a change, each further attempt at that version waits for them.
        is_change = changed or not self.is_agreed
        self.is_agreed = not is_change
        self.is_agreed = await self.versions.announce(
            self.key, self.announced, service=self.service, is_change=is_change
        )
        return self.is_agreed

    def on_event(self, version: str) -> None:
        """Record that an event of a version was passed on."""
        self.version = version


def _single(headers: Headers, name: bytes) -> bytes | None:
    """Return a header's only value, None without one; raise RequestFailed if it is invalid."""
    values = header_values(headers, name)
    if not values:
        return None
    if len(values) > 1 or not values[0].strip() or len(values[0]) > MAX_ID_BYTES:
        raise RequestFailed(ResultCode.BAD_HEADER, detail=f"{name.decode()} needs one value")
    return values[0].strip()
