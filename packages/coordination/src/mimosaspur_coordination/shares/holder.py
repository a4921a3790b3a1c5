"""Hold an entry's part of the workspaces' shares, and tell which requests exceed them."""

from collections import deque
from collections.abc import Iterable

from mimosaspur_coordination.limits.sharelease import LEASE_MS
from mimosaspur_coordination.quota.account import demand_share
from mimosaspur_coordination.quota.quotabucket import QuotaBucket
from mimosaspur_coordination.shares.division import DEFAULT_WEIGHT
from mimosaspur_coordination.shares.division import ServiceUse
from mimosaspur_coordination.shares.division import Share
from mimosaspur_coordination.shares.division import Shares
from mimosaspur_coordination.shares.division import divide_room
from mimosaspur_coordination.shares.observed import ObservedUse
from mimosaspur_state.clock import Clock
from mimosaspur_state.workspaces import Workspace

# What a workspace leaves unused of its share is kept for this long.
BURST_MS = 1_000
# Shortest time between two reports of the use of services, while one of them is short.
REPORT_INTERVAL_MS = 200
# Where the entry divides its own room, it does so anew after this time.
OWN_DIVISION_MS = 250
DISTANT_PAST_MS = -1_000_000_000

Key = tuple[str, str]


class _Allowance:
    """Hold what this entry may send of one workspace's share."""

    __slots__ = ("bucket", "promised")

    def __init__(self, now_ms: int) -> None:
        self.bucket = QuotaBucket(capacity=0.0, per_s=0.0, content=0.0, at_ms=now_ms)
        # Refused requests that were told when to return, as (time in ms, tokens).
        self.promised: deque[tuple[float, float]] = deque()

    def update(self, per_s: float, now_ms: int) -> None:
        """Set this entry's part of the share, in tokens per second."""
        self.bucket.resize(capacity=per_s * BURST_MS / 1000, per_s=per_s, now_ms=now_ms)


class ShareHolder:
    """Tell which requests exceed their workspace's share while a service is short of room.

    The coordinator's shares hold for LEASE_MS after its last message. After that the entry divides
    what it has served itself, while it observes a shortage itself.
    """

    __slots__ = (
        "allowances",
        "clock",
        "divided_ms",
        "entries",
        "follows",
        "inherited_ms",
        "issued",
        "observed",
        "renewed_ms",
        "reported_asked",
        "reported_ms",
        "reports_use",
        "shares",
        "weights",
    )

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.observed = ObservedUse(clock=clock)
        # Weights by workspace; empty with fewer than two workspaces, which have nothing to divide.
        self.weights: dict[str, float] = {}
        # As issued by the coordinator, and when their lease was last renewed.
        self.issued: Shares = {}
        self.renewed_ms = DISTANT_PAST_MS
        # When the lease of those of an earlier coordinator was last renewed, which hold until its
        # successor issues some; None if none do.
        self.inherited_ms: int | None = None
        # Those in force: issued, or divided here.
        self.shares: Shares = {}
        # Whether the coordinator that is followed now has issued shares.
        self.follows = False
        self.entries = 1
        # When the entry last divided its own room.
        self.divided_ms = DISTANT_PAST_MS
        self.allowances: dict[Key, _Allowance] = {}
        # What workspaces asked here by the last report, which the coordinator's totals include.
        self.reported_asked: dict[Key, float] = {}
        self.reported_ms = DISTANT_PAST_MS
        # Whether the last report named services.
        self.reports_use = False

    def configure(self, workspaces: Iterable[Workspace]) -> None:
        """Apply the weights of a configuration."""
        weights = weights_of(workspaces)
        self.weights = weights if len(weights) > 1 else {}
        # Callers of public routes without a credential are one more workspace without a name.
        self.observed.retain({"", *self.weights})
        if not self.weights:
            # Issued ones are kept: the coordinator may have read another configuration, and sends
            # them again only when they change.
            self.shares = {}
            self.allowances.clear()
        elif self.follows:
            self._set_shares(self.issued, is_own=False)

    def on_asked(self, service: str, workspace: str, tokens: float) -> None:
        """Count a request that a target of the service could run."""
        if self.weights:
            self.observed.on_asked(service, workspace, tokens)

    def on_served(self, service: str, workspace: str, tokens: float) -> None:
        """Count a request that a target has begun to answer, whatever the status."""
        if self.weights:
            self.observed.on_served(service, workspace, tokens)

    def on_shortage(self, service: str) -> bool:
        """Record that a request waits for room; return whether the coordinator should know now."""
        return bool(self.weights) and self.observed.on_shortage(service)

    def share(self, service: str, workspace: str) -> Share | None:
        """Return the share of a workspace over all entries, None if it isn't limited now."""
        self._end_inherited()
        self._divide_own()
        return self.shares.get(service, {}).get(workspace)

    def exceeds(self, service: str, workspace: str) -> bool:
        """Return whether a request exceeds its workspace's share now."""
        if self.share(service, workspace) is None:
            return False
        return self.allowances[service, workspace].bucket.at(self.clock.now_ms()) <= 0

    def take(self, service: str, workspace: str, tokens: float) -> None:
        """Take a request's tokens from its workspace's share; a negative number is put back.

        One request may exceed what is left, which delays the next one.
        """
        allowance = self.allowances.get((service, workspace))
        if allowance:
            allowance.bucket.take(tokens, self.clock.now_ms())

    def wait_ms(self, service: str, workspace: str) -> float:
        """Return in how many ms the share covers a refused request, after those refused before."""
        allowance = self.allowances.get((service, workspace))
        if allowance is None or not allowance.bucket.per_s:
            return 0.0
        now_ms = self.clock.now_ms()
        promised = allowance.promised
        while promised and promised[0][0] <= now_ms:
            promised.popleft()
        ahead = sum(each for _, each in promised)
        return allowance.bucket.wait_ms(0.0, now_ms) + ahead * 1000 / allowance.bucket.per_s

    def promise(self, service: str, workspace: str, tokens: float, *, wait_ms: float) -> None:
        """Count a refused request that was told to return after this time."""
        allowance = self.allowances.get((service, workspace))
        if allowance is not None and allowance.bucket.per_s:
            allowance.promised.append((self.clock.now_ms() + wait_ms, tokens))

    def take_report(self) -> dict[str, ServiceUse] | None:
        """Return the use of services that are short here or elsewhere; None if the last one holds.

        The first report without such a service is empty; further ones are left out.
        """
        now_ms = self.clock.now_ms()
        if not self.weights or 0 <= now_ms - self.reported_ms < REPORT_INTERVAL_MS:
            return None
        self._end_inherited()
        services = {*self.observed.short_services(), *(self.issued if self.follows else ())}
        if not services and not self.reports_use:
            return None
        self.reported_ms, self.reports_use = now_ms, bool(services)
        uses = {service: self.observed.use(service) for service in services}
        self.reported_asked = {
            (service, workspace): use.asked_per_s
            for service, each in uses.items()
            for workspace, use in each.by_workspace.items()
        }
        if self.follows:
            self._set_shares(self.issued, is_own=False)
        return uses

    def apply_shares(self, shares: Shares | None, *, entries: int) -> None:
        """Apply the coordinator's message: all shares, or None if those issued last still hold.

        A new coordinator that hasn't divided room yet begins with no shares. Those of its
        predecessor then hold for the rest of their lease.
        """
        if shares is None and not self.follows:
            return
        now_ms = self.clock.now_ms()
        leased_ms = self.renewed_ms if self.inherited_ms is None else self.inherited_ms
        inherits = not self.follows and bool(self.issued) and _is_leased(leased_ms, now_ms)
        self.renewed_ms, self.entries = now_ms, max(1, entries)
        if shares is None:
            return
        self.follows = True
        if not shares and inherits:
            self.inherited_ms = leased_ms
            return
        self.inherited_ms, self.issued = None, shares
        if self.weights:
            self._set_shares(shares, is_own=False)

    def on_coordinator_lost(self) -> None:
        """Keep the shares for the rest of their lease; report to the next coordinator at once."""
        self.follows = False
        self.reported_ms = DISTANT_PAST_MS

    def _end_inherited(self) -> None:
        """Drop the shares of an earlier coordinator once their lease has ended."""
        if self.inherited_ms is None or _is_leased(self.inherited_ms, self.clock.now_ms()):
            return
        self.inherited_ms, self.issued = None, {}
        self._set_shares({}, is_own=False)

    def _divide_own(self) -> None:
        """Divide the entry's own room once the issued shares are no longer leased."""
        now_ms = self.clock.now_ms()
        if not self.weights or _is_leased(self.renewed_ms, now_ms):
            return
        if 0 <= now_ms - self.divided_ms < OWN_DIVISION_MS:
            return
        self.divided_ms = now_ms
        own = {
            service: divide_room(self.observed.use(service).by_workspace, self.weights)
            for service in self.observed.short_services()
        }
        self._set_shares(own, is_own=True)

    def _set_shares(self, shares: Shares, *, is_own: bool) -> None:
        """Put shares in force: this entry's part of issued ones, or its own ones as a whole."""
        now_ms = self.clock.now_ms()
        self.shares = shares
        limited: dict[Key, _Allowance] = {}
        for service, by_workspace in self.shares.items():
            for workspace, share in by_workspace.items():
                key = service, workspace
                part = 1.0 if is_own else self._part(key, share)
                allowance = self.allowances.get(key) or _Allowance(now_ms)
                allowance.update(share.per_s * part, now_ms)
                limited[key] = allowance
        self.allowances = limited

    def _part(self, key: Key, share: Share) -> float:
        """Return this entry's part of a workspace's share, by what is asked of it here."""
        asked = self.reported_asked.get(key, 0.0)
        return demand_share(asked, share.asked_per_s, self.entries)


def _is_leased(renewed_ms: int, now_ms: int) -> bool:
    """Return whether shares hold by a lease that was last renewed at a time."""
    return 0 <= now_ms - renewed_ms <= LEASE_MS


def weights_of(workspaces: Iterable[Workspace]) -> dict[str, float]:
    """Return the weights of workspaces by name; none if none has one."""
    workspaces = list(workspaces)
    if all(each.weight is None for each in workspaces):
        return {}
    return {each.name: each.weight or DEFAULT_WEIGHT for each in workspaces}
