"""Name the runs: how demand moves and what is broken meanwhile."""

import time
from collections.abc import Callable
from dataclasses import dataclass

import numpy as np

from mimosaspur_load.arrivals import Demand
from mimosaspur_load.arrivals import zipf
from mimosaspur_load.control import call
from mimosaspur_load.shapes import bundle_value
from mimosaspur_load.site import Site

BASE_RATE = 8.0
BANK_RATE = 30.0
BANK = (0.25, 0.75)
SURGE_RATE = 36.0
SURGE_AT = 0.2
SURGE_DECAY = 0.3
TIDE_RATE = 16.0
TIDE_GROUPS = 5
TENFOLD = 10.0
OUTAGE = (0.25, 0.65)
BREAK_AT = 0.25
ROLLED_SHARE = 2

Disturb = Callable[[Site, float], None]


@dataclass(slots=True, frozen=True)
class Scenario:
    """Hold a run's demand for a number of names, and what is done to the site."""

    name: str
    about: str
    demand: Callable[[int], Demand]
    disturb: Disturb


def leave_alone(site: Site, seconds: float) -> None:
    """Break nothing."""


def lose_instance(site: Site, seconds: float) -> None:
    """Kill the first model server at a quarter of the run."""
    time.sleep(BREAK_AT * seconds)
    site.lose("model-server-0")


def replace_all(site: Site, seconds: float) -> None:
    """Replace every target process and entry, one after another."""
    for name in list(site.daemons):
        site.replace(name)


def roll_bundle(site: Site, seconds: float) -> None:
    """Roll a bundle with a new version of half of the models."""
    time.sleep(BREAK_AT * seconds)
    changed = site.shape.models // ROLLED_SHARE
    site.roll(bundle_value(site.shape, name="second", changed=changed))


def break_object_api(site: Site, seconds: float) -> None:
    """Have the object API and the instance list answer nothing but 503 for a while."""
    begin, end = OUTAGE
    time.sleep(begin * seconds)
    call(site.api, "POST", "/faults", {"kind": "error"})
    time.sleep((end - begin) * seconds)
    call(site.api, "DELETE", "/faults")


def _steady(count: int) -> Demand:
    weights = zipf(count)
    return Demand(lambda passed: BASE_RATE, lambda passed: weights, BASE_RATE)


def _bank(count: int) -> Demand:
    weights = zipf(count)

    def rate(passed: float) -> float:
        return BANK_RATE if BANK[0] <= passed < BANK[1] else BASE_RATE

    return Demand(rate, lambda passed: weights, BANK_RATE)


def _login(count: int) -> Demand:
    weights = zipf(count)

    def rate(passed: float) -> float:
        if passed < SURGE_AT:
            return BASE_RATE
        fade = float(np.exp(-(passed - SURGE_AT) / SURGE_DECAY))
        return BASE_RATE + (SURGE_RATE - BASE_RATE) * fade

    return Demand(rate, lambda passed: weights, SURGE_RATE)


def _tide(count: int) -> Demand:
    def weights(passed: float) -> np.ndarray:
        group = int(passed * TIDE_GROUPS)
        found = np.where(np.arange(count) % TIDE_GROUPS == group, TENFOLD, 1.0)
        return np.asarray(found / found.sum())

    return Demand(lambda passed: TIDE_RATE, weights, TIDE_RATE)


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario("bank", "a bank of flights lands", _bank, leave_alone),
        Scenario("login", "volunteers log in together", _login, leave_alone),
        Scenario("tenfold", "the demand of each model moves tenfold", _tide, leave_alone),
        Scenario("loss", "a target process and its engine are killed", _steady, lose_instance),
        Scenario("replace", "all daemons are replaced in turn", _steady, replace_all),
        Scenario("roll", "a bundle is rolled under load", _steady, roll_bundle),
        Scenario("outage", "the object API is down", _steady, break_object_api),
    )
}
