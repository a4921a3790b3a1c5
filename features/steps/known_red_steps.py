"""Steps for KNOWN-RED.txt, the list of known failures."""

import contextlib
import io
import tempfile
from pathlib import Path

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from feature_run import Outcome
from known_red import KnownRed
from known_red import KnownRedError
from known_red import read_known_red
from scenarios import ExitCode
from scenarios import report

FEATURE = "features/listed.feature"
SCENARIO = "it -- @1.1"
OTHER_SCENARIO = "another"


def _read_line(line: str) -> list[KnownRed]:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "KNOWN-RED.txt")
        path.write_text(f"# Known failures.\n\n{line}\n", encoding="utf-8")
        return read_known_red(path)


@given("KNOWN-RED.txt lists {listed}")
def set_list(context: Context, listed: str) -> None:
    often = "sometimes" if listed.endswith("sometimes") else "always"
    scenario = SCENARIO if listed.startswith("it ") else OTHER_SCENARIO
    line = f"{often} | {FEATURE}:{scenario} | run it, seed 1 | it failed | issue 1"
    context.known = [] if listed == "nothing" else _read_line(line)


@when("a run of the whole feature file has {outcome} for it")
def run_file(context: Context, outcome: str) -> None:
    outcomes = (
        [Outcome(FEATURE, OTHER_SCENARIO, passed=False)]
        if OTHER_SCENARIO in _scenarios(context)
        else []
    )
    if outcome != "no such scenario":
        outcomes.append(Outcome(FEATURE, SCENARIO, passed=outcome == "a pass"))
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        context.exit_code = report(outcomes, known=context.known, complete=[FEATURE])
    context.printed = printed.getvalue()


def _scenarios(context: Context) -> list[str]:
    return [entry.scenario for entry in context.known]


@then("the verdict is {verdict}")
def check_verdict(context: Context, verdict: str) -> None:
    expected = ExitCode.OK if verdict.startswith("passed") else ExitCode.FAILURES
    assert context.exit_code == expected, context.printed
    assert ("known red: " in context.printed) == (
        verdict.endswith("prints it") or OTHER_SCENARIO in _scenarios(context)
    ), context.printed
    assert ("remove its line" in context.printed) == verdict.endswith("line"), context.printed


@given('the line "{line}" in KNOWN-RED.txt')
def set_line(context: Context, line: str) -> None:
    context.line = line.replace(";", "|")


@then("reading it fails and tells {told}")
def check_read_error(context: Context, told: str) -> None:
    try:
        _read_line(context.line)
    except KnownRedError as error:
        assert told in str(error), error
    else:
        raise AssertionError("the line was read")
