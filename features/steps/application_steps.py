"""Steps of a process that is asked to stop."""

import os
import signal
import threading
import time

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from mimosaspur_daemon.application import Application

SIGNAL_AFTER_S = 0.2
# Whoever does not hear of the signal is stopped all the same, so that the scenario ends.
GIVEN_UP_S = 4.0


def _send_signal() -> None:
    time.sleep(SIGNAL_AFTER_S)
    os.kill(os.getpid(), signal.SIGTERM)


@given("an application whose main thread blocks the signal to stop")
def make_application(context: Context) -> None:
    former = {number: signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGINT)}
    for number, handler in former.items():
        context.add_cleanup(signal.signal, number, handler)
    context.application = Application()
    context.application.handle_signals()
    # A thread takes the mask of whoever starts it: this one starts before the signal is blocked.
    context.sender = threading.Thread(target=_send_signal, daemon=True)


@when("another thread of it takes the signal")
def run_application(context: Context) -> None:
    application: Application = context.application
    rescue = threading.Timer(GIVEN_UP_S, application.asked_to_stop.put, (None,))
    rescue.daemon = True
    began_s = time.monotonic()
    context.sender.start()
    rescue.start()
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM,))
    try:
        application.run()
    finally:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGTERM,))
        rescue.cancel()
    context.took_ms = (time.monotonic() - began_s) * 1000


@then("the application stops within {most_ms:d} ms")
def check_stopped(context: Context, most_ms: int) -> None:
    assert context.took_ms <= most_ms, context.took_ms
