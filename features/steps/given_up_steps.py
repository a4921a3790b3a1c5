"""Steps of a request that is given up as its entry's connection to its target is replaced."""

from unittest.mock import patch

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from mimosaspur_coordination.generation import BundleHolder
from mimosaspur_coordination.hints import TargetHint
from mimosaspur_protocol.messages import Cancel
from mimosaspur_protocol.messages import Message
from mimosaspur_protocol.messages import Resume
from mimosaspur_protocol.messages import Submit
from mimosaspur_protocol.messages import Welcome
from mimosaspur_state.clock import SystemClock
from mimosaspur_state.requests import RequestKind
from mimosaspur_state.requests import Work
from mimosaspur_state.settings import PeerSettings
from mimosaspur_transport.attempt import Attempt
from mimosaspur_transport.targetlink import TargetLink

WORK = Work("r1", RequestKind.CHAT, "m", "POST", "/", "", b"{}", False, 5, False, "", "")
SUBMIT = Submit(1, 0, 60_000, "m@1", WORK)
KEY = (WORK.request_id, SUBMIT.attempt)


class RecordingWire:
    """Answer a Hello, and record what is sent."""

    def __init__(self) -> None:
        self.sent: list[Message] = []

    def send(self, message: Message) -> None:
        """Record a message."""
        self.sent.append(message)

    def receive(self) -> list[Message]:
        """Return the answer to a Hello."""
        return [Welcome("t", "i-1", 0, False, ())]


@given("an entry's link with a request whose connection was lost as it was submitted")
def lose_connection(context: Context) -> None:
    context.link = TargetLink(
        TargetHint("t", "127.0.0.1:1", "d"),
        instance="e",
        incarnation="x",
        settings=PeerSettings(),
        idle_ms=30_000,
        clock=SystemClock(),
        holder=BundleHolder(),
    )
    context.attempt = context.link.attempts[KEY] = Attempt(SUBMIT, "i-1")
    context.wire = RecordingWire()


@when("the request is given up {when} it is resumed on a new connection")
def resume(context: Context, when: str) -> None:
    message = Attempt.resume_message

    def given_up(attempt: Attempt, now_ms: int) -> Resume:
        context.link.finish(attempt)
        return message(attempt, now_ms)

    if when == "just as":
        with patch.object(Attempt, "resume_message", given_up):
            context.link._handshake(context.wire)
    else:
        context.link._handshake(context.wire)
        context.link.finish(context.attempt)


@then("the last that its target is told of it is that it is cancelled")
def check_cancelled(context: Context) -> None:
    named = [each for each in context.wire.sent if isinstance(each, Resume | Cancel)]
    assert isinstance(named[-1], Cancel), named
