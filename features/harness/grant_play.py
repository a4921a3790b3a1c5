"""Play requests that end as they are granted what they need, and audit what they spend of it."""

import asyncio
import random
from collections.abc import Iterator
from contextlib import ExitStack
from contextlib import contextmanager
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from types import MappingProxyType
from typing import Any
from unittest.mock import patch

import h11

from harness.direct_workspaces import workspace
from harness.promise_play import Call
from harness.promise_play import PromisePlay
from harness.promise_play import TimedTarget
from mimosaspur_coordination.limits.permitholder import PermitHolder
from mimosaspur_coordination.shares.holder import ShareHolder
from mimosaspur_daemon.direct.requesthandler import RequestHandler
from mimosaspur_daemon.direct.targetnotices import SendPermit
from mimosaspur_daemon.direct.targetnotices import TargetNotices
from mimosaspur_state.workspaces import Quota
from mimosaspur_state.workspaces import QuotaUnit

KEY = "n-1"
# Limits that targets name, None for none, and the interval of the permits for them.
LIMITS_PER_S = (b"40", b"200", None)
PERMIT_INTERVAL_S = 0.01
# Connections take up to so long to open, and are refused with this probability.
MAX_CONNECT_S = 0.08
REFUSED_SHARE = 0.05


@dataclass(slots=True)
class TakenPermit:
    """Record what became of a permit, and the version of the limit that it was issued under."""

    permit: SendPermit
    version: int
    uses: int = 0
    returns: int = 0
    # Whether it was refused as the request was about to be sent.
    refused: bool = False
    # Whether it was used or returned under another limit.
    is_stale: bool = False


def is_stale(notices: TargetNotices, taken: TakenPermit) -> bool:
    """Return whether a permit isn't one of the limit that is now in force."""
    limit = notices.ledger.get(taken.permit.target)
    return limit.per_s is not None and limit.version != taken.version


@dataclass(slots=True)
class GrantAudit:
    """Record what requests were granted and gave back, and what was wrong at the end."""

    permits: list[TakenPermit] = field(default_factory=list)
    handlers: list[RequestHandler] = field(default_factory=list)
    # Tokens taken from shares, less those put back.
    share_tokens: float = 0.0
    faults: list[str] = field(default_factory=list)

    def find(self, permit: SendPermit) -> TakenPermit:
        """Return the record of a permit."""
        return next(each for each in self.permits if each.permit is permit)

    @contextmanager
    def recording(self) -> Iterator[None]:
        """Record all grants within the context."""
        take, begin_send = TargetNotices.take, TargetNotices.begin_send
        put_back, take_share = TargetNotices.put_back, ShareHolder.take
        return_permit, init = PermitHolder.put_back, RequestHandler.__init__

        def recorded_take(notices: TargetNotices, *args: Any, **options: Any) -> SendPermit | None:
            permit = take(notices, *args, **options)
            if permit:
                version = notices.ledger.get(permit.target).version
                self.permits.append(TakenPermit(permit, version))
            return permit

        def recorded_begin_send(notices: TargetNotices, permit: SendPermit) -> bool:
            taken = self.find(permit)
            if begin_send(notices, permit):
                taken.uses += 1
                taken.is_stale |= is_stale(notices, taken)
                return True
            taken.refused = True
            return False

        def recorded_put_back(notices: TargetNotices, permit: SendPermit) -> None:
            taken = self.find(permit)
            taken.returns += 1

            def check(holder: PermitHolder, target: str, lapses_ms: int) -> None:
                taken.is_stale |= is_stale(notices, taken)
                return_permit(holder, target, lapses_ms)

            with patch.object(PermitHolder, "put_back", check):
                put_back(notices, permit)

        def recorded_share(holder: ShareHolder, service: str, name: str, tokens: float) -> None:
            self.share_tokens += tokens
            take_share(holder, service, name, tokens)

        def recorded_init(handler: RequestHandler, *args: Any, **options: Any) -> None:
            init(handler, *args, **options)
            self.handlers.append(handler)

        with ExitStack() as stack:
            for owner, name, replacement in (
                (TargetNotices, "take", recorded_take),
                (TargetNotices, "begin_send", recorded_begin_send),
                (TargetNotices, "put_back", recorded_put_back),
                (ShareHolder, "take", recorded_share),
                (RequestHandler, "__init__", recorded_init),
            ):
                stack.enter_context(patch.object(owner, name, replacement))
            yield


class LimitedTarget(TimedTarget):
    """Name a limit, or none, with each answer."""

    def _respond(
        self,
        writer: asyncio.StreamWriter,
        codec: h11.Connection,
        status: int,
        *headers: tuple[bytes, bytes],
    ) -> None:
        per_s = self.random.choice(LIMITS_PER_S)
        limit = [(b"X-Request-Limit", per_s)] if per_s else []
        super()._respond(writer, codec, status, *headers, *limit)


class GrantPlay(PromisePlay):
    """Run an entry with quotas, shares and retries before targets that name limits, by a seed."""

    target_class = LimitedTarget
    headers = MappingProxyType({"Authorization": f"Bearer {KEY}"})

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.audit = GrantAudit()
        self.delays = random.Random(seed)
        connect = self.loop.create_connection

        async def delayed_connect(*args: Any, **options: Any) -> Any:
            await asyncio.sleep(self.delays.uniform(0, MAX_CONNECT_S))
            to_target = args[1:] != ("127.0.0.1", self.entry.port)
            if to_target and self.delays.random() < REFUSED_SHARE:
                raise ConnectionRefusedError("refused")
            return await connect(*args, **options)

        self.loop.create_connection = delayed_connect  # type: ignore[method-assign]

    def play(self) -> list[Call]:
        """Send the requests; return what became of them, and audit what they were granted."""
        with self.audit.recording():
            return super().play()

    async def _play(self) -> None:
        state = self.entry.state
        quota = Quota(QuotaUnit.REQUESTS, 1_000.0, 1_000.0)
        held = state.configuration
        assert held
        workspaces = (
            workspace("north", (KEY,), quota=quota, weight=1.0),
            workspace("south", ("s-1",), quota=quota, weight=1.0),
        )
        state.apply_configuration(replace(held, version=2, workspaces=workspaces), source="test")
        state.freshness.confirm("configuration", age_ms=0)
        state.quotas.apply_update([], entries=1)
        issuing = asyncio.create_task(self._issue())
        await super()._play()
        issuing.cancel()
        self._check()

    async def _issue(self) -> None:
        """Issue permits for the targets that name limits."""
        notices, number = self.entry.state.notices, 0
        while True:
            await asyncio.sleep(PERMIT_INTERVAL_S)
            number += 1
            asked_ms = notices.holder.clock.now_ms()
            counts = dict.fromkeys(notices.ledger.limited(), 1)
            notices.holder.apply_queues({})
            notices.holder.apply_permits(number, asked_ms, counts)
            notices.on_change()

    def _check(self) -> None:
        self._check_permits()
        self._check_runs()
        self._check_work()

    def _fault(self, what: str, **fields: object) -> None:
        self.audit.faults.append(f"{what}: {fields}")

    def _check_permits(self) -> None:
        for taken in self.audit.permits:
            ends = taken.uses + taken.returns + taken.refused
            if ends != 1:
                self._fault("a permit isn't used or given back once", taken=taken)
            if taken.is_stale:
                self._fault("a permit of an earlier limit was used or given back", taken=taken)

    def _check_runs(self) -> None:
        """Check that what a request takes is spent if it may have run, and only then."""
        state, handlers = self.entry.state, self.audit.handlers
        may_have_run = [each for each in handlers if each.may_have_run()]
        for handler in handlers:
            identity = handler.request_id()
            if self.calls[identity].ran_at and handler not in may_have_run:
                self._fault("a request ran that isn't known to", request=identity)
        spent = state.quotas.accounts["north"].spent
        if round(spent) != len(may_have_run):
            self._fault("quota", spent=spent, ran=len(may_have_run))
        tokens = sum(each.target_selector.share.taken for each in may_have_run)
        if round(self.audit.share_tokens) != round(tokens):
            self._fault("shares", taken=self.audit.share_tokens, ran=tokens)
        retries = sum(max(0, each.retries.attempts - 1) for each in handlers)
        spent_retries = len(state.retry_window("service").repeats)
        if retries != spent_retries:
            self._fault("retries", spent=spent_retries, used=retries)

    def _check_work(self) -> None:
        """Check that nothing is left of the requests, whose connections are closed or idle."""
        state = self.entry.state
        for view in state.fleet.targets.values():
            if view.request_count() or view.awaited_streams:
                self._fault("work", target=view.record.identity, count=view.request_count())
            pool = state.pool(view.record)
            live = [
                each
                for each in self.loop.clients
                if each.socket.address == view.record.address and not each.is_closing()
            ]
            if not pool.open_count == len(pool.idle) == len(live):
                counts = (pool.open_count, len(pool.idle), len(live))
                self._fault("connections", target=view.record.identity, counts=counts)
        quarantine = state.quarantine
        left = (
            quarantine.at_targets,
            quarantine.handlers,
            quarantine.turns.holders,
            quarantine.turns.waiting,
            quarantine.turns.assigned,
            state.notices.holder.waiters,
            self.entry.callers.handlers,
        )
        if any(left):
            self._fault("left behind", left=left)
