"""Tell where each task of a process waits, for whoever has to find out why it is stuck."""

import asyncio
from types import FrameType

# Frames of each task, the innermost ones, and tasks that are told; the rest is counted.
MAX_FRAMES = 4
MAX_PLACES = 100


def task_stacks() -> dict[str, object]:
    """Return the fields of a log line with the running loop's tasks and their stacks."""
    tasks = asyncio.all_tasks()
    # Many tasks wait at the same place: one line tells of all of them.
    places: dict[str, int] = {}
    for task in tasks:
        place = " < ".join(_place(frame) for frame in reversed(task.get_stack(limit=MAX_FRAMES)))
        places[place] = places.get(place, 0) + 1
    told = sorted(places.items(), key=lambda item: -item[1])[:MAX_PLACES]
    return {"tasks": len(tasks), "places": [f"{count} x {place}" for place, count in told]}


def _place(frame: FrameType) -> str:
    module = frame.f_globals.get("__name__", "?")
    return f"{module}:{frame.f_lineno} {frame.f_code.co_name}"
