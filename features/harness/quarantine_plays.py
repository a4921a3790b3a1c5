"""Generate plays of entries that share what they know of crashes."""

from hypothesis import strategies

from harness.quarantine_simulation import Event
from harness.quarantine_simulation import Step

MAX_EXAMPLES = 400
MAX_STEPS = 40
SOUND_REQUESTS = 6


def any_steps(entries: int) -> strategies.SearchStrategy[Step]:
    """Generate one run with what happens before it and who is beside."""
    number = strategies.integers(0, entries - 1)
    beside = strategies.lists(
        strategies.tuples(strategies.integers(0, SOUND_REQUESTS - 1), number),
        max_size=4,
        unique_by=lambda pair: pair[0],
    )
    return strategies.builds(
        Step,
        entry=number,
        event=strategies.sampled_from([*Event, *[Event.NOTHING] * 8]),
        beside=beside,
        completes=strategies.integers(0, SOUND_REQUESTS * 2),
        running=strategies.booleans(),
    )
