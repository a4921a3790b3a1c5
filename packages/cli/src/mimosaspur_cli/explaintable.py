"""Format an explanation for people."""

from mimosaspur_cli.output import format_table
from mimosaspur_protocol.callerapi import decimal_s
from mimosaspur_protocol.explanations import ExplainedStream
from mimosaspur_protocol.explanations import ExplainedTarget
from mimosaspur_protocol.explanations import Explanation

BOLD, DIM, RESET = "\x1b[1m", "\x1b[2m", "\x1b[0m"
NONE = "-"


def explanation_lines(value: Explanation, *, colour: bool = False) -> list[str]:
    """Return the lines of an explanation; colour marks the chosen target and those that can't."""
    rank = "" if value.rank is None else f", rank {value.rank}"
    workspace = f", workspace {value.workspace}" if value.workspace else ""
    lines = [
        f"entry {value.entry}, configuration {value.configuration_version},"
        f" route {value.route or NONE}, service {value.service or NONE}{workspace}{rank}"
    ]
    if value.refusal:
        refusal = value.refusal
        retry_s = refusal.retry_after_s
        retry = "" if retry_s is None else f", Retry-After {decimal_s(retry_s)}"
        lines.append(f"refused: {refusal.code} {refusal.name} (status {refusal.status}{retry})")
        lines += [f"  {refusal.meaning}", f"  what would change it: {refusal.would_change}"]
    if value.waits_for:
        wait = value.waits_for
        expected = "" if wait.expected_ms is None else f", expected {wait.expected_ms} ms"
        most = "" if wait.at_most_ms is None else f", at most {wait.at_most_ms} ms"
        lines.append(f"waits for: {wait.what}{expected}{most}")
    if value.stream:
        lines += _stream_lines(value.stream)
    if value.chosen:
        spread = f", drawn within {value.spread_ms:g} ms" if value.spread_ms else ""
        lines.append(f"chosen: {value.chosen}, next: {value.next or NONE}{spread}")
    if value.targets:
        lines.append(f"load of other entries known {value.load_age_ms} ms ago")
        lines += _table(value, colour=colour)
    return lines


def _stream_lines(stream: ExplainedStream) -> list[str]:
    known = f"{stream.version} (known by {stream.known_by})" if stream.version else "not known here"
    holders = [
        f"{version}: {', '.join(names) or NONE}"
        for version, names in sorted(stream.holders.items())
    ]
    lines = [
        f"stream: software version {known}",
        f"  targets that can run it: {'; '.join(holders) or NONE}",
    ]
    if stream.ready_in_ms is not None:
        lines.append(f"  its model is loaded at {stream.version} in {stream.ready_in_ms} ms")
    return lines


def _table(value: Explanation, *, colour: bool) -> list[str]:
    header = ["target", "domain", "probability", "cost ms", "first event ms", "pause ms"]
    rows = [[*header, "requests", "why"], *map(_row, value.targets)]
    heading, *lines = format_table(rows)
    if colour:
        lines = [
            _coloured(line, target, chosen=value.chosen)
            for line, target in zip(lines, value.targets, strict=True)
        ]
    return [heading, *lines]


def _row(target: ExplainedTarget) -> list[str]:
    parts = [f"{name} {part:g}" for name, part in target.cost_parts_ms.items()]
    code = f"{target.code} " if target.code else ""
    return [
        target.target,
        target.failure_domain,
        f"{target.probability:.3f}" if target.probability else NONE,
        _ms(target.cost_ms),
        _ms(target.first_event_ms),
        _ms(target.longest_pause_ms),
        str(target.requests),
        f"{code}{target.reason}" if target.reason else " + ".join(parts),
    ]


def _ms(value: float | None) -> str:
    return NONE if value is None else f"{value:.1f}"


def _coloured(line: str, target: ExplainedTarget, *, chosen: str | None) -> str:
    if target.target == chosen:
        return f"{BOLD}{line}{RESET}"
    return line if target.may_run else f"{DIM}{line}{RESET}"
