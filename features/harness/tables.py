"""Read the tables of steps."""

from behave.model import Row
from behave.runner import Context


def table_rows(context: Context) -> list[Row]:
    """Return the rows of a step's table."""
    assert context.table, "the step needs a table"
    return list(context.table)
