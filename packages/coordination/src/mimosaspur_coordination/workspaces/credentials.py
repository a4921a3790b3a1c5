"""Parse a caller's credential and find its workspace."""

import hashlib
import hmac
import re
from collections.abc import Sequence

from mimosaspur_state.routes import Configuration
from mimosaspur_state.workspaces import Workspace

# An authentication scheme and one token in the alphabet of RFC 6750.
_BEARER = re.compile(rb"[ \t]*bearer +([A-Za-z0-9._~+/-]+=*)[ \t]*", re.IGNORECASE)


def credential_digest(key: bytes) -> bytes:
    """Return the digest that is stored, compared and sent instead of an API key."""
    return hashlib.sha256(key).digest()


def read_bearer(values: Sequence[bytes]) -> bytes | None:
    """Return the digest of the only bearer token in these header values, None without one.

    Several values are rejected, because another component may use a different one of them.
    """
    if len(values) != 1:
        return None
    match = _BEARER.fullmatch(values[0])
    return credential_digest(match[1]) if match else None


def find_workspace(configuration: Configuration, digest: bytes | None) -> Workspace | None:
    """Return the workspace with this credential in the configuration."""
    if digest is None:
        return None
    stored, workspace = configuration.by_credential.get(digest, (b"", None))
    return workspace if hmac.compare_digest(stored, digest) else None
