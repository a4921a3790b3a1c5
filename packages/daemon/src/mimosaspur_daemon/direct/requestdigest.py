"""Tell what identifies a request except for its request ID."""

import hashlib

from mimosaspur_coordination.fleetview import Prompt
from mimosaspur_coordination.quarantine.traits import RequestTraits
from mimosaspur_coordination.quarantine.traits import part_traits
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


def request_traits(
    request: CallerRequest, workspace: Workspace | None, prompt: Prompt
) -> RequestTraits:
    """Return what a request may have in common with others: its digest and its prompt's parts.

    The last part is left out: it belongs to the request itself.
    """
    parts = part_traits(identity for identity, _ in prompt.parts[:-1])
    return RequestTraits(request_digest(request, workspace), parts)
