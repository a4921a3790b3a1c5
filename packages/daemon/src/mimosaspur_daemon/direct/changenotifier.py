"""Wake tasks that wait for a change."""

import asyncio
import contextlib


class ChangeNotifier:
    """Wake tasks that wait for a change."""

    __slots__ = ("event",)

    def __init__(self) -> None:
        self.event = asyncio.Event()

    def notify(self) -> None:
        """Wake all waiting tasks."""
        self.event.set()
        self.event = asyncio.Event()

    async def wait(self, timeout_s: float) -> None:
        """Wait for a change, or until the timeout."""
        event = self.event
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await event.wait()
