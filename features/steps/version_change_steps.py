"""Steps for a stream's attempts at another version before its first event."""

from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import DIALECT
from harness.direct_entry import configuration
from harness.loop import run
from mimosaspur_daemon.direct.streamcontinuation import StreamContinuation
from mimosaspur_daemon.direct.streamversions import StreamVersions
from mimosaspur_state.routes import Route

ROUTE = "resumable-stream"
SERVICE = "service"
ROOT = b"r-0"


def _route() -> Route:
    return next(each for each in configuration().routes if each.name == ROUTE)


@when("the first is to send a stream's attempts at {versions}, and can't reach the others at {cut}")
def send_attempts(context: Context, versions: str, cut: str) -> None:
    first: StreamVersions = context.entries[0]
    headers = [(DIALECT.request_id, ROOT)]
    continuation = StreamContinuation(first, headers, DIALECT, route=_route(), service=SERVICE)
    send = first.endpoint.send

    async def play() -> list[bool]:
        sent = []
        for number, version in enumerate(versions.split(), start=1):
            is_cut = str(number) in cut.split()
            first.endpoint.send = (  # type: ignore[method-assign]
                (lambda *_: None) if is_cut else send
            )
            sent.append(await continuation.before_send(version))
        return sent

    context.sent = run(context, play())


@then("it sends: {expected}")
def check_sent(context: Context, expected: str) -> None:
    assert context.sent == [each == "yes" for each in expected.split()], context.sent
