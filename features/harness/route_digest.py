"""Compute the digest of the request that an entry in the test process is sent."""

from harness.direct_entry import HOST
from mimosaspur_daemon.direct.requestdigest import request_digest
from mimosaspur_transport.callerconnection import CallerRequest


def route_digest(route: str) -> bytes:
    """Return the digest of a route's request without a workspace."""
    headers = [(b"Host", HOST.encode())]
    request = CallerRequest(b"POST", f"/{route}/x".encode(), headers, b"{}", 0.0)
    return request_digest(request, None)
