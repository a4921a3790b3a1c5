"""Keep an entry to what targets say of themselves in their answers.

Each head that comes from a target is given to `TargetNotices.on_head`, whatever it answers, and
whatever is sent to a target passes `take` and `begin_send`, `permits_call` or `permits_report`.
"""

import contextlib
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass

from mimosaspur_coordination.limits.permitholder import PermitHolder
from mimosaspur_coordination.limits.permitholder import PermitWaiter
from mimosaspur_coordination.limits.permitissuer import PermitDemand
from mimosaspur_coordination.limits.permitissuer import PermitIssuer
from mimosaspur_coordination.limits.requestlimit import BadLimit
from mimosaspur_coordination.limits.requestlimit import LimitLedger
from mimosaspur_coordination.limits.requestlimit import RequestLimit
from mimosaspur_coordination.limits.requestlimit import parse_limit
from mimosaspur_coordination.limits.sendhistory import SendHistory
from mimosaspur_coordination.notices.leavingtargets import LeavingTargets
from mimosaspur_coordination.notices.rests import BadRest
from mimosaspur_coordination.notices.rests import Rests
from mimosaspur_coordination.notices.rests import parse_rest
from mimosaspur_protocol.peermessages import IssuedPermits
from mimosaspur_protocol.peermessages import LimitUpdate
from mimosaspur_protocol.peermessages import PermitRequest
from mimosaspur_state.clock import Clock
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.eventlog import EventLog
from mimosaspur_state.fleet import TargetRecord
from mimosaspur_transport.dialect import RETRY_AFTER
from mimosaspur_transport.dialect import Dialect
from mimosaspur_transport.dialect import header_values

NO_DEMAND = PermitDemand()
# Statuses with which a target turns a request away, and may ask for rest.
REFUSAL_STATUSES = (429, 503)


@dataclass(slots=True, frozen=True)
class SendPermit:
    """Allow one request to a target; without a limit it never lapses."""

    target: str
    # On the permits' clock; None if the target named no limit when this was taken.
    lapses_ms: int | None
    # The version of the limit that it was issued under.
    version: int
    # Whether the request continues a run that the target itself has stopped.
    returns: bool = False


class TargetNotices:
    """Learn what targets say of themselves, and let through what that permits."""

    __slots__ = (
        "bad_values",
        "dialect",
        "history",
        "holder",
        "issuer",
        "leaving",
        "ledger",
        "log",
        "on_change",
        "on_leaving",
        "request_report",
        "rests",
        "sent_before",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        permit_clock: Clock,
        dialect: Dialect,
        log: EventLog,
        request_report: Callable[[], None],
        on_change: Callable[[], None],
        on_leaving: Callable[[str], None],
    ) -> None:
        self.log = log
        self.dialect = dialect
        self.leaving = LeavingTargets(clock=clock)
        self.rests = Rests(clock=permit_clock)
        self.history = SendHistory(clock=clock)
        self.ledger = LimitLedger()
        self.holder = PermitHolder(clock=permit_clock)
        # Called to send the coordinator a report soon, and when a waiting request may go on.
        self.request_report = request_report
        self.on_change = on_change
        # Called with the incarnation of a target that is now known to leave.
        self.on_leaving = on_leaving
        # Requests in the last window before this entry knew a limit, until they are reported.
        self.sent_before: dict[str, int] = {}
        # Targets whose last value of a kind couldn't be read, with the code that tells which.
        self.bad_values: set[tuple[str, ResultCode]] = set()
        # Issues the permits of all entries, while this one coordinates.
        self.issuer: PermitIssuer | None = None

    def any_held(self) -> bool:
        """Return whether any target names a limit or rests, or has done so."""
        return bool(self.ledger.limits or self.rests.rests)

    def is_held(self, target: TargetRecord) -> bool:
        """Return whether a target names a limit, or rests."""
        return self.limit_per_s(target) is not None or bool(self.rest_ms(target))

    def rest_ms(self, target: TargetRecord) -> int:
        """Return for how long a target wants nothing from this entry, 0 if it takes requests."""
        return self.rests.remaining_ms(target.incarnation)

    def limit_per_s(self, target: TargetRecord) -> float | None:
        """Return the requests a second that a target takes, None for any number."""
        return self.ledger.get(target.incarnation).per_s

    def version(self, target: TargetRecord) -> int:
        """Return the version of what is known of a target's limit."""
        return self.ledger.get(target.incarnation).version

    def on_head(
        self,
        target: TargetRecord,
        status: int,
        headers: Sequence[tuple[bytes, bytes]],
        *,
        sent_version: int | None = None,
        proves_end: bool = False,
    ) -> None:
        """Apply what an answer of a target says of it.

        `sent_version` is the version of its limit that was known when the request was sent, by
        default the one that is known now. `proves_end` tells whether an answer without a limit
        shows that there is none any more.
        """
        if _says_yes(header_values(headers, self.dialect.leaving)):
            self._add_leaving(target.incarnation, source="answer", report=True)
        self._apply_rest(target, status, header_values(headers, RETRY_AFTER))
        self._apply_limit(
            target,
            header_values(headers, self.dialect.request_limit),
            sent_version=self.version(target) if sent_version is None else sent_version,
            proves_end=proves_end,
        )

    def _apply_rest(self, target: TargetRecord, status: int, values: Sequence[bytes]) -> None:
        key = target.incarnation
        try:
            rest_ms = parse_rest(values) if status in REFUSAL_STATUSES else None
        except BadRest as error:
            self._log_bad_value(key, ResultCode.BAD_TARGET_REST, named=str(error))
            return
        if rest_ms:
            if self.rests.ask(key, rest_ms):
                self.log.write("target_rest", target=key, rest_ms=rest_ms, status=status)
        elif self.rests.on_answer(key):
            self.on_change()

    def _add_leaving(self, incarnation: str, *, source: str, report: bool) -> bool:
        if not self.leaving.add(incarnation, report=report):
            return False
        self.log.always("target_leaving", target=incarnation, source=source)
        self.on_leaving(incarnation)
        if source == "answer":
            self.request_report()
        return True

    def _apply_limit(
        self, target: TargetRecord, values: Sequence[bytes], *, sent_version: int, proves_end: bool
    ) -> None:
        """Apply the limit that a response names, or none."""
        key = target.incarnation
        try:
            per_s = parse_limit(values)
        except BadLimit as error:
            kept = {"kept_per_s": self.limit_per_s(target)}
            self._log_bad_value(key, ResultCode.BAD_TARGET_LIMIT, named=str(error), **kept)
            return
        self.bad_values.discard((key, ResultCode.BAD_TARGET_LIMIT))
        before = self.ledger.get(key)
        if self.ledger.observe(key, per_s, sent_version=sent_version, proves_end=proves_end):
            self._on_limit_changed(key, before, source="response")
            self.request_report()

    def _log_bad_value(self, key: str, code: ResultCode, **fields: object) -> None:
        """Log a value that can't be read, once until a good one comes."""
        if (key, code) not in self.bad_values:
            self.bad_values.add((key, code))
            self.log.always(code.name.lower(), target=key, code=code.value, **fields)

    def may_send(
        self, target: TargetRecord, *, rank: int, waiter: PermitWaiter | None = None
    ) -> bool:
        """Return whether a request of a rank may be sent to a target now."""
        if target.incarnation in self.leaving or self.rest_ms(target):
            return False
        if self.limit_per_s(target) is None:
            return True
        return self.holder.has_permit(target.incarnation, rank=rank, waiter=waiter)

    def record_chance(self, target: TargetRecord) -> None:
        """Count a request that a target with a limit could take or could have taken."""
        if self.limit_per_s(target) is not None:
            self.holder.record_chance(target.incarnation)

    def take(self, target: TargetRecord, *, returns: bool = False) -> SendPermit | None:
        """Return a permit to send one request to a target, None if there is none.

        A request that continues a run which the target has stopped returns to it even if it leaves.
        """
        if (target.incarnation in self.leaving and not returns) or self.rest_ms(target):
            return None
        key, limit = target.incarnation, self.ledger.get(target.incarnation)
        lapses_ms = None
        if limit.per_s is not None:
            lapses_ms = self.holder.take(key)
            if lapses_ms is None:
                return None
        return SendPermit(key, lapses_ms, limit.version, returns)

    def begin_send(self, permit: SendPermit) -> bool:
        """Return whether a request may be sent at once, and count it."""
        if permit.target in self.leaving and not permit.returns:
            return False
        # The limit may have changed since, which drops its permits.
        allowed = self.ledger.get(permit.target).per_s is None or self._is_in_force(permit)
        if not allowed or not self.rests.begin_send(permit.target):
            return False
        self.history.record(permit.target)
        return True

    def put_back(self, permit: SendPermit) -> None:
        """Return a permit that was not used."""
        if permit.lapses_ms is not None and self._is_in_force(permit):
            self.holder.put_back(permit.target, permit.lapses_ms)

    def _is_in_force(self, permit: SendPermit) -> bool:
        """Return whether a permit is one of the present limit and hasn't lapsed."""
        if permit.version != self.ledger.get(permit.target).version:
            return False
        return permit.lapses_ms is None or self.holder.is_valid(permit.lapses_ms)

    def permits_call(self, target: TargetRecord) -> bool:
        """Return whether a call that is no caller's request may be sent, and count it."""
        if self.rest_ms(target):
            return False
        if self.limit_per_s(target) is not None and self.issuer:
            return self.issuer.try_take(target.incarnation)
        # A leaving engine still tells when it ends, and stops and copies what it runs.
        permit = self.take(target, returns=True)
        return permit is not None and self.begin_send(permit)

    def permits_report(self, target: TargetRecord) -> bool:
        """Return whether an engine may be asked for a report, and count it."""
        if self.rest_ms(target):
            return False
        if self.issuer is None:
            return self.permits_call(target)
        if self.limit_per_s(target) is not None:
            return self.issuer.try_report(target.incarnation)
        self.issuer.on_report(target.incarnation)
        return True

    def need_report(self, target: TargetRecord) -> None:
        """Permit the next report of an engine as soon as a token is there."""
        if self.issuer is not None:
            self.issuer.need_report(target.incarnation)

    def reserve_for_call(self, target: TargetRecord) -> None:
        """Keep the next token of a target for a call of the coordinator's own."""
        if self.issuer is not None:
            self.issuer.reserve(target.incarnation)

    def expected_wait_ms(
        self, target: TargetRecord, *, rank: int, waiter: PermitWaiter | None = None
    ) -> float:
        """Return the expected wait for a permit and the end of a rest, 0 if there is neither."""
        per_s = self.limit_per_s(target)
        rest_ms = float(self.rest_ms(target))
        if per_s is None:
            return rest_ms
        wait_ms = self.holder.expected_wait_ms(target.incarnation, per_s, rank=rank, waiter=waiter)
        return max(rest_ms, wait_ms)

    @contextlib.contextmanager
    def waiting(self, rank: int) -> Iterator[PermitWaiter]:
        """Ask for a permit for a waiting request within the context."""
        waiter = self.holder.add_waiter(rank)
        try:
            yield waiter
        finally:
            self.holder.remove_waiter(waiter)

    def set_targets(self, waiter: PermitWaiter, targets: Iterable[TargetRecord]) -> None:
        """Set the targets that a waiting request could be sent to, of which some name limits."""
        limited = (each for each in targets if self.limit_per_s(each) is not None)
        wanted = frozenset(target.incarnation for target in limited)
        if wanted != waiter.targets:
            waiter.targets = wanted
            self.request_report()

    def start_link(self) -> None:
        """Report all that is known on a new link to a coordinator."""
        self.leaving.report_all()
        self.ledger.report_all()
        self.holder.start_link()

    def take_updates(self) -> list[LimitUpdate]:
        """Return the limits that have changed since the last call."""
        return _to_updates(self.ledger.take_unreported())

    def all_updates(self) -> list[LimitUpdate]:
        """Return all known limits."""
        return _to_updates(self.ledger.limits)

    def apply_updates(self, updates: Iterable[LimitUpdate], *, relay: bool) -> bool:
        """Merge what another instance knows; return whether a limit has changed."""
        changed = False
        for each in updates:
            before = self.ledger.get(each.target)
            limit = RequestLimit(each.version, each.per_s)
            if self.ledger.merge(each.target, limit, report=relay):
                self._on_limit_changed(each.target, before, source="peer")
                changed = True
        return changed

    def apply_leaving(self, incarnations: Iterable[str], *, relay: bool) -> bool:
        """Merge the leaving targets that another instance knows; return whether one is new."""
        added = [self._add_leaving(each, source="peer", report=relay) for each in incarnations]
        return any(added)

    def permit_requests(self) -> list[PermitRequest]:
        """Return the permits to ask the coordinator for."""
        demand = self.holder.demand(self.ledger.limited())
        requests = []
        for target in {*demand, *self.sent_before}:
            each = demand.get(target, NO_DEMAND)
            sent_before = self.sent_before.get(target, 0)
            requests.append(PermitRequest(target, each.waiting, each.ahead, sent_before))
        self.sent_before.clear()
        return requests

    def apply_permits(self, permits: IssuedPermits) -> None:
        """Apply the permits and expected waits that the coordinator has sent."""
        self.holder.apply_permits(permits.number, permits.asked_ms, permits.counts)
        self.holder.apply_waits(permits.waits_ms)
        self.on_change()

    def retain(self, incarnations: Collection[str]) -> None:
        """Drop what is known of all other targets."""
        self.leaving.retain(incarnations)
        self.history.retain(incarnations)
        self.ledger.retain(incarnations)
        self.bad_values = {each for each in self.bad_values if each[0] in incarnations}
        self.rests.retain(incarnations)

    def listing(self) -> list[dict[str, object]]:
        """Return the limits and rests in force, and the leaving targets, for operators."""
        limits: list[dict[str, object]] = [
            {
                "target": target,
                "per_s": per_s,
                "sent_recently": self.history.count(target),
                "waiting": sum(target in each.targets for each in self.holder.waiters),
            }
            for target, per_s in self.ledger.limited().items()
        ]
        rests: list[dict[str, object]] = [
            {"target": target, "rest_ms": rest_ms}
            for target in self.rests.rests
            if (rest_ms := self.rests.remaining_ms(target))
        ]
        return (
            limits + rests + [{"target": each, "leaving": True} for each in self.leaving.noted_ms]
        )

    def _on_limit_changed(self, target: str, before: RequestLimit, *, source: str) -> None:
        limit = self.ledger.get(target)
        self.holder.drop(target)
        if limit.per_s is not None:
            self.sent_before[target] = self.history.count(target)
        self.log.always(
            "target_limit",
            target=target,
            per_s=limit.per_s,
            before_per_s=before.per_s,
            version=limit.version,
            source=source,
            sent_recently=self.history.count(target),
        )
        self.on_change()


def _says_yes(values: Sequence[bytes]) -> bool:
    """Return whether one of a header's values is anything but 0."""
    return any(value.strip() not in (b"", b"0") for value in values)


def _to_updates(limits: Mapping[str, RequestLimit]) -> list[LimitUpdate]:
    return [LimitUpdate(target, limit.version, limit.per_s) for target, limit in limits.items()]


def to_demand(requests: Iterable[PermitRequest]) -> dict[str, PermitDemand]:
    """Return the demand in an entry's report."""
    return {each.target: PermitDemand(dict(each.waiting), each.ahead) for each in requests}
