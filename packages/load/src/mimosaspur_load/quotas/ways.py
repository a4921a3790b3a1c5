"""List the ways to hold quotas that are compared."""

from collections.abc import Callable

from mimosaspur_load.quotas.evensplit import EvenSplit
from mimosaspur_load.quotas.leasedshares import LeasedShares
from mimosaspur_load.quotas.toldlevels import ToldLevels
from mimosaspur_load.quotas.way import Way

WAYS: dict[str, Callable[..., Way]] = {
    "even": EvenSplit,
    "leased": LeasedShares,
    "told": ToldLevels,
}
