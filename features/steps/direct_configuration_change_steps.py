"""Steps for a configuration that comes into force while a request is served."""

import asyncio
from dataclasses import replace

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import engine_spec
from harness.direct_entry import model_spec
from harness.direct_target import PLAIN_BODY
from harness.direct_workspaces import WorkspaceEntry
from harness.loop import run
from harness.recorded_log import RecordedLog
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.routes import CallerLimits
from mimosaspur_state.routes import Configuration
from mimosaspur_state.routes import ServiceSpec
from mimosaspur_state.workspaces import Quota
from mimosaspur_state.workspaces import QuotaUnit

QUOTA = Quota(unit=QuotaUnit.REQUESTS, per_s=100.0, burst=100.0)
MODEL = "notes"
# Time for a request to reach the moment at which the configuration changes.
SETTLE_S = 0.1


@given("a direct entry whose workspaces have quotas, before a target that takes {took_ms:d} ms")
def start_entry(context: Context, took_ms: int) -> None:
    entry = context.entry = WorkspaceEntry(quota=QUOTA)
    entry.state.log = context.log = RecordedLog("entry-0")
    entry.target.fault = "is slow to answer"
    entry.target.pause_s = took_ms / 1000
    spec = ServiceSpec("service", "/health", 100, engine_spec([model_spec(MODEL)]))
    current = entry.state.configuration
    assert current
    entry.state.configuration = replace(current, services={"service": spec})
    run(context, entry.begin())


@when("a newer configuration without its {part} comes into force as a request {moment}")
def change_configuration(context: Context, part: str, moment: str) -> None:
    state = context.entry.state
    if moment != "waits for the first quotas":
        state.quotas.apply_update([], entries=1)
    if moment != "waits for its model":
        state.fleet.set_residents("first", {MODEL: frozenset()}, frozenset())
    headers = {"Authorization": "Bearer n-1", "X-Model": MODEL, "X-Token-Counts": "5,5"}

    async def change() -> None:
        calling = asyncio.create_task(context.entry.call("safe", headers=headers))
        await asyncio.sleep(SETTLE_S)
        assert context.entry.callers.in_flight() == 1
        state.apply_configuration(_without(part, state.configuration), source="test")
        context.answer = await calling

    run(context, change())


def _without(part: str, current: Configuration) -> Configuration:
    newer = replace(current, version=current.version + 1)
    workspaces = current.workspaces or ()
    match part:
        case "route":
            return replace(newer, routes=())
        case "service":
            return replace(newer, services={})
        case "workspace":
            return replace(newer, workspaces=())
        case "workspaces":
            return replace(newer, workspaces=None)
        case "quota":
            return replace(
                newer, workspaces=tuple(replace(each, quota=None) for each in workspaces)
            )
        case "model":
            spec = replace(newer.services["service"], engine=engine_spec([]))
            return replace(newer, services={"service": spec})
        case "time and idle time":
            routes = tuple(replace(each, timeout_ms=1, objective_ms=1) for each in newer.routes)
            limits = CallerLimits(idle_timeout_ms=1, header_timeout_ms=1, body_bytes=1)
            return replace(newer, routes=routes, limits=limits)
    raise AssertionError(part)


@then("the caller has the target's answer, or a rejection that tells its reason")
def check_answer(context: Context) -> None:
    answer = context.answer
    assert answer.whole, answer
    codes = [line["code"] for line in context.log.of_kind("given_up")]
    assert ResultCode.INTERNAL not in codes, context.log.of_kind("given_up")
    if answer.status == 200:
        assert answer.body == PLAIN_BODY and not codes, (answer, codes)
    else:
        assert [answer.body.split()[0].decode()] == [str(code) for code in codes], (answer, codes)
