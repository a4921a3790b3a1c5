"""Read KNOWN-RED.txt, the list of known failures, and match it with the outcomes of a run."""

from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from pathlib import Path

from feature_run import WHOLE_FILE
from feature_run import Outcome

FIELD_SEPARATOR = "|"
FIELD_COUNT = 5
COMMENT_PREFIX = "#"


class KnownRedError(Exception):
    """Report an invalid line of KNOWN-RED.txt."""


class Frequency(Enum):
    """Define how often a listed scenario fails."""

    # A pass means that it is fixed; its line must then be removed.
    ALWAYS = "always"
    # A pass doesn't show that it is fixed.
    SOMETIMES = "sometimes"


@dataclass(slots=True, frozen=True)
class KnownRed:
    """Represent one line of KNOWN-RED.txt."""

    frequency: Frequency
    feature: str
    scenario: str
    # The command that reproduces the failure, with its seed if it has one.
    command: str
    seen: str
    issue: str

    def matches(self, outcome: Outcome) -> bool:
        """Return whether the outcome belongs to the listed scenario."""
        if outcome.scenario == WHOLE_FILE:
            return False
        return (self.feature, self.scenario) == (outcome.feature, outcome.scenario)


@dataclass(slots=True)
class MatchResult:
    """Hold the known failures of a run and the lines that must be removed."""

    known_failures: dict[KnownRed, list[Outcome]] = field(default_factory=dict)
    stale_lines: list[str] = field(default_factory=list)

    def is_known_failure(self, outcome: Outcome) -> bool:
        """Return whether a line of the list covers this failure."""
        return any(outcome in outcomes for outcomes in self.known_failures.values())


def read_known_red(path: Path) -> list[KnownRed]:
    """Return the listed failures, none if the file is missing; raise KnownRedError if invalid."""
    if not path.exists():
        return []
    lines = [line.strip() for line in path.read_text(encoding="utf-8").splitlines()]
    lines = [line for line in lines if line and not line.startswith(COMMENT_PREFIX)]
    return [_parse_line(line, name=path.name) for line in lines]


def match_known_red(
    known: Sequence[KnownRed], *, outcomes: Sequence[Outcome], complete: Iterable[str]
) -> MatchResult:
    """Match the list with the outcomes; `complete` holds the features that ran unfiltered."""
    result = MatchResult()
    broken = {outcome.feature for outcome in outcomes if outcome.scenario == WHOLE_FILE}
    ran_whole = set(complete) - broken
    for entry in known:
        found = [outcome for outcome in outcomes if entry.matches(outcome)]
        label = f"{entry.feature}:{entry.scenario}"
        searched = entry.feature in ran_whole or not Path(entry.feature).exists()
        if not found and searched:
            result.stale_lines.append(f"{label} does not exist: remove its line")
            continue
        failed = [outcome for outcome in found if not outcome.passed]
        if entry.frequency is Frequency.ALWAYS and len(failed) < len(found):
            result.stale_lines.append(f"{label} passes: remove its line")
        elif failed:
            result.known_failures[entry] = failed
    return result


def _parse_line(line: str, *, name: str) -> KnownRed:
    fields = [part.strip() for part in line.split(FIELD_SEPARATOR)]
    if len(fields) != FIELD_COUNT or not all(fields):
        raise KnownRedError(
            f"{name}: write the line as `always or sometimes | feature file:scenario name | "
            f"command and seed | what was seen | issue`: {line}"
        )
    often, test, command, seen, issue = fields
    feature, _, scenario = test.partition(":")
    if not scenario.strip():
        raise KnownRedError(f"{name}: name the test as `feature file:scenario name`: {test}")
    try:
        frequency = Frequency(often)
    except ValueError:
        choices = " or ".join(each.value for each in Frequency)
        raise KnownRedError(f"{name}: begin the line with {choices}: {line}") from None
    return KnownRed(frequency, feature.strip(), scenario.strip(), command, seen, issue)
