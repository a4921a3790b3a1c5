"""Track an entry's requests for models that no engine holds: those that wait, and those refused.

A caller whose request was refused returns once. Until then the request counts as demand for the
model: it would otherwise be refused again, as nothing would have been loaded for it.
"""

import contextlib
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from mimosaspur_coordination.urgency import is_urgent
from mimosaspur_coordination.workspaces.ranks import priority_of
from mimosaspur_state.clock import Clock
from mimosaspur_state.routes import ModelSpec
from mimosaspur_state.routes import Route
from mimosaspur_state.workspaces import Workspace

# Callers return within this share of their time limit.
RETURN_SHARE = 1 / 3
# Without a coordinator nothing takes the reports, so the oldest refused requests are dropped.
MAX_REJECTIONS = 1_000


@dataclass(slots=True, frozen=True)
class UnmetRequest:
    """Describe a request for a model that no engine holds."""

    urgent: bool = True
    objective_ms: int = 0
    priority: int = 0


@dataclass(slots=True)
class UnmetReport:
    """Count the requests for one model that wait now, and those refused since the last report."""

    urgent_waiting: int = 0
    rejected: int = 0
    # The shortest objective and the lowest priority among them.
    objective_ms: int = 0
    priority: int = 0


@dataclass(slots=True)
class _Rejection:
    model: str
    request: UnmetRequest
    # When the caller no longer returns.
    expires_ms: int
    reported: bool = False


class UnmetDemand:
    """Track one entry's requests for models that no engine holds."""

    __slots__ = ("clock", "rejections", "requests")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.requests: dict[str, list[UnmetRequest]] = {}
        self.rejections: deque[_Rejection] = deque(maxlen=MAX_REJECTIONS)

    @contextlib.contextmanager
    def waiting(self, model: str, request: UnmetRequest) -> Iterator[None]:
        """Count a request as waiting within the context."""
        self.requests.setdefault(model, []).append(request)
        try:
            yield
        finally:
            self.requests[model].remove(request)
            if not self.requests[model]:
                del self.requests[model]

    def reject(self, model: str, request: UnmetRequest, *, time_limit_ms: int) -> None:
        """Record that a request was refused because no engine holds its model."""
        returns_ms = self.clock.now_ms() + round(time_limit_ms * RETURN_SHARE)
        self.rejections.append(_Rejection(model, request, returns_ms))

    def report_all(self) -> None:
        """Include in the next report all refused requests whose callers may still return."""
        for each in self.rejections:
            each.reported = False

    def take_report(self) -> dict[str, UnmetReport]:
        """Return the counts by model, and take the refused requests as reported."""
        now_ms = self.clock.now_ms()
        current = [each for each in self.rejections if each.expires_ms > now_ms]
        self.rejections = deque(current, maxlen=MAX_REJECTIONS)
        found: dict[str, list[UnmetRequest]] = {
            model: list(requests) for model, requests in self.requests.items()
        }
        rejected: dict[str, int] = {}
        for each in self.rejections:
            if not each.reported:
                each.reported = True
                found.setdefault(each.model, []).append(each.request)
                rejected[each.model] = rejected.get(each.model, 0) + 1
        return {
            model: UnmetReport(
                sum(request.urgent for request in self.requests.get(model, ())),
                rejected.get(model, 0),
                min(request.objective_ms for request in requests),
                min(request.priority for request in requests),
            )
            for model, requests in found.items()
        }


def unmet_request(
    route: Route, workspace: Workspace | None, model: ModelSpec | None
) -> UnmetRequest:
    """Return what a request counts as while no engine holds its model."""
    urgent = model is None or is_urgent(route.objective_ms, model)
    return UnmetRequest(urgent, route.objective_ms, priority_of(route, workspace)[0])
