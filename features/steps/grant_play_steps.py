"""Steps that check what requests spend of what they were granted."""

from collections import Counter

from behave import then
from behave import when
from behave.runner import Context

from harness.grant_play import GrantPlay

# Least numbers, over all plays, of what the checks are about.
LEAST_LIMITED = 200
LEAST_RETURNED = 20
LEAST_RETRIES = 20


@when(
    "{count:d} plays of requests that end as they get permits and connections are played "
    "from seed {seed:d} on"
)
def play_grants(context: Context, count: int, seed: int) -> None:
    context.audits, context.spent_retries = {}, 0
    for number in range(seed, seed + count):
        play = GrantPlay(number)
        play.play()
        context.audits[number] = play.audit
        context.spent_retries += len(play.entry.state.retry_window("service").repeats)


@then(
    "each permit, quota, share, retry and connection is spent or given back once, under its limit"
)
def check_grants(context: Context) -> None:
    faults = [
        f"seed {seed}: {fault}" for seed, audit in context.audits.items() for fault in audit.faults
    ]
    assert not faults, f"{len(faults)} faults:\n" + "\n".join(faults[:8])


@then("permits of limits were used and given back, and retries were spent")
def check_variety(context: Context) -> None:
    seen: Counter[str] = Counter()
    for audit in context.audits.values():
        limited = [each for each in audit.permits if each.permit.lapses_ms is not None]
        seen["limited"] += len(limited)
        seen["returned"] += sum(each.returns for each in limited)
    assert seen["limited"] >= LEAST_LIMITED, seen
    assert seen["returned"] >= LEAST_RETURNED, seen
    assert context.spent_retries >= LEAST_RETRIES, context.spent_retries
