"""Run one scenario on one fresh site."""

import sys
import threading
import time
from dataclasses import dataclass

from mimosaspur_load.arrivals import draw
from mimosaspur_load.callers import Callers
from mimosaspur_load.measures import Figures
from mimosaspur_load.measures import Residents
from mimosaspur_load.measures import engine_counts
from mimosaspur_load.measures import figures_of
from mimosaspur_load.procfs import load_average
from mimosaspur_load.scenarios import Scenario
from mimosaspur_load.shapes import SERVICE
from mimosaspur_load.shapes import Shape
from mimosaspur_load.shapes import bundle_value
from mimosaspur_load.shapes import residents_of
from mimosaspur_load.shapes import served_names
from mimosaspur_load.site import Site
from mimosaspur_load.variants import Variant

SETTLE_S = 3.0


@dataclass(slots=True, frozen=True)
class Plan:
    """Say what is run on which site, for how long and from which seed."""

    shape: Shape
    scenario: Scenario
    seconds: float
    seed: int


def run_once(plan: Plan, variant: Variant) -> Figures:
    """Start a site, fill it, run the scenario on it, and end it."""
    site = Site(plan.shape, variant)
    try:
        site.start_all()
        # The first fill is not what is measured: only the planner keeps to the rate in it.
        site.limit_weights(0)
        site.roll(bundle_value(plan.shape))
        fill_s = site.await_placed(plan.shape.models)
        site.limit_weights(plan.shape.loads_per_second)
        time.sleep(SETTLE_S)
        figures = _measure(site, plan)
        figures.notes["fill_s"] = round(fill_s, 1)
        figures.notes["load_average"] = load_average()
        return figures
    finally:
        site.close()


def _measure(site: Site, plan: Plan) -> Figures:
    names = served_names(bundle_value(plan.shape))
    demand = plan.scenario.demand(len(names))
    arrivals = draw(demand, names, seconds=plan.seconds, seed=plan.seed, service=SERVICE)
    before = engine_counts(site)
    faults: list[str] = []

    def disturb() -> None:
        try:
            plan.scenario.disturb(site, plan.seconds)
        except Exception as error:  # noqa: BLE001  the run goes on and reports it
            faults.append(repr(error))
            print(f"load: the scenario's disturbance failed: {error!r}", file=sys.stderr)

    thread = threading.Thread(target=disturb, daemon=True)
    thread.start()
    seen = Callers(site.entries()).run(arrivals)
    thread.join()
    figures = figures_of(site, arrivals, seen, _residents(plan.shape), before)
    figures.notes["disturbance_failed"] = faults
    return figures


def _residents(shape: Shape) -> Residents:
    found: Residents = {}
    for bundle in (bundle_value(shape), bundle_value(shape, changed=shape.models)):
        for name, resident in residents_of(bundle).items():
            found.setdefault(name, set()).add(resident)
    return found
