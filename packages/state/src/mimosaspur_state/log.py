"""Write logs as JSON lines whose message has the component as a prefix."""

import sys

import eliot


def log(component: str, text: str, **fields: object) -> None:
    """Log one message of a component with its fields."""
    eliot.log_message(message_type=component, message=f"{component}: {text}", **fields)


def log_to_stderr() -> None:
    """Write the logs of this process to standard error."""
    eliot.to_file(sys.stderr)
