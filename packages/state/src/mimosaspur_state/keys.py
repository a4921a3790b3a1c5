"""Name the system's objects in the platform's object API."""

from urllib.parse import quote

HEAD = "head"
BUNDLES = "bundles/"
APPROVALS = "approvals/"
AUDIT = "audit/"
DRAINS = "drains/"
CLAIMS = "claims/"
FENCING = "fencing/"


def segment(name: str) -> str:
    """Encode a name so that it is one segment of a key."""
    return quote(name, safe="")


def bundle(name: str) -> str:
    """Return the key of a written bundle."""
    return BUNDLES + segment(name)


def approval(name: str) -> str:
    """Return the key of a bundle's approval."""
    return APPROVALS + segment(name)


def audit(wall_ms: int, record_id: str) -> str:
    """Return the key of an audit record; keys sort by time."""
    return f"{AUDIT}{wall_ms:015d}-{segment(record_id)}"


def drain(instance: str) -> str:
    """Return the key of an operator's order that an instance leave."""
    return DRAINS + segment(instance)


def claim(idempotency_key: str) -> str:
    """Return the key of the claim on a caller's idempotency key."""
    return CLAIMS + segment(idempotency_key)


def fencing(target: str) -> str:
    """Return the key of a target's fencing counter."""
    return FENCING + segment(target)


def placements(region: str) -> str:
    """Return the prefix of a region's placement records."""
    return f"placement/{segment(region)}/"


def placement(region: str, model: str) -> str:
    """Return the key of one model's placement record in a region."""
    return placements(region) + segment(model)


def statuses(region: str) -> str:
    """Return the prefix of a region's target statuses."""
    return f"status/{segment(region)}/"


def status(region: str, instance: str) -> str:
    """Return the key of one target's status."""
    return statuses(region) + segment(instance)


def demands(region: str) -> str:
    """Return the prefix of a region's demand reports."""
    return f"demand/{segment(region)}/"


def demand(region: str, instance: str) -> str:
    """Return the key of one entry's demand report."""
    return demands(region) + segment(instance)


def planner_lease(region: str) -> str:
    """Return the key of a region's planner lease."""
    return f"planner/{segment(region)}"


def carriers(region: str) -> str:
    """Return the prefix of the records of which targets carry a plain service."""
    return f"carriers/{segment(region)}/"


def carrier(region: str, service: str) -> str:
    """Return the key of one plain service's record in a region."""
    return carriers(region) + segment(service)
