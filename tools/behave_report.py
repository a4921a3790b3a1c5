"""Write behave's JSON report with the error text of every step that has one."""

from behave.formatter.json import JSONFormatter
from behave.model import Step


class ReportFormatter(JSONFormatter):
    """Include the error text of steps that end in an error or a failed hook."""

    def result(self, step: Step) -> None:
        """Record the step's result and full error text."""
        index = self._step_index
        super().result(step)
        if step.error_message:
            result = self.current_feature_element["steps"][index]["result"]
            result["error_message"] = step.error_message
