"""Index targets by the names of their residents, regardless of version."""

import threading


class ResidentIndex:
    """Find targets by resident name; thread-safe.

    The result may contain targets that no longer hold the name.
    """

    def __init__(self) -> None:
        self.targets_by_name: dict[str, set[str]] = {}
        self.names_by_target: dict[str, frozenset[str]] = {}
        self.lock = threading.Lock()

    def update(self, target: str, residents: frozenset[str]) -> None:
        """Replace the residents of a target."""
        names = frozenset(resident_name(resident) for resident in residents)
        with self.lock:
            before = self.names_by_target.get(target, frozenset())
            for name in before - names:
                self._discard(name, target)
            for name in names - before:
                self.targets_by_name.setdefault(name, set()).add(target)
            self.names_by_target[target] = names

    def remove(self, target: str) -> None:
        """Remove a target."""
        with self.lock:
            for name in self.names_by_target.pop(target, frozenset()):
                self._discard(name, target)

    def targets_holding(self, name: str) -> set[str]:
        """Return the targets that reported any version of a name."""
        with self.lock:
            return set(self.targets_by_name.get(name, ()))

    def _discard(self, name: str, target: str) -> None:
        targets = self.targets_by_name[name]
        targets.discard(target)
        if not targets:
            del self.targets_by_name[name]


def resident_name(resident: str) -> str:
    """Return a resident's name without its version."""
    return resident.rpartition("@")[0]
