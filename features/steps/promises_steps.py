"""Steps that check what an entry says of requests that may have run."""

from collections import Counter

from behave import then
from behave import when
from behave.runner import Context

from harness.promise_play import NOT_RUN_STATUSES
from harness.promise_play import PromisePlay

UNKNOWN_STATUSES = (502, 504)


@when(
    "{count:d} plays of requests whose runs end as their time limit passes are played "
    "from seed {seed:d} on"
)
def play_promises(context: Context, count: int, seed: int) -> None:
    context.calls = {number: PromisePlay(number).play() for number in range(seed, seed + count)}


@then("no request that was answered as not run has run")
def check_promises(context: Context) -> None:
    broken = [
        f"seed {seed}: {call}"
        for seed, calls in context.calls.items()
        for call in calls
        if call.status in NOT_RUN_STATUSES and call.ran_at
    ]
    total = sum(len(calls) for calls in context.calls.values())
    assert not broken, f"{len(broken)} of {total}:\n" + "\n".join(broken[:8])


@then("each of the promises, the answers of unknown outcome and the served requests was seen")
def check_variety(context: Context) -> None:
    statuses = [call.status for calls in context.calls.values() for call in calls]
    seen = Counter(statuses)
    for group in (NOT_RUN_STATUSES, UNKNOWN_STATUSES, (200,)):
        assert sum(seen[status] for status in group) > len(statuses) / 100, seen
