"""Write logs: one JSON line each, a short sentence with a fixed prefix for each part."""

import sys

import eliot


def log(part: str, sentence: str, **fields: object) -> None:
    """Log one sentence of a part with its fields."""
    eliot.log_message(message_type=part, message=f"{part}: {sentence}", **fields)


def log_to_stderr() -> None:
    """Send the logs of this process to standard error."""
    eliot.to_file(sys.stderr)
