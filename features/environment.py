"""Give each scenario its own processes and end them after it."""

from behave.model import Scenario
from behave.runner import Context

from mimosaspur_load.processes import Processes

ANNOUNCE_TIMEOUT_S = 15.0


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Prepare the scenario's processes."""
    context.processes = Processes(announce_s=ANNOUNCE_TIMEOUT_S)


def after_scenario(context: Context, scenario: Scenario) -> None:
    """End the scenario's processes."""
    context.processes.close()
