"""Steps for the outcome classes of the load command."""

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from mimosaspur_load.outcomes import Seen
from mimosaspur_load.outcomes import Wanted
from mimosaspur_load.outcomes import classify

YES_NO = {"yes": True, "no": False}


@given('a request whose right answers are "{first}" and "{second}", due within {deadline:d} ms')
def set_expected_answers(context: Context, first: str, second: str, deadline: int) -> None:
    context.wanted = Wanted(frozenset({first.strip(), second.strip()}), deadline)


@when(
    'its caller saw status {status:d}, text "{text}", whole {whole}, broken {broken} at {end:d} ms'
)
def record_answer(
    context: Context, status: int, text: str, whole: str, broken: str, end: int
) -> None:
    context.seen = Seen(
        status=status, text=text, whole=YES_NO[whole], broken=YES_NO[broken], end_ms=end
    )


@when('its caller saw status {status:d}, text "", whole {whole}, broken {broken} at {end:d} ms')
def record_empty_answer(context: Context, status: int, whole: str, broken: str, end: int) -> None:
    context.seen = Seen(status=status, whole=YES_NO[whole], broken=YES_NO[broken], end_ms=end)


@when(
    'its error was code {code:d} with outcome "{outcome}", and it ran {runs:d} times, keyed {keyed}'
)
def record_error(context: Context, code: int, outcome: str, runs: int, keyed: str) -> None:
    context.seen.error_code = code
    context.seen.error_outcome = outcome
    context.runs = runs
    context.keyed = YES_NO[keyed]


@when('its error was code {code:d} with outcome "", and it ran {runs:d} times, keyed {keyed}')
def record_error_without_outcome(context: Context, code: int, runs: int, keyed: str) -> None:
    record_error(context, code, "", runs, keyed)


@then('it is classed as "{name}"')
def check_class(context: Context, name: str) -> None:
    found = classify(context.seen, context.wanted, runs=context.runs, keyed=context.keyed)
    assert found.value == name, found
