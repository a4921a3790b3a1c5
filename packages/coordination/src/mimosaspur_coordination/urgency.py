"""Tell demand that can wait for a model's load from demand that can't.

Without the distinction a burst of patient requests takes engines and loads from urgent ones.
"""

from mimosaspur_state.routes import Configuration
from mimosaspur_state.routes import ModelSpec
from mimosaspur_state.routes import ServiceSpec

# Time from a request without a replica to the load order, and from the load's end to the first
# event.
RELOAD_OVERHEAD_MS = 400.0


def is_urgent(objective_ms: float, model: ModelSpec) -> bool:
    """Return whether requests with this objective can't wait for the model's load.

    The load from the weight store counts: which engines have copies, and how many loads go first,
    changes too often. An unknown objective (0) counts as urgent.
    """
    return objective_ms < model.load_s * 1000 + RELOAD_OVERHEAD_MS


def urgency_differs(configuration: Configuration, service: ServiceSpec) -> bool:
    """Return whether some requests to a service's engines can wait for a load and others can't.

    Priorities alone are no cause: where all requests are urgent, none makes room for the others.
    """
    routes = [
        route
        for route in configuration.routes
        if any(name == service.name for name, _ in route.services)
    ]
    if service.engine is None or not routes:
        return False
    shortest_ms = min(route.objective_ms for route in routes)
    longest_ms = max(route.objective_ms for route in routes)
    models = service.engine.models.values()
    return any(is_urgent(shortest_ms, each) and not is_urgent(longest_ms, each) for each in models)
