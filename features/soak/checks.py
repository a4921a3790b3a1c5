"""List the checks by the rule that they judge."""

from collections.abc import Callable

from soak.fleetrules import check_budget
from soak.fleetrules import check_drain
from soak.fleetrules import check_ended
from soak.fleetrules import check_one
from soak.lossrules import check_lost
from soak.record import Record
from soak.rules import check_mixed
from soak.rules import check_order
from soak.rules import check_refused
from soak.rules import check_twice
from soak.rules import check_unasked

CHECKS: dict[str, Callable[[Record], list[str]]] = {
    "REFUSED": check_refused,
    "TWICE": check_twice,
    "ORDER": check_order,
    "LOST": check_lost,
    "MIXED": check_mixed,
    "UNASKED": check_unasked,
    "ONE": check_one,
    "DRAIN": check_drain,
    "BUDGET": check_budget,
    "ENDED": check_ended,
}


def judge(record: Record) -> list[str]:
    """Return a line for each broken case, with its rule."""
    return [f"{rule}: {case}" for rule, check in CHECKS.items() for case in check(record)]
