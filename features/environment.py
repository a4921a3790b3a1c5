"""Give each scenario its own processes and end them after it."""

from behave.model import Scenario
from behave.runner import Context

from harness.processes import Processes


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Prepare the scenario's processes."""
    context.processes = Processes()


def after_scenario(context: Context, scenario: Scenario) -> None:
    """End the scenario's processes."""
    context.processes.close()
