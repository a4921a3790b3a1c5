"""List the bundles in force and pending, and compare two bundles."""

from dataclasses import dataclass
from typing import Any

from mimosaspur_coordination.rolls import read_head
from mimosaspur_state import keys
from mimosaspur_state.bundle import Bundle
from mimosaspur_state.objects import ObjectStore
from mimosaspur_state.records import Approval
from mimosaspur_state.records import Roll
from mimosaspur_state.records import WrittenBundle

ENTRY_LISTS = ("models", "services")
ADAPTERS = "adapters"
WHOLE_ENTRY = ""


@dataclass(slots=True, frozen=True)
class WaitingBundle:
    """Describe a bundle that was never in force; a superseded one must be written again."""

    name: str
    written_by: str
    approved_by: str
    base_generation: int
    superseded: bool


@dataclass(slots=True, frozen=True)
class BundleStatus:
    """Store the roll in force (None before the first) and the bundles that were never rolled."""

    current: Roll | None
    waiting: list[WaitingBundle]


@dataclass(slots=True, frozen=True)
class Difference:
    """Describe one difference; for a whole entry, field is empty and before or after is None."""

    entry: str
    field: str
    before: Any
    after: Any


def status(store: ObjectStore) -> BundleStatus:
    """Return the roll in force and the bundles that are written or approved but not rolled."""
    head, _ = read_head(store)
    current = head.current if head else None
    rolled = {roll.bundle for roll in (head.current, *head.history)} if head else set()
    approvals = {item.key: item.value for item in store.list(keys.APPROVALS).objects}
    waiting = []
    for item in store.list(keys.BUNDLES).objects:
        written = WrittenBundle.from_value(item.value)
        name = written.bundle.name
        if name in rolled:
            continue
        approval = approvals.get(keys.approval(name))
        waiting.append(
            WaitingBundle(
                name=name,
                written_by=written.operator,
                approved_by=Approval.from_value(approval).operator if approval else "",
                base_generation=written.bundle.base_generation,
                superseded=bool(current and written.bundle.base_generation < current.generation),
            )
        )
    return BundleStatus(current, waiting)


def diff(before: Bundle, after: Bundle) -> list[Difference]:
    """Return the differences between two bundles, entry by entry."""
    old = _entries(before)
    new = _entries(after)
    found: list[Difference] = []
    for entry in sorted({*old, *new}):
        if entry not in old or entry not in new:
            found.append(Difference(entry, WHOLE_ENTRY, old.get(entry), new.get(entry)))
        else:
            found.extend(_changed_fields(entry, old[entry], new[entry]))
    return found


def _entries(bundle: Bundle) -> dict[str, dict[str, Any]]:
    value = bundle.to_value()
    entries: dict[str, dict[str, Any]] = {}
    for kind in ENTRY_LISTS:
        for entry in value[kind]:
            adapters = entry.pop(ADAPTERS, [])
            path = f"{kind.removesuffix('s')} {entry['name']}"
            entries[path] = entry
            for adapter in adapters:
                entries[f"{path} adapter {adapter['name']}"] = adapter
    return entries


def _changed_fields(entry: str, old: dict[str, Any], new: dict[str, Any]) -> list[Difference]:
    return [Difference(entry, name, old[name], new[name]) for name in old if old[name] != new[name]]
