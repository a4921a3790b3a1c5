"""Configure workspaces at an entry, and send it raw requests."""

from collections.abc import Mapping
from dataclasses import replace

from harness.direct_entry import HOST
from harness.direct_entry import DirectEntry
from harness.direct_entry import ReceivedResponse
from harness.direct_entry import configuration
from harness.direct_entry import read_response
from harness.direct_target import ScriptedTarget
from mimosaspur_coordination.workspaces.credentials import credential_digest
from mimosaspur_state.routes import Configuration
from mimosaspur_state.workspaces import Quota
from mimosaspur_state.workspaces import Workspace

Keys = Mapping[str, tuple[str, ...]]

KEYS: Keys = {"north": ("n-1", "n-2"), "south": ("s-1",)}
UNKNOWN_KEY = "never-in-force"


def workspace(name: str, keys: tuple[str, ...], **fields: object) -> Workspace:
    """Return a workspace with these keys."""
    digests = frozenset(credential_digest(key.encode()) for key in keys)
    return replace(Workspace(name, digests), **fields)  # type: ignore[arg-type]


def with_workspaces(keys: Keys, *, version: int = 1, public: bool = False) -> Configuration:
    """Return a configuration with these workspaces."""
    base = configuration()
    routes = tuple(replace(route, public=public) for route in base.routes)
    workspaces = tuple(workspace(name, credentials) for name, credentials in keys.items())
    return replace(base, version=version, routes=routes, workspaces=workspaces)


class WorkspaceEntry(DirectEntry):
    """An entry that serves workspaces with one healthy target."""

    def __init__(self, *, public: bool = False, quota: Quota | None = None) -> None:
        super().__init__()
        self.target = ScriptedTarget("first")
        current = with_workspaces(KEYS, version=2, public=public)
        if quota:
            limited = tuple(replace(each, quota=quota) for each in current.workspaces or ())
            current = replace(current, workspaces=limited)
        self.state.apply_configuration(current, source="test")
        self.confirm(age_ms=0)

    def confirm(self, *, age_ms: int) -> None:
        """Set the age of the configuration's last confirmation."""
        self.state.freshness.confirm("configuration", age_ms=age_ms)

    async def begin(self) -> None:
        """Start the target and the entry."""
        await self.start(self.target)

    async def send(
        self, lines: list[str], body: bytes = b"", *, chunked: bool = False
    ) -> ReceivedResponse:
        """Send a request with these header lines on a new connection."""
        reader, writer = await self.connect()
        writer.write(raw_request(lines, body, chunked=chunked))
        try:
            return await read_response(reader)
        finally:
            writer.close()


def raw_request(lines: list[str], body: bytes = b"", *, chunked: bool = False) -> bytes:
    """Return the bytes of a request to the idempotent route."""
    framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {len(body)}"
    head = ["POST /safe/x HTTP/1.1", f"Host: {HOST}", "X-Request-Id: r-1", framing, *lines]
    return "\r\n".join([*head, "", ""]).encode() + body
