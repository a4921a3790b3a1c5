"""Run one stand-in: `python -m mimosaspur_standins KIND [options]`."""

import argparse
import json
import signal
import sys

from .base import StandIn
from .engine import Engine
from .objectapi import ObjectApi
from .relay import Relay
from .service import Service
from .weightstore import WeightStore

EPHEMERAL_ADDRESS = "127.0.0.1:0"
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
CLASSES: dict[str, type[StandIn]] = {
    "objectapi": ObjectApi,
    "weightstore": WeightStore,
    "engine": Engine,
    "service": Service,
    "relay": Relay,
}


def build_parser() -> argparse.ArgumentParser:
    """Build the command line; each option is a parameter of the stand-in's class."""
    parser = argparse.ArgumentParser(prog="mimosaspur_standins")
    commands = parser.add_subparsers(dest="stand_in", required=True)
    subparsers = {kind: commands.add_parser(kind) for kind in CLASSES}
    for kind, subparser in subparsers.items():
        subparser.add_argument("--name", default=kind)
        subparser.add_argument("--address", default=EPHEMERAL_ADDRESS)
    add_objectapi_options(subparsers["objectapi"])
    add_weightstore_options(subparsers["weightstore"])
    add_engine_options(subparsers["engine"])
    subparsers["service"].add_argument("--work-ms", type=float, default=0)
    subparsers["relay"].add_argument("--to", required=True)
    subparsers["relay"].add_argument("--control", default=EPHEMERAL_ADDRESS)
    return parser


def add_objectapi_options(subparser: argparse.ArgumentParser) -> None:
    """Add the object API's options; a rate of 0 means no limit."""
    subparser.add_argument("--writes-per-second", type=int, default=0)
    subparser.add_argument("--reads-per-second", type=int, default=0)
    subparser.add_argument("--lag-ms", type=float, default=0)


def add_weightstore_options(subparser: argparse.ArgumentParser) -> None:
    """Add the weight store's options; a rate of 0 means no limit."""
    subparser.add_argument("--loads-per-second", type=int, default=0)
    subparser.add_argument("--at-once", type=int, default=8)
    subparser.add_argument("--ms-per-gb", type=float, default=10)


def add_engine_options(subparser: argparse.ArgumentParser) -> None:
    """Add the engine's options."""
    subparser.add_argument("--capacity-mb", type=int, action="append", required=True)
    subparser.add_argument("--slots", type=int, default=8)
    subparser.add_argument("--prefill-ms", type=float, default=20)
    subparser.add_argument("--token-ms", type=float, default=2)
    subparser.add_argument("--weights")
    subparser.add_argument("--load-ms", type=float, default=50)
    subparser.add_argument("--unload-ms", type=float, default=10)
    subparser.add_argument("--ignore-fencing", action="store_true")
    subparser.add_argument("--load-lag-ms", type=float, default=0)
    subparser.add_argument("--cache-lag-ms", type=float, default=100)
    subparser.add_argument("--cache-gap-every", type=int, default=0)


def main() -> int:
    """Serve until SIGTERM or SIGINT."""
    # Blocked before any thread starts, so that only sigwait receives the signals.
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    options = vars(build_parser().parse_args())
    stand_in = CLASSES[options.pop("stand_in")](**options)
    stand_in.start()
    sys.stdout.write(json.dumps(stand_in.announcement()) + "\n")
    sys.stdout.flush()
    signal.sigwait(STOP_SIGNALS)
    return 0


if __name__ == "__main__":
    sys.exit(main())
