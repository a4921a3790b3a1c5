"""Steps of bookings that may run at most once, and the faults that strike them."""

from collections.abc import Callable
from functools import partial
from time import monotonic

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.atmostonce_world import DEADLINE_MS
from harness.atmostonce_world import ENTRIES
from harness.atmostonce_world import MS
from harness.atmostonce_world import SERVICE
from harness.atmostonce_world import TARGETS
from harness.atmostonce_world import WORK_MS
from harness.atmostonce_world import Desk
from harness.atmostonce_world import told_of
from harness.control import UNTIL_CLEARED
from harness.control import add_fault
from harness.control import clear_faults
from harness.control import injected_fault_count
from harness.control import wait_for
from harness.site import start_scenario_site
from harness.tables import table_rows

CLAIMS = "PUT /objects/claims"
SLOW_MS = 600
AWAITED = "it is sent"


@given('a site with two entries and two targets of the service "bookings"')
def start_desk(context: Context) -> None:
    start(context, service_relay=True)


@given('a site with two entries and two targets right beside the service "bookings"')
def start_direct_desk(context: Context) -> None:
    start(context, service_relay=False)


def start(context: Context, *, service_relay: bool) -> None:
    """Start the site; a relay can't say that nothing listens behind it."""
    site = start_scenario_site(context)
    context.desk = Desk(site)
    for name in TARGETS:
        work = ("--work-ms", str(WORK_MS))
        site.service_target(
            name, SERVICE, options=work, service_relay=service_relay, relay=True, status_ms=100
        )
    for name in ENTRIES:
        site.entry(name, relay=True)
    site.wait_for_targets()
    site.roll("first", [], (SERVICE,))
    for name in ENTRIES:
        wait_for(partial(_serves, context.desk, name), f"{name} reaches {SERVICE}")


def _serves(desk: Desk, entry: str) -> bool:
    return told_of(desk.book("ready?", entry=entry).wait()) == "answer"


def _each_relay(prefix: str, mode: str) -> Callable[[Desk], None]:
    def set_mode(desk: Desk) -> None:
        for target in TARGETS:
            desk.site.relays[f"{prefix}{target}"].mode(mode)

    return set_mode


def _each_service(kind: str, **fault: object) -> Callable[[Desk], None]:
    def order(desk: Desk) -> None:
        for started in desk.site.services.values():
            add_fault(started.address, kind, match="/run", count=UNTIL_CLEARED, **fault)

    return order


def _one_claim(kind: str, **fault: object) -> Callable[[Desk], None]:
    def order(desk: Desk) -> None:
        add_fault(desk.site.api, kind, match=CLAIMS, count=1, **fault)

    return order


def _kill_targets(desk: Desk) -> None:
    for name in TARGETS:
        desk.site.kill(name)


def _restart_targets(desk: Desk) -> None:
    _kill_targets(desk)
    for name in TARGETS:
        desk.site.restart(name)


def _freeze_targets(desk: Desk) -> None:
    for name in TARGETS:
        desk.site.pause(name)
    for booking in desk.bookings:
        booking.wait()
    wait_for(lambda: _past_deadline(desk), "the deadline has passed")
    for name in TARGETS:
        desk.site.resume(name)


def _past_deadline(desk: Desk) -> bool:
    return monotonic() > desk.bookings[-1].call.sent_at + DEADLINE_MS / MS


def _pause_targets(desk: Desk) -> None:
    for name in TARGETS:
        desk.site.pause(name)


def _leave(desk: Desk) -> None:
    for booking in desk.bookings[-2:]:
        booking.leave()


def _kill_runner(desk: Desk) -> None:
    desk.site.kill(desk.runner_of(desk.bookings[-1].body))


FAULTS: dict[str, Callable[[Desk], None]] = {
    "the callers' connections are cut": lambda desk: desk.site.relays["entry-0"].mode("cut"),
    "the callers leave": _leave,
    "the entry is killed": lambda desk: desk.site.kill("entry-0"),
    "the targets' connections are cut": _each_relay("", "cut"),
    "the targets' connections freeze": _each_relay("", "freeze"),
    "the targets' answers freeze": _each_relay("", "freeze_answers"),
    "the targets can't be reached": _each_relay("", "refuse"),
    "the targets are killed": _kill_targets,
    "the targets are killed and start again": _restart_targets,
    "the targets are frozen past the deadline": _freeze_targets,
    "the target that runs it is killed": _kill_runner,
    "the services' connections are cut": _each_relay("service of ", "cut"),
    "the services' connections freeze": _each_relay("service of ", "freeze"),
    "the services are killed": Desk.kill_services,
    "the services drop them": _each_service("drop"),
    "the services lose their answers": _each_service("lose_answer"),
    "the services hang": _each_service("hang"),
    "the services are slow": _each_service("slow", delay_ms=SLOW_MS),
    "the services are down": Desk.kill_services,
    "the services are down behind a relay": Desk.kill_services,
    "the targets are down": _kill_targets,
    "the targets are frozen": _pause_targets,
    "one claim is dropped": _one_claim("drop"),
    "one claim's answer is lost": _one_claim("lose_answer"),
    "one claim's answer hangs": _one_claim("hang"),
    "one claim comes late": _one_claim("late", delay_ms=SLOW_MS),
    "one claim gets an error": _one_claim("error"),
}


@when("this strikes them: {fault}")
def strike(context: Context, fault: str) -> None:
    FAULTS[fault](context.desk)


@when("this awaits the bookings: {fault}")
def await_fault(context: Context, fault: str) -> None:
    FAULTS[fault](context.desk)


@then("bookings with a key and without one end so under each fault:")
def check_faults(context: Context) -> None:
    wrong = []
    for number, row in enumerate(table_rows(context)):
        try:
            _check_fault(context.desk, f"{number}", row["when"], row["fault"], row["told"])
        except AssertionError as error:
            wrong.append(f"{row['fault']}: {error}")
        _mend(context.desk)
    assert not wrong, "\n".join(wrong)


def _check_fault(desk: Desk, number: str, moment: str, fault: str, told: str) -> None:
    if moment == AWAITED:
        FAULTS[fault](desk)
    entry = desk.living_entry()
    plain = desk.book(f"plain {number}", entry=entry)
    pair = [plain, desk.book(f"keyed {number}", entry=entry, key=f"key-{number}")]
    if moment != AWAITED:
        for booking in pair:
            wait_for(partial(desk.ran, booking.body), f"{booking.body} runs")
        FAULTS[fault](desk)
    for booking in pair:
        reply = booking.wait()
        assert told_of(reply) == told, (booking.body, told_of(reply), reply.status, reply.body)
        desk.check_told(booking)
    for name in desk.living_targets():
        desk.site.resume(name)
    # Whatever is still in flight must not make a lie of what was told.
    desk.await_end()
    for booking in pair:
        desk.check_told(booking)


def _mend(desk: Desk) -> None:
    site = desk.site
    for relay in site.relays.values():
        relay.mode("pass")
    for name in TARGETS:
        if not desk.lives(name):
            site.restart(name)
        site.resume(name)
    desk.start_services()
    clear_faults(site.api)
    for name in desk.site.services:
        clear_faults(site.services[name].address)
    entry = desk.living_entry()
    wait_for(partial(_serves, desk, entry), f"{entry} reaches {SERVICE}")


@when("the services answer with status {status:d}")
def order_status(context: Context, status: int) -> None:
    _each_service("error", status=status)(context.desk)


@then("the booking was answered with status {status:d}")
def check_status(context: Context, status: int) -> None:
    reply = context.desk.last()
    assert reply.status == status, (reply.status, reply.body)


@then("the services were called {count:d} times")
def check_calls(context: Context, count: int) -> None:
    services = context.desk.site.services.values()
    assert sum(injected_fault_count(started.address) for started in services) == count
