"""Steps for adapter placement decisions."""

import asyncio
import re
from collections.abc import Coroutine
from collections.abc import Generator
from typing import Any

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_engine import SimulatedEngine
from harness.direct_entry import engine_spec
from harness.direct_entry import model_spec
from harness.direct_entry import null_log
from harness.loop import run
from mimosaspur_coordination.adapterdemand import AdapterDemand
from mimosaspur_coordination.adapterplacement import AdapterEngine
from mimosaspur_coordination.adapterplacement import AdapterPlacement
from mimosaspur_coordination.fleetports import LeaseRecord
from mimosaspur_coordination.modeldemand import ModelDemand
from mimosaspur_coordination.orderlease import OrderLease
from mimosaspur_coordination.outstandingloads import OutstandingLoads
from mimosaspur_daemon.direct.adapterscheduler import AdapterScheduler
from mimosaspur_daemon.direct.enginecontroller import EngineController
from mimosaspur_state.clock import SystemClock
from mimosaspur_state.fleet import TargetRecord

NAMES = ("a1", "a2", "a3")
ADAPTERS = dict.fromkeys("ab", NAMES)
SLOTS = 2
ENGINE_SLOTS = 4
SPEC = engine_spec([model_spec(name, adapters=NAMES) for name in "ab"], adapter_slots=ENGINE_SLOTS)
TIMEOUT_S = 3.0
POLL_INTERVAL_S = 0.02
OBSERVATION_S = 0.5


def _pair(text: str) -> tuple[str, str]:
    model, _, name = text.partition("/")
    return model, name


def _engine(text: str) -> AdapterEngine:
    identity, _, rest = text.strip().partition(":")
    held: dict[str, list[str]] = {}
    for word in re.findall(r"\b[ab](?:\+a\d)*\b", rest):
        model, *names = word.split("+")
        held[model] = names
    came = {(model, name) for model, names in held.items() for name in names}
    recent = frozenset(came) if "just came" in rest else frozenset()
    return AdapterEngine(identity, held, SLOTS, "busy" not in rest, recent)


@given("the adapter engines {text}")
def set_engines(context: Context, text: str) -> None:
    context.engines = [_engine(part) for part in text.split(";")]


@given("the expected requests {text}")
def set_rates(context: Context, text: str) -> None:
    rates = {}
    if text != "nothing":
        for part in text.split(", "):
            adapter, rate = part.split()
            rates[_pair(adapter)] = float(rate)
    context.placement = AdapterPlacement(
        context.engines, lambda model, name: rates.get((model, name), 0.0)
    )


@when("requests wait for {wanted}")
def decide_waiting(context: Context, wanted: str) -> None:
    context.move = context.placement.for_waiting(_pair(wanted))


@when("engine x is looked at ahead of requests")
def decide_ahead(context: Context) -> None:
    context.move = context.placement.preload(context.engines[0], ADAPTERS)


@then("the adapter move is {text}")
def check_move(context: Context, text: str) -> None:
    move = context.move
    if text == "none":
        assert move is None, move
        return
    assert move is not None
    adapter, _, rest = text.partition(" on ")
    identities, _, victim = rest.partition(" for ")
    assert (move.model, move.adapter) == _pair(adapter), move
    assert move.identity in identities.split(" or "), move
    assert move.victim == (_pair(victim) if victim else None), move


class _KeeperWorld:
    """Run an adapter keeper with one stand-in engine."""

    def __init__(self) -> None:
        self.clock = SystemClock()
        residents: dict[str, set[str]] = {"a": set(), "b": set()}
        self.engine = SimulatedEngine(residents=residents, adapter_slots=ENGINE_SLOTS)
        lease = OrderLease("me", handover_ms=0, clock=self.clock)
        lease.acquire(
            LeaseRecord("me", ("127.0.0.1", 1), 1, 1), asked_ms=self.clock.now_ms(), predecessor=""
        )
        self.desk = EngineController(
            TargetRecord("x", "service", ("127.0.0.1", 1), "here"),
            port=self.engine,
            lease=lease,
            outstanding=OutstandingLoads(clock=self.clock),
            clock=self.clock,
            log=null_log("me"),
            on_change=lambda: None,
        )
        self.tasks: list[asyncio.Task[None]] = []
        self.keeper = AdapterScheduler(
            demand=AdapterDemand(clock=self.clock),
            model_demand=ModelDemand(clock=self.clock),
            log=null_log("me"),
            spawn=self._spawn,
            on_change=lambda: None,
        )

    def _spawn(self, work: Generator[Any, None, None] | Coroutine[Any, Any, None]) -> None:
        self.tasks.append(asyncio.get_running_loop().create_task(work))

    def place(self, *waiting: tuple[str, str]) -> None:
        """Let the keeper send the orders that the engine accepts now."""
        self.keeper.place_waiting(SPEC, [self.desk], waiting)
        self.keeper.preload(SPEC, [self.desk])

    def held(self) -> set[str]:
        """Return the adapters that are loaded on the engine."""
        return {
            f"{model}/{name}" for model, names in self.engine.residents.items() for name in names
        }


@given("a keeper of adapters and an engine that holds a and b")
def make_keeper(context: Context) -> None:
    context.world = _KeeperWorld()


@when("a/a2 is asked for 4 times and b/a1 once")
def ask(context: Context) -> None:
    world: _KeeperWorld = context.world
    world.keeper.demand.count("a", "a2", 4)
    world.keeper.demand.count("b", "a1", 1)

    async def turns() -> None:
        await world.desk.refresh()
        for _ in range(round(TIMEOUT_S / POLL_INTERVAL_S)):
            world.place()
            await asyncio.sleep(POLL_INTERVAL_S)
            if len(world.held()) == ENGINE_SLOTS:
                break
        await asyncio.gather(*world.tasks)

    run(context, turns())


@then("the engine soon holds a/a2, b/a1 and two more, and never more than its places")
def check_places(context: Context) -> None:
    world: _KeeperWorld = context.world
    assert {"a/a2", "b/a1"} <= world.held(), world.held()
    assert len(world.held()) == ENGINE_SLOTS, world.held()
    assert not world.engine.overcommitted, world.engine.max_adapters


@when("an adapter is being placed")
def begin_to_place(context: Context) -> None:
    world: _KeeperWorld = context.world

    async def place() -> None:
        await world.desk.refresh()
        context.before_ms = world.desk.free_in_ms()
        world.place(("a", "a1"))
        context.meanwhile_ms = world.desk.free_in_ms()
        await asyncio.gather(*world.tasks)
        context.after_ms = world.desk.free_in_ms()

    run(context, place())


@then("the engine is not free for a model's move until it is there")
def check_not_free(context: Context) -> None:
    assert context.before_ms == 0
    assert context.meanwhile_ms > 0
    assert context.after_ms == 0
    assert "a/a1" in context.world.held()


@given("its first order goes unanswered")
def leave_first_order(context: Context) -> None:
    context.world.engine.unanswered = frozenset({1})


@when("a/a2 is asked for and requests wait for a/a1")
def ask_and_wait(context: Context) -> None:
    world: _KeeperWorld = context.world

    async def turns() -> None:
        await world.desk.refresh()
        world.place(("a", "a1"))
        await asyncio.gather(*world.tasks)
        world.keeper.demand.count("a", "a2", 4)
        for _ in range(round(OBSERVATION_S / POLL_INTERVAL_S)):
            world.place()
            await asyncio.sleep(POLL_INTERVAL_S)

    run(context, turns())


@then("the engine holds a/a1, and nothing is placed ahead for a while")
def check_nothing_ahead(context: Context) -> None:
    assert context.world.held() == {"a/a1"}, context.world.held()
