"""Simulate the memory of a target."""

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from mimosaspur_coordination.packing import Need
from mimosaspur_state.records import TargetStatus


def target_status(
    name: str, capacity_mb: tuple[int, ...], *, domain: str = "d1", kind: str = "engine"
) -> TargetStatus:
    """Return an idle target's status."""
    return TargetStatus(
        instance=name,
        incarnation="1",
        kind=kind,
        service="",
        failure_domain=domain,
        address="",
        capacity_mb=capacity_mb,
        free_mb=capacity_mb,
        residents=(),
        draining=False,
        active=0,
        queued=0,
        slots=4,
        beat=1,
    )


@dataclass(slots=True)
class SimulatedTarget:
    """Track what a simulated target has loaded, and on which accelerators."""

    name: str
    domain: str
    capacity_mb: tuple[int, ...]
    loaded: dict[tuple[str, str], tuple[Need, tuple[int, ...]]] = field(default_factory=dict)
    adapters: dict[tuple[str, str], dict[str, int]] = field(default_factory=dict)

    def free_mb(self) -> list[int]:
        """Return the free memory on each accelerator."""
        free = list(self.capacity_mb)
        for need, chosen in self.loaded.values():
            for index in chosen:
                free[index] -= need.memory_mb
        return free

    def layout(self) -> dict[str, tuple[int, ...]]:
        """Return the accelerators of each resident."""
        return {f"{model}@{version}": held[1] for (model, version), held in self.loaded.items()}

    def held_mb(self) -> dict[str, int]:
        """Return the memory of each resident on each of its accelerators."""
        return {f"{m}@{version}": held[0].memory_mb for (m, version), held in self.loaded.items()}

    def unload(self, key: tuple[str, str]) -> None:
        """Unload a model with its adapters."""
        del self.loaded[key]
        self.adapters.pop(key, None)

    def load_adapter(self, key: tuple[str, str], name: str, memory_mb: int) -> bool:
        """Load an adapter where its base is; return False if there is no room."""
        need, chosen = self.loaded[key]
        if any(self.free_mb()[index] < memory_mb for index in chosen):
            return False
        self.adapters[key][name] = memory_mb
        self.loaded[key] = (replace(need, memory_mb=need.memory_mb + memory_mb), chosen)
        return True

    def unload_adapter(self, key: tuple[str, str], name: str) -> None:
        """Unload an adapter."""
        need, chosen = self.loaded[key]
        memory_mb = self.adapters[key].pop(name)
        self.loaded[key] = (replace(need, memory_mb=need.memory_mb - memory_mb), chosen)

    def status(self) -> TargetStatus:
        """Return the status that the target reports."""
        status = target_status(self.name, self.capacity_mb, domain=self.domain)
        models = [f"{model}@{version}" for model, version in self.loaded]
        residents = (*models, *(name for on in self.adapters.values() for name in on))
        free = tuple(self.free_mb())
        return TargetStatus(
            **{
                **{name: getattr(status, name) for name in status.__struct_fields__},
                "free_mb": free,
                "residents": residents,
                "layout": self.layout(),
                "held_mb": self.held_mb(),
            }
        )


def can_pack(free_mb: list[int], needs: list[Need]) -> bool:
    """Return whether the needs fit on the accelerators, by exhaustive search."""
    if not needs:
        return True
    return any(
        can_pack(left, needs[1:])
        for left in _placements(free_mb, needs[0], needs[0].accelerators, 0)
    )


def _placements(free_mb: list[int], need: Need, count: int, start: int) -> list[list[int]]:
    if count == 0:
        return [free_mb]
    found = []
    for index in range(start, len(free_mb)):
        if free_mb[index] >= need.memory_mb:
            left = [*free_mb]
            left[index] -= need.memory_mb
            found += _placements(left, need, count - 1, index + 1)
    return found
