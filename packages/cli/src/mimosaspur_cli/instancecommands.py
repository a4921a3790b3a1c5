"""Define the instance commands."""

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

app = typer.Typer(help="List and drain instances.", no_args_is_help=True)

Name = Annotated[str, typer.Argument(help="The instance's name.")]
Reason = Annotated[str, typer.Option("--reason", help="Reason, kept in the audit trail.")]


@app.command("list")
def list_instances(
    object_api: ObjectApi = "", instance_list: InstanceList = "", as_json: AsJson = False
) -> None:
    """List the known instances and the operators who drained them."""
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
    """Drain an instance: move its models, then shut it down gracefully."""
    platform = connect_or_exit(object_api, instance_list)
    result = instanceoperations.drain(platform, name, require_operator(operator), reason)
    if result.is_ok() and result.ok.only_ready_of:
        models = ", ".join(result.ok.only_ready_of)
        sys.stderr.write(
            f"warning: {name} holds the only ready replica of {models}; "
            "it shuts down only when they are ready on another instance\n"
        )
    print_result(result, as_json=as_json)


@app.command()
def undrain(
    name: Name, object_api: ObjectApi = "", operator: Operator = "", as_json: AsJson = False
) -> None:
    """Cancel an instance's drain order."""
    platform = connect_or_exit(object_api)
    print_result(
        instanceoperations.undrain(platform, name, require_operator(operator)), as_json=as_json
    )


@format_lines.register
def _(value: DrainResult) -> list[str]:
    order = value.order
    prefix = "already " if value.already else ""
    summary = f"{value.instance} is {prefix}being drained by order of {order.operator}"
    return [f"{summary} at {format_time(order.at_ms)}: {order.reason}"]


@format_lines.register
def _(value: UndrainResult) -> list[str]:
    if value.was_drained:
        return [f"The drain of {value.instance} was cancelled."]
    return [f"{value.instance} was not being drained."]


def _instance_table(instances: list[InstanceRow]) -> str:
    rows = [["instance", "role", "region", "failure domain", "address", "state", "drained by"]]
    for item in instances:
        location = [item.region, item.failure_domain, item.address]
        rows.append([item.name, item.role, *location, item.state, item.drained_by or "-"])
    return "\n".join(format_table(rows))
