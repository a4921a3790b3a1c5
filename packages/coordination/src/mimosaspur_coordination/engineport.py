"""Define the port to a model engine's administration."""

from typing import Protocol

from mimosaspur_state.engine import EngineLoad
from mimosaspur_state.engine import EngineOrder
from mimosaspur_state.engine import EngineState
from mimosaspur_state.engine import OrderState


class EnginePort(Protocol):
    """Ask and order one engine; every call raises EngineUnavailable when unanswered."""

    def state(self) -> EngineState:
        """Return the engine's whole report."""
        ...

    def load(self) -> EngineLoad:
        """Return the engine's view of its load."""
        ...

    def order(self, order: EngineOrder) -> OrderState:
        """Give an order; raise OrderFenced or OrderRefused when it surely takes no effect."""
        ...
