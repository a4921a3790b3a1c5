"""Read a caller's credential and find the workspace that holds it."""

import hashlib
import hmac
import re
from collections.abc import Sequence

from mimosaspur_state.routes import Configuration
from mimosaspur_state.workspaces import Workspace

# An authentication scheme and one token in the alphabet of RFC 6750.
_BEARER = re.compile(rb"[ \t]*bearer +([A-Za-z0-9._~+/-]+=*)[ \t]*", re.IGNORECASE)


def credential_digest(key: bytes) -> bytes:
    """Return what is kept, compared and told of an API key in its place."""
    return hashlib.sha256(key).digest()


def read_bearer(values: Sequence[bytes]) -> bytes | None:
    """Return the digest of the only bearer token in these headers' values, None without one.

    Two credentials are none: whoever reads the other one of them would take the caller for
    somebody else.
    """
    if len(values) != 1:
        return None
    found = _BEARER.fullmatch(values[0])
    return credential_digest(found[1]) if found else None


def find_workspace(configuration: Configuration, digest: bytes | None) -> Workspace | None:
    """Return the workspace that holds a credential now."""
    if digest is None:
        return None
    known, workspace = configuration.by_credential.get(digest, (b"", None))
    return workspace if hmac.compare_digest(known, digest) else None
