"""Steps for planned stops of targets and entries."""

import http.client

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.control import wait_for
from harness.drain_world import get_json

NEARLY_ALL_CHUNKS = 290
EXIT_TIMEOUT_S = 15.0


@given('a kept connection to "{entry}"')
def keep_connection(context: Context, entry: str) -> None:
    host, _, port = context.site.daemons[entry].public.rpartition(":")
    context.kept = http.client.HTTPConnection(host, int(port), timeout=5)
    assert _status_on_kept_connection(context) == 200


@when("the target of the stream is stopped, {fault}")
def stop_target(context: Context, fault: str) -> None:
    context.stopped = context.stream_target
    if fault.endswith("just before the end"):
        reply = context.stream.reply
        wait_for(lambda: reply.body.count(b"data") > NEARLY_ALL_CHUNKS, "nearly the whole stream")
    if fault.startswith("its connections are silent"):
        context.site.relays[context.stopped].mode("freeze")
    context.site.terminate(context.stopped)


@when("the process of the stream is replaced and its successor is stopped")
def replace_and_stop(context: Context) -> None:
    context.stopped = context.stream_target
    context.site.kill(context.stopped)
    context.site.restart(context.stopped)
    received_bytes = len(context.stream.reply.body)
    wait_for(
        lambda: len(context.stream.reply.body) > received_bytes,
        "the successor continues the stream",
    )
    context.site.terminate(context.stopped)


@when("the entry of the stream is stopped")
def stop_entry(context: Context) -> None:
    context.stopped = "entry-0"
    context.site.terminate("entry-0")


@then("the stopped process exits with 0")
def check_exit(context: Context) -> None:
    started = context.site.daemons[context.stopped].started
    assert started.process.wait(EXIT_TIMEOUT_S) == 0, started.error_text()[-2000:]


@then("it refuses new connections and is not ready on the kept one")
def check_entry_closed(context: Context) -> None:
    address = context.site.daemons[context.stopped].public

    def refused() -> bool:
        try:
            get_json(address, "/readyz")
        except ConnectionRefusedError:
            return True
        except ConnectionResetError:
            # This connection was in the backlog of the closed socket; the next one must be refused.
            return False
        return False

    wait_for(refused, "new connections refused")
    assert not context.stream.reply.is_complete(), "the stream ended before the check"
    assert _status_on_kept_connection(context) == 503


def _status_on_kept_connection(context: Context) -> int:
    context.kept.request("GET", "/readyz")
    response = context.kept.getresponse()
    response.read()
    return int(response.status)
