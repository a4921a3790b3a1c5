"""Steps of explanations of streams that are taken up."""

from dataclasses import replace

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import HOST
from harness.explained_entry import ExplainedEntry
from harness.loop import run
from mimosaspur_cli.explaintable import explanation_lines
from mimosaspur_coordination.streams.streamrecords import StreamRecord
from mimosaspur_coordination.streams.streamrecords import stream_key
from mimosaspur_daemon.direct.explain.explanation import explain
from mimosaspur_protocol.explanations import ExplainRequest

MODEL = "a"
ROOT = "r-0"
RESUMPTION = [("Last-Event-Id", "3"), ("X-Resumes", ROOT)]
NEVER, UNKNOWN, NONE = "no", "unknown", "-"
# Between a load's announcement and the explanation.
SLACK_MS = 2_000


@given("an entry with engines 1 and 2 at v1, 3 and 4 at v2, and the model held at {held:d}")
def start_two_versions(context: Context, held: int) -> None:
    async def start() -> None:
        context.played = ExplainedEntry()
        await context.played.start()
        state = context.played.state
        records = [view.record for view in state.fleet.targets.values()]
        versions = ["v1", "v1", "v2", "v2"]
        changed = [replace(each, version=v) for each, v in zip(records, versions, strict=True)]
        state.on_targets_changed(state.fleet.update(changed, []))
        for view in state.fleet.targets.values():
            is_held = view.record.identity.endswith(str(held))
            view.residents = {MODEL: frozenset()} if is_held else {}

    run(context, start())


@given("a stream that began at {version}, and a load at v1 that ends in {loading} ms")
def begin_stream(context: Context, version: str, loading: str) -> None:
    state = context.played.state
    if version != UNKNOWN:
        key = stream_key("service", ROOT)
        state.stream_versions.records.note(key, StreamRecord(version, 0))
    if loading != NEVER:
        by_version = {MODEL: {"v1": int(loading)}}
        state.load_outlook.on_update({}, {}, by_version=by_version, can_issue_orders=True)


@when("the resumption is explained")
def explain_resumption(context: Context) -> None:
    question = ExplainRequest(HOST, "/resumable-stream/x", model=MODEL, headers=RESUMPTION)

    async def ask() -> None:
        context.explanation = explain(context.played.state, question)

    run(context, ask())


@then("its version is {known}, it could run at {holders}, and is loaded there in {ready} ms")
def check_stream(context: Context, known: str, holders: str, ready: str) -> None:
    stream = context.explanation.stream
    assert (stream.version or NONE) == known, stream
    assert _told(stream.holders) == holders, stream
    if ready == NEVER:
        assert stream.ready_in_ms is None, stream
    else:
        assert int(ready) - SLACK_MS <= stream.ready_in_ms <= int(ready), stream


@then("its code is {code:d}, and the command's lines name the same")
def check_lines(context: Context, code: int) -> None:
    explanation = context.explanation
    assert (explanation.refusal.code if explanation.refusal else 0) == code, explanation
    lines = "\n".join(explanation_lines(explanation))
    stream = explanation.stream
    known = f"{stream.version} (known by record)" if stream.version else "not known here"
    assert f"stream: software version {known}" in lines, lines
    assert f"targets that can run it: {_told(stream.holders)}" in lines, lines
    assert ("in " + f"{stream.ready_in_ms} ms" in lines) == (stream.ready_in_ms is not None), lines


def _told(holders: dict[str, list[str]]) -> str:
    return "; ".join(
        f"{each}: {', '.join(names) or NONE}" for each, names in sorted(holders.items())
    )
