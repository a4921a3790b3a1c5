"""Keep this entry away from targets that have turned it away and asked for rest.

Other entries keep to what they were asked themselves. After a rest one request goes first, so that
those that have waited aren't all turned away at once: the target takes the others once it has
answered that one, or after a while.
"""

import math
from collections.abc import Collection
from collections.abc import Sequence
from dataclasses import dataclass

from mimosaspur_state.clock import Clock

# The others follow after this time if the first request after a rest isn't answered.
PROBE_TIMEOUT_MS = 300


class BadRest(Exception):
    """Raised when a refusal asks for a rest that is no non-negative decimal number of seconds."""


@dataclass(slots=True)
class _Rest:
    until_ms: int
    # When the first request after the rest was sent; None until then.
    probe_sent_ms: int | None = None


def parse_rest(values: Sequence[bytes]) -> int | None:
    """Return the rest in milliseconds that a refusal asks for, the longest; raise BadRest."""
    rests = []
    for value in values:
        try:
            seconds = float(value)
        except ValueError:
            raise BadRest(value.decode("latin-1")) from None
        if not math.isfinite(seconds) or seconds < 0:
            raise BadRest(value.decode("latin-1"))
        rests.append(math.ceil(seconds * 1000))
    return max(rests, default=None)


class Rests:
    """Hold the rests that targets have asked this entry for, by incarnation."""

    __slots__ = ("clock", "rests")

    def __init__(self, *, clock: Clock) -> None:
        # Counts the time while the machine is suspended, as the targets do.
        self.clock = clock
        self.rests: dict[str, _Rest] = {}

    def ask(self, target: str, rest_ms: int) -> bool:
        """Record that a target asks for rest; return whether it wasn't resting already.

        A rest never ends before the end of an earlier one.
        """
        now_ms = self.clock.now_ms()
        known = self.rests.get(target)
        if known is None or known.until_ms <= now_ms:
            self.rests[target] = _Rest(now_ms + rest_ms)
            return True
        known.until_ms = max(known.until_ms, now_ms + rest_ms)
        return False

    def on_answer(self, target: str) -> bool:
        """Let all requests through after an answer that asks for no rest, once a rest has ended.

        Return whether that changes anything.
        """
        known = self.rests.get(target)
        if known is None or known.until_ms > self.clock.now_ms():
            return False
        del self.rests[target]
        return True

    def remaining_ms(self, target: str) -> int:
        """Return the time until a target takes requests, 0 if it does now."""
        known = self.rests.get(target)
        if known is None:
            return 0
        now_ms = self.clock.now_ms()
        if known.probe_sent_ms is not None:
            return max(0, known.probe_sent_ms + PROBE_TIMEOUT_MS - now_ms)
        return max(0, known.until_ms - now_ms)

    def begin_send(self, target: str) -> bool:
        """Return whether a request may be sent now, and count it as the first after a rest."""
        known = self.rests.get(target)
        if known is None:
            return True
        if self.remaining_ms(target):
            return False
        if known.probe_sent_ms is None:
            known.probe_sent_ms = self.clock.now_ms()
        else:
            del self.rests[target]
        return True

    def retain(self, targets: Collection[str]) -> None:
        """Drop what is known of all other targets, unless they rest now."""
        for target in list(self.rests):
            if target not in targets and not self.remaining_ms(target):
                del self.rests[target]
