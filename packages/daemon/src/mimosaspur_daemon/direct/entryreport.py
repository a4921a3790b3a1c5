"""Build an entry's report to the coordinator."""

from mimosaspur_coordination.unmetdemand import UnmetReport
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.entrystate import UnreportedDemand
from mimosaspur_daemon.direct.fleetreport import pace_messages
from mimosaspur_daemon.direct.loadmessages import load_messages
from mimosaspur_daemon.direct.sharemessages import use_messages
from mimosaspur_daemon.direct.speedmessages import speed_messages
from mimosaspur_protocol.peermessages import AdapterDemandUpdate
from mimosaspur_protocol.peermessages import EntryReport
from mimosaspur_protocol.peermessages import ModelDemandUpdate
from mimosaspur_protocol.peermessages import QuotaSpending
from mimosaspur_protocol.peermessages import TargetWork

NO_DEMAND = UnreportedDemand()
NO_UNMET = UnmetReport()


def build_entry_report(state: EntryState) -> EntryReport:
    """Return an entry's report to the coordinator, and reset its counts of demand."""
    work = [
        TargetWork(
            identity,
            view.own_work.requests,
            {
                rank: round(tokens)
                for rank, tokens in view.own_work.prefill_tokens.items()
                if tokens >= 1
            },
            view.own_work.held_tokens,
            dict(view.own_work.by_model),
        )
        for identity, view in state.fleet.targets.items()
        if view.own_work.requests
    ]
    asked = _take_model_demand(state)
    unreachable = sorted(state.unreachable)
    state.unreachable.clear()
    instance = state.settings.instance
    asked_adapters = [
        AdapterDemandUpdate(*key, n) for key, n in state.unreported_adapter_requests.items()
    ]
    state.unreported_adapter_requests.clear()
    waiting = list(state.waiting_adapters)
    number = state.reported_work.add_report(work)
    state.report_times.on_sent(number)
    state.load_outlook.on_reported(number, state.waiting)
    spendings = state.quotas.take_report(number)
    suspects = state.quarantine.turns.demand()
    return EntryReport(
        instance,
        number,
        work,
        asked,
        waiting,
        unreachable,
        asked_adapters,
        pace_messages(state.fleet.paces.take_changes()),
        state.leaving,
        state.version(),
        [QuotaSpending(each.workspace, each.spent, each.refused) for each in spendings],
        # The coordinator sends its own crashes and limits to all members.
        [] if state.coordinating else state.quarantine.take_reports(),
        [] if state.coordinating else state.notices.take_updates(),
        state.notices.permit_requests(),
        state.notices.holder.clock.now_ms(),
        state.notices.holder.received_number,
        state.stream_versions.address,
        [] if state.coordinating else load_messages(state.outstanding_loads.take_unreported()),
        [] if state.coordinating else state.notices.leaving.take_unreported(),
        sorted(suspects.sent),
        list(suspects.waiting),
        state.quarantine.turns.received_number,
        state.settings.failure_domain,
        speed_messages(state.fleet.take_speeds()),
        use_messages(state.shares.take_report()),
        state.quarantine.turns.crashes_number,
        state.quarantine.answer_number(),
    )


def _take_model_demand(state: EntryState) -> list[ModelDemandUpdate]:
    """Return the demand for each model, and reset its counts."""
    unmet = state.unmet.take_report()
    asked = []
    for model in {*state.unreported_demand, *state.waiting, *unmet}:
        one = state.unreported_demand.get(model, NO_DEMAND)
        unmet_report = unmet.get(model, NO_UNMET)
        # Without new requests, those that wait tell their objective again: the coordinator may be
        # another one.
        objective_ms = one.objective_ms if one.tokens else unmet_report.objective_ms
        priorities = [one.priority] if one.tokens else []
        priorities += [unmet_report.priority] if model in unmet else []
        asked.append(
            ModelDemandUpdate(
                model,
                one.tokens,
                state.waiting.get(model, 0),
                objective_ms,
                unmet_report.urgent_waiting,
                min(priorities, default=0),
                unmet_report.rejected,
            )
        )
    state.unreported_demand.clear()
    return asked
