"""Steps for a version that went and came back while an entry was out of touch."""

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_fleet import ManualClock
from mimosaspur_coordination.fleetports import VersionRecord
from mimosaspur_coordination.streams.versionhistory import VersionHistory

SERVICE = "models"
LAG_MS = 2_000
LIFETIME_MS = 15_000
STEP_MS = 100


def _read(history: VersionHistory, *versions: str) -> None:
    history.update({SERVICE: versions})
    history.confirm(age_ms=0)


@given("two entries that have long known v1 and v2, which the record names")
def know_both(context: Context) -> None:
    context.clock = ManualClock(100_000)
    context.entries = [
        VersionHistory(clock=context.clock, lag_ms=LAG_MS, lifetime_ms=LIFETIME_MS)
        for _ in range(2)
    ]
    for each in context.entries:
        _read(each, "v1", "v2")
        each.apply_record(
            VersionRecord({SERVICE: {"v1": True, "v2": True}}, 1), asked_ms=context.clock.now_ms()
        )
    for _ in range(2 * LIFETIME_MS // STEP_MS):
        context.clock.ms += STEP_MS
        for each in context.entries:
            _read(each, "v1", "v2")


@when("v2 goes and comes back {away_ms:d} ms later, and the first one reads no list meanwhile")
def come_back(context: Context, away_ms: int) -> None:
    for _ in range(away_ms // STEP_MS):
        context.clock.ms += STEP_MS
        _read(context.entries[1], "v1")
    context.clock.ms += STEP_MS
    _read(context.entries[0], "v1", "v2")


@then("the first one begins no stream at v2 while the other takes v1 for the only version")
def check_not_begun(context: Context) -> None:
    first, other = context.entries
    begins, sole = first.may_begin(SERVICE, "v2"), other.sole_version(SERVICE)
    assert not (begins and sole == "v1"), (begins, sole)
