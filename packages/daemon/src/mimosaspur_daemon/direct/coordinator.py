"""Coordinate the fleet while this instance holds the lease: collect, decide, order, report."""

import asyncio
from dataclasses import replace

from mimosaspur_coordination.adapterdemand import AdapterDemand
from mimosaspur_coordination.limits.sharelease import SharerCount
from mimosaspur_coordination.loadforecast import confirmed
from mimosaspur_coordination.loadforecast import forecast_loads
from mimosaspur_coordination.modeldemand import ModelDemand
from mimosaspur_coordination.modelplacement import PlacementSearch
from mimosaspur_coordination.orderlease import OrderLease
from mimosaspur_coordination.placementproblem import PlacementProblem
from mimosaspur_coordination.placementproblem import Swap
from mimosaspur_coordination.runsbyversion import RunsByVersion
from mimosaspur_coordination.unmetdemand import RETURN_SHARE
from mimosaspur_coordination.urgency import urgency_differs
from mimosaspur_coordination.weightloadlimiter import WeightLoadLimiter
from mimosaspur_daemon.direct.adapterscheduler import AdapterScheduler
from mimosaspur_daemon.direct.configurationexchange import ConfigurationExchange
from mimosaspur_daemon.direct.enginecontroller import EngineController
from mimosaspur_daemon.direct.engineregistry import EngineRegistry
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.loadmessages import apply_load_messages
from mimosaspur_daemon.direct.members import Member
from mimosaspur_daemon.direct.members import Members
from mimosaspur_daemon.direct.memberupdates import MemberUpdates
from mimosaspur_daemon.direct.permitgrants import PermitGrants
from mimosaspur_protocol.peermessages import EntryReport
from mimosaspur_protocol.peermessages import LeaseReadReply
from mimosaspur_protocol.peermessages import LeaseReadRequest
from mimosaspur_protocol.peermessages import ModelDemandUpdate
from mimosaspur_protocol.peermessages import StepDown
from mimosaspur_state.domaintraffic import TrafficPurpose
from mimosaspur_state.policy import Mechanism
from mimosaspur_state.routes import Configuration
from mimosaspur_state.routes import EngineSpec
from mimosaspur_transport.peerlink import PeerLink
from mimosaspur_transport.peerlink import PeerLost

# Longest time between the coordinator's rounds; a change starts the next one earlier.
ROUND_INTERVAL_MS = 60
# Each round is followed by a pause of PAUSE_RATIO times its length, which bounds processor time,
# and of at least MIN_PAUSE_S: hundreds of entries with waiting callers report changes all the time.
PAUSE_RATIO = 3.0
MIN_PAUSE_S = 0.02
# An entry that sends nothing for this long is dropped.
ENTRY_TIMEOUT_MS = 1_500
# Up to this many concurrent loads from the weight store take the time that the configuration names.
MAX_FULL_SPEED_LOADS = 3
# Longest time between forecasts of loads; a model that is requested anew starts one at once.
FORECAST_INTERVAL_MS = 250
# Share of the weight store's rate for loads that patient demand decides, so that a load for urgent
# demand needs not wait for them.
PATIENT_STORE_SHARE = 0.5
# Below this demand no request for a model is likely to be in flight.
MIN_REQUESTED_TOKENS_PER_S = 50.0
# By then a new coordinator has received the entries' demand.
IDLE_GRACE_MS = 1_500
# A new process waits this long at most for an entry that knows what its predecessor ordered.
INHERITANCE_TIMEOUT_MS = 1_500
# Entries that are asked first for a proof of the lease: more than one, since the store may refuse
# one of them too; few, since each of them calls the store.
PROOF_SAMPLE_COUNT = 3
# A new coordinator can't see how many loads its predecessor has just started.
ASSUMED_RECENT_LOADS = 4


class Coordinator:
    """Place models and adapters on all engines for as long as the lease is held."""

    def __init__(
        self, state: EntryState, lease: OrderLease, configuration_exchange: ConfigurationExchange
    ) -> None:
        self.state = state
        self.lease = lease
        self.configuration_exchange = configuration_exchange
        self.clock = state.clock
        self.permits = PermitGrants(state.notices, may_issue=lease.may_order, clock=lease.clock)
        self.members = Members(state, self._create_sharer_count(), self.permits)
        self.updates = MemberUpdates(self.members)
        self.started_ms = self.clock.now_ms()
        # Models that were loaded to get a copy of their weights.
        self.loaded_for_copy: set[str] = set()
        self.demand = ModelDemand(clock=self.clock)
        # By service, which streams may be taken up at which version.
        self.runs: dict[str, RunsByVersion] = {}
        bounds = state.settings.orders
        self.load_rate = WeightLoadLimiter(bounds.load_window_ms, clock=self.clock)
        self.load_rate.record(ASSUMED_RECENT_LOADS)
        # When loads were last forecast, and the models that requests then waited for.
        self.forecast_ms = 0
        self.forecast_models: frozenset[str] = frozenset()
        # What was forecast then.
        self.last_forecast: dict[str, int] = {}
        # The services whose requests differ in urgency, and the configuration that says so.
        self.uneven_services: frozenset[str] = frozenset()
        self.urgency_configuration: Configuration | None = None
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
        # Entries that were linked when the lease was last read, or have joined since. Unless one
        # of them reads the lease, all must fail to reach the store before it is extended.
        self.required_proofs: set[str] = set()
        # Entries that couldn't reach the store either, by the time of the last proof request.
        self.proofs: dict[int, set[str]] = {}

    def _create_sharer_count(self) -> SharerCount:
        return SharerCount(
            window_ms=self.state.settings.retries.window_ms,
            predecessor_ended_ms=max(self.lease.clock.now_ms(), self.lease.first_order_ms),
            clock=self.lease.clock,
        )

    async def run(self) -> None:
        """Run rounds until cancelled."""
        try:
            while True:
                began_s = asyncio.get_running_loop().time()
                self._run_round()
                self.updates.send_permits()
                self.updates.send_updates(self.engines.controllers.values(), self.lease)
                # Entries know of a crash before one of them gets the next turn.
                self.updates.send_turns()
                # Each report of an entry may wake the next round: longer rounds must be fewer.
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
            self.permits.stop()
            self.members.close()

    async def serve_member(self, link: PeerLink) -> None:
        """Handle the messages of one entry until its link ends."""
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
                    self.state.outstanding_loads.complete = True
                    self.changed.set()
                self.apply_report(message, member)
                self.state.quarantine.on_told()
                self._count_traffic(link, message.failure_domain)
                self.configuration_exchange.on_version(message.configuration_version, link)
        except PeerLost:
            pass
        finally:
            link.close()
            if member:
                self.members.remove(member)

    def apply_report(self, report: EntryReport, member: Member) -> None:
        """Apply an entry's report."""
        self.members.apply_report(report, member)
        for asked in report.model_demand:
            self._apply_demand(asked)
        for asked_adapter in report.adapter_demand:
            self.adapters.demand.count(
                asked_adapter.model, asked_adapter.adapter, asked_adapter.requests
            )
        for identity in report.unreachable:
            controller = self.engines.controllers.get(identity)
            if controller:
                controller.suspected = True
        quarantine = self.state.quarantine
        quarantine.apply_reports(report.crashes, relay=True)
        limits_changed = self.state.notices.apply_updates(report.limits, relay=True)
        apply_load_messages(self.state, report.loads, relay=True)
        if self.state.notices.apply_leaving(report.leaving_targets, relay=True):
            self.changed.set()
        self.permits.apply_report(report)
        if report.permits:
            self.updates.send_permits()
            self.updates.send_expected_waits(report.instance)
        turns_wait = self.members.apply_suspects(report)
        news = limits_changed or turns_wait or quarantine.ledger.unreported
        rejected = any(asked.rejected for asked in report.model_demand)
        if member.waiting or member.waiting_adapters or rejected or news:
            self.changed.set()

    def _count_traffic(self, link: PeerLink, failure_domain: str) -> None:
        sent, received = link.take_byte_counts()
        traffic = self.state.traffic
        traffic.add_sent(TrafficPurpose.COORDINATOR_REPORTS, failure_domain, sent)
        traffic.add_received(TrafficPurpose.ENTRY_REPORTS, failure_domain, received)

    def _apply_demand(self, asked: ModelDemandUpdate) -> None:
        """Count what an entry's requests ask of a model."""
        if asked.tokens:
            self.demand.count(
                asked.model,
                asked.tokens,
                objective_ms=asked.objective_ms,
                priority=asked.priority,
            )
        if not any(self._urgency_differs(service) for service, _ in self.engines.services()):
            return
        if asked.objective_ms and not asked.tokens:
            self.demand.learn_unmet(
                asked.model, objective_ms=asked.objective_ms, priority=asked.priority
            )
        if asked.rejected:
            self.demand.reject(
                asked.model, asked.rejected, counts_for_ms=self._return_ms(asked.objective_ms)
            )

    def _return_ms(self, objective_ms: int) -> int:
        """Return the time within which callers with an objective return after a refusal."""
        routes = self.state.configuration.routes if self.state.configuration else ()
        limits_ms = [each.timeout_ms for each in routes if each.objective_ms == objective_ms]
        return round(max(limits_ms, default=0) * RETURN_SHARE)

    def apply_local_report(self, report: EntryReport) -> None:
        """Apply the report of this instance's own entry."""
        self.apply_report(report, self.members.local_member(report.instance))

    def step_down(self) -> None:
        """Announce to all entries that this instance gives no more orders."""
        # A swap in progress would otherwise send its next order after the announcement.
        self.lease.stop_orders()
        self.members.sharers.stop()
        self.permits.stop()
        age_ms = self.lease.clock.now_ms() - self.lease.last_possible_order_ms()
        self.members.send(StepDown(age_ms, self.lease.taken_up_token))

    def on_lease_read(self) -> None:
        """Reset the entries required for a proof, since this instance has read the lease."""
        self.required_proofs = self.members.linked_instances()

    def request_proofs(self, asked_ms: int, *, everyone: bool) -> None:
        """Ask other entries to read the lease, since the store doesn't answer here.

        One entry that reaches the store is enough; if none does, all required ones must answer.
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
        if not self.lease.may_order() or not self._knows_earlier_loads():
            self.updates.forecast = self.last_forecast = {}
            return
        self.engines.running = self.members.running()
        self.demand.update_waiting(self.members.waiting(), self.members.urgent_waiting())
        for service, spec in self.engines.services():
            self._update_runs(service)
            self._place(service, spec)
        self._forecast_loads()

    def _update_runs(self, service: str) -> None:
        runs = self.runs.setdefault(service, RunsByVersion(clock=self.clock))
        runs.update(
            self.engines.versions(service),
            self.engines.running,
            lifetime_ms=self.state.stream_versions.records.max_age_ms,
        )

    def _forecast_loads(self) -> None:
        """Forecast when models that no engine holds would be loaded, if a new forecast is due."""
        waiting = self.demand.waiting_models
        age_ms = self.clock.now_ms() - self.forecast_ms
        recent = 0 <= age_ms < FORECAST_INTERVAL_MS
        if not self.state.uses(Mechanism.MODEL_URGENCY):
            return
        if recent and waiting == self.forecast_models:
            return
        self.forecast_ms, self.forecast_models = self.clock.now_ms(), waiting
        forecast: dict[str, int] = {}
        for service, spec in self.engines.services():
            if self._urgency_differs(service):
                forecast |= forecast_loads(self._problem(service, spec))
        self.updates.forecast = confirmed(self.last_forecast, forecast)
        self.last_forecast = forecast

    def _knows_earlier_loads(self) -> bool:
        """Return whether what earlier coordinators ordered is known, or nobody may know it."""
        record = self.lease.record
        if self.state.outstanding_loads.complete or record is None or record.token <= 1:
            return True
        return self.clock.now_ms() - self.started_ms >= INHERITANCE_TIMEOUT_MS

    def _place(self, service: str, spec: EngineSpec) -> None:
        """Start the moves on a service's engines."""
        controllers = self.engines.of_service(service)
        self.adapters.place_waiting(spec, controllers, self.members.waiting_adapters())
        search = self._search(service, spec)
        while search and (swap := search.next_swap()) is not None:
            self._start_swap(swap)
            search = self._search(service, spec)
        started = False
        if self.state.uses(Mechanism.ADAPTER_PRELOAD):
            started = self.adapters.preload(spec, controllers)
        if not self.state.uses(Mechanism.WEIGHT_COPIES):
            return
        if started:
            search = self._search(service, spec)
        while search and (swap := search.next_copy()) is not None:
            self._start_swap(swap)
            search = self._search(service, spec)

    def _search(self, service: str, spec: EngineSpec) -> PlacementSearch | None:
        """Return a search for the next load, None while no engine can start one."""
        if not any(
            controller.usable() and not controller.free_in_ms()
            for controller in self.engines.of_service(service)
        ):
            return None
        return PlacementSearch(self._problem(service, spec))

    def _request_due_reports(self) -> None:
        for controller in self.engines.controllers.values():
            if controller.report_due():
                controller.report_requested_ms = self.clock.now_ms()
                self._spawn(self._refresh(controller))

    async def _refresh(self, controller: EngineController) -> None:
        await controller.refresh()

    def _problem(self, service: str, spec: EngineSpec) -> PlacementProblem:
        by_urgency = self._urgency_differs(service)
        engines = self.engines.snapshots(service)
        if not by_urgency:
            engines = [replace(engine, prefill_factor=1.0) for engine in engines]
        return PlacementProblem(
            spec,
            engines,
            {model: self.demand.current(model) for model in spec.models},
            store_load_allowed=self.load_rate.allows(spec.loads_per_s),
            idle=self._idle(),
            preloaded=self.loaded_for_copy,
            stream_ms=self._stream_ms(service),
            protect_last_copies=self.state.uses(Mechanism.KEEP_LAST_COPY),
            by_urgency=by_urgency,
            patient_store_load_allowed=self.load_rate.allows(
                spec.loads_per_s * PATIENT_STORE_SHARE
            ),
            held_demand_known=self.clock.now_ms() - self.started_ms >= IDLE_GRACE_MS,
            streams=self._streams(service),
        )

    def _urgency_differs(self, service: str) -> bool:
        """Return whether requests to a service differ in urgency, as configured."""
        configuration = self.state.configuration
        if configuration is None or not self.state.uses(Mechanism.MODEL_URGENCY):
            return False
        if configuration is not self.urgency_configuration:
            self.urgency_configuration = configuration
            self.uneven_services = frozenset(
                name
                for name, each in configuration.services.items()
                if urgency_differs(configuration, each)
            )
        return service in self.uneven_services

    def _streams(self, service: str) -> dict[tuple[str, str], float]:
        runs = self.runs.get(service)
        return runs.streams() if runs else {}

    def _stream_ms(self, service: str) -> float:
        if not self.state.uses(Mechanism.UNLOAD_WAIT_ESTIMATE):
            return 0.0
        return self.state.fleet.prefill_speed(service).stream_ms.value

    def _idle(self) -> bool:
        """Return whether nothing has been requested since this instance began to coordinate."""
        early = self.clock.now_ms() - self.started_ms < IDLE_GRACE_MS
        return not early and not self.demand.any_requested()

    def _start_swap(self, swap: Swap) -> None:
        controller = self.engines.controllers[swap.identity]
        controller.reserve(
            swap.model, swap.load_ms, unloads=len(swap.victims), unload_ms=swap.unload_ms
        )
        if swap.for_copy:
            self.loaded_for_copy.add(swap.model)
        if swap.from_store:
            self.load_rate.record()
        demand = self.demand.current(swap.model)
        urgency = {None: "", True: "urgent", False: "patient"}[swap.urgent]
        self.state.log.counters.count("load_ordered", urgency)
        self.state.log.write(
            "swap",
            target=swap.identity,
            model=swap.model,
            victims=list(swap.victims),
            reserved=controller.reserved_models(),
            from_store=swap.from_store,
            load_ms=swap.load_ms,
            unload_ms=swap.unload_ms,
            waiting=demand.waiting,
            tokens_per_s=round(demand.fast_tokens),
            urgency=urgency,
            priority=demand.priority,
            rejected=demand.rejected,
            waited_ms=demand.waiting_ms,
        )
        self._spawn(self._swap(controller, swap))

    async def _swap(self, controller: EngineController, swap: Swap) -> None:
        store_loads = sum(each.from_store for each in self.engines.controllers.values())
        controller.from_store = swap.from_store
        done = await controller.swap(
            swap.model,
            swap.victims,
            load_ms=swap.load_ms,
            predictable=not swap.from_store or store_loads <= MAX_FULL_SPEED_LOADS,
            requested=any(self._requested(victim) for victim in swap.victims),
        )
        controller.from_store = False
        if done and swap.for_copy and not self.demand.current(swap.model).last_request_ms:
            await self._restore_victims(controller, swap)
        self.state.log.write("swapped", target=swap.identity, model=swap.model, done=done)

    def _requested(self, model: str) -> bool:
        return self.demand.current(model).fast_tokens >= MIN_REQUESTED_TOKENS_PER_S

    async def _restore_victims(self, controller: EngineController, swap: Swap) -> None:
        """Load the victims of a model again that was loaded only for its copy."""
        configuration = self.state.configuration
        service = configuration.services.get(controller.record.service) if configuration else None
        for victim in swap.victims:
            model = service.engine.models.get(victim) if service and service.engine else None
            if model:
                load_ms = round(model.memory_load_s * 1000)
                await controller.swap(victim, (swap.model,), load_ms=load_ms)

    def _spawn(self, work: "asyncio._CoroutineLike[None]") -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
