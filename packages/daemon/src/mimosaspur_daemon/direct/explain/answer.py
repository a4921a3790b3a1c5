"""Answer an operator's question over HTTP."""

import msgspec

from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.explain.explanation import explain
from mimosaspur_daemon.direct.explain.question import BadQuestion
from mimosaspur_daemon.direct.explain.question import decode_question
from mimosaspur_protocol.explanations import ExplainError
from mimosaspur_state.codes import ResultCode
from mimosaspur_transport.callerconnection import CallerRequest


def answer_question(state: EntryState, request: CallerRequest) -> tuple[int, bytes]:
    """Return the status and body of the answer to a question."""
    if request.method != b"POST":
        return 405, b""
    try:
        explanation = explain(state, decode_question(request.body))
    except BadQuestion as error:
        failure = ExplainError(ResultCode.BAD_REQUEST.value, error.field, error.detail)
        return 400, msgspec.json.encode(failure)
    return 200, msgspec.json.encode(explanation)
