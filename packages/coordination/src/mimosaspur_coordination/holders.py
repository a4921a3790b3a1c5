"""Index which targets said that they hold a version of a name."""

import threading


class Holders:
    """Find targets by the names of what they hold; a superset, as what was said may have changed.

    It is safe from any thread.
    """

    def __init__(self) -> None:
        self.targets: dict[str, set[str]] = {}
        self.said: dict[str, frozenset[str]] = {}
        self.lock = threading.Lock()

    def note(self, target: str, residents: frozenset[str]) -> None:
        """Take in all that a target holds now."""
        names = frozenset(name_of(resident) for resident in residents)
        with self.lock:
            before = self.said.get(target, frozenset())
            for name in before - names:
                self._remove(name, target)
            for name in names - before:
                self.targets.setdefault(name, set()).add(target)
            self.said[target] = names

    def forget(self, target: str) -> None:
        """Drop a target that is known no more."""
        with self.lock:
            for name in self.said.pop(target, frozenset()):
                self._remove(name, target)

    def of(self, name: str) -> set[str]:
        """Return the targets that said to hold a version of a name."""
        with self.lock:
            return set(self.targets.get(name, ()))

    def _remove(self, name: str, target: str) -> None:
        targets = self.targets[name]
        targets.discard(target)
        if not targets:
            del self.targets[name]


def name_of(resident: str) -> str:
    """Return the name of a resident without its version."""
    return resident.rpartition("@")[0]
