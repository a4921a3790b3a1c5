"""Admit a request at an entry, or refuse it before a target is chosen."""

import asyncio
import random

from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.refusal import RequestFailed
from mimosaspur_daemon.direct.targetchooser import TargetChooser
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.policy import Mechanism
from mimosaspur_state.routes import Route
from mimosaspur_state.routes import RouteKind
from mimosaspur_transport.callerconnection import CallerRequest

# Retry-After while this entry has no configuration or no targets yet.
NOT_READY_RETRY_S = 0.3
# Retry-After of a leaving entry whose callers another entry can take.
LEAVING_RETRY_S = 0.05
# Time from exit until the restarted process has loaded the targets.
RESTART_DURATION_S = 1.0
# A process that exits cuts off unfinished requests, so a leaving entry accepts only those that
# would finish in time if they took this many times the longest expected duration.
DURATION_SAFETY_FACTOR = 3.0


def find_route(state: EntryState, request: CallerRequest) -> Route:
    """Return the route of a request; raise RequestFailed if there is none."""
    configuration = state.configuration
    if configuration is None or not state.targets_known:
        raise RequestFailed(ResultCode.NO_BUNDLE, retry_after_s=NOT_READY_RETRY_S)
    route = configuration.find_route(request.host, request.path)
    if route is None:
        raise RequestFailed(ResultCode.NOT_FOUND)
    return route


def pick_service(route: Route) -> str:
    """Return a service of a route, at random by the route's weights."""
    names = [name for name, _ in route.services]
    weights = [max(0.0, weight) for _, weight in route.services]
    if len(names) == 1 or not sum(weights):
        return names[0]
    return random.choices(names, weights)[0]


def check_leaving(chooser: TargetChooser) -> None:
    """Raise RequestFailed if a request might not finish before this process exits."""
    state = chooser.state
    is_late = chooser.arrived_s > state.balancer_noticed_s
    if not state.shutting_down and not (is_late and not ends_in_time(chooser)):
        return
    wanted_s = LEAVING_RETRY_S
    if state.is_last_entry():
        # No other entry is available: ask for a retry after this process has restarted.
        now_s = asyncio.get_running_loop().time()
        wanted_s = state.shutdown_deadline_s - now_s + RESTART_DURATION_S
    raise chooser.refusal(ResultCode.DRAINING, wanted_s=wanted_s)


def ends_in_time(chooser: TargetChooser) -> bool:
    """Return whether a request is expected to finish before the process exits."""
    state, route = chooser.state, chooser.route
    if not state.uses(Mechanism.ACCEPT_WHILE_LEAVING):
        return False
    if route.kind is RouteKind.STREAM and not state.is_last_entry():
        return False
    left_ms = (state.shutdown_deadline_s - asyncio.get_running_loop().time()) * 1000
    longest_ms = state.durations.upper_bound_ms(route.name, tokens=chooser.prompt.output_tokens)
    lasts_ms = float(route.timeout_ms)
    if longest_ms is not None:
        lasts_ms = min(lasts_ms, DURATION_SAFETY_FACTOR * longest_ms)
    return lasts_ms + chooser.predicted_first_event_ms() <= left_ms
