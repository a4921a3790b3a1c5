"""Run one feature file in its own behave process and read its outcomes."""

import contextlib
import json
import os
import re
import signal
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Any

FEATURE_TIMEOUT_S = 240
WHOLE_FILE = "(whole file)"
PASSED = "passed"
SKIPPED = "skipped"
UNDEFINED = "undefined"
UNTESTED = "untested"
REPORT_FORMAT = "behave_report:ReportFormatter"
TOOLS = Path(__file__).resolve().parent

# behave's exit code doesn't distinguish these from a failed scenario.
RUN_LEVEL_ERROR = re.compile(
    r"^(?:HOOK-ERROR in \w+_(?:all|feature)\b|CLEANUP-ERROR in |ABORTED: )", re.MULTILINE
)

_running: set[subprocess.Popen[bytes]] = set()


@dataclass(slots=True, frozen=True)
class Outcome:
    """Represent the result of one scenario or of a whole feature file."""

    feature: str
    scenario: str
    passed: bool
    detail: str = ""


@dataclass(slots=True, frozen=True)
class BehaveRun:
    """Hold the exit code, report and output of one behave process."""

    feature: str
    exit_code: int
    timed_out: bool
    report: str
    output: str


def run_feature(path: str, *, name: str | None) -> list[Outcome]:
    """Run a feature file for at most FEATURE_TIMEOUT_S seconds and return its outcomes."""
    with tempfile.TemporaryDirectory(prefix="scenarios-") as folder:
        run = _run_behave(path, name=name, folder=Path(folder))
    return read_outcomes(run, filtered=name is not None)


def stop_running() -> None:
    """Kill the running behave processes and their children."""
    for process in list(_running):
        _kill_group(process)


def read_outcomes(run: BehaveRun, *, filtered: bool) -> list[Outcome]:
    """Convert behave's report to outcomes; any status other than passed is a failure."""
    if run.timed_out:
        return [_whole_file(run, f"ended after {FEATURE_TIMEOUT_S} s")]
    try:
        features: list[dict[str, Any]] = json.loads(run.report or "[]")
    except json.JSONDecodeError:
        return [_whole_file(run, f"behave ended with code {run.exit_code} and no whole report")]
    elements = [element for feature in features for element in feature.get("elements", [])]
    scenarios = [element for element in elements if element["type"] != "background"]
    if filtered:
        scenarios = [element for element in scenarios if element.get("status") != SKIPPED]
    outcomes = [_scenario_outcome(element, run=run) for element in scenarios]
    if not outcomes and not filtered:
        return [_whole_file(run, f"no scenario ran; behave ended with code {run.exit_code}")]
    all_passed = all(outcome.passed for outcome in outcomes)
    if RUN_LEVEL_ERROR.search(run.output) or (run.exit_code != 0 and all_passed):
        outcomes.append(_whole_file(run, f"behave ended with code {run.exit_code}"))
    return outcomes


def _run_behave(path: str, *, name: str | None, folder: Path) -> BehaveRun:
    report = folder / "report.json"
    output = folder / "output.txt"
    command = [sys.executable, "-m", "behave", "--no-color", "--show-skipped"]
    command += ["--format", REPORT_FORMAT, "--outfile", str(report)]
    if name is not None:
        command += ["--name", name]
    command.append(path)
    # A file, not a pipe: a leftover child process would keep a pipe open and block the read.
    with output.open("wb") as sink:
        process = subprocess.Popen(
            command,
            env=_environment(),
            stdin=subprocess.DEVNULL,
            stdout=sink,
            stderr=subprocess.STDOUT,
            start_new_session=True,
        )
        timed_out = _wait(process)
    return BehaveRun(
        feature=path,
        exit_code=process.returncode,
        timed_out=timed_out,
        report=report.read_text(encoding="utf-8") if report.exists() else "",
        output=output.read_text(encoding="utf-8", errors="replace"),
    )


def _environment() -> dict[str, str]:
    """Return the environment with this folder on PYTHONPATH, for REPORT_FORMAT."""
    search_path = [str(TOOLS), os.environ.get("PYTHONPATH", "")]
    return os.environ | {"PYTHONPATH": os.pathsep.join(filter(None, search_path))}


def _wait(process: subprocess.Popen[bytes]) -> bool:
    """Wait for the process; return whether it timed out and was killed with its children."""
    _running.add(process)
    try:
        process.wait(timeout=FEATURE_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        _kill_group(process)
        process.wait()
        return True
    finally:
        _running.discard(process)
    return False


def _kill_group(process: subprocess.Popen[bytes]) -> None:
    with contextlib.suppress(ProcessLookupError):
        os.killpg(process.pid, signal.SIGKILL)


def _whole_file(run: BehaveRun, reason: str) -> Outcome:
    return Outcome(run.feature, WHOLE_FILE, passed=False, detail=f"{reason}\n{run.output}")


def _scenario_outcome(element: dict[str, Any], *, run: BehaveRun) -> Outcome:
    scenario = element["name"].strip()
    if element.get("status") == PASSED and element.get("steps"):
        return Outcome(run.feature, scenario, passed=True)
    detail = _failing_step(element, run=run) or _stepless_detail(element, run=run)
    return Outcome(run.feature, scenario, passed=False, detail=detail)


def _failing_step(element: dict[str, Any], *, run: BehaveRun) -> str:
    """Describe the first step that ran without passing; empty if there is none."""
    # behave reports no result for an undefined or unreached step.
    without_result = UNDEFINED if element.get("status") == UNDEFINED else UNTESTED
    for step in element.get("steps", []):
        result = step.get("result", {})
        status = result.get("status", without_result)
        if status in (PASSED, SKIPPED, UNTESTED):
            continue
        message = "" if status == UNDEFINED else _error_text(result, run)
        return (
            f"{step['keyword']} {step['name']} ({status}, {step['location']})\n{message}".rstrip()
        )
    return ""


def _error_text(result: dict[str, Any], run: BehaveRun) -> str:
    """Return the step's error text, or behave's output if there is none."""
    message = result.get("error_message") or run.output
    return message if isinstance(message, str) else "\n".join(message)


def _stepless_detail(element: dict[str, Any], *, run: BehaveRun) -> str:
    """Describe why a scenario without a failing step counts as failed."""
    if not element.get("steps"):
        return "the scenario has no steps: write some"
    return f"no step failed: scenario {element.get('status', 'without a status')}\n{run.output}"
