"""Steps for placement by urgency, and for forecasts of loads."""

import re

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import engine_spec
from harness.direct_entry import model_spec
from mimosaspur_coordination.loadforecast import SharedForecast
from mimosaspur_coordination.loadforecast import apply_changes
from mimosaspur_coordination.loadforecast import forecast_loads
from mimosaspur_coordination.placementproblem import PlacementProblem

MODELS = "abcdefgh"
SPEC = engine_spec([model_spec(name) for name in MODELS])


def _values(text: str) -> dict[str, int]:
    return {name: int(ms) for name, ms in re.findall(r"(\w) (-?\d+)", text)}


@when("loads are forecast, {rate}")
def forecast(context: Context, rate: str) -> None:
    problem = PlacementProblem(
        SPEC,
        context.engines,
        context.demand,
        store_load_allowed=rate == "the store is free",
    )
    context.forecast = forecast_loads(problem)


@then("the forecast is {values}")
def check_forecast(context: Context, values: str) -> None:
    assert context.forecast == _values(values), context.forecast


@given("entries were sent the forecast {values}")
def send_forecast(context: Context, values: str) -> None:
    context.shared = SharedForecast()
    context.known = apply_changes({}, context.shared.update(_values(values)))
    assert context.known == _values(values)


@when("the forecast becomes {values}")
def change_forecast(context: Context, values: str) -> None:
    context.sent = context.shared.update(_values(values))
    context.known = apply_changes(context.known, context.sent)


@then("they are sent {values}")
def check_sent(context: Context, values: str) -> None:
    assert context.sent == _values(values), context.sent
    # What an entry has merged is what the coordinator takes as sent.
    assert context.known == context.shared.sent, context.known
