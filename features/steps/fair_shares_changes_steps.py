"""Steps for the shares of workspaces while one coordinator follows another."""

from behave import then
from behave import when
from behave.runner import Context

from harness.direct_fleet import ManualClock
from mimosaspur_coordination.shares.division import Share
from mimosaspur_coordination.shares.issuer import ShareIssuer
from mimosaspur_daemon.direct.members import Member

# Shorter than the interval of the coordinator's heartbeats.
STEP_MS = 100
# About twice what the earlier coordinator was told of.
NEW_USE = {"north": 18_000, "south": 1_200}


@when("another coordinator follows and {divides} for {ms:d} ms")
def follow_other_coordinator(context: Context, divides: str, ms: int) -> None:
    state, members = context.state, context.followed.members
    context.earlier = state.shares.share("service", "north")
    assert context.earlier
    clock = ManualClock(state.clock.now_ms())
    shares = state.shares
    shares.clock = shares.observed.clock = clock
    state.on_coordinator_lost()
    members.shares = ShareIssuer(clock=clock)
    members.add("coordinator", Member())
    _send(context)
    if divides == "limits north anew":
        for workspace, tokens in NEW_USE.items():
            shares.on_asked("service", workspace, tokens)
            shares.on_served("service", workspace, 4_000)
        shares.on_shortage("service")
        members.shares.apply_use("coordinator", shares.take_report())
    for _ in range(ms // STEP_MS + 1):
        _send(context)
        clock.ms += STEP_MS
    clock.ms -= STEP_MS


def _send(context: Context) -> None:
    # The next report is sent whether or not anything has changed.
    updates = context.followed.updates
    updates.last_sent_ms = 0
    updates.send_updates([], context.followed.lease)


@then("the share in force for north is {share}")
def check_share_in_force(context: Context, share: str) -> None:
    found: Share | None = context.state.shares.share("service", "north")
    if share == "none":
        assert found is None, found
    elif share == "its own":
        assert found and found.per_s > 1.5 * context.earlier.per_s, (found, context.earlier)
    else:
        assert found == context.earlier, (found, context.earlier)
