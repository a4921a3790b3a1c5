"""Steps that freeze open connections permanently while new ones work."""

import http.client
import json
import socket
import time
from collections.abc import Callable
from functools import partial

from behave import given
from behave import then
from behave.runner import Context

from harness.caller import Call
from harness.caller import Reply
from harness.caller import chat_call
from harness.caller import service_call
from harness.control import add_fault
from harness.control import clear_faults
from harness.control import wait_for
from harness.site import Site
from harness.site import model
from harness.site import start_scenario_site
from harness.site_parts import Daemon
from harness.tables import table_rows
from mimosaspur_standins.answers import expected_answer

SERVICE = "bookings"
MAX_TOKENS = 20
DISCONNECTING_CALLERS = 14
CALLER_TIMEOUT_MS = 800
MAX_IN_FLIGHT = 3
BOOKING_DURATION_MS = 600
LONG_ANSWER_TOKENS = 20_000
RECEIVE_BUFFER_BYTES = 4096


@given("a site whose every connection runs through a relay")
def start_relayed_site(context: Context) -> None:
    site = start_scenario_site(context)
    api = site.relay("api", site.api).address
    for number in range(2):
        site.model_target(
            f"model-{number}",
            engine_options=("--token-ms", "1", "--slots", "32"),
            engine_relay=True,
            relay=True,
            api=api,
            silent_ms=600,
            slots=16,
        )
    options = ("--work-ms", str(BOOKING_DURATION_MS))
    site.service_target(
        "dispatch-0", SERVICE, options=options, service_relay=True, relay=True, api=api
    )
    # Only this entry gets silent callers, and it has few workers, so leaked ones show.
    site.entry(
        "entry-0",
        api=api,
        caller_timeout_ms=CALLER_TIMEOUT_MS,
        max_in_flight=MAX_IN_FLIGHT,
        workers=6,
    )
    site.entry("entry-1", api=api)
    site.wait_for_targets()
    site.roll("first", [model("notes", replicas=2)], (SERVICE,))
    for entry in ("entry-0", "entry-1"):
        site.wait_until_served(entry, "notes")


@then("silent callers leave room for others and are let go of:")
def check_silent_callers(context: Context) -> None:
    site = context.site
    entry = site.daemons["entry-0"]
    for row in table_rows(context):
        silence = row["silence"]
        callers = [SILENT_CALLERS[silence](entry) for _ in range(MAX_IN_FLIGHT - 1)]
        check_served(site, "entry-0", "notes@1", silence)
        callers.append(SILENT_CALLERS[silence](entry))
        # All slots become free at once only if every silent caller was disconnected.
        wait_for(partial(serves_at_once, site, MAX_IN_FLIGHT), f"{silence}: all slots free")
        for sock in callers:
            sock.close()


def serves_at_once(site: Site, count: int) -> bool:
    """Return whether an entry serves `count` concurrent callers."""
    address = site.daemons["entry-0"].public
    calls = [chat_call(address, "notes", f"at once {n}", max_tokens=300) for n in range(count)]
    return all(call.wait().is_complete() for call in calls)


def check_served(site: Site, entry: str, resident: str, case: str) -> None:
    """Check that a request gets its complete answer."""
    name = resident.partition("@")[0]
    reply = chat_call(site.daemons[entry].public, name, case, max_tokens=MAX_TOKENS).wait()
    assert reply.is_complete(), (case, reply.status, reply.body)
    assert reply.text() == expected_answer(resident, case, MAX_TOKENS), (case, reply.text())


def send_and_stay_silent(data: bytes, entry: Daemon) -> socket.socket:
    """Connect as a caller, send some bytes, and neither send nor read any more."""
    host, _, port = entry.public.rpartition(":")
    sock = socket.socket()
    # A small receive buffer, so that a long answer soon blocks the sender.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.connect((host, int(port)))
    sock.sendall(data)
    return sock


def chat_bytes(tokens: int) -> bytes:
    """Return the bytes of a chat request."""
    message = {"role": "user", "content": "silent"}
    value = {"model": "notes", "messages": [message], "max_tokens": tokens, "stream": True}
    body = json.dumps(value).encode()
    head = f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


SILENT_CALLERS: dict[str, Callable[[Daemon], socket.socket]] = {
    "half a request line": partial(send_and_stay_silent, b"POST /v1/ch"),
    "half a body": partial(send_and_stay_silent, chat_bytes(MAX_TOKENS)[:-9]),
    "not reading its answer": partial(send_and_stay_silent, chat_bytes(LONG_ANSWER_TOKENS)),
}


@then("after each silence a new request is served within {seconds:d} s:")
def check_after_silence(context: Context, seconds: int) -> None:
    for row in table_rows(context):
        SILENCES[row["silence"]](context.site)
        started_s = time.monotonic()
        check_served(context.site, "entry-1", "notes@1", row["silence"])
        took_s = time.monotonic() - started_s
        assert took_s < seconds, (row["silence"], took_s)


def freeze_connections(site: Site, *names: str) -> None:
    """Freeze the open connections through relays; new ones work."""
    for name in names:
        site.relays[name].interrupt("freeze")


def freeze_target_connections(site: Site) -> None:
    freeze_connections(site, "model-0", "model-1")


def freeze_engine_connections(site: Site) -> None:
    leave_idle_connections(site)
    freeze_connections(site, "engine of model-0", "engine of model-1")


def leave_idle_connections(site: Site) -> None:
    """Disconnect many callers at once, so that the target has many idle engine connections."""
    for engine in site.engines.values():
        add_fault(engine.address, "slow", match="DELETE", delay_ms=300)
    address = site.daemons["entry-1"].public
    expected = cancelled_run_count(site) + DISCONNECTING_CALLERS
    calls = [
        chat_call(address, "notes", f"leaving {n}", max_tokens=LONG_ANSWER_TOKENS, stream=True)
        for n in range(DISCONNECTING_CALLERS)
    ]
    for call in calls:
        wait_for(partial(has_started, call), "the start of the answer")
    for call in calls:
        assert call.connection.sock
        call.disconnect()
    wait_for(lambda: cancelled_run_count(site) >= expected, f"{expected} cancelled runs")
    for engine in site.engines.values():
        clear_faults(engine.address)


def has_started(call: Call) -> bool:
    """Return whether part of an answer has been received."""
    return bool(call.reply.body)


def cancelled_run_count(site: Site) -> int:
    """Return the number of runs that the engines cancelled."""
    return sum(len(site.engine_log(name)["cancelled"]) for name in site.engines)


def freeze_all_connections(site: Site) -> None:
    freeze_connections(site, *site.relays)


SILENCES = {
    "the entry's to the targets": freeze_target_connections,
    "the targets' to their engines, many idle": freeze_engine_connections,
    "all of the site's": freeze_all_connections,
}


@then("a bundle rolled while all open connections are silent is soon in force")
def check_rolled(context: Context) -> None:
    site = context.site
    freeze_all_connections(site)
    site.roll("second", [model("notes", replicas=2), model("quiz")], (SERVICE,))
    for entry in ("entry-0", "entry-1"):
        site.wait_until_served(entry, "quiz")


@then("a booking runs once, whatever happens while it runs:")
def check_bookings(context: Context) -> None:
    site = context.site
    address = site.daemons["entry-1"].public
    wait_for(partial(is_service_reachable, address), f"{SERVICE} reachable through the entry")
    for row in table_rows(context):
        silence = row["silence"]
        call = service_call(address, SERVICE, silence, headers={"X-Deadline-Ms": "4000"})
        wait_for(partial(has_booking_started, site, silence), f"{silence}: start of the booking")
        BOOKING_FAULTS[silence](site)
        check_booking(call.wait(), silence, row["told"])
        assert booking_count(site, silence) == 1, (silence, booking_count(site, silence))


def is_service_reachable(address: str) -> bool:
    """Return whether an entry can reach the service."""
    return bool(service_call(address, SERVICE, "ping").wait().status == http.client.OK)


def check_booking(reply: Reply, silence: str, outcome: str) -> None:
    """Check the outcome reported to the caller of a booking that ran."""
    if outcome == "unknown":
        assert reply.error()["outcome"] == "unknown", (silence, reply.body)
    else:
        assert reply.status == http.client.OK, (silence, reply.body)
        assert reply.json()["echo"] == silence, reply.body


def booking_count(site: Site, body: str) -> int:
    """Return the number of times a booking ran."""
    return int(site.service_log("dispatch-0")["by_body"].get(body, 0))


def has_booking_started(site: Site, body: str) -> bool:
    """Return whether a booking has started to run."""
    return booking_count(site, body) > 0


def freeze_then_cut(site: Site) -> None:
    freeze_connections(site, "dispatch-0")
    site.relays["dispatch-0"].interrupt("cut")


def cut_service_connection(site: Site) -> None:
    site.relays["service of dispatch-0"].interrupt("cut")


BOOKING_FAULTS: dict[str, Callable[[Site], None]] = {
    "the service's connection freezes": lambda site: freeze_connections(
        site, "service of dispatch-0"
    ),
    "the entry's connection freezes": lambda site: freeze_connections(site, "dispatch-0"),
    "the service's connection is cut": lambda site: site.relays["service of dispatch-0"].interrupt(
        "cut"
    ),
    "the entry's connection freezes and is cut then": freeze_then_cut,
}
