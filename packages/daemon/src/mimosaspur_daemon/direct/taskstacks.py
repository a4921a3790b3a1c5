"""Summarize where the tasks of a process wait, to diagnose a stuck process."""

import asyncio
from types import FrameType
from typing import Any

# Limits on the innermost frames shown of each task, and on the distinct stacks shown.
MAX_FRAMES = 4
MAX_PLACES = 100


def task_stacks() -> dict[str, object]:
    """Return log fields with the number of tasks and their distinct stacks."""
    tasks = asyncio.all_tasks()
    # Group tasks by stack: many wait at the same place.
    places: dict[str, int] = {}
    for task in tasks:
        frames = _frames(task)[-MAX_FRAMES:]
        place = " < ".join(_place(frame) for frame in reversed(frames))
        places[place] = places.get(place, 0) + 1
    shown = sorted(places.items(), key=lambda item: -item[1])[:MAX_PLACES]
    return {"tasks": len(tasks), "places": [f"{count} x {place}" for place, count in shown]}


def _frames(task: "asyncio.Task[Any]") -> list[FrameType]:
    """Return the frames of a task that waits, the innermost last.

    The task's own method returns the outermost one only.
    """
    frames = []
    coroutine: Any = task.get_coro()
    while frame := getattr(coroutine, "cr_frame", None):
        frames.append(frame)
        coroutine = coroutine.cr_await
    return frames


def _place(frame: FrameType) -> str:
    module = frame.f_globals.get("__name__", "?")
    return f"{module}:{frame.f_lineno} {frame.f_code.co_name}"
