"""Start the process manager of each scenario and stop its processes afterwards."""

from behave.model import Scenario
from behave.runner import Context

from mimosaspur_load.processes import Processes

ANNOUNCE_TIMEOUT_S = 15.0


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Create the scenario's process manager."""
    context.processes = Processes(announce_s=ANNOUNCE_TIMEOUT_S)


def after_scenario(context: Context, scenario: Scenario) -> None:
    """Stop the scenario's processes."""
    context.processes.close()
