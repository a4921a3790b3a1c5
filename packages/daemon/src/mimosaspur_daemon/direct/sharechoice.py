"""Apply the share of a request's workspace to the choice of its target."""

import math

from mimosaspur_coordination.fleetview import Prompt
from mimosaspur_coordination.fleetview import TargetView
from mimosaspur_coordination.scheduling.callertimes import MAX_RETRY_AFTER_SHARE
from mimosaspur_coordination.scheduling.callertimes import retry_after_s
from mimosaspur_coordination.scheduling.scheduler import BEFORE_ALL_RANKS
from mimosaspur_coordination.scheduling.scheduler import RESERVED_SLOTS_SHARE
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.refusal import RequestFailed
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.workspaces import Workspace

# A request without token counts is one unit. A plain service gets no other ones.
PLAIN_TOKENS = 1.0


class ShareChoice:
    """Tell whether one request exceeds the share of its workspace, and count it.

    Without `counts` the request isn't counted, logged or told when to return: it is only explained.
    """

    __slots__ = (
        "counts",
        "exceeded",
        "is_asked",
        "is_sent",
        "is_served",
        "request",
        "service",
        "state",
        "taken",
        "tokens",
        "workspace",
    )

    def __init__(
        self,
        state: EntryState,
        service: str,
        prompt: Prompt,
        *,
        workspace: Workspace | None,
        request: str,
        counts: bool = True,
    ) -> None:
        self.state = state
        self.counts = counts
        self.service = service
        self.workspace = workspace.name if workspace else ""
        # The request's ID, for the log.
        self.request = request
        self.tokens = (prompt.prompt_tokens + prompt.output_tokens) or PLAIN_TOKENS
        # Whether the request goes behind those of other workspaces, as of the last check.
        self.exceeded = False
        # Whether it was counted as asked, sent and served.
        self.is_asked = False
        self.is_sent = False
        self.is_served = False
        # Tokens taken from the share.
        self.taken = 0.0

    def check(self) -> bool:
        """Check whether the request exceeds the share, until it is sent; return if that changed."""
        shares, before = self.state.shares, self.exceeded
        if not shares.weights:
            return False
        if self.counts and not self.is_asked:
            self.is_asked = True
            shares.on_asked(self.service, self.workspace, self.tokens)
        if not self.is_sent:
            self.exceeded = shares.exceeds(self.service, self.workspace)
        return self.exceeded != before

    def on_sent(self) -> None:
        """Take the request's tokens from the share when it is first sent."""
        if self.is_sent:
            return
        self.is_sent = True
        if self.exceeded:
            self._record("behind")
            return
        self.taken = self.tokens
        self.state.shares.take(self.service, self.workspace, self.taken)

    def on_served(self) -> None:
        """Count the request's tokens as served."""
        if not self.is_served:
            self.is_served = True
            self.state.shares.on_served(self.service, self.workspace, self.tokens)

    def put_back(self) -> None:
        """Put the tokens of a request back that has not run."""
        if self.taken:
            self.state.shares.take(self.service, self.workspace, -self.taken)
            self.taken = 0.0

    def on_wait(self) -> None:
        """Record that the request waits for room at its service."""
        if self.counts and self.state.shares.on_shortage(self.service):
            self.state.log.write("shortage", service=self.service, request=self.request)
            self.state.log.counters.count("share_shortage")
            self.state.report_requested.set()

    def on_late(
        self, view: TargetView, prompt: Prompt, *, predicted_ms: float, over_ms: float
    ) -> None:
        """Record a request that will be late; it waits for room if it would be on time alone."""
        alone_ms = view.first_token_ms(prompt, rank=BEFORE_ALL_RANKS)
        if 0 < over_ms <= predicted_ms - alone_ms:
            self.on_wait()

    def must_wait(self, view: TargetView, *, held_ms: float, most_ms: float) -> bool:
        """Return whether the request leaves the last room of a plain target to others for now.

        It does for at most `most_ms` since its arrival.
        """
        slots = view.record.slots
        if slots and view.request_count() >= slots:
            self.on_wait()
        self.check()
        is_full = slots and view.request_count() >= slots * (1 - RESERVED_SLOTS_SHARE)
        return bool(is_full and self.exceeded and held_ms < most_ms)

    def refusal(self, *, left_s: float) -> RequestFailed:
        """Return the refusal of a request that can't be in time behind the others.

        Its caller has `left_s` left, and returns only if it is told to within a part of that time.
        Others that were refused don't have to wait for one that doesn't return.
        """
        shares = self.state.shares
        wait_ms = shares.wait_ms(self.service, self.workspace)
        if self.counts:
            self._record("refused")
        if self.counts and wait_ms <= MAX_RETRY_AFTER_SHARE * left_s * 1000:
            shares.promise(self.service, self.workspace, self.tokens, wait_ms=wait_ms)
        retry_s = retry_after_s(wait_ms / 1000, left_s=math.inf, spread=True)
        return RequestFailed(ResultCode.SHARE_EXCEEDED, retry_after_s=retry_s)

    def _record(self, outcome: str) -> None:
        share = self.state.shares.share(self.service, self.workspace)
        self.state.log.counters.count("share_exceeded", outcome)
        self.state.log.write(
            "share_exceeded",
            request=self.request,
            outcome=outcome,
            service=self.service,
            workspace=self.workspace,
            per_s=round(share.per_s, 3) if share else None,
            asked_per_s=round(share.asked_per_s, 3) if share else None,
        )
