"""Order requests by their workspace's priority, and within it by their route's."""

from mimosaspur_state.routes import Configuration
from mimosaspur_state.routes import Route
from mimosaspur_state.workspaces import Workspace

Priority = tuple[int, int]


def priority_of(route: Route, workspace: Workspace | None) -> Priority:
    """Return what requests are ordered by, the most urgent first."""
    if workspace is None or workspace.priority is None:
        return route.priority, route.priority
    return workspace.priority, route.priority


def rank_table(configuration: Configuration, *, first: int, last: int) -> dict[Priority, int]:
    """Return the rank of each priority that the configuration can give a request.

    Engines know few ranks. Where there are more priorities, the routes' part goes first; where
    even that is too much, neighbours share a rank.
    """
    workspaces = (None, *(configuration.workspaces or ()))
    found = {priority_of(route, each) for route in configuration.routes for each in workspaces}
    ranks = last - first + 1
    if len(found) <= ranks:
        return {priority: first + place for place, priority in enumerate(sorted(found))}
    leading = sorted({priority[0] for priority in found})
    shared = max(ranks, len(leading))
    return {priority: first + leading.index(priority[0]) * ranks // shared for priority in found}
