"""Define the options shared by several commands."""

from typing import Annotated

import typer

from mimosaspur_cli.output import exit_with_usage_error
from mimosaspur_cli.platform import Platform
from mimosaspur_cli.platform import connect

OBJECT_API_VARIABLE = "MIMOSASPUR_OBJECT_API"
INSTANCE_LIST_VARIABLE = "MIMOSASPUR_INSTANCE_LIST"
OPERATOR_VARIABLE = "MIMOSASPUR_OPERATOR"

ObjectApi = Annotated[
    str,
    typer.Option("--object-api", envvar=OBJECT_API_VARIABLE, help="The object API's ip:port."),
]
InstanceList = Annotated[
    str,
    typer.Option(
        "--instance-list",
        envvar=INSTANCE_LIST_VARIABLE,
        help="Address of the instance list, ip:port; defaults to the object API's.",
    ),
]
Operator = Annotated[
    str,
    typer.Option("--operator", envvar=OPERATOR_VARIABLE, help="Your name, for the audit trail."),
]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON for programs.")]


def connect_or_exit(object_api: str, instance_list: str = "") -> Platform:
    """Return the platform at the given addresses, or exit with an error if one is invalid."""
    if not object_api:
        exit_with_usage_error(f"give --object-api ip:port or set {OBJECT_API_VARIABLE}")
    try:
        return connect(object_api, instance_list)
    except ValueError as error:
        exit_with_usage_error(f"{error}; give ip:port")


def require_operator(operator: str) -> str:
    """Return the operator's name, or exit with an error if it is empty."""
    if not operator.strip():
        exit_with_usage_error(
            f"give --operator NAME or set {OPERATOR_VARIABLE}; the audit trail requires it"
        )
    return operator.strip()
