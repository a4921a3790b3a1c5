"""Steps for responses that end inside their heads, on the product's own path."""

import http.client
from collections.abc import Callable
from dataclasses import dataclass

from behave import given
from behave import then
from behave.runner import Context

from harness.cut_responder import CutResponder
from mimosaspur_load.control import call
from mimosaspur_state.clock import SystemClock
from mimosaspur_state.codes import Outcome
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.engine import EngineOrder
from mimosaspur_state.engine import EngineUnavailable
from mimosaspur_state.engine import OrderKind
from mimosaspur_state.errors import MimosaspurError
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.requests import RequestKind
from mimosaspur_state.requests import Work
from mimosaspur_transport.chat import EngineChat
from mimosaspur_transport.engine import EngineAdmin
from mimosaspur_transport.objectapi import HttpObjectStore
from mimosaspur_transport.plainservice import PlainService

TIMEOUT_MS = 2_000
WORK = Work(
    request_id="r1",
    kind=RequestKind.SERVICE,
    name="booking",
    method="POST",
    path="/run",
    content_type="text/plain",
    body=b"{}",
    stream=False,
    priority=5,
    idempotent=False,
    idempotency_key="",
    prefix="",
)
ORDER = EngineOrder(order_id="o1", fencing=1, kind=OrderKind.LOAD)


@dataclass(slots=True, frozen=True)
class Callee:
    """Describe a response, a call that gets it, and whether what the call raised is right."""

    status: str
    body: bytes
    call: Callable[[str], object]
    is_unanswered: Callable[[Exception], bool]

    def response(self) -> bytes:
        """Return the whole response."""
        length = f"Content-Length: {len(self.body)}"
        return f"HTTP/1.1 {self.status}\r\nX-Note: a\r\n{length}\r\n\r\n".encode() + self.body


def _is_unknown(error: Exception) -> bool:
    return isinstance(error, MimosaspurError) and error.outcome is Outcome.UNKNOWN


def _store(address: str) -> HttpObjectStore:
    return HttpObjectStore(
        address,
        caller="test",
        timeout_ms=TIMEOUT_MS,
        clock=SystemClock(),
        reads_per_second=100_000,
        writes_per_second=100_000,
    )


def _chat(address: str) -> object:
    return list(EngineChat(address, silent_ms=TIMEOUT_MS).stream(WORK, "s1", "notes"))


def _admin(address: str) -> EngineAdmin:
    return EngineAdmin(address, TIMEOUT_MS)


CALLEES = {
    "plain service": Callee(
        "200 OK",
        b"the answer",
        lambda address: PlainService(address).call(WORK, "r1", TIMEOUT_MS),
        _is_unknown,
    ),
    "model engine that streams": Callee(
        "200 OK", b"id: 1\ndata: {}\n\nid: 2\ndata: [DONE]\n\n", _chat, _is_unknown
    ),
    "model engine without a model": Callee("404 Not Found", b"{}", _chat, _is_unknown),
    "model engine that takes orders": Callee(
        "409 Conflict",
        b'{"fencing": 7}',
        lambda address: _admin(address).order(ORDER),
        lambda error: isinstance(error, EngineUnavailable),
    ),
    "object API": Callee(
        "200 OK",
        b'{"key": "a", "version": 3, "value": null}',
        lambda address: _store(address).get("a"),
        lambda error: isinstance(error, StoreUnavailable),
    ),
    "object API without an object": Callee(
        "404 Not Found",
        b"{}",
        lambda address: _store(address).get("a"),
        lambda error: isinstance(error, StoreUnavailable),
    ),
    "stand-in that is asked by the load tool": Callee(
        "200 OK",
        b"{}",
        lambda address: call(address, "GET", "/state"),
        lambda error: isinstance(error, OSError | http.client.HTTPException),
    ),
}


@given("a {name} whose response can be cut anywhere")
def start_responder(context: Context, name: str) -> None:
    context.callee = CALLEES[name]
    _start(context, context.callee.response())


@given("a plain service whose response's head has an invalid line before its length")
def start_invalid_responder(context: Context) -> None:
    context.callee = CALLEES["plain service"]
    _start(context, context.callee.response().replace(b"X-Note: a", b"no header"))


def _start(context: Context, response: bytes) -> None:
    context.responder = CutResponder(response)
    context.add_cleanup(context.responder.close)


@then("no call to it whose response is cut is answered, only one whose response is whole")
def check_cut_responses(context: Context) -> None:
    responder: CutResponder = context.responder
    whole_bytes = responder.sent_bytes
    whole = _outcome(context)
    head_bytes = whole_bytes - len(context.callee.body)
    wrong = []
    # The head alone is cut as well: all responses have a body.
    for sent_bytes in range(head_bytes + 1):
        responder.sent_bytes = sent_bytes
        outcome = _outcome(context)
        if not isinstance(outcome, Exception) or not context.callee.is_unanswered(outcome):
            wrong.append((responder.response[:sent_bytes], outcome))
    print(f"MEASURED {len(wrong)} of {head_bytes + 1} cut responses taken for answers")
    assert not wrong, f"{len(wrong)} of {head_bytes + 1}: {wrong[0]} to {wrong[-1]}"
    assert not isinstance(whole, Exception) or not context.callee.is_unanswered(whole), whole


@then("the call to it fails")
def check_invalid_head(context: Context) -> None:
    outcome = _outcome(context)
    assert isinstance(outcome, MimosaspurError), outcome
    assert outcome.code is ResultCode.OUTCOME_UNKNOWN, outcome


def _outcome(context: Context) -> object:
    """Return what a call got, or the error that it raised."""
    try:
        return context.callee.call(context.responder.address)
    except Exception as error:  # noqa: BLE001 - the kind of error is what is checked
        return error
