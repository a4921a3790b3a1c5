"""Read KNOWN-RED.txt and settle it against the outcomes of a run."""

from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path

from feature_run import WHOLE_FILE
from feature_run import Outcome

MAX_ENTRIES = 3
FIELD_SEPARATOR = "|"
FIELD_COUNT = 3


class KnownRedError(Exception):
    """Report a KNOWN-RED.txt that can't be used, and how to mend it."""


@dataclass(slots=True, frozen=True)
class KnownRed:
    """Hold one line of KNOWN-RED.txt."""

    feature: str
    scenario: str
    cause: str
    issue: str

    def matches(self, outcome: Outcome) -> bool:
        """Tell whether the outcome is of the listed scenario."""
        if outcome.scenario == WHOLE_FILE:
            return False
        return (self.feature, self.scenario) == (outcome.feature, outcome.scenario)


@dataclass(slots=True)
class Settlement:
    """Hold which failures are excused, and which lines have to go."""

    excused: dict[KnownRed, list[Outcome]] = field(default_factory=dict)
    complaints: list[str] = field(default_factory=list)

    def excuses(self, outcome: Outcome) -> bool:
        """Tell whether a line of the list covers this failure."""
        return any(outcome in outcomes for outcomes in self.excused.values())


def read_known_red(path: Path) -> list[KnownRed]:
    """Read the list; a missing file is an empty list; raise KnownRedError on a bad line."""
    if not path.exists():
        return []
    lines = [line.strip() for line in path.read_text(encoding="utf-8").splitlines()]
    entries = [_parse_line(line, name=path.name) for line in lines if line]
    if len(entries) > MAX_ENTRIES:
        raise KnownRedError(
            f"{path.name} lists {len(entries)} scenarios and may list {MAX_ENTRIES}: "
            "mend some and remove their lines"
        )
    return entries


def settle(
    known: Sequence[KnownRed], *, outcomes: Sequence[Outcome], complete: Iterable[str]
) -> Settlement:
    """Match the list with the outcomes; `complete` names the features that ran unfiltered."""
    settlement = Settlement()
    broken = {outcome.feature for outcome in outcomes if outcome.scenario == WHOLE_FILE}
    ran_whole = set(complete) - broken
    for entry in known:
        found = [outcome for outcome in outcomes if entry.matches(outcome)]
        label = f"{entry.feature}:{entry.scenario}"
        searched = entry.feature in ran_whole or not Path(entry.feature).exists()
        if not found and searched:
            settlement.complaints.append(f"{label} does not exist: remove its line")
        elif any(outcome.passed for outcome in found):
            settlement.complaints.append(f"{label} passes: remove its line")
        elif found:
            settlement.excused[entry] = found
    return settlement


def _parse_line(line: str, *, name: str) -> KnownRed:
    fields = [part.strip() for part in line.rsplit(FIELD_SEPARATOR, FIELD_COUNT - 1)]
    feature, colon, scenario = fields[0].partition(":")
    if len(fields) != FIELD_COUNT or not colon or not all([*fields, feature, scenario.strip()]):
        raise KnownRedError(
            f"{name}: write the line as `feature file:scenario name | cause | issue`: {line}"
        )
    return KnownRed(feature.strip(), scenario.strip(), fields[1], fields[2])
