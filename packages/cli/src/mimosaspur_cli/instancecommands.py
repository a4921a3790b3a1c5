"""Offer the commands on instances."""

import sys
from typing import Annotated

import typer

from mimosaspur_cli import instanceoperations
from mimosaspur_cli.instanceoperations import DrainResult
from mimosaspur_cli.instanceoperations import InstanceRow
from mimosaspur_cli.instanceoperations import UndrainResult
from mimosaspur_cli.options import AsJson
from mimosaspur_cli.options import InstanceList
from mimosaspur_cli.options import ObjectApi
from mimosaspur_cli.options import Operator
from mimosaspur_cli.options import connect_or_exit
from mimosaspur_cli.options import require_operator
from mimosaspur_cli.output import format_lines
from mimosaspur_cli.output import format_table
from mimosaspur_cli.output import format_time
from mimosaspur_cli.output import print_result

app = typer.Typer(help="See instances and plan their departure.", no_args_is_help=True)

Name = Annotated[str, typer.Argument(help="The instance's name.")]
Reason = Annotated[str, typer.Option("--reason", help="Why it leaves; kept in the audit trail.")]


@app.command("list")
def list_instances(
    object_api: ObjectApi = "", instance_list: InstanceList = "", as_json: AsJson = False
) -> None:
    """List the instances that are known, and who ordered which to leave."""
    result = instanceoperations.list_instances(connect_or_exit(object_api, instance_list))
    print_result(result.map(_instance_table) if not as_json else result, as_json=as_json)


@app.command()
def drain(
    name: Name,
    reason: Reason,
    object_api: ObjectApi = "",
    instance_list: InstanceList = "",
    operator: Operator = "",
    as_json: AsJson = False,
) -> None:
    """Order an instance to shut down gracefully; its models are moved first."""
    platform = connect_or_exit(object_api, instance_list)
    result = instanceoperations.drain(platform, name, require_operator(operator), reason)
    if result.is_ok() and result.ok.only_ready_of:
        models = ", ".join(result.ok.only_ready_of)
        sys.stderr.write(
            f"warning: {name} holds the only ready replica of {models}; "
            "it leaves only when these are ready elsewhere\n"
        )
    print_result(result, as_json=as_json)


@app.command()
def undrain(
    name: Name, object_api: ObjectApi = "", operator: Operator = "", as_json: AsJson = False
) -> None:
    """Take back the order that an instance leave."""
    platform = connect_or_exit(object_api)
    print_result(
        instanceoperations.undrain(platform, name, require_operator(operator)), as_json=as_json
    )


@format_lines.register
def _(value: DrainResult) -> list[str]:
    order = value.order
    before = "already " if value.already else ""
    ordered = f"{value.instance} is {before}ordered to leave by {order.operator}"
    return [f"{ordered} at {format_time(order.at_ms)}: {order.reason}"]


@format_lines.register
def _(value: UndrainResult) -> list[str]:
    if value.was_drained:
        return [f"{value.instance} is no longer ordered to leave."]
    return [f"{value.instance} was not ordered to leave."]


def _instance_table(instances: list[InstanceRow]) -> str:
    rows = [["instance", "role", "region", "failure domain", "address", "state", "drained by"]]
    for item in instances:
        place = [item.region, item.failure_domain, item.address]
        rows.append([item.name, item.role, *place, item.state, item.drained_by or "-"])
    return "\n".join(format_table(rows))
