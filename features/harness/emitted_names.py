"""Find the metrics and log prefixes that the code emits by parsing its source."""

import ast
from collections.abc import Iterator
from pathlib import Path

PACKAGES = Path("packages")
METRIC_CALLS = frozenset({"count", "timing", "gauge"})
LOG_CALL = "log"
PART_NAME = "PART"
# Replaces the interpolated values in a metric's name.
PLACEHOLDER = "<code>"


class UnresolvableName(Exception):
    """Raised for a name that can't be determined from the source."""


def metrics() -> set[str]:
    """Return the names of all metrics."""
    return {
        _text(call.args[0], path, {})
        for path, tree in _trees()
        for call in _calls(tree)
        if _is_metric(call)
    }


def log_parts() -> set[str]:
    """Return the prefixes of all log lines."""
    return {
        _text(call.args[0], path, _part_of(tree))
        for path, tree in _trees()
        for call in _calls(tree)
        if isinstance(call.func, ast.Name) and call.func.id == LOG_CALL
    }


def _trees() -> Iterator[tuple[Path, ast.Module]]:
    for path in sorted(PACKAGES.glob("*/src/**/*.py")):
        yield path, ast.parse(path.read_text(encoding="utf-8"))


def _calls(tree: ast.Module) -> Iterator[ast.Call]:
    return (node for node in ast.walk(tree) if isinstance(node, ast.Call))


def _is_metric(call: ast.Call) -> bool:
    function = call.func
    if not isinstance(function, ast.Attribute) or function.attr not in METRIC_CALLS:
        return False
    return ast.unparse(function.value).rpartition(".")[2] == "metrics"


def _part_of(tree: ast.Module) -> dict[str, str]:
    parts = {}
    for node in tree.body:
        if isinstance(node, ast.Assign) and isinstance(node.value, ast.Constant):
            for target in node.targets:
                if isinstance(target, ast.Name) and target.id == PART_NAME:
                    parts[PART_NAME] = str(node.value.value)
    return parts


def _text(node: ast.expr, path: Path, names: dict[str, str]) -> str:
    if isinstance(node, ast.Constant):
        return str(node.value)
    if isinstance(node, ast.JoinedStr):
        return "".join(
            str(piece.value) if isinstance(piece, ast.Constant) else PLACEHOLDER
            for piece in node.values
        )
    if isinstance(node, ast.Name) and node.id in names:
        return names[node.id]
    raise UnresolvableName(f"{path}:{node.lineno}: {ast.unparse(node)}")
