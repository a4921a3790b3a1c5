"""Write behave's JSON report with the error text of every step that has one."""

from behave.formatter.json import JSONFormatter
from behave.model import Step


class ReportFormatter(JSONFormatter):
    """Keep the error text also for steps that end in an error or in a failed hook."""

    def result(self, step: Step) -> None:
        """Record the step's result and whole error text."""
        index = self._step_index
        super().result(step)
        if step.error_message:
            result = self.current_feature_element["steps"][index]["result"]
            result["error_message"] = step.error_message
