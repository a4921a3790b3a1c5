"""Read target statuses by region and check that a bundle fits in every region."""

from urllib.parse import unquote

from mimosaspur_coordination.fit import check_fit
from mimosaspur_state.bundle import Bundle
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import MimosaspurError
from mimosaspur_state.objects import ObjectStore
from mimosaspur_state.records import TargetStatus

STATUS_PREFIX = "status/"


def statuses_by_region(store: ObjectStore) -> dict[str, list[TargetStatus]]:
    """Return the last known status of every target, by region."""
    found: dict[str, list[TargetStatus]] = {}
    for item in store.list(STATUS_PREFIX).objects:
        region = region_of(item.key)
        found.setdefault(region, []).append(TargetStatus.from_value(item.value))
    return found


def region_of(key: str) -> str:
    """Return the region in a key's second segment."""
    return unquote(key.split("/")[1])


def check_fit_everywhere(
    store: ObjectStore, bundle: Bundle, in_force: Bundle | None, *, allow_unknown_status: bool
) -> None:
    """Raise BUNDLE_DOES_NOT_FIT unless the bundle fits in each region separately."""
    regions = statuses_by_region(store)
    if not regions and not allow_unknown_status:
        detail = "No target's status is known. Start targets, or roll --without-fit-check."
        raise MimosaspurError(ResultCode.BUNDLE_DOES_NOT_FIT, detail)
    for region, targets in regions.items():
        try:
            check_fit(bundle, in_force, targets)
        except MimosaspurError as error:
            detail = f"In region {region!r}: {error.detail}"
            raise MimosaspurError(error.code, detail) from error
