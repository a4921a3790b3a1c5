"""Explain a verdict by what else was at the crashes, and why it isn't blamed."""

from collections import Counter
from collections.abc import Sequence

from mimosaspur_coordination.quarantine.blame import is_narrower
from mimosaspur_coordination.quarantine.crashledger import Crash
from mimosaspur_coordination.quarantine.crashledger import Stage
from mimosaspur_coordination.quarantine.traits import trait_name

MAX_ALTERNATIVES = 5


def alternatives(trait: bytes, crashes: Sequence[Crash]) -> list[dict[str, object]]:
    """Return what else was at most of a blamed trait's crashes, and why it is ruled out."""
    counts = Counter(other for crash in crashes for other in crash.traits if other != trait)
    often = [(other, count) for other, count in counts.most_common(MAX_ALTERNATIVES) if count > 1]
    return [
        {"trait": trait_name(other), "crashes": count, "ruled_out": _reason(other, trait, crashes)}
        for other, count in often
    ]


def _reason(other: bytes, trait: bytes, crashes: Sequence[Crash]) -> str:
    own = [crash for crash in crashes if other in crash.traits]
    if any(crash.traits[other] is Stage.CLEARED for crash in own):
        return "served"
    if is_narrower(trait, other, [crash.evidence() for crash in crashes]):
        return "broader"
    if any(crash.traits[other] is Stage.BLAMED for crash in own):
        return "blamed too"
    return "fewer crashes"
