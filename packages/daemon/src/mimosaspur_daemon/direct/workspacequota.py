"""Find a request's workspace and enforce the workspace's quota."""

import asyncio
import contextlib
from collections.abc import Callable

from mimosaspur_coordination.fleetview import Prompt
from mimosaspur_coordination.quota.limiter import QuotaUnknown
from mimosaspur_coordination.workspaces.credentials import find_workspace
from mimosaspur_coordination.workspaces.credentials import read_bearer
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.refusal import RequestFailed
from mimosaspur_daemon.direct.requesthandler import RequestHandler
from mimosaspur_daemon.direct.storechanges import CONFIGURATION
from mimosaspur_daemon.direct.targetchooser import TargetChooser
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.routes import Route
from mimosaspur_state.workspaces import Quota
from mimosaspur_state.workspaces import QuotaUnit
from mimosaspur_state.workspaces import Workspace
from mimosaspur_transport.callerconnection import CallerRequest
from mimosaspur_transport.dialect import header_values

# Retry-After for a caller whose key or quota another entry may know.
OTHER_ENTRY_RETRY_S = 0.1
# Time for which requests to a newly started process wait for the first quotas.
FIRST_QUOTAS_TIMEOUT_S = 0.4


def authenticate(state: EntryState, route: Route, request: CallerRequest) -> Workspace | None:
    """Return the workspace of a request; raise RequestFailed if a required one is missing."""
    configuration = state.configuration
    if configuration is None or configuration.workspaces is None:
        return None
    digest = read_bearer(header_values(request.headers, state.dependencies.dialect.credential))
    workspace = find_workspace(configuration, digest)
    if route.public:
        return workspace
    age_ms = state.freshness.confirmation_age_ms(CONFIGURATION)
    trusted_ms = state.settings.credential_max_age_ms
    if workspace and (trusted_ms is None or age_ms <= trusted_ms):
        return workspace
    if digest and age_ms > state.settings.configuration_ms:
        # The key may have been added or revoked since the configuration was last confirmed.
        raise RequestFailed(ResultCode.CONFIGURATION_OLD, retry_after_s=OTHER_ENTRY_RETRY_S)
    raise RequestFailed(ResultCode.UNKNOWN_CREDENTIAL)


async def wait_for_first_quotas(state: EntryState, workspace: Workspace | None) -> None:
    """Wait briefly for the first quotas after a process start."""
    if workspace is None or workspace.quota is None or state.quotas.has_update():
        return
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(FIRST_QUOTAS_TIMEOUT_S):
            await state.quotas_received.wait()


def charge_quota(handler: RequestHandler) -> None:
    """Take a request's cost from its workspace's quota; raise RequestFailed if it exceeds it."""
    workspace = handler.workspace
    if workspace is None or workspace.quota is None:
        return
    chooser, cost = handler.target_selector, _cost(workspace.quota, handler.prompt)
    wait_ms = _wait_ms(chooser, handler.state.quotas.admit, workspace, cost)
    if wait_ms:
        handler.state.log.write(
            "over_quota",
            request=handler.request_id(),
            workspace=workspace.name,
            cost=cost,
            wait_ms=wait_ms,
            quota=handler.state.quotas.state(workspace.name),
        )
        raise chooser.refusal(ResultCode.QUOTA_EXCEEDED, wanted_s=wait_ms / 1000)
    handler.quota_charged = cost


def check_quota(chooser: TargetChooser) -> None:
    """Raise RequestFailed if a workspace's quota wouldn't admit a request now; charge nothing."""
    workspace = chooser.workspace
    if workspace is None or workspace.quota is None:
        return
    cost = _cost(workspace.quota, chooser.prompt)
    wait_ms = _wait_ms(chooser, chooser.state.quotas.rehearse, workspace, cost)
    if wait_ms:
        raise chooser.refusal(ResultCode.QUOTA_EXCEEDED, wanted_s=wait_ms / 1000)


def _wait_ms(
    chooser: TargetChooser, admit: Callable[[str, float], int], workspace: Workspace, cost: float
) -> int:
    """Return the time until a quota covers a cost, 0 for now; raise RequestFailed if unknown."""
    try:
        return admit(workspace.name, cost)
    except QuotaUnknown:
        raise chooser.refusal(ResultCode.QUOTA_UNKNOWN, wanted_s=OTHER_ENTRY_RETRY_S) from None


def refund_unless_run(handler: RequestHandler) -> None:
    """Refund the cost of a request that cannot have run."""
    if handler.quota_charged and handler.workspace and not handler.may_have_run():
        handler.state.quotas.refund(handler.workspace.name, handler.quota_charged)
    handler.quota_charged = 0.0


def _cost(quota: Quota, prompt: Prompt) -> float:
    if quota.unit is QuotaUnit.REQUESTS:
        return 1.0
    return (prompt.prompt_tokens + prompt.output_tokens) or quota.plain_cost
