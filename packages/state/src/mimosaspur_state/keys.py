"""Build the keys of the system's objects in the platform's object API."""

from urllib.parse import quote

HEAD = "head"
BUNDLES = "bundles/"
APPROVALS = "approvals/"
AUDIT = "audit/"
DRAINS = "drains/"
CLAIMS = "claims/"
FENCING = "fencing/"


def encode_segment(name: str) -> str:
    """Percent-encode a name into one segment of a key."""
    return quote(name, safe="")


def bundle(name: str) -> str:
    """Return the key of a stored bundle."""
    return BUNDLES + encode_segment(name)


def approval(name: str) -> str:
    """Return the key of a bundle's approval."""
    return APPROVALS + encode_segment(name)


def audit(wall_ms: int, record_id: str) -> str:
    """Return the key of an audit record; keys sort by time."""
    return f"{AUDIT}{wall_ms:015d}-{encode_segment(record_id)}"


def drain(instance: str) -> str:
    """Return the key of an operator's drain order for an instance."""
    return DRAINS + encode_segment(instance)


def claim(idempotency_key: str) -> str:
    """Return the key of the claim on a caller's idempotency key."""
    return CLAIMS + encode_segment(idempotency_key)


def fencing(target: str) -> str:
    """Return the key of a target's fencing counter."""
    return FENCING + encode_segment(target)


def placements(region: str) -> str:
    """Return the prefix of a region's placement records."""
    return f"placement/{encode_segment(region)}/"


def placement(region: str, model: str) -> str:
    """Return the key of one model's placement record in a region."""
    return placements(region) + encode_segment(model)


def statuses(region: str) -> str:
    """Return the prefix of a region's target statuses."""
    return f"status/{encode_segment(region)}/"


def status(region: str, instance: str) -> str:
    """Return the key of one target's status."""
    return statuses(region) + encode_segment(instance)


def demands(region: str) -> str:
    """Return the prefix of a region's demand reports."""
    return f"demand/{encode_segment(region)}/"


def demand(region: str, instance: str) -> str:
    """Return the key of one entry's demand report."""
    return demands(region) + encode_segment(instance)


def planner_lease(region: str) -> str:
    """Return the key of a region's planner lease."""
    return f"planner/{encode_segment(region)}"


def service_registrations(region: str) -> str:
    """Return the prefix of a region's registrations of targets for plain services."""
    return f"carriers/{encode_segment(region)}/"


def service_registration(region: str, service: str) -> str:
    """Return the key of one plain service's registrations in a region."""
    return service_registrations(region) + encode_segment(service)
