"""Generate plays of entries that share what they know of crashes."""

from dataclasses import dataclass
from dataclasses import field

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from harness.quarantine_simulation import Event
from harness.quarantine_simulation import QuarantineSimulation
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


@dataclass(slots=True)
class PlayResults:
    """Hold what generated plays have shown."""

    # The number of crashes after which all entries in touch must act.
    due_after: int = 0
    # By play, the runs that came too late; plays in which evidence was lost are left out.
    late: list[int] = field(default_factory=list)
    # Plays in which the culprit was rejected.
    caught: int = 0


def play_any(entries: int, simulation_type: type[QuarantineSimulation]) -> PlayResults:
    """Play any steps; fail if anything sound is rejected."""
    results = PlayResults()

    @settings(max_examples=MAX_EXAMPLES, derandomize=True, database=None, deadline=None)
    @given(strategies.lists(any_steps(entries), min_size=12, max_size=MAX_STEPS))
    def play(steps: list[Step]) -> None:
        simulation = simulation_type(entries)
        results.due_after = simulation.due_after
        for step in steps:
            if step.event is Event.DIE and simulation.evidence_losses:
                continue
            simulation.step(step)
            assert not simulation.sound_rejected(), simulation.sound_rejected()
        results.caught += simulation.is_caught()
        if not simulation.evidence_losses:
            results.late.append(simulation.late_runs)

    play()
    assert results.caught > MAX_EXAMPLES / 4, f"caught in {results.caught} plays only"
    return results
