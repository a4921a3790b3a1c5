"""Keep the list of targets that a coordinator sends, whether it is in force or not."""

from collections.abc import Iterable

from mimosaspur_state.fleet import TargetRecord


class FollowedTargets:
    """Apply each part of a coordinator's list to the parts sent before on the same link.

    An entry that has read a newer list itself doesn't use these parts, but the next one is relative
    to them.
    """

    __slots__ = ("applied_number", "targets")

    def __init__(self) -> None:
        self.targets: dict[str, TargetRecord] = {}
        # The number of the entry's list as this one was last in force, None if it wasn't.
        self.applied_number: int | None = None

    def update(
        self, changed: Iterable[TargetRecord], removed: Iterable[str], *, is_complete: bool
    ) -> None:
        """Apply changes, or a complete list."""
        if is_complete:
            self.targets.clear()
            self.applied_number = None
        for identity in removed:
            self.targets.pop(identity, None)
        self.targets |= {record.identity: record for record in changed}

    def is_in_force(self, list_number: int) -> bool:
        """Return whether the entry's list, by its number, is this one but for the last changes."""
        return self.applied_number == list_number

    def reset(self) -> None:
        """Forget the list as the link ends."""
        self.targets = {}
        self.applied_number = None
