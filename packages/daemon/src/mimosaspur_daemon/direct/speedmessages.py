"""Translate the speeds of engines to messages between entries and their coordinator, and back."""

from collections.abc import Iterable

import msgspec

from mimosaspur_coordination.enginespeed.estimate import SpeedUpdate
from mimosaspur_protocol.peermessages import EngineSpeedUpdate


def speed_messages(updates: Iterable[SpeedUpdate]) -> list[EngineSpeedUpdate]:
    """Return speeds as messages."""
    return [
        EngineSpeedUpdate(
            each.target,
            each.started_ms,
            each.prefill,
            each.prefill_measurements,
            each.decode,
            each.decode_measurements,
        )
        for each in updates
    ]


def speeds_of(messages: Iterable[EngineSpeedUpdate]) -> list[SpeedUpdate]:
    """Return the speeds that messages hold."""
    return [SpeedUpdate(*msgspec.structs.astuple(each)) for each in messages]
