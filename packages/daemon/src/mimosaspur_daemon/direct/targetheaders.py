"""Build the headers of a request to a target."""

from typing import TYPE_CHECKING

from mimosaspur_transport.dialect import Headers
from mimosaspur_transport.dialect import end_to_end_headers

if TYPE_CHECKING:
    from mimosaspur_daemon.direct.attempt import Attempt


def target_headers(attempt: "Attempt") -> Headers:
    """Return the caller's headers that may be forwarded, and the system's own."""
    handler = attempt.handler
    dialect = handler.state.dependencies.dialect
    replaced = dialect.reserved | {dialect.deadline_ms, dialect.workspace}
    if handler.strips_credential:
        replaced |= {dialect.credential}
    if handler.started:
        replaced |= {dialect.last_event_id}
    headers = end_to_end_headers(handler.request.headers, replaced, kept=dialect.request_headers)
    left_ms = max(1, int((handler.deadline_s - attempt.sent_s) * 1000))
    headers.append((dialect.deadline_ms, b"%d" % left_ms))
    headers.append((dialect.expected_identity, attempt.view.record.identity.encode()))
    if handler.workspace:
        headers.append((dialect.workspace, handler.workspace.name.encode()))
    if attempt.offer.continued:
        headers.append((dialect.continued_from, attempt.offer.continued.address()))
    if handler.started and attempt.events.last_id is not None:
        headers.append((dialect.last_event_id, b"%d" % attempt.events.last_id))
    if handler.prompt.model:
        headers.append((dialect.priority, b"%d" % attempt.rank))
    return headers
