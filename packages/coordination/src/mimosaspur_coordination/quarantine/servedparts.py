"""Remember the parts of prompts that targets have served."""

from collections import OrderedDict
from collections.abc import Iterable

from mimosaspur_state.clock import Clock

MAX_SERVED_PARTS = 16_384


class ServedParts:
    """Remember when each part of a prompt was last served, for the parts served most recently."""

    __slots__ = ("clock", "served_ms")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        # By part, least recently served first.
        self.served_ms: OrderedDict[bytes, int] = OrderedDict()

    def record(self, parts: Iterable[bytes]) -> None:
        """Record that targets have just served a request with these parts."""
        now_ms = self.clock.now_ms()
        for part in parts:
            self.served_ms[part] = now_ms
            self.served_ms.move_to_end(part)
        while len(self.served_ms) > MAX_SERVED_PARTS:
            self.served_ms.popitem(last=False)

    def last_ms(self, part: bytes) -> int | None:
        """Return when a part was last served, None if that isn't known."""
        return self.served_ms.get(part)
