"""Rank requests by the priority of their workspace, then of their route."""

from mimosaspur_state.routes import Configuration
from mimosaspur_state.routes import Route
from mimosaspur_state.workspaces import Workspace

Priority = tuple[int, int]


def priority_of(route: Route, workspace: Workspace | None) -> Priority:
    """Return the sort key of a request; the lowest is the most urgent."""
    if workspace is None or workspace.priority is None:
        return route.priority, route.priority
    return workspace.priority, route.priority


def rank_table(configuration: Configuration, *, first: int, last: int) -> dict[Priority, int]:
    """Map each priority that the configuration allows to an engine's rank.

    Engines support few ranks. With more priorities than ranks, only the first part of a priority
    is used; if that is still too many, adjacent priorities share a rank.
    """
    workspaces = (None, *(configuration.workspaces or ()))
    priorities = {priority_of(route, each) for route in configuration.routes for each in workspaces}
    ranks = last - first + 1
    if len(priorities) <= ranks:
        return {priority: first + index for index, priority in enumerate(sorted(priorities))}
    first_parts = sorted({priority[0] for priority in priorities})
    divisor = max(ranks, len(first_parts))
    return {
        priority: first + first_parts.index(priority[0]) * ranks // divisor
        for priority in priorities
    }
