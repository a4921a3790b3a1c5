"""Build the parts of the coordinator's report on the fleet, and apply it at an entry."""

from collections.abc import Iterable
from collections.abc import Mapping

from mimosaspur_coordination.modelpace import Pace
from mimosaspur_coordination.quota.spending import Remaining
from mimosaspur_daemon.direct.enginecontroller import EngineController
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.loadmessages import apply_load_messages
from mimosaspur_daemon.direct.sharemessages import shares_of
from mimosaspur_daemon.direct.speedmessages import speeds_of
from mimosaspur_daemon.direct.storechanges import apply_store_changes
from mimosaspur_protocol.peermessages import EngineResidents
from mimosaspur_protocol.peermessages import FleetReport
from mimosaspur_protocol.peermessages import ModelPaceUpdate
from mimosaspur_protocol.peermessages import TargetWork


class _WorkTotal:
    """Sum the work at one target."""

    __slots__ = ("held_tokens", "requests", "unread")

    def __init__(self) -> None:
        self.requests = 0
        self.unread: dict[int, int] = {}
        self.held_tokens = 0

    def add(self, work: TargetWork) -> None:
        """Add one entry's work."""
        self.requests += work.requests
        self.held_tokens += work.held_tokens
        for rank, tokens in work.prefill_tokens.items():
            self.unread[rank] = self.unread.get(rank, 0) + tokens


def total_work(
    reports: Iterable[Mapping[str, TargetWork]], targets: Iterable[str]
) -> dict[str, TargetWork]:
    """Return the entries' work summed by target; targets without work get a sum of zero."""
    totals = {target: _WorkTotal() for target in targets}
    for work_at in reports:
        for target, work in work_at.items():
            total = totals.get(target)
            if total is None:
                total = totals[target] = _WorkTotal()
            total.add(work)
    return {
        target: TargetWork(target, total.requests, total.unread, total.held_tokens, {})
        for target, total in totals.items()
    }


def residents_of(controller: EngineController) -> EngineResidents:
    """Return what an engine holds, as a message to entries."""
    if controller.lost():
        kept = sorted(controller.residents) if controller.may_return() else []
        return EngineResidents(controller.record.identity, {}, [], kept)
    models = {model: sorted(adapters) for model, adapters in controller.residents.items()}
    return EngineResidents(controller.record.identity, models, sorted(controller.unloading))


def pace_messages(paces: Mapping[str, Pace]) -> list[ModelPaceUpdate]:
    """Return models' paces as messages."""
    return [ModelPaceUpdate(model, pace.factor, pace.measurements) for model, pace in paces.items()]


def apply_report(state: EntryState, report: FleetReport) -> None:
    """Apply the coordinator's report to an entry's state of the fleet."""
    if report.sharer_count != state.retry_share.sharers:
        state.log.write("sharers", sharers=report.sharer_count, token=report.token)
    state.retry_share.renew(report.sharer_count, age_ms=state.report_times.age_ms())
    state.staying_entries = report.staying_count
    state.freshness.record_version(report.configuration_version)
    remaining = [
        Remaining(message.workspace, message.remaining, message.demand_per_s)
        for message in report.quotas
    ]
    state.quotas.apply_update(remaining, entries=report.entry_count)
    state.quotas_received.set()
    state.shares.apply_shares(shares_of(report.shares), entries=report.entry_count)
    state.quarantine.on_coordinator_report(
        evidence_age_ms=report.evidence_age_ms, gives_turns=report.gives_turns
    )
    state.quarantine.apply_reports(report.crashes, relay=False)
    state.quarantine.turns.on_crashes_number(report.crashes_number)
    state.notices.apply_updates(report.limits, relay=False)
    state.notices.apply_leaving(report.leaving_targets, relay=False)
    apply_load_messages(state, report.loads, relay=False)
    state.notices.holder.apply_queues(report.permit_queues)
    state.stream_versions.update_entries(
        [(each.instance, each.address) for each in report.entries_joined],
        report.entries_left,
        complete=report.entries_complete,
    )
    if report.store:
        apply_store_changes(state, report.store)
    if report.work:
        state.load_age.on_update()
    for target, others in state.reported_work.apply_totals(report.work).items():
        view = state.fleet.targets.get(target)
        if view:
            view.others_work = others
    for each in report.residents:
        models = {model: frozenset(adapters) for model, adapters in each.models.items()}
        state.fleet.set_residents(
            each.target,
            models,
            frozenset(each.unloading),
            out_of_reach=frozenset(each.out_of_reach),
        )
    for message in report.paces:
        state.fleet.paces.apply_shared(message.model, Pace(message.factor, message.measurements))
    for _ in range(state.fleet.apply_speeds(speeds_of(report.speeds))):
        state.log.counters.count("engine_speed_ignored", "coordinator")
    loading = None if report.ready_times_hold else report.model_ready_in_ms
    state.load_outlook.on_update(
        loading,
        report.load_forecast,
        by_version=report.version_ready_in_ms,
        can_issue_orders=report.can_issue_orders,
    )
    if report.work or report.residents or loading is not None or report.load_forecast:
        state.changes.notify()
