"""Define the command that explains a choice."""

import sys
from pathlib import Path
from typing import Annotated

import typer

from mimosaspur_cli import explainoperations
from mimosaspur_cli.explaintable import explanation_lines
from mimosaspur_cli.options import AsJson
from mimosaspur_cli.output import print_result
from mimosaspur_cli.platform import run_operation
from mimosaspur_protocol.explanations import ExplainRequest

Entry = Annotated[
    str,
    typer.Option(
        "--entry", envvar="MIMOSASPUR_ENTRY", help="The entry's control address, ip:metrics_port."
    ),
]


def explain(
    entry: Entry,
    path: Annotated[str, typer.Option("--path", help="The request's path.")],
    host: Annotated[
        str, typer.Option("--host", help="The request's host; by default, that of the headers.")
    ] = "",
    method: Annotated[str, typer.Option("--method", help="The request's method.")] = "POST",
    model: Annotated[str, typer.Option("--model", help="MODEL or MODEL/ADAPTER.")] = "",
    prompt_tokens: Annotated[int, typer.Option("--prompt-tokens", help="Prompt tokens.")] = 0,
    output_tokens: Annotated[
        int, typer.Option("--output-tokens", help="The maximum of output tokens.")
    ] = 0,
    parts: Annotated[
        list[str] | None,
        typer.Option("--part", help="A part of the prompt, ID:TOKENS; its own one last."),
    ] = None,
    workspace: Annotated[
        str, typer.Option("--workspace", help="The workspace, in place of an API key.")
    ] = "",
    time_limit_ms: Annotated[
        int, typer.Option("--time-limit-ms", help="The time limit; the route's by default.")
    ] = 0,
    headers: Annotated[
        Path | None, typer.Option("--headers", help="A file of headers, NAME: VALUE each.")
    ] = None,
    as_json: AsJson = False,
) -> None:
    """Explain where an entry would send a request now, without sending it."""

    def operation() -> object:
        sent = explainoperations.read_headers(headers) if headers else []
        question = ExplainRequest(
            host=host or explainoperations.host_of(sent),
            path=path,
            method=method,
            model=model,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            parts=parts or [],
            workspace=workspace,
            time_limit_ms=time_limit_ms,
            headers=sent,
        )
        explanation = explainoperations.ask(entry, question)
        if as_json:
            return explanation
        return "\n".join(explanation_lines(explanation, colour=sys.stdout.isatty()))

    print_result(run_operation(operation), as_json=as_json)
