"""Record the request limits that targets name, merged from all entries in any order.

Responses of one target may cross, and entries' clocks differ. Each change of what a target names
gets the next version. A response to a request that was sent under the current version is newer than
the response that set it; of others only the stricter reading is taken.
"""

import math
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass


class BadLimit(Exception):
    """Raised when a response names a limit that is no non-negative decimal number."""


@dataclass(slots=True, frozen=True)
class RequestLimit:
    """Hold the requests a second that a target takes from all entries, None for any number."""

    version: int
    per_s: float | None

    def supersedes(self, other: "RequestLimit") -> bool:
        """Return whether this is newer, or as new and stricter."""
        return self._order() > other._order()

    def _order(self) -> tuple[int, float]:
        return self.version, -math.inf if self.per_s is None else -self.per_s


UNLIMITED = RequestLimit(0, None)


def parse_limit(values: Sequence[bytes]) -> float | None:
    """Return the limit in a response's headers, the strictest of several; raise BadLimit."""
    limits = []
    for value in values:
        try:
            limit = float(value)
        except ValueError:
            raise BadLimit(value.decode("latin-1")) from None
        if not math.isfinite(limit) or limit < 0:
            raise BadLimit(value.decode("latin-1"))
        limits.append(limit)
    return min(limits, default=None)


class LimitLedger:
    """Hold the last known limit of each target, by its incarnation."""

    __slots__ = ("limits", "unreported")

    def __init__(self) -> None:
        self.limits: dict[str, RequestLimit] = {}
        # Targets whose limit has changed since the last report.
        self.unreported: set[str] = set()

    def get(self, target: str) -> RequestLimit:
        """Return what is known of a target's limit."""
        return self.limits.get(target, UNLIMITED)

    def limited(self) -> dict[str, float]:
        """Return the limits in force, in requests a second."""
        limits = self.limits.items()
        return {target: limit.per_s for target, limit in limits if limit.per_s is not None}

    def observe(
        self, target: str, per_s: float | None, *, sent_version: int, proves_end: bool
    ) -> bool:
        """Apply what a response names; return whether the limit changes.

        `sent_version` is the version that was known when the request was sent. A response without a
        limit ends one only if it proves the end, as those of requests that have run do.
        """
        current = self.get(target)
        if per_s == current.per_s:
            return False
        crossed = sent_version != current.version
        if per_s is None and (crossed or not proves_end):
            return False
        if crossed and current.per_s is not None and per_s is not None and per_s > current.per_s:
            return False
        self._set(target, RequestLimit(current.version + 1, per_s), report=True)
        return True

    def merge(self, target: str, limit: RequestLimit, *, report: bool) -> bool:
        """Apply what another instance knows; return whether the limit changes."""
        if not limit.supersedes(self.get(target)):
            return False
        self._set(target, limit, report=report)
        return True

    def take_unreported(self) -> dict[str, RequestLimit]:
        """Return the changes since the last call."""
        changes = {target: self.limits[target] for target in self.unreported}
        self.unreported.clear()
        return changes

    def report_all(self) -> None:
        """Report all that is known with the next call of `take_unreported`."""
        self.unreported.update(self.limits)

    def retain(self, targets: Collection[str]) -> None:
        """Drop what is known of all other targets."""
        self._drop(target for target in list(self.limits) if target not in targets)

    def _set(self, target: str, limit: RequestLimit, *, report: bool) -> None:
        self.limits[target] = limit
        if report:
            self.unreported.add(target)

    def _drop(self, targets: Iterable[str]) -> None:
        for target in targets:
            del self.limits[target]
            self.unreported.discard(target)
