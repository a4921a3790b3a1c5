"""Identify requests that are the same except for their request ID."""

import hashlib

from mimosaspur_state.workspaces import Workspace
from mimosaspur_transport.callerconnection import CallerRequest

DIGEST_BYTES = 16


def request_digest(request: CallerRequest, workspace: Workspace | None) -> bytes:
    """Return a digest of a request's workspace, method, host, target and body.

    Other headers are left out: callers change them from one try to the next.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    name = workspace.name if workspace else ""
    for part in (name.encode(), request.method, request.host.encode("latin-1"), request.target):
        # The length keeps two neighbouring parts from being split elsewhere.
        digest.update(b"%d:" % len(part))
        digest.update(part)
    digest.update(request.body)
    return digest.digest()
