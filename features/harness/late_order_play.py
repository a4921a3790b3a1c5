"""Play a coordinator's orders to engines in virtual time: late orders, restarts, handovers."""

import asyncio
import contextlib
import itertools
import random
from collections.abc import Iterator
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from enum import Enum

from harness.direct_engine import LOAD_S
from harness.direct_engine import EnginePorts
from harness.direct_engine import SimulatedEngine
from harness.direct_entry import configuration
from harness.direct_entry import engine_spec
from harness.direct_entry import entry_dependencies
from harness.direct_entry import model_spec
from harness.direct_entry import settings_for
from harness.virtual_time import VirtualClock
from harness.virtual_time import VirtualTimeLoop
from mimosaspur_coordination.fleetports import LeaseRecord
from mimosaspur_coordination.orderlease import OrderLease
from mimosaspur_daemon.direct.configurationexchange import ConfigurationExchange
from mimosaspur_daemon.direct.coordinator import Coordinator
from mimosaspur_daemon.direct.entryreport import build_entry_report
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.fleetreport import apply_report
from mimosaspur_protocol.peermessages import LENGTH_BYTES
from mimosaspur_protocol.peermessages import FleetReport
from mimosaspur_protocol.peermessages import PeerMessage
from mimosaspur_protocol.peermessages import decode_peer
from mimosaspur_protocol.peermessages import encode_peer
from mimosaspur_state.fleet import EngineOrder
from mimosaspur_state.fleet import OrderKind
from mimosaspur_state.fleet import OrderOutcome
from mimosaspur_state.fleet import TargetRecord
from mimosaspur_state.policy import Policy
from mimosaspur_transport.peerlink import PeerLink
from mimosaspur_transport.peerlink import PeerLost

ENTRY_COUNT = 3
MODELS = tuple("abcdefgh")
ADAPTERS = ("a1", "a2", "a3")
TOKENS_PER_TURN = 400
DEMAND_INTERVAL_S = 0.1
REPORT_INTERVAL_S = 0.1
RENEWAL_INTERVAL_S = 0.3
# Entries find a new coordinator after this time.
LINK_DELAY_S = 0.5
# An order may be carried out so much later than it was sent.
MAX_LATENESS_S = 12.0
ANSWER_TIMEOUT_S = 0.25
# How much later than an engine's restart its registration shows it.
REGISTRATION_DELAY_S = 0.4
# How long a lapsed registration is away.
LAPSE_S = 0.9
ADDRESS = ("127.0.0.1", 1)


class Event(Enum):
    """Name what happens before a step's wait."""

    NOTHING = "nothing"
    # The next orders to an engine get no answer.
    LATE_ORDERS = "orders are late"
    RESTART = "an engine starts again under its identity"
    # The same, after its registration has lapsed.
    RESTART_AFTER_LAPSE = "an engine starts again after its registration has lapsed"
    LAPSE = "a registration lapses, and the engine lives"
    HANDOVER = "another entry coordinates"
    COORDINATOR_RESTART = "the coordinator starts again"


@dataclass(slots=True, frozen=True)
class Step:
    """Describe an event, the models that are wanted from then on, and the wait that follows."""

    event: Event = Event.NOTHING
    engine: int = 0
    orders: int = 1
    wanted: tuple[str, ...] = ()
    # Adapters that are wanted of each wanted model.
    adapters: int = 0
    wait_ms: int = 200


DISTURBANCES = (
    Event.RESTART,
    Event.RESTART_AFTER_LAPSE,
    Event.LAPSE,
    Event.HANDOVER,
    Event.COORDINATOR_RESTART,
)
# More than are sent until the engine is taken for lost.
UNANSWERED_COUNT = 30


def random_steps(seed: int, *, engines: int, models: int, episodes: int) -> list[Step]:
    """Return steps in which unanswered orders are followed by disturbances."""
    chooser = random.Random(seed)
    return [
        step
        for _ in range(episodes)
        for step in _episode(chooser, chooser.randrange(engines), MODELS[:models])
    ]


def _episode(chooser: random.Random, engine: int, models: Sequence[str]) -> Iterator[Step]:
    def wanted(fewest: int, most: int) -> tuple[str, ...]:
        return tuple(chooser.sample(models, chooser.randint(fewest, most)))

    # An odd number of orders, which adapters make likely, lets a count fit again at a full engine.
    adapters = (0, 1, 1)
    for _ in range(chooser.randrange(4)):
        wait_ms = chooser.choice((100, 400, 900))
        yield Step(wanted=wanted(1, 3), adapters=chooser.choice(adapters), wait_ms=wait_ms)
    yield Step(
        Event.LATE_ORDERS,
        engine,
        orders=UNANSWERED_COUNT,
        wanted=wanted(2, 4),
        adapters=chooser.choice(adapters),
        wait_ms=chooser.choice((50, 300, 600)),
    )
    yield Step(Event.LATE_ORDERS, engine, orders=0, wait_ms=1)
    for _ in range(chooser.randint(1, 3)):
        event, wait_ms = chooser.choice(DISTURBANCES), chooser.choice((50, 300, 1_200))
        yield Step(event, engine, wanted=wanted(2, 4), wait_ms=wait_ms)
    wait_ms = chooser.choice((2_000, 4_000))
    yield Step(wanted=wanted(3, 5), adapters=chooser.choice(adapters), wait_ms=wait_ms)


@dataclass(slots=True)
class LateEngine(SimulatedEngine):
    """Leave orders unanswered, and carry them out as late as does the most harm."""

    # Number of the next orders that get no answer.
    unanswered_count: int = 0
    # Unanswered orders, with the event loop's time until which they may be carried out.
    late: list[tuple[EngineOrder, float]] = field(default_factory=list)

    async def order(self, target: TargetRecord, order: EngineOrder) -> OrderOutcome:
        """Carry out an order, or leave it unanswered."""
        if not self.unanswered_count:
            return await SimulatedEngine.order(self, target, order)
        self.unanswered_count -= 1
        self.late.append((order, asyncio.get_running_loop().time() + MAX_LATENESS_S))
        await asyncio.sleep(ANSWER_TIMEOUT_S)
        return OrderOutcome.UNKNOWN

    def _record_state(self) -> None:
        SimulatedEngine._record_state(self)
        now_s = asyncio.get_running_loop().time()
        for order, until_s in self.late:
            if until_s >= now_s and not self.busy and self._would_overcommit(order):
                self._execute(order)
                return

    def _would_overcommit(self, order: EngineOrder) -> bool:
        if order.kind is OrderKind.UNLOAD or order.expected_sequence != self.sequence:
            return False
        if not order.adapter:
            return order.model not in self.residents and len(self.residents) >= self.model_slots
        adapters = self.residents.get(order.model)
        if adapters is None or order.adapter in adapters:
            return False
        return sum(map(len, self.residents.values())) >= self.adapter_slots

    def _execute(self, order: EngineOrder) -> OrderOutcome:
        if order.adapter and order.model not in self.residents:
            return OrderOutcome.REFUSED
        return SimulatedEngine._execute(self, order)


class MemoryLink(PeerLink):
    """Exchange messages between two entries of this process."""

    __slots__ = ("inbox", "peer")

    def __init__(self) -> None:
        self.inbox: asyncio.Queue[PeerMessage | None] = asyncio.Queue()
        self.peer: MemoryLink = self

    @classmethod
    def pair(cls) -> tuple["MemoryLink", "MemoryLink"]:
        """Return the two ends of a link."""
        one, other = cls(), cls()
        one.peer, other.peer = other, one
        return one, other

    def send(self, message: PeerMessage) -> None:
        """Send a message."""
        self.send_encoded(encode_peer(message))

    def send_encoded(self, frames: bytes) -> None:
        """Send encoded messages."""
        while frames:
            end = LENGTH_BYTES + int.from_bytes(frames[:LENGTH_BYTES], "big")
            self.peer.inbox.put_nowait(decode_peer(frames[LENGTH_BYTES:end]))
            frames = frames[end:]

    async def receive(self, *, timeout_ms: int) -> PeerMessage:
        """Return the next message; raise PeerLost, also after the timeout."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                message = await self.inbox.get()
        except TimeoutError as error:
            raise PeerLost("silent") from error
        if message is None:
            raise PeerLost("closed")
        return message

    def take_byte_counts(self) -> tuple[int, int]:
        """Return no bytes: messages aren't encoded here."""
        return 0, 0

    def close(self) -> None:
        """End the link for both."""
        self.inbox.put_nowait(None)
        self.peer.inbox.put_nowait(None)


class LateOrderPlay:
    """Run entries, one of which coordinates, before engines with room for three models."""

    def __init__(self, loop: VirtualTimeLoop, *, engines: int, policy: Policy) -> None:
        self.loop = loop
        self.clock = VirtualClock(loop)
        self.policy = policy
        self.engines = {f"engine-{number}": LateEngine() for number in range(engines)}
        self.records = {
            identity: TargetRecord(identity, "service", ADDRESS, "here", started_ms=1)
            for identity in self.engines
        }
        for engine in self.engines.values():
            engine.started_ms = 1
        self.lapsed: set[str] = set()
        self.entries = [self._new_entry(number) for number in range(ENTRY_COUNT)]
        self.coordinator = 0
        self.tokens = itertools.count(1)
        self.wanted: tuple[str, ...] = ()
        self.adapters = 0
        self.tasks: set[asyncio.Task[None]] = set()
        # Of the coordinator and its followers.
        self.term: list[asyncio.Task[None]] = []
        self.links: list[MemoryLink] = []

    async def run(self, steps: list[Step]) -> None:
        """Play the steps."""
        self._spawn(self._demand())
        self._begin_term("")
        await asyncio.sleep(1.0)
        for step in steps:
            self.wanted, self.adapters = step.wanted or self.wanted, step.adapters
            self._apply(step, f"engine-{step.engine}")
            await asyncio.sleep(step.wait_ms / 1000)
            if self.overcommitted():
                return

    def overcommitted(self) -> list[str]:
        """Return the engines that were ordered to hold more than they have room for."""
        return [identity for identity, each in self.engines.items() if each.overcommitted]

    def accepted(self, identity: str) -> list[str]:
        """Return the orders that an engine has accepted, in all of its lifetimes."""
        return [
            f"{each.kind.value} {each.model} {each.adapter} at {each.expected_sequence}"
            for each in self.engines[identity].accepted
        ]

    def _apply(self, step: Step, identity: str) -> None:
        engine = self.engines[identity]
        if step.event is Event.LATE_ORDERS:
            engine.unanswered_count = step.orders
        elif step.event is Event.RESTART:
            self._restart(identity)
            self._spawn(self._register(identity, REGISTRATION_DELAY_S))
        elif step.event is Event.RESTART_AFTER_LAPSE:
            self._lapse(identity)
            self._restart(identity)
        elif step.event is Event.LAPSE:
            self._lapse(identity)
        elif step.event is Event.HANDOVER:
            predecessor = self._end_term()
            self.coordinator = (self.coordinator + 1) % ENTRY_COUNT
            self._begin_term(predecessor)
        elif step.event is Event.COORDINATOR_RESTART:
            predecessor = self._end_term()
            self.entries[self.coordinator] = self._new_entry(self.coordinator)
            self._begin_term(predecessor)

    def _restart(self, identity: str) -> None:
        engine = self.engines[identity]
        engine.restart()
        self.records[identity] = replace(self.records[identity], started_ms=engine.started_ms)

    def _lapse(self, identity: str) -> None:
        if identity in self.lapsed:
            return
        self.lapsed.add(identity)
        for state in self.entries:
            state.on_targets_changed(state.fleet.update([], [identity]))
        self._spawn(self._register(identity, LAPSE_S))

    async def _register(self, identity: str, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        self.lapsed.discard(identity)
        for state in self.entries:
            state.on_targets_changed(state.fleet.update([self.records[identity]], []))

    def _new_entry(self, number: int) -> EntryState:
        instance = f"entry-{number}"
        ports = entry_dependencies(instance, clock=self.clock, engines=EnginePorts(self.engines))
        state = EntryState(replace(settings_for(instance), policy=self.policy), ports)
        loads = {"load_s": LOAD_S, "disk_load_s": LOAD_S, "memory_load_s": LOAD_S}
        models = [model_spec(name, adapters=ADAPTERS, **loads) for name in MODELS]
        state.configuration = configuration(engine_spec(models, loads_per_s=0.0))
        known = [each for key, each in self.records.items() if key not in self.lapsed]
        state.on_targets_changed(state.fleet.update(known, []))
        return state

    def _begin_term(self, predecessor: str) -> None:
        state = self.entries[self.coordinator]
        lease = OrderLease(state.settings.instance, handover_ms=300, clock=self.clock)
        record = LeaseRecord(state.settings.instance, ADDRESS, next(self.tokens), 1)
        lease.acquire(record, asked_ms=self.clock.now_ms(), predecessor=predecessor)
        state.coordinating = True
        coordinator = Coordinator(state, lease, ConfigurationExchange(state))
        work = [coordinator.run(), self._renew(lease), self._report_locally(state, coordinator)]
        for follower in self.entries:
            if follower is not state:
                own, other = MemoryLink.pair()
                self.links.append(own)
                work += [coordinator.serve_member(own), self._follow(follower, other)]
        self.term = [self._spawn(each) for each in work]

    def _end_term(self) -> str:
        for task in self.term:
            task.cancel()
        for link in self.links:
            link.close()
        self.links.clear()
        state = self.entries[self.coordinator]
        state.coordinating = False
        state.on_coordinator_lost()
        return state.settings.instance

    async def _renew(self, lease: OrderLease) -> None:
        while True:
            await asyncio.sleep(RENEWAL_INTERVAL_S)
            lease.confirmed_ms = self.clock.now_ms()

    async def _report_locally(self, state: EntryState, coordinator: Coordinator) -> None:
        while True:
            coordinator.apply_local_report(build_entry_report(state))
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def _follow(self, state: EntryState, link: MemoryLink) -> None:
        await asyncio.sleep(LINK_DELAY_S)
        state.quarantine.ledger.report_all()
        state.notices.start_link()
        state.outstanding_loads.report_all()
        reporting = self._spawn(self._report_to(state, link))
        try:
            with contextlib.suppress(PeerLost):
                while True:
                    message = await link.receive(timeout_ms=1_000)
                    if isinstance(message, FleetReport):
                        apply_report(state, message)
                        state.outstanding_loads.complete = True
        finally:
            reporting.cancel()
            state.on_coordinator_lost()

    async def _report_to(self, state: EntryState, link: MemoryLink) -> None:
        while True:
            link.send(build_entry_report(state))
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def _demand(self) -> None:
        for turn in itertools.count():
            state = self.entries[turn % ENTRY_COUNT]
            held = {model for engine in self.engines.values() for model in engine.residents}
            state.waiting = {model: 3 for model in self.wanted if model not in held}
            state.waiting_adapters = dict(self._missing_adapters())
            for model in self.wanted:
                state.record_demand(model, "", tokens=TOKENS_PER_TURN, objective_ms=800)
            await asyncio.sleep(DEMAND_INTERVAL_S)

    def _missing_adapters(self) -> Iterator[tuple[tuple[str, str], int]]:
        for model in self.wanted:
            holders = [each for each in self.engines.values() if model in each.residents]
            for adapter in ADAPTERS[: self.adapters]:
                if holders and not any(adapter in each.residents[model] for each in holders):
                    yield (model, adapter), 1

    def _spawn(self, work: "asyncio._CoroutineLike[None]") -> asyncio.Task[None]:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task
