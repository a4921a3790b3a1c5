"""Define the interface to a model engine's administration."""

from typing import Protocol

from mimosaspur_state.engine import EngineLoad
from mimosaspur_state.engine import EngineOrder
from mimosaspur_state.engine import EngineState
from mimosaspur_state.engine import OrderState


class EnginePort(Protocol):
    """Administer one engine; every call raises EngineUnavailable if it gets no answer."""

    def state(self) -> EngineState:
        """Return the engine's full report."""
        ...

    def load(self) -> EngineLoad:
        """Return the load that the engine reports."""
        ...

    def order(self, order: EngineOrder) -> OrderState:
        """Send an order; raise OrderFenced or OrderRefused if it certainly has no effect."""
        ...
