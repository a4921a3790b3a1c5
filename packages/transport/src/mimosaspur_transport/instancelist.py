"""Read the platform's instance list."""

import msgspec

from mimosaspur_state.clock import Clock
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.instances import Instance
from mimosaspur_transport.jsonhttp import JsonHttpClient

OK = 200
LEAVING_STATE = "leaving"


class _ListedInstance(msgspec.Struct, frozen=True):
    name: str
    role: str
    address: str
    region: str
    failure_domain: str
    state: str

    def to_instance(self) -> Instance:
        return Instance(
            name=self.name,
            role=self.role,
            address=self.address,
            region=self.region,
            failure_domain=self.failure_domain,
            leaving=self.state == LEAVING_STATE,
        )


class _Listing(msgspec.Struct, frozen=True):
    instances: list[_ListedInstance]


class InstanceListClient:
    """Fetch the platform's instance list, with a timeout on each call."""

    __slots__ = ("http", "size_bytes")

    def __init__(self, address: str, *, caller: str, timeout_ms: int, clock: Clock) -> None:
        self.http = JsonHttpClient(address, caller=caller, timeout_ms=timeout_ms, clock=clock)
        # Size of the last response.
        self.size_bytes = 0

    def instances(self) -> list[Instance]:
        """Return the listed instances, possibly stale; raise StoreUnavailable."""
        reply = self.http.call("GET", "/instances")
        if reply.status != OK:
            raise StoreUnavailable(f"the instance list responded with status {reply.status}")
        self.size_bytes = reply.size_bytes
        try:
            listing = msgspec.convert(reply.value, _Listing)
        except msgspec.ValidationError as error:
            raise StoreUnavailable(f"the instance list can't be decoded: {error}") from error
        return [listed.to_instance() for listed in listing.instances]
