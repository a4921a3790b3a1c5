"""Hold or follow the coordinator's duty."""

import asyncio
import contextlib
import random

from mimosaspur_coordination import coordinatorcapacity
from mimosaspur_coordination.backoff import Backoff
from mimosaspur_coordination.fleetports import LeaseRecord
from mimosaspur_coordination.orderlease import OrderLease
from mimosaspur_daemon.direct.configurationexchange import ConfigurationExchange
from mimosaspur_daemon.direct.coordinator import Coordinator
from mimosaspur_daemon.direct.entryreport import build_entry_report
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.fleetreport import apply_report
from mimosaspur_protocol.peermessages import FleetReport
from mimosaspur_protocol.peermessages import LeaseReadReply
from mimosaspur_protocol.peermessages import LeaseReadRequest
from mimosaspur_protocol.peermessages import ReportAck
from mimosaspur_protocol.peermessages import StepDown
from mimosaspur_state.clock import BoottimeClock
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.errors import VersionConflict
from mimosaspur_transport.peerlink import PeerLink
from mimosaspur_transport.peerlink import PeerLost

# An entry tells the coordinator this often; a request that waits for a model is told at once.
REPORT_INTERVAL_S = 0.1
# At most this often, whatever happens.
MIN_REPORT_INTERVAL_S = 0.01
# A coordinator that says nothing for so long is taken for lost.
COORDINATOR_TIMEOUT_MS = 1_000
# Whoever finds it lost waits a little, for it may be back, and lest all contend at once.
CONTEND_DELAY_S = 0.5
CONTEND_JITTER_S = 0.6
# Another one that contends has just written the lease, or a call to the store has failed.
MIN_RETRY_S = 0.05
# How often one that leaves looks whether another has the lease.
LEAVING_POLL_S = 0.3
# How often whoever waits to contend looks whether the last holder is back.
LEASE_POLL_S = 0.3
LEASE_CHECK_INTERVAL_S = 0.1
# Between the second and the third attempt at a proof; the lease lasts for a few of them.
RENEWAL_RETRY_MS = 200
# A proof that takes longer is asked of the other entries.
RENEWAL_TIMEOUT_S = 0.4


class CoordinatorElection:
    """Coordinate while the lease is held here, follow its holder otherwise."""

    def __init__(self, state: EntryState) -> None:
        self.state = state
        settings = state.settings
        self.address = (settings.ip, settings.peer_port)
        self.lease = OrderLease(
            settings.instance, handover_ms=settings.orders.handover_ms, clock=BoottimeClock()
        )
        # This machine has given no order since then but those that the lease counts.
        self.started_ms = self.lease.clock.now_ms()
        # Reset by a lease that could be taken, or whose holder could be followed.
        self.backoff = Backoff()
        self.coordinator: Coordinator | None = None
        self.configuration_exchange = ConfigurationExchange(state)
        # Reset when the lease is proved again, by whomever.
        self.renewal_backoff = Backoff(initial_delay_ms=RENEWAL_RETRY_MS)
        # How often in a row the store has refused to prove the lease.
        self.refused_renewals = 0
        # Whether this instance has stepped down for good.
        self.has_stepped_down = False
        # When the last coordinator gave its last order, if it told as it stepped down.
        self.predecessor_last_order_ms: int | None = None
        # Whether it stepped down while it was followed.
        self.predecessor_stepped_down = False

    async def listen(self) -> asyncio.Server:
        """Accept links from other entries."""
        return await asyncio.start_server(self._serve_link, *self.address)

    async def run(self) -> None:
        """Coordinate or follow for as long as the process runs."""
        while True:
            asked_ms = self.lease.clock.now_ms()
            try:
                self.lease.update_from_store(
                    await self.state.dependencies.store.read_lease(), asked_ms=asked_ms
                )
                record = self.lease.record
                if record is None or self.lease.is_holder():
                    await self._take_over()
                elif record.restored or not await self._follow(record.address):
                    await self._contend(record.token)
            except (StoreUnavailable, VersionConflict) as error:
                if isinstance(error, StoreUnavailable) and self.lease.record:
                    await self._follow_last_known(self.lease.record)
                self.backoff.record_failure()
                await asyncio.sleep(max(MIN_RETRY_S, self.backoff.delay_s()))

    async def _follow_last_known(self, record: LeaseRecord) -> None:
        """Follow the last known coordinator: the store may fail this instance alone."""
        if not self.lease.is_holder():
            await self._follow(record.address)

    def step_down(self) -> None:
        """Give no more orders, and tell when the last one was; the duty lasts until then.

        Whoever takes over may not order before the handover time after the last order. So the
        duty is kept until the process ends: a process that is only restarted takes it back
        without that wait.
        """
        if self.coordinator:
            self.coordinator.step_down()
            self.has_stepped_down = True

    async def _take_over(self) -> None:
        if self.state.leaving or self.has_stepped_down:
            # The lease may still name this instance: its successor takes it over.
            await asyncio.sleep(LEAVING_POLL_S)
            return
        if self.lease.record is None and not await self._lease_still_free():
            return
        predecessor = self.lease.record.holder if self.lease.record else ""
        asked_ms = self.lease.clock.now_ms()
        record = await self.state.dependencies.store.write_lease(
            self.lease.next_record(self.address)
        )
        self.backoff.record_success()
        forgotten = self.lease.record_lost
        self.lease.acquire(record, asked_ms=asked_ms, predecessor=predecessor)
        if self.predecessor_last_order_ms is not None and not forgotten:
            self.lease.on_predecessor_release(last_order_ms=self.predecessor_last_order_ms)
            self.predecessor_last_order_ms = None
        self.state.log.always("coordinating", token=record.token, predecessor=predecessor)
        await self._coordinate()
        self.state.log.always("coordinated", token=record.token)

    async def _lease_still_free(self) -> bool:
        """Let instances that can carry more take a lease that nobody ever held."""
        stand_back_s = coordinatorcapacity.candidacy_delay_s(self.state.settings)
        if not stand_back_s:
            return True
        await asyncio.sleep(stand_back_s)
        asked_ms = self.lease.clock.now_ms()
        self.lease.update_from_store(
            await self.state.dependencies.store.read_lease(), asked_ms=asked_ms
        )
        return self.lease.record is None

    async def _coordinate(self) -> None:
        coordinator = self.coordinator = Coordinator(
            self.state, self.lease, self.configuration_exchange
        )
        self.state.coordinating = True
        tasks = [
            asyncio.create_task(coordinator.run()),
            asyncio.create_task(self._report_locally(coordinator)),
        ]
        try:
            await self._hold_lease(tasks)
        finally:
            self.coordinator = None
            self.state.coordinating = False
            for task in tasks:
                task.cancel()
            self.state.on_coordinator_lost()

    async def _hold_lease(self, tasks: list[asyncio.Task[None]]) -> None:
        """Prove the lease again and again until another instance holds it."""
        while self.lease.is_holder() and not self.has_stepped_down:
            for task in tasks:
                if task.done():
                    # A failure of these is a fault of ours: it must show.
                    task.result()
            if self.lease.renewal_due():
                await self._renew()
            else:
                self.refused_renewals = 0
                self.renewal_backoff.record_success()
            # A renewal asks other entries too, each of which calls the store.
            await asyncio.sleep(max(LEASE_CHECK_INTERVAL_S, self.renewal_backoff.delay_s()))

    async def _renew(self) -> None:
        asked_ms = self.lease.clock.now_ms()
        try:
            async with asyncio.timeout(RENEWAL_TIMEOUT_S):
                record = await self.state.dependencies.store.read_lease()
        except StoreUnavailable:
            self.renewal_backoff.record_failure()
            # Turned away at once: it may be this instance alone, and there is time to ask all.
            self.refused_renewals += 1
            self._request_proofs(everyone=self.refused_renewals > 1)
            return
        except TimeoutError:
            self.renewal_backoff.record_failure()
            self._request_proofs(everyone=True)
            return
        proved = self.lease.is_confirmed()
        self.lease.update_from_store(record, asked_ms=asked_ms)
        if self.lease.record_lost and proved:
            await self._reclaim()
        if self.coordinator:
            self.coordinator.on_lease_read()

    async def _reclaim(self) -> None:
        """Take the lease again that the store has forgotten, unless another instance does."""
        asked_ms = self.lease.clock.now_ms()
        try:
            async with asyncio.timeout(RENEWAL_TIMEOUT_S):
                record = await self.state.dependencies.store.write_lease(
                    self.lease.next_record(self.address)
                )
        except (StoreUnavailable, VersionConflict, TimeoutError) as error:
            self.state.log.always("lease_lost", error=repr(error))
            return
        self.lease.reclaim(record, asked_ms=asked_ms)
        self.state.log.always("lease_reclaimed", token=record.token)

    def _request_proofs(self, *, everyone: bool) -> None:
        if self.coordinator:
            self.coordinator.request_proofs(self.lease.clock.now_ms(), everyone=everyone)

    async def _report_locally(self, coordinator: Coordinator) -> None:
        while True:
            coordinator.apply_local_report(build_entry_report(self.state))
            await self._wait_for_next_report()

    async def _follow(self, address: tuple[str, int]) -> bool:
        """Follow a coordinator until it is lost; tell whether it stepped down or lapsed."""
        try:
            link = await PeerLink.open(address)
        except PeerLost as error:
            self.state.log.write("coordinator_unreachable", error=str(error))
            return False
        followed = False
        reporting = asyncio.create_task(self._report_to(link))
        try:
            while True:
                message = await link.receive(timeout_ms=COORDINATOR_TIMEOUT_MS)
                if isinstance(message, LeaseReadRequest):
                    await self._answer_proof_request(link, message)
                if isinstance(message, StepDown):
                    self.predecessor_last_order_ms = (
                        self.lease.clock.now_ms() - message.last_order_age_ms
                    )
                    self.predecessor_stepped_down = followed
                    return False
                if isinstance(message, ReportAck):
                    self.state.reported_work.set_included(message.work_report_number)
                    self.state.quotas.acknowledge(message.quota_report_number)
                self.configuration_exchange.on_message(message, link)
                if isinstance(message, FleetReport):
                    followed = True
                    self.backoff.record_success()
                    self.predecessor_last_order_ms = None
                    apply_report(self.state, message)
                    self.configuration_exchange.on_version(message.configuration_version, link)
                    if not message.can_issue_orders:
                        return False
        except PeerLost as error:
            self.state.log.write("coordinator_lost", error=str(error))
            return False
        finally:
            reporting.cancel()
            link.close()
            # What was told of the store is as old as it was, whoever told it: while it is fresh,
            # the next coordinator is likely to be there before it isn't.
            self.state.on_coordinator_lost()

    async def _answer_proof_request(self, link: PeerLink, request: LeaseReadRequest) -> None:
        instance = self.state.settings.instance
        answer = LeaseReadReply(instance, request.requested_ms, False, "", 0)
        with contextlib.suppress(StoreUnavailable, TimeoutError):
            async with asyncio.timeout(RENEWAL_TIMEOUT_S):
                record = await self.state.dependencies.store.read_lease()
            holder, token = (record.holder, record.token) if record else ("", 0)
            answer = LeaseReadReply(instance, request.requested_ms, True, holder, token)
        link.send(answer)

    async def _contend(self, token: int) -> None:
        # A process that was only restarted takes the lease back without any wait.
        wait_s = self._contend_delay_s() + random.random() * CONTEND_JITTER_S
        wait_s += coordinatorcapacity.candidacy_delay_s(self.state.settings)
        end_s = asyncio.get_running_loop().time() + wait_s
        record = self.lease.record
        while (left_s := end_s - asyncio.get_running_loop().time()) > 0:
            await asyncio.sleep(min(left_s, LEASE_POLL_S))
            record = await self.state.dependencies.store.read_lease()
            if record is None or record.token != token:
                break
        self.lease.record = record
        if record and record.token == token:
            await self._take_over()

    def _contend_delay_s(self) -> float:
        """Return how long the last holder may take to come back before others contend."""
        if self.predecessor_last_order_ms is None or not self.predecessor_stepped_down:
            return CONTEND_DELAY_S
        # Its successor may not order sooner, so that nothing is lost by waiting for it so long.
        first_ms = self.lease.first_order_after(self.predecessor_last_order_ms)
        return max(0.0, (first_ms - self.lease.clock.now_ms()) / 1000 - CONTEND_JITTER_S)

    async def _report_to(self, link: PeerLink) -> None:
        with contextlib.suppress(PeerLost):
            while True:
                link.send(build_entry_report(self.state))
                await self._wait_for_next_report()

    async def _wait_for_next_report(self) -> None:
        await asyncio.sleep(MIN_REPORT_INTERVAL_S)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REPORT_INTERVAL_S):
                await self.state.report_requested.wait()
        self.state.report_requested.clear()

    async def _serve_link(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link = PeerLink(reader, writer)
        if self.coordinator is None:
            await self._send_last_order(link)
            return
        await self.coordinator.serve_member(link)

    async def _send_last_order(self, link: PeerLink) -> None:
        """Tell an entry that expects a coordinator here how long ago the last order was."""
        age_ms = self.lease.clock.now_ms() - max(self.started_ms, self.lease.last_order_ms)
        with contextlib.suppress(PeerLost):
            link.send(StepDown(age_ms))
            await link.finish_sending()
        link.close()
