"""Coordinate the fleet while this instance holds the lease: gather, decide, order, tell."""

import asyncio

from mimosaspur_coordination.adapterdemand import AdapterDemand
from mimosaspur_coordination.limits.sharelease import SharerCount
from mimosaspur_coordination.modeldemand import ModelDemand
from mimosaspur_coordination.modelplacement import PlacementSearch
from mimosaspur_coordination.orderlease import OrderLease
from mimosaspur_coordination.placementproblem import PlacementProblem
from mimosaspur_coordination.placementproblem import Swap
from mimosaspur_coordination.weightloadlimiter import WeightLoadLimiter
from mimosaspur_daemon.direct.adapterscheduler import AdapterScheduler
from mimosaspur_daemon.direct.configurationexchange import ConfigurationExchange
from mimosaspur_daemon.direct.enginecontroller import EngineController
from mimosaspur_daemon.direct.engineregistry import EngineRegistry
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.members import Member
from mimosaspur_daemon.direct.members import Members
from mimosaspur_protocol.peermessages import EntryReport
from mimosaspur_protocol.peermessages import LeaseReadReply
from mimosaspur_protocol.peermessages import LeaseReadRequest
from mimosaspur_protocol.peermessages import StepDown
from mimosaspur_state.policy import Mechanism
from mimosaspur_state.routes import EngineSpec
from mimosaspur_transport.peerlink import PeerLink
from mimosaspur_transport.peerlink import PeerLost

# How often the coordinator decides and tells; news of models go out at once.
ROUND_INTERVAL_MS = 60
# A turn is followed by a pause of so many times its length, which bounds the processor time, and of
# so much at least: hundreds of entries whose callers wait have news in every millisecond.
PAUSE_RATIO = 3.0
MIN_PAUSE_S = 0.02
# An entry that says nothing for so long is no longer counted.
ENTRY_TIMEOUT_MS = 1_500
# While no more loads than this run from the weight store, they take the time that the
# configuration names.
MAX_FULL_SPEED_LOADS = 3
# Below this demand, in tokens a second, no request for a model is likely to be on its way.
MIN_REQUESTED_TOKENS_PER_S = 50.0
# A new coordinator has heard of what callers ask for by then.
IDLE_GRACE_MS = 1_500
# So many entries are asked first for a proof of the lease: the store may turn one of them away too,
# and each of them calls it.
PROOF_SAMPLE_COUNT = 3
# After a change of coordinator nobody knows how many loads have just begun.
ASSUMED_RECENT_LOADS = 4


class Coordinator:
    """Decide for all engines; lives for as long as the lease is held."""

    def __init__(
        self, state: EntryState, lease: OrderLease, configurations: ConfigurationExchange
    ) -> None:
        self.state = state
        self.lease = lease
        self.configuration_exchange = configurations
        self.clock = state.clock
        self.members = Members(state, self._create_sharer_count())
        self.started_ms = self.clock.now_ms()
        # Models that were loaded for a copy of their weights.
        self.loaded_for_copy: set[str] = set()
        self.demand = ModelDemand(clock=self.clock)
        bounds = state.settings.orders
        self.load_rate = WeightLoadLimiter(bounds.load_window_ms, clock=self.clock)
        self.load_rate.record(ASSUMED_RECENT_LOADS)
        self.tasks: set[asyncio.Task[None]] = set()
        self.changed = asyncio.Event()
        self.engines = EngineRegistry(state, lease, on_change=self.changed.set)
        self.adapters = AdapterScheduler(
            demand=AdapterDemand(clock=self.clock),
            model_demand=self.demand,
            log=state.log,
            spawn=self._spawn,
            on_change=self.changed.set,
        )
        # The entries that have followed since the store was last reached.
        self.required_proofs: set[str] = set()
        # Who has answered the last request for a proof that the store is away.
        self.proofs: dict[int, set[str]] = {}

    def _create_sharer_count(self) -> SharerCount:
        return SharerCount(
            window_ms=self.state.settings.retries.window_ms,
            predecessor_ended_ms=max(self.lease.clock.now_ms(), self.lease.first_order_ms),
            clock=self.lease.clock,
        )

    async def run(self) -> None:
        """Take turns until cancelled."""
        try:
            while True:
                began_s = asyncio.get_running_loop().time()
                self._run_round()
                self.members.send_updates(self.engines.controllers.values(), self.lease)
                # News comes with each report of each entry: the more there is to do in a turn, the
                # fewer turns there are.
                took_s = asyncio.get_running_loop().time() - began_s
                self.state.log.counters.observe("turn_ms", took_s * 1000)
                await asyncio.sleep(max(MIN_PAUSE_S, took_s * PAUSE_RATIO))
                try:
                    async with asyncio.timeout(ROUND_INTERVAL_MS / 1000):
                        await self.changed.wait()
                except TimeoutError:
                    pass
                self.changed.clear()
        finally:
            for task in self.tasks:
                task.cancel()
            self.members.close()

    async def serve_member(self, link: PeerLink) -> None:
        """Listen to one entry until its link ends."""
        member: Member | None = None
        try:
            while True:
                message = await link.receive(timeout_ms=ENTRY_TIMEOUT_MS)
                if isinstance(message, LeaseReadReply):
                    self._apply_proof(message)
                self.configuration_exchange.on_message(message, link)
                if not isinstance(message, EntryReport):
                    continue
                if member is None:
                    member = self.members.add(message.instance, Member(link=link))
                    self.required_proofs.add(message.instance)
                    self.changed.set()
                self.apply_report(message, member)
                self.configuration_exchange.on_version(message.configuration_version, link)
        except PeerLost:
            pass
        finally:
            link.close()
            if member:
                self.members.remove(member)

    def apply_report(self, report: EntryReport, member: Member) -> None:
        """Take an entry's report."""
        self.members.apply_report(report, member)
        for asked in report.model_demand:
            if asked.tokens:
                self.demand.count(asked.model, asked.tokens, objective_ms=asked.objective_ms)
        for asked_adapter in report.adapter_demand:
            self.adapters.demand.count(
                asked_adapter.model, asked_adapter.adapter, asked_adapter.requests
            )
        for identity in report.unreachable:
            desk = self.engines.controllers.get(identity)
            if desk:
                desk.suspected = True
        if member.waiting or member.waiting_adapters:
            self.changed.set()

    def apply_local_report(self, report: EntryReport) -> None:
        """Take the report of this instance's own entry."""
        self.apply_report(report, self.members.local_member(report.instance))

    def step_down(self) -> None:
        """Tell all entries that this instance gives no more orders."""
        self.members.sharers.stop()
        age_ms = self.lease.clock.now_ms() - self.lease.last_order_ms
        self.members.send(StepDown(max(0, age_ms)))

    def on_lease_read(self) -> None:
        """Take note that this instance has read the lease."""
        self.required_proofs = self.members.linked_instances()

    def request_proofs(self, asked_ms: int, *, everyone: bool) -> None:
        """Have other entries read the lease, since the store doesn't answer here.

        One that reaches the store is enough; only when none does must all of them say so.
        """
        self.proofs = {asked_ms: set()}
        self.members.send(
            LeaseReadRequest(asked_ms), limit=None if everyone else PROOF_SAMPLE_COUNT
        )

    def _apply_proof(self, answer: LeaseReadReply) -> None:
        if answer.store_reachable:
            self.lease.confirm_from_peer(
                holder=answer.holder, token=answer.token, asked_ms=answer.requested_ms
            )
            return
        agreed = self.proofs.get(answer.requested_ms)
        if agreed is None:
            return
        agreed.add(answer.instance)
        if agreed >= self.required_proofs:
            self.lease.extend_during_outage(asked_ms=answer.requested_ms)

    def _run_round(self) -> None:
        self.engines.update()
        self._request_due_reports()
        if not self.lease.may_order():
            return
        self.engines.running = self.members.running()
        self.demand.update_waiting(self.members.waiting())
        for service, spec in self.engines.services():
            self._place(service, spec)

    def _place(self, service: str, spec: EngineSpec) -> None:
        """Begin the moves on a service's engines."""
        desks = self.engines.of_service(service)
        self.adapters.place_waiting(spec, desks, self.members.waiting_adapters())
        search = self._search(service, spec)
        while search and (swap := search.next_swap()) is not None:
            self._start_swap(swap)
            search = self._search(service, spec)
        begun = False
        if self.state.uses(Mechanism.ADAPTER_PRELOAD):
            begun = self.adapters.preload(spec, desks)
        if not self.state.uses(Mechanism.WEIGHT_COPIES):
            return
        if begun:
            search = self._search(service, spec)
        while search and (swap := search.next_copy()) is not None:
            self._start_swap(swap)
            search = self._search(service, spec)

    def _search(self, service: str, spec: EngineSpec) -> PlacementSearch | None:
        """Return the search for loads as things stand, None while no engine can begin one."""
        if not any(
            desk.usable() and not desk.free_in_ms() for desk in self.engines.of_service(service)
        ):
            return None
        return PlacementSearch(self._problem(service, spec))

    def _request_due_reports(self) -> None:
        for desk in self.engines.controllers.values():
            if desk.report_due():
                desk.report_requested_ms = self.clock.now_ms()
                self._spawn(self._refresh(desk))

    async def _refresh(self, desk: EngineController) -> None:
        await desk.refresh()

    def _problem(self, service: str, spec: EngineSpec) -> PlacementProblem:
        return PlacementProblem(
            spec,
            self.engines.snapshots(service),
            {model: self.demand.current(model) for model in spec.models},
            store_load_allowed=self.load_rate.allows(spec.loads_per_s),
            idle=self._idle(),
            preloaded=self.loaded_for_copy,
            stream_ms=self._stream_ms(service),
            protect_last_copies=self.state.uses(Mechanism.KEEP_LAST_COPY),
        )

    def _stream_ms(self, service: str) -> float:
        if not self.state.uses(Mechanism.UNLOAD_WAIT_ESTIMATE):
            return 0.0
        return self.state.fleet.prefill_speed(service).stream_ms.value

    def _idle(self) -> bool:
        """Tell whether nobody has asked for anything since this instance began to coordinate."""
        early = self.clock.now_ms() - self.started_ms < IDLE_GRACE_MS
        return not early and not self.demand.any_requested()

    def _start_swap(self, swap: Swap) -> None:
        desk = self.engines.controllers[swap.identity]
        desk.reserve(swap.model, swap.load_ms, unload_ms=swap.unload_ms)
        if swap.for_copy:
            self.loaded_for_copy.add(swap.model)
        if swap.from_store:
            self.load_rate.record()
        demand = self.demand.current(swap.model)
        self.state.log.write(
            "swap",
            target=swap.identity,
            model=swap.model,
            victims=list(swap.victims),
            from_store=swap.from_store,
            load_ms=swap.load_ms,
            unload_ms=swap.unload_ms,
            waiting=demand.waiting,
            tokens_per_s=round(demand.fast_tokens),
        )
        self._spawn(self._swap(desk, swap))

    async def _swap(self, desk: EngineController, swap: Swap) -> None:
        store_loads = sum(each.from_store for each in self.engines.controllers.values())
        desk.from_store = swap.from_store
        done = await desk.swap(
            swap.model,
            swap.victims,
            load_ms=swap.load_ms,
            predictable=not swap.from_store or store_loads <= MAX_FULL_SPEED_LOADS,
            requested=any(self._requested(victim) for victim in swap.victims),
        )
        desk.from_store = False
        if done and swap.for_copy and not self.demand.current(swap.model).last_request_ms:
            await self._restore_victims(desk, swap)
        self.state.log.write("swapped", target=swap.identity, model=swap.model, done=done)

    def _requested(self, model: str) -> bool:
        return self.demand.current(model).fast_tokens >= MIN_REQUESTED_TOKENS_PER_S

    async def _restore_victims(self, desk: EngineController, swap: Swap) -> None:
        """Bring back what made room for a model that was loaded only for its copy."""
        configuration = self.state.configuration
        service = configuration.services.get(desk.record.service) if configuration else None
        for victim in swap.victims:
            model = service.engine.models.get(victim) if service and service.engine else None
            if model:
                load_ms = round(model.memory_load_s * 1000)
                await desk.swap(victim, (swap.model,), load_ms=load_ms)

    def _spawn(self, work: "asyncio._CoroutineLike[None]") -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
