"""Steps that run operators' commands and check their output and effects."""

import json
import shutil
import time
from typing import Any

from behave import given
from behave import step
from behave import then
from behave import when
from behave.runner import Context

from harness.operators import CommandResult
from harness.operators import OperatorCli

REGION = "alajuela"
UNLIMITED_COUNT = -1
HEAD_WRITE_DELAY_MS = 1500
FAULT_DELAY_MS = 150
FAULT_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
INVALID_BUNDLES = {
    "two versions of one name": '{"name": "b", "models": ['
    '{"name": "m", "version": "1", "memory_mb": 10},'
    '{"name": "m", "version": "2", "memory_mb": 10}]}',
    "an unknown key": '{"name": "b", "models": [], "modles": []}',
    "malformed JSON": '{"name": "b", "models": [',
    "a name with an at sign": '{"name": "b@1", "models": []}',
    "no memory for a model": '{"name": "b", "models": [{"name": "m", "version": "1"}]}',
    "a generation to come": '{"name": "b", "models": [], "base_generation": 7}',
}


def cli_of(context: Context) -> OperatorCli:
    operator_cli: OperatorCli = context.operator_cli
    return operator_cli


def model_entry(name: str, *, version: str, memory_mb: int) -> dict[str, Any]:
    return {"name": name, "version": version, "memory_mb": memory_mb}


def expect_success(result: CommandResult) -> CommandResult:
    assert result.exit_code == 0, f"exit code {result.exit_code}: {result.errors}"
    return result


def write_bundle(context: Context, operator: str, name: str, memory_mb: int) -> CommandResult:
    entry = model_entry("handover", version=name, memory_mb=memory_mb)
    text = json.dumps({"name": name, "models": [entry]})
    path = cli_of(context).write_file(f"{name}.json", f"// {name}\n{text}")
    return cli_of(context).run(operator, "bundle", "write", str(path))


def wait_for_fault(cli: OperatorCli) -> None:
    deadline = time.monotonic() + FAULT_TIMEOUT_S
    while not cli.triggered_faults():
        assert time.monotonic() < deadline, "the fault affected no call before the timeout"
        time.sleep(POLL_INTERVAL_S)


def current_roll(context: Context) -> dict[str, Any] | None:
    status = expect_success(cli_of(context).run("", "bundle", "status")).value()
    current: dict[str, Any] | None = status["current"]
    return current


@given("an operator desk with a target of {memory_mb:d} MB")
def operator_desk(context: Context, memory_mb: int) -> None:
    context.execute_steps("Given an operator desk without targets")
    status = {
        "instance": "target-1",
        "incarnation": "i1",
        "kind": "engine",
        "service": "",
        "failure_domain": "hangar-oeste",
        "address": "127.0.0.1:9",
        "capacity_mb": [memory_mb],
        "free_mb": [memory_mb],
        "residents": [],
        "draining": False,
        "active": 0,
        "queued": 0,
        "slots": 8,
        "beat": 1,
    }
    cli_of(context).create_object(f"status/{REGION}/target-1", status)


@given("an operator desk without targets")
def operator_desk_without_targets(context: Context) -> None:
    context.operator_cli = OperatorCli(context.processes)
    context.add_cleanup(shutil.rmtree, context.operator_cli.folder)


@given('operator "{operator}" wrote bundle "{name}"')
def operator_wrote(context: Context, operator: str, name: str) -> None:
    expect_success(write_bundle(context, operator, name, memory_mb=100))


@given('operator "{operator}" wrote bundle "{name}" of {memory_mb:d} MB')
def operator_wrote_size(context: Context, operator: str, name: str, memory_mb: int) -> None:
    expect_success(write_bundle(context, operator, name, memory_mb=memory_mb))


@given('operator "{operator}" approved bundle "{name}"')
def operator_approved(context: Context, operator: str, name: str) -> None:
    expect_success(cli_of(context).run(operator, "bundle", "approve", name))


@given('operator "{operator}" rolled bundle "{name}"')
def operator_rolled(context: Context, operator: str, name: str) -> None:
    expect_success(cli_of(context).run(operator, "bundle", "roll", name))


@given('the operator faces fault "{kind}" {count:d} times on "{match}"')
def operator_fault(context: Context, kind: str, count: int, match: str) -> None:
    cli_of(context).add_fault(kind, match, count, FAULT_DELAY_MS)


@given('the operator faces fault "{kind}" after {delay_ms:d} ms on "{match}"')
def operator_fault_after(context: Context, kind: str, delay_ms: int, match: str) -> None:
    cli_of(context).add_fault(kind, match, 1, delay_ms)


@given('the operator faces fault "{kind}" always on "{match}"')
def operator_fault_always(context: Context, kind: str, match: str) -> None:
    cli_of(context).add_fault(kind, match, UNLIMITED_COUNT)


@given('the operator finds "{name}" in the instance list')
def operator_finds_instance(context: Context, name: str) -> None:
    instance = {
        "role": "target",
        "address": "127.0.0.1:9",
        "region": REGION,
        "failure_domain": "hangar-oeste",
        "state": "live",
    }
    cli_of(context).call("PUT", f"/instances/{name}", instance)


@given('the operator finds the only ready replica of "{name}" on "{target}"')
def operator_finds_replica(context: Context, name: str, target: str) -> None:
    replica = {"target": target, "version": "1", "state": "ready"}
    record = {"model": name, "generation": 1, "replicas": [replica]}
    cli_of(context).create_object(f"placement/{REGION}/{name}", record)


@given('an operator "{operator}" whose approval of "{name}" is of another content')
def operator_approved_other(context: Context, operator: str, name: str) -> None:
    approval = {"digest": "0" * 64, "operator": operator, "at_ms": 1}
    cli_of(context).create_object(f"approvals/{name}", approval)


@when('operator "{operator}" checks settings without "{key}"')
def operator_checks_settings(context: Context, operator: str, key: str) -> None:
    settings: dict[str, Any] = {
        "role": "entry",
        "instance": {"name": "entry-1", "region": REGION, "failure_domain": "hangar-oeste"},
        "platform": {"object_api": "127.0.0.1:9", "instance_list": "127.0.0.1:9"},
        "entry": {"listen": "127.0.0.1:9"},
    }
    del settings["entry"][key]
    path = cli_of(context).write_file("settings.json", json.dumps(settings))
    context.result = cli_of(context).run(operator, "settings", "check", str(path))


@when('operator "{operator}" writes bundle "{name}"')
def operator_writes(context: Context, operator: str, name: str) -> None:
    context.result = write_bundle(context, operator, name, memory_mb=200)


@when('operator "{operator}" writes a bundle with {fault}')
def operator_writes_bad(context: Context, operator: str, fault: str) -> None:
    path = cli_of(context).write_file("bad.json", INVALID_BUNDLES[fault])
    context.result = cli_of(context).run(operator, "bundle", "write", str(path))


@when('operator "{operator}" runs "{arguments}"')
def operator_runs(context: Context, operator: str, arguments: str) -> None:
    context.result = cli_of(context).run(operator, *arguments.split())


@when('an operator without a name runs "{arguments}"')
def operator_without_name_runs(context: Context, arguments: str) -> None:
    context.result = cli_of(context).run("", *arguments.split())


@when('operators "{first}" and "{second}" roll "{one}" and "{other}" at the same moment')
def operators_roll_at_once(context: Context, first: str, second: str, one: str, other: str) -> None:
    cli = cli_of(context)
    # Delay the first write of the head so that the other operator writes it meanwhile.
    cli.add_fault("slow", "PUT /objects/head", 1, HEAD_WRITE_DELAY_MS)
    started = cli.start(first, "bundle", "roll", one)
    wait_for_fault(cli)
    other_result = cli.run(second, "bundle", "roll", other)
    context.rolls = {one: cli.wait(started), other: other_result}


@then("just one operator won and the other was told who")
def just_one_operator_won(context: Context) -> None:
    results: dict[str, CommandResult] = context.rolls
    winners = [name for name, result in results.items() if result.exit_code == 0]
    assert len(winners) == 1, {
        name: (item.exit_code, item.errors) for name, item in results.items()
    }
    loser = next(result for name, result in results.items() if name not in winners)
    assert loser.exit_code == 1, loser
    error = loser.error()
    assert error["name"] in ("ROLL_CONFLICT", "SUPERSEDED"), error
    current = current_roll(context)
    assert current and current["bundle"] == winners[0], current
    assert winners[0] in error["detail"] and current["operator"] in error["detail"], error
    assert f"generation {current['generation']} " in error["detail"], error


@step('the operator finds "{name}" in force as generation {generation:d}')
def operator_finds_in_force(context: Context, name: str, generation: int) -> None:
    current = current_roll(context)
    assert current and (current["bundle"], current["generation"]) == (name, generation), current


@then("the operator finds nothing in force")
def operator_finds_nothing(context: Context) -> None:
    assert current_roll(context) is None


@then("the operator's command succeeds")
def operator_command_succeeds(context: Context) -> None:
    expect_success(context.result)


@then('the operator\'s command exits {exit_code:d} with error {code:d} "{name}"')
def operator_command_fails(context: Context, exit_code: int, code: int, name: str) -> None:
    result: CommandResult = context.result
    assert result.exit_code == exit_code, f"exit code {result.exit_code}: {result.errors}"
    error = result.error()
    assert (error["code"], error["name"]) == (code, name), error


@then('the operator\'s command exits {exit_code:d} and says "{text}"')
def operator_command_exits(context: Context, exit_code: int, text: str) -> None:
    result: CommandResult = context.result
    assert result.exit_code == exit_code, f"exit code {result.exit_code}: {result.errors}"
    assert text in result.output + result.errors, result


@then('the operator reads "{text}"')
def operator_reads(context: Context, text: str) -> None:
    result: CommandResult = context.result
    assert text in result.output + result.errors, result


@then('the operator reads in the audit that "{operator}" {action} "{subject}": {outcome}')
def operator_reads_audit(
    context: Context, operator: str, action: str, subject: str, outcome: str
) -> None:
    actions = expect_success(cli_of(context).run("", "audit")).value()
    recorded = [
        (item["operator"], item["action"], item["subject"], item["outcome"]) for item in actions
    ]
    assert (operator, action, subject, outcome) in recorded, actions
