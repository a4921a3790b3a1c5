"""Check before a roll that a bundle fits and can be rolled with every model still served."""

from collections.abc import Iterable

from mimosaspur_coordination.dryrun import DryRun
from mimosaspur_coordination.packing import Bin
from mimosaspur_coordination.packing import Need
from mimosaspur_coordination.packing import largest_first
from mimosaspur_coordination.packing import pack
from mimosaspur_coordination.view import DEFAULT_MAX_CONCURRENT_LOADS
from mimosaspur_state.bundle import Bundle
from mimosaspur_state.bundle import ModelEntry
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import MimosaspurError
from mimosaspur_state.records import TargetStatus
from mimosaspur_state.settings import TargetKind

DRY_RUN_CONCURRENT_LOADS = (DEFAULT_MAX_CONCURRENT_LOADS, 2, 1)
"""Numbers of concurrent loads to simulate: the order of completion affects the free memory."""

NO_MIGRATION_ROOM = "there is no room beside the bundle in force, even with one other model moved"


class Packing:
    """Track which target holds each model, and the free memory."""

    def __init__(self, bins: list[Bin]) -> None:
        self.bins = bins
        self.placements: dict[str, tuple[Need, Bin]] = {}

    def add(self, need: Need) -> bool:
        """Place a need on the first target with room; return False if there is none."""
        for room in self.bins:
            if room.allows(need) and room.reserve(need):
                self.placements[need.model] = (need, room)
                return True
        return False

    def remove(self, model: str) -> None:
        """Release a model's memory."""
        need, room = self.placements.pop(model)
        room.release(need)

    def replace(self, need: Need) -> bool:
        """Place the new version of a model beside the old one, then remove the old one."""
        old = self.placements.pop(need.model, None)
        if not self.add(need) and not self._add_by_move(need):
            return False
        if old:
            old[1].release(old[0])
        return True

    def add_adapters(self, extra: Need, grown: Need) -> bool:
        """Add adapters in place, or else replace the model; then release the old memory."""
        need, room = self.placements[extra.model]
        if not room.reserve(extra):
            # There is no room in place, so a complete replica replaces it elsewhere.
            return self.replace(grown)
        room.release(need)
        room.release(extra)
        room.force_reserve(grown)
        self.placements[extra.model] = (grown, room)
        return True

    def _add_by_move(self, need: Need) -> bool:
        for model in list(self.placements):
            moved, origin = self.placements[model]
            if not origin.allows(need):
                continue
            for room in self.bins:
                if room is origin or not room.allows(moved) or not room.fits(moved):
                    continue
                trial = origin.copy()
                trial.release(moved)
                if trial.reserve(need):
                    room.reserve(moved)
                    origin.free_mb = trial.free_mb
                    self.placements[model] = (moved, room)
                    self.placements[need.model] = (need, origin)
                    return True
        return False


def check_fit(bundle: Bundle, in_force: Bundle | None, targets: list[TargetStatus]) -> None:
    """Raise BUNDLE_DOES_NOT_FIT if memory is short, or too short for make-before-break."""
    bins = _bins(targets)
    lacking = pack(bins, _needs(bundle.models))
    if lacking:
        raise _fit_error(lacking, bins, "the models together exceed the memory of all targets")
    if in_force is None:
        return
    if any(status.residents for status in targets):
        # Reported statuses are more accurate than a packing of the bundle in force.
        for max_loads in DRY_RUN_CONCURRENT_LOADS:
            stuck = DryRun(bundle, in_force, targets, max_concurrent_loads=max_loads).find_unready()
            if stuck:
                raise _fit_error(Need.of(stuck), _bins(targets, free=True), NO_MIGRATION_ROOM)
        return
    packing = Packing(_bins(targets))
    for need in largest_first(_needs(in_force.models)):
        # A model that doesn't fit now isn't loaded, so its old version needs no memory.
        packing.add(need)
    _check_transition(packing, bundle, in_force)


def _check_transition(packing: Packing, bundle: Bundle, in_force: Bundle) -> None:
    old = {model.name: model for model in in_force.models}
    new = {model.name: model for model in bundle.models}
    for name in old.keys() - new.keys():
        if name in packing.placements:
            packing.remove(name)
    grown = [
        model
        for model in new.values()
        if _only_adapters_change(old.get(model.name), model, packing)
    ]
    for model in grown:
        extra = _added_adapters(old[model.name], model)
        if extra and not packing.add_adapters(extra, Need.of(model)):
            raise _fit_error(extra, packing.bins, NO_MIGRATION_ROOM)
    for need in _fitting_first(packing, [model for model in new.values() if model not in grown]):
        if not packing.replace(need):
            raise _fit_error(need, packing.bins, NO_MIGRATION_ROOM)


def _fitting_first(packing: Packing, changed: list[ModelEntry]) -> Iterable[Need]:
    """Yield needs that fit now first: each change may free memory for the next."""
    waiting = list(largest_first(_needs(changed)))
    while waiting:
        fitting = (
            need
            for need in waiting
            if any(room.allows(need) and room.fits(need) for room in packing.bins)
        )
        need = next(fitting, waiting[0])
        waiting.remove(need)
        yield need


def _only_adapters_change(old: ModelEntry | None, new: ModelEntry, packing: Packing) -> bool:
    """Return whether a placed model keeps its version, so that at most its adapters change."""
    return old is not None and old.version == new.version and new.name in packing.placements


def _added_adapters(old: ModelEntry, new: ModelEntry) -> Need | None:
    present = {adapter.resident_id() for adapter in old.adapters}
    added = [item.memory_mb for item in new.adapters if item.resident_id() not in present]
    return Need(new.name, sum(added), new.accelerators, new.domains) if added else None


def _needs(models: Iterable[ModelEntry]) -> list[Need]:
    return [Need.of(model) for model in models]


def _bins(targets: list[TargetStatus], *, free: bool = False) -> list[Bin]:
    engines = [status for status in targets if status.kind == TargetKind.ENGINE.value]
    engines.sort(key=lambda status: status.instance)
    return [
        Bin(
            status.instance,
            status.failure_domain,
            status.capacity_mb,
            list(status.free_mb if free else status.capacity_mb),
        )
        for status in engines
    ]


def _fit_error(need: Need, bins: list[Bin], why: str) -> MimosaspurError:
    allowed = [room for room in bins if room.allows(need)]
    free = [sorted(room.free_mb, reverse=True)[: need.accelerators] for room in allowed]
    best = max((room for room in free if len(room) == need.accelerators), key=min, default=[0])
    missing_mb = max(0, need.memory_mb - min(best))
    detail = (
        f"{need.model!r} needs {need.memory_mb} MB on each of {need.accelerators} accelerators"
        f" of one target; at least {missing_mb} MB on each are missing: {why}."
    )
    return MimosaspurError(ResultCode.BUNDLE_DOES_NOT_FIT, detail)
