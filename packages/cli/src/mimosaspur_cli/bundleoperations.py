"""Perform operators' actions on bundles."""

from pathlib import Path

from expression import Result

from mimosaspur_cli.bundlefile import read_bundle_file
from mimosaspur_cli.platform import Platform
from mimosaspur_cli.platform import run_operation
from mimosaspur_coordination import bundlestatus
from mimosaspur_coordination import rolls
from mimosaspur_coordination.bundlestatus import BundleStatus
from mimosaspur_coordination.bundlestatus import Difference
from mimosaspur_coordination.rolls import RollResult
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import MimosaspurError
from mimosaspur_state.records import Approval
from mimosaspur_state.records import WrittenBundle


def write(platform: Platform, path: Path, operator: str) -> Result[WrittenBundle, MimosaspurError]:
    """Write the bundle in a file."""

    def operation() -> WrittenBundle:
        bundle = read_bundle_file(path)
        return rolls.write_bundle(platform.store, platform.clock, bundle, operator=operator)

    return run_operation(operation)


def approve(platform: Platform, name: str, operator: str) -> Result[Approval, MimosaspurError]:
    """Approve a written bundle."""
    return run_operation(
        lambda: rolls.approve(platform.store, platform.clock, name, operator=operator)
    )


def roll(
    platform: Platform, name: str, operator: str, *, without_fit_check: bool
) -> Result[RollResult, MimosaspurError]:
    """Roll an approved bundle."""
    return run_operation(
        lambda: rolls.roll(
            platform.store,
            platform.clock,
            name,
            operator=operator,
            without_fit_check=without_fit_check,
        )
    )


def show(platform: Platform, name: str) -> Result[WrittenBundle, MimosaspurError]:
    """Return a written bundle, or the one in force if no name is given."""
    return run_operation(lambda: _read_bundle_or_current(platform, name))


def diff(platform: Platform, first: str, second: str) -> Result[list[Difference], MimosaspurError]:
    """Compare two written bundles, or the one in force with a single bundle."""

    def operation() -> list[Difference]:
        before = _read_bundle_or_current(platform, first if second else "")
        after = _read_bundle_or_current(platform, second or first)
        return bundlestatus.diff(before.bundle, after.bundle)

    return run_operation(operation)


def status(platform: Platform) -> Result[BundleStatus, MimosaspurError]:
    """Return the bundle in force and the bundles that are not rolled yet."""
    return run_operation(lambda: bundlestatus.status(platform.store))


def _read_bundle_or_current(platform: Platform, name: str) -> WrittenBundle:
    if name:
        return rolls.read_bundle(platform.store, name)
    head, _ = rolls.read_head(platform.store)
    if head is None:
        raise MimosaspurError(ResultCode.UNKNOWN_BUNDLE, "No bundle is in force yet.")
    return rolls.read_bundle(platform.store, head.current.bundle)
