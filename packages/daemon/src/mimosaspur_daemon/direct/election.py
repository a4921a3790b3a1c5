"""Elect the coordinator: hold its lease, or follow the instance that holds it."""

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
from mimosaspur_protocol.peermessages import IssuedPermits
from mimosaspur_protocol.peermessages import IssuedTurns
from mimosaspur_protocol.peermessages import LeaseReadReply
from mimosaspur_protocol.peermessages import LeaseReadRequest
from mimosaspur_protocol.peermessages import PeerMessage
from mimosaspur_protocol.peermessages import ReportAck
from mimosaspur_protocol.peermessages import StepDown
from mimosaspur_state.clock import BoottimeClock
from mimosaspur_state.domaintraffic import TrafficPurpose
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.errors import VersionConflict
from mimosaspur_transport.peerlink import PeerLink
from mimosaspur_transport.peerlink import PeerLost

# Interval of an entry's reports; a request that starts to wait for a model triggers one at once.
REPORT_INTERVAL_S = 0.1
# Minimum time between reports, however they are triggered.
MIN_REPORT_INTERVAL_S = 0.01
# A coordinator that sends nothing for this long counts as lost.
COORDINATOR_TIMEOUT_MS = 1_000
# Wait before contending for the lease of a lost holder, which may come back; the jitter keeps
# instances from contending all at once.
CONTEND_DELAY_S = 0.5
CONTEND_JITTER_S = 0.6
# Minimum pause after a write conflict or a failed call to the store.
MIN_RETRY_S = 0.05
# How often a leaving instance checks whether another one holds the lease.
LEAVING_POLL_S = 0.3
# How often an instance that waits to contend checks whether the last holder is back.
LEASE_POLL_S = 0.3
LEASE_CHECK_INTERVAL_S = 0.1
# Pause between the second and the third attempt at a proof; the lease outlasts a few of them.
RENEWAL_RETRY_MS = 200
# After this time without an answer of the store the other entries are asked for a proof.
RENEWAL_TIMEOUT_S = 0.4


class CoordinatorElection:
    """Coordinate while this instance holds the lease, follow its holder otherwise."""

    def __init__(self, state: EntryState) -> None:
        self.state = state
        settings = state.settings
        self.address = (settings.ip, settings.peer_port)
        self.lease = OrderLease(
            settings.instance, handover_ms=settings.orders.handover_ms, clock=BoottimeClock()
        )
        # Since then this machine has given no orders but those that the lease records.
        self.started_ms = self.lease.clock.now_ms()
        # Reset once the lease is taken or its holder is followed.
        self.backoff = Backoff()
        self.coordinator: Coordinator | None = None
        self.configuration_exchange = ConfigurationExchange(state)
        # Reset once the lease is proved, by this instance or another.
        self.renewal_backoff = Backoff(initial_delay_ms=RENEWAL_RETRY_MS)
        # Consecutive reads of the lease that the store has refused.
        self.refused_renewals = 0
        # Time of the last coordinator's last order, if it reported it as it stepped down, and the
        # token of the lease under which it was followed.
        self.predecessor_last_order_ms: int | None = None
        self.predecessor_token = 0
        # Whether it stepped down while this instance followed it.
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
        """Follow the last known coordinator: the store may be unreachable from here alone."""
        if not self.lease.is_holder():
            await self._follow(record.address)

    def step_down(self) -> None:
        """Give no more orders and announce the time of the last one, but keep the lease.

        A successor may not order before the handover time after the last order. As the lease is
        kept until the process ends, a process that is only restarted takes it back without that
        wait.
        """
        # It may be taking the lease over, and would coordinate once that is written.
        self.lease.stop_orders()
        if self.coordinator:
            self.coordinator.step_down()

    async def _take_over(self) -> None:
        if self.state.leaving or self.lease.stopped:
            # The lease may still name this instance: its successor takes it over.
            await asyncio.sleep(LEAVING_POLL_S)
            return
        if self.lease.record is None and not await self._lease_still_free():
            return
        predecessor = self.lease.record.holder if self.lease.record else ""
        settled = bool(self.lease.record and self.lease.record.settled)
        if self.lease.record is None:
            # No entry can know of crashes before the first coordinator.
            self.state.quarantine.on_told()
        last_order_ms = self._last_order_of(self.lease.record)
        asked_ms = self.lease.clock.now_ms()
        record = await self.state.dependencies.store.write_lease(
            self.lease.next_record(self.address)
        )
        self.backoff.record_success()
        forgotten = self.lease.record_lost
        self.lease.acquire(record, asked_ms=asked_ms, predecessor=predecessor, settled=settled)
        if last_order_ms is not None and not forgotten:
            self.lease.on_predecessor_release(last_order_ms=last_order_ms)
        self.predecessor_last_order_ms = None
        self.state.log.always("coordinating", token=record.token, predecessor=predecessor)
        await self._coordinate()
        self.state.log.always("coordinated", token=record.token)

    def _last_order_of(self, record: LeaseRecord | None) -> int | None:
        """Return the time of the last order of a lease's holder, None if it isn't known.

        What an earlier holder reported says nothing of the orders of a later one.
        """
        if record is None or record.token != self.predecessor_token:
            return None
        return self.predecessor_last_order_ms

    async def _lease_still_free(self) -> bool:
        """Leave a lease that nobody ever held to larger instances; return whether it is free."""
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
        """Renew the proof of the lease until it is lost or this instance steps down."""
        while self.lease.is_holder() and not self.lease.stopped:
            for task in tasks:
                if task.done():
                    # These tasks never return: raise the error that ended one.
                    task.result()
            if self.lease.renewal_due():
                await self._renew()
            else:
                self.refused_renewals = 0
                self.renewal_backoff.record_success()
                if self.lease.settling_due():
                    await self._settle()
            # Back off while renewals fail: each makes other entries call the store.
            await asyncio.sleep(max(LEASE_CHECK_INTERVAL_S, self.renewal_backoff.delay_s()))

    async def _renew(self) -> None:
        asked_ms = self.lease.clock.now_ms()
        try:
            async with asyncio.timeout(RENEWAL_TIMEOUT_S):
                record = await self.state.dependencies.store.read_lease()
        except StoreUnavailable:
            self.renewal_backoff.record_failure()
            # Refused at once, perhaps only here: ask a few entries first, and all the next time.
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

    async def _settle(self) -> None:
        """Write that no earlier holder can order any more; a lost answer is read later."""
        record = self.lease.settled_record()
        if record is None:
            return
        asked_ms = self.lease.clock.now_ms()
        with contextlib.suppress(StoreUnavailable, VersionConflict, TimeoutError):
            async with asyncio.timeout(RENEWAL_TIMEOUT_S):
                written = await self.state.dependencies.store.write_lease(record)
            self.lease.update_from_store(written, asked_ms=asked_ms)

    async def _reclaim(self) -> None:
        """Write the lease again that the store has lost, unless another instance did."""
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
        self.state.unmet.report_all()
        while True:
            coordinator.apply_local_report(build_entry_report(self.state))
            await self._wait_for_next_report()

    async def _follow(self, address: tuple[str, int]) -> bool:
        """Follow a coordinator until it is lost, steps down or may not order; return False."""
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
                    self.predecessor_token = message.token
                    self.predecessor_stepped_down = followed
                    return False
                self._apply_answer(message)
                self.configuration_exchange.on_message(message, link)
                if isinstance(message, FleetReport):
                    followed = True
                    self.backoff.record_success()
                    self.predecessor_last_order_ms = None
                    apply_report(self.state, message)
                    self.state.quarantine.on_told()
                    self._count_traffic(link, message.failure_domain)
                    self.state.outstanding_loads.complete = True
                    self.configuration_exchange.on_version(message.configuration_version, link)
                    if not message.can_issue_orders:
                        return False
        except PeerLost as error:
            self.state.log.write("coordinator_lost", error=str(error))
            return False
        finally:
            reporting.cancel()
            link.close()
            # The store data that it sent keeps its age: the next coordinator is likely to be
            # elected before that data is stale.
            self.state.on_coordinator_lost()

    def _count_traffic(self, link: PeerLink, failure_domain: str) -> None:
        sent, received = link.take_byte_counts()
        traffic = self.state.traffic
        traffic.add_sent(TrafficPurpose.ENTRY_REPORTS, failure_domain, sent)
        traffic.add_received(TrafficPurpose.COORDINATOR_REPORTS, failure_domain, received)

    def _apply_answer(self, message: PeerMessage) -> None:
        """Apply what answers this entry's own reports."""
        if isinstance(message, ReportAck):
            self.state.reported_work.set_included(message.work_report_number)
            self.state.quotas.acknowledge(message.quota_report_number)
            self.state.load_outlook.on_answered(message.quota_report_number)
            self.state.report_times.on_answered(message.quota_report_number)
        elif isinstance(message, IssuedPermits):
            self.state.notices.apply_permits(message)
        elif isinstance(message, IssuedTurns):
            self.state.quarantine.turns.apply(message)

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
        # The wait lets a holder that was only restarted take its lease back first.
        wait_s = self._contend_delay_s() + random.random() * CONTEND_JITTER_S
        wait_s += coordinatorcapacity.candidacy_delay_s(self.state.settings)
        end_s = asyncio.get_running_loop().time() + wait_s
        record = self.lease.record
        while (remaining_s := end_s - asyncio.get_running_loop().time()) > 0:
            await asyncio.sleep(min(remaining_s, LEASE_POLL_S))
            record = await self.state.dependencies.store.read_lease()
            if record is None or record.token != token:
                break
        self.lease.record = record
        if record and record.token == token:
            await self._take_over()

    def _contend_delay_s(self) -> float:
        """Return how long to wait for the last holder to come back before contending."""
        last_order_ms = self._last_order_of(self.lease.record)
        if last_order_ms is None or not self.predecessor_stepped_down:
            return CONTEND_DELAY_S
        # A successor may not order sooner, so that this wait delays no orders.
        first_ms = self.lease.first_order_after(last_order_ms)
        return max(0.0, (first_ms - self.lease.clock.now_ms()) / 1000 - CONTEND_JITTER_S)

    async def _report_to(self, link: PeerLink) -> None:
        self.state.quarantine.ledger.report_all()
        self.state.notices.start_link()
        self.state.outstanding_loads.report_all()
        self.state.unmet.report_all()
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
        if self.coordinator is None or self.lease.stopped:
            await self._send_last_order(link)
            return
        await self.coordinator.serve_member(link)

    async def _send_last_order(self, link: PeerLink) -> None:
        """Send the age of the last order to an entry that expects a coordinator here."""
        last_ms = max(self.started_ms, self.lease.last_possible_order_ms())
        age_ms = self.lease.clock.now_ms() - last_ms
        with contextlib.suppress(PeerLost):
            link.send(StepDown(age_ms, self.lease.taken_up_token))
            await link.finish_sending()
        link.close()
