"""Soak real entries with the faults of some seeds: python -m soak --seeds 50 --from 1."""

import argparse
import sys
from collections.abc import Sequence
from enum import IntEnum

from soak.run import describe
from soak.run import run_seed
from soak.schedule import CALLERS
from soak.schedule import FAULTS
from soak.schedule import MEAN_GAP_S
from soak.schedule import draw_schedule

DEFAULT_SECONDS = 40.0


class ExitCode(IntEnum):
    """Define the exit codes of this command."""

    OK = 0
    BROKEN_RULE = 1


def main(arguments: Sequence[str] | None = None) -> ExitCode:
    """Run the seeds one after another; return whether all kept the rules."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds to run")
    parser.add_argument("--from", type=int, default=1, dest="first", help="the first seed")
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS, help="of each seed")
    parser.add_argument("--entries", type=int, default=0, help="drawn by the seed by default")
    parser.add_argument("--callers", type=int, default=CALLERS, help="callers at a time")
    parser.add_argument(
        "--only", nargs="+", default=list(FAULTS), choices=FAULTS, help="the faults to play"
    )
    parser.add_argument(
        "--gap", type=float, default=MEAN_GAP_S, help="mean seconds between two faults"
    )
    parser.add_argument("--keep", action="store_true", help="keep the logs of all seeds")
    options = parser.parse_args(arguments)
    failed = []
    for seed in range(options.first, options.first + options.seeds):
        schedule = draw_schedule(
            seed,
            options.seconds,
            entries=options.entries,
            callers=options.callers,
            only=options.only,
            gap_s=options.gap,
        )
        result = run_seed(schedule, keep=options.keep)
        print(describe(result), flush=True)
        failed += [str(seed)] if result.cases else []
    print(f"soak: {options.seeds - len(failed)} seeds kept the rules, {len(failed)} did not")
    if failed:
        print(f"failed seeds: {', '.join(failed)}")
    return ExitCode.BROKEN_RULE if failed else ExitCode.OK


if __name__ == "__main__":
    sys.exit(main())
