"""Put together the headers with which a request goes to a target."""

from typing import TYPE_CHECKING

from mimosaspur_transport.dialect import Headers
from mimosaspur_transport.dialect import end_to_end_headers

if TYPE_CHECKING:
    from mimosaspur_daemon.direct.attempt import Attempt


def target_headers(attempt: "Attempt") -> Headers:
    """Return the caller's own headers that may be passed on, and the system's."""
    journey = attempt.handler
    dialect = journey.state.dependencies.dialect
    replaced = dialect.reserved | {dialect.deadline_ms, dialect.workspace}
    if journey.strips_credential:
        replaced |= {dialect.credential}
    if journey.started:
        replaced |= {dialect.last_event_id}
    headers = end_to_end_headers(journey.request.headers, replaced)
    left_ms = max(1, int((journey.deadline_s - attempt.sent_s) * 1000))
    headers.append((dialect.deadline_ms, b"%d" % left_ms))
    headers.append((dialect.expected_identity, attempt.view.record.identity.encode()))
    if journey.workspace:
        headers.append((dialect.workspace, journey.workspace.name.encode()))
    if attempt.continued:
        headers.append((dialect.continued_from, attempt.continued.address()))
    if journey.started and journey.cutter.last_id is not None:
        headers.append((dialect.last_event_id, b"%d" % journey.cutter.last_id))
    if journey.prompt.model:
        headers.append((dialect.priority, b"%d" % attempt.rank))
    return headers
