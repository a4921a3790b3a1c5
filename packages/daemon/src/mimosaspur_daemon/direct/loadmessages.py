"""Convert loads that engines may still carry out to messages between entries, and apply these."""

from collections.abc import Iterable
from collections.abc import Mapping

from mimosaspur_coordination.outstandingloads import OrderedLoad
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_protocol.peermessages import LoadUpdate


def load_messages(loads: Mapping[OrderedLoad, int]) -> list[LoadUpdate]:
    """Return loads as messages, given the remaining time of each in milliseconds."""
    return [
        LoadUpdate(
            load.identity,
            load.started_ms,
            load.model,
            load.adapter,
            load.expected_sequence,
            remaining_ms,
        )
        for load, remaining_ms in loads.items()
    ]


def apply_load_messages(state: EntryState, messages: Iterable[LoadUpdate], *, relay: bool) -> None:
    """Merge the loads that another instance knows of; relay them if this one coordinates."""
    for each in messages:
        load = OrderedLoad(
            each.identity, each.started_ms, each.model, each.adapter, each.expected_sequence
        )
        new = state.outstanding_loads.merge(load, each.remaining_ms, report=relay)
        if new and relay:
            state.log.write(
                "load_inherited",
                target=each.identity,
                model=each.model,
                adapter=each.adapter,
                expected=each.expected_sequence,
                remaining_ms=each.remaining_ms,
            )
