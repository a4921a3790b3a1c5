"""Tell where a stream that is taken up may go on."""

from mimosaspur_coordination.streams.lookup import VersionSource
from mimosaspur_daemon.direct.takeups import holders_by_version
from mimosaspur_daemon.direct.targetchooser import TargetChooser
from mimosaspur_protocol.explanations import ExplainedStream


def explain_stream(
    chooser: TargetChooser, version: str | None, source: VersionSource | None
) -> ExplainedStream:
    """Return what this entry knows of a stream's version, its holders and planned loads."""
    outlook, model = chooser.state.load_outlook, chooser.prompt.model
    loading_ms = outlook.version_loading_ms(model, version) if model and version else None
    return ExplainedStream(
        version=version or "",
        known_by=source.value if source else "",
        holders=holders_by_version(chooser),
        ready_in_ms=None if loading_ms is None else round(loading_ms),
    )
