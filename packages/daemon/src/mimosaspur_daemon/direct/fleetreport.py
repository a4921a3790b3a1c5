"""Put together what the coordinator tells an entry of the fleet, and take it there."""

from collections.abc import Iterable
from collections.abc import Mapping

from mimosaspur_coordination.modelpace import Pace
from mimosaspur_daemon.direct.enginedesk import EngineDesk
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.storenews import apply_store_news
from mimosaspur_protocol.peermessages import FleetReport
from mimosaspur_protocol.peermessages import PaceOf
from mimosaspur_protocol.peermessages import Residents
from mimosaspur_protocol.peermessages import WorkAt


def total_work(
    reports: Iterable[Mapping[str, WorkAt]], targets: Iterable[str]
) -> dict[str, WorkAt]:
    """Sum up the entries' work by target; what has ended at a target is told as none."""
    totals = {target: _no_work(target) for target in targets}
    for work_at in reports:
        for target, work in work_at.items():
            totals[target] = _sum(totals.get(target, _no_work(target)), work, sign=1)
    return totals


def work_of_others(totals: Mapping[str, WorkAt], own: Mapping[str, WorkAt]) -> Mapping[str, WorkAt]:
    """Return the total work less that of one entry."""
    others = dict(totals)
    for target, work in own.items():
        others[target] = _sum(totals[target], work, sign=-1)
    return others


def residents_of(desk: EngineDesk) -> Residents:
    """Return what an engine holds, as entries are told it."""
    if desk.lost():
        return Residents(desk.record.identity, {}, [])
    models = {model: sorted(adapters) for model, adapters in desk.residents.items()}
    return Residents(desk.record.identity, models, sorted(desk.closing))


def paces_told(paces: Mapping[str, Pace]) -> list[PaceOf]:
    """Return models' paces as they are told."""
    return [PaceOf(model, pace.factor, pace.measurements) for model, pace in paces.items()]


def apply_report(state: EntryState, report: FleetReport) -> None:
    """Take the coordinator's report into an entry's picture of the fleet."""
    state.entries = report.entries
    state.staying = report.staying
    if report.store:
        apply_store_news(state, report.store)
    for work in report.work:
        view = state.fleet.targets.get(work.target)
        if view:
            view.others.requests = work.requests
            view.others.unread = work.unread
            view.others.held_tokens = work.held_tokens
    for each in report.residents:
        models = {model: frozenset(adapters) for model, adapters in each.models.items()}
        state.fleet.tell_residents(each.target, models, frozenset(each.closing))
    for told in report.paces:
        state.fleet.paces.adopt(told.model, Pace(told.factor, told.measurements))
    state.expected_ms = report.expected
    if report.work or report.residents or report.expected:
        state.changes.notify()


def _no_work(target: str) -> WorkAt:
    return WorkAt(target, 0, {}, 0, {})


def _sum(first: WorkAt, second: WorkAt, *, sign: int) -> WorkAt:
    """Return two works at a target added up, or the first less the second; models are left out."""
    unread = dict(first.unread)
    for rank, tokens in second.unread.items():
        unread[rank] = unread.get(rank, 0) + sign * tokens
        if not unread[rank]:
            del unread[rank]
    requests = first.requests + sign * second.requests
    held_tokens = first.held_tokens + sign * second.held_tokens
    return WorkAt(first.target, requests, unread, held_tokens, {})
