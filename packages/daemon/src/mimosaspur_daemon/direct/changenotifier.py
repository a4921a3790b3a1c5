"""Wake tasks that wait for a change."""

import asyncio
import contextlib

# Tasks without an order are woken first.
NO_ORDER: tuple[float, ...] = ()


class ChangeNotifier:
    """Wake tasks that wait for a change."""

    __slots__ = ("waiting",)

    def __init__(self) -> None:
        self.waiting: dict[asyncio.Future[None], tuple[float, ...]] = {}

    def notify(self) -> None:
        """Wake all waiting tasks, those with the lowest order first."""
        waiting, self.waiting = self.waiting, {}
        for future in sorted(waiting, key=waiting.__getitem__):
            if not future.done():
                future.set_result(None)

    async def wait(self, timeout_s: float, *, order: tuple[float, ...] = NO_ORDER) -> None:
        """Wait for a change, or until the timeout."""
        future = asyncio.get_running_loop().create_future()
        self.waiting[future] = order
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout_s):
                    await future
        finally:
            self.waiting.pop(future, None)
