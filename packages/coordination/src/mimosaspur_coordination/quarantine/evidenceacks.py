"""Track on which crashes all entries have reported what they had there.

The end of an entry loses no evidence of these, whatever it loses of later ones.
"""

from collections.abc import Collection
from collections.abc import Iterable


class EvidenceAcks:
    """Compare what entries have answered with the updates that told of crashes."""

    __slots__ = ("number_by_target",)

    def __init__(self) -> None:
        # By target whose crash isn't acknowledged yet, the number of the first update that told of
        # it.
        self.number_by_target: dict[str, int] = {}

    def on_update(self, number: int, targets: Iterable[str]) -> None:
        """Set which crashes are to be acknowledged, as an update is sent; forget all others."""
        known = self.number_by_target
        self.number_by_target = {target: known.get(target, number) for target in targets}

    def acknowledged(self, answers: Collection[int]) -> list[str]:
        """Return the crashes on which all entries have reported, given their last answers."""
        answered = min(answers, default=0)
        # An entry of an earlier version answers none.
        return [each for each, number in self.number_by_target.items() if 0 < number <= answered]
