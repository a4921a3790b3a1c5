"""Count the requests that ran lately at each software version, while a service has several."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from mimosaspur_state.clock import Clock

# A model and a software version.
ModelVersion = tuple[str, str]
# Fewer streams than this are no longer expected to be taken up.
MIN_STREAMS = 0.5
# Callers return within a part of the longest time that a stream may last.
DECAY_SHARE = 1 / 3


@dataclass(slots=True)
class _Runs:
    streams: float
    updated_ms: int
    # When requests last ran there.
    seen_ms: int


class RunsByVersion:
    """Estimate how many streams may be taken up of each model at each version of one service.

    What ran a moment ago may have been broken off, so that the numbers fall slowly.
    """

    __slots__ = ("clock", "runs")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.runs: dict[ModelVersion, _Runs] = {}

    def update(
        self,
        versions: Mapping[str, str],
        running: Mapping[str, Mapping[str, int]],
        *,
        lifetime_ms: int,
    ) -> None:
        """Apply what runs now, by target and model, at targets whose versions are given."""
        if len(set(versions.values())) < 2 and not self.runs:
            return
        now_ms = self.clock.now_ms()
        for (model, version), count in _count(versions, running).items():
            known = self.runs.get((model, version))
            left = self._left(known, now_ms, lifetime_ms) if known else 0.0
            self.runs[model, version] = _Runs(max(count, left), now_ms, now_ms)
        for key, each in list(self.runs.items()):
            if each.updated_ms != now_ms:
                each.streams, each.updated_ms = self._left(each, now_ms, lifetime_ms), now_ms
            if each.streams < MIN_STREAMS or now_ms - each.seen_ms >= lifetime_ms:
                del self.runs[key]
        if len(set(versions.values())) < 2:
            self.runs.clear()

    def streams(self) -> dict[ModelVersion, float]:
        """Return the streams that may be taken up; nothing while there is one version."""
        return {key: each.streams for key, each in self.runs.items()}

    def _left(self, runs: _Runs, now_ms: int, lifetime_ms: int) -> float:
        age_ms = max(0, now_ms - runs.updated_ms)
        return runs.streams * math.exp(-age_ms / (lifetime_ms * DECAY_SHARE))


def _count(
    versions: Mapping[str, str], running: Mapping[str, Mapping[str, int]]
) -> dict[ModelVersion, int]:
    counts: dict[ModelVersion, int] = {}
    for target, version in versions.items():
        for model, count in running.get(target, {}).items():
            if model and count:
                counts[model, version] = counts.get((model, version), 0) + count
    return counts
