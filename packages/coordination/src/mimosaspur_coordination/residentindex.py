"""Index which targets said that they hold a version of a name."""

import threading


class ResidentIndex:
    """Find targets by the names of what they hold; a superset, as what was said may have changed.

    It is safe from any thread.
    """

    def __init__(self) -> None:
        self.targets_by_name: dict[str, set[str]] = {}
        self.names_by_target: dict[str, frozenset[str]] = {}
        self.lock = threading.Lock()

    def update(self, target: str, residents: frozenset[str]) -> None:
        """Take in all that a target holds now."""
        names = frozenset(resident_name(resident) for resident in residents)
        with self.lock:
            before = self.names_by_target.get(target, frozenset())
            for name in before - names:
                self._discard(name, target)
            for name in names - before:
                self.targets_by_name.setdefault(name, set()).add(target)
            self.names_by_target[target] = names

    def remove(self, target: str) -> None:
        """Drop a target that is known no more."""
        with self.lock:
            for name in self.names_by_target.pop(target, frozenset()):
                self._discard(name, target)

    def targets_holding(self, name: str) -> set[str]:
        """Return the targets that said to hold a version of a name."""
        with self.lock:
            return set(self.targets_by_name.get(name, ()))

    def _discard(self, name: str, target: str) -> None:
        targets = self.targets_by_name[name]
        targets.discard(target)
        if not targets:
            del self.targets_by_name[name]


def resident_name(resident: str) -> str:
    """Return the name of a resident without its version."""
    return resident.rpartition("@")[0]
