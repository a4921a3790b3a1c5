"""Steps that check what is known of a request's runs."""

from behave import given
from behave import then
from behave.runner import Context

from mimosaspur_coordination.requestoutcome import RequestOutcome
from mimosaspur_coordination.requestoutcome import RunEnd

CONTINUED = "continued:"


@given("a request that is sent and ends as {runs}")
def send(context: Context, runs: str) -> None:
    context.outcome = RequestOutcome()
    for number, run in enumerate(runs.split()):
        if run == "nothing":
            continue
        sent = context.outcome.on_sent(
            f"t-{number}", connection=number, continues=run.startswith(CONTINUED)
        )
        sent.end = RunEnd(run.removeprefix(CONTINUED))


@then("it {may} have run, and {count:d} runs of it count")
def check(context: Context, may: str, count: int) -> None:
    assert context.outcome.may_have_run() is (may == "may")
    assert context.outcome.run_count() == count
