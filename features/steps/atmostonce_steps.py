"""Steps for at-most-once bookings under injected faults."""

from collections.abc import Callable
from functools import partial
from time import monotonic

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.atmostonce_world import DEADLINE_MS
from harness.atmostonce_world import ENTRIES
from harness.atmostonce_world import MS_PER_SECOND
from harness.atmostonce_world import SERVICE
from harness.atmostonce_world import TARGETS
from harness.atmostonce_world import WORK_MS
from harness.atmostonce_world import BookingWorld
from harness.atmostonce_world import reported_outcome
from harness.control import UNTIL_CLEARED
from harness.control import add_fault
from harness.control import clear_faults
from harness.control import injected_fault_count
from harness.control import wait_for
from harness.site import start_scenario_site
from harness.tables import table_rows

CLAIMS = "PUT /objects/claims"
SLOW_MS = 600
BEFORE_SENDING = "it is sent"


@given('a site with two entries and two targets of the service "bookings"')
def start_site(context: Context) -> None:
    start(context, service_relay=True)


@given('a site with two entries and two targets right beside the service "bookings"')
def start_site_without_service_relay(context: Context) -> None:
    start(context, service_relay=False)


def start(context: Context, *, service_relay: bool) -> None:
    """Start the site; a relay accepts connections even if the service is down."""
    site = start_scenario_site(context)
    context.world = BookingWorld(site)
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
        wait_for(partial(_serves, context.world, name), f"{name} reaches {SERVICE}")


def _serves(world: BookingWorld, entry: str) -> bool:
    return reported_outcome(world.book("ready?", entry=entry).wait()) == "answer"


def _each_relay(prefix: str, mode: str) -> Callable[[BookingWorld], None]:
    def set_mode(world: BookingWorld) -> None:
        for target in TARGETS:
            world.site.relays[f"{prefix}{target}"].mode(mode)

    return set_mode


def _each_service(kind: str, **fault: object) -> Callable[[BookingWorld], None]:
    def inject(world: BookingWorld) -> None:
        for started in world.site.services.values():
            add_fault(started.address, kind, match="/run", count=UNTIL_CLEARED, **fault)

    return inject


def _one_claim(kind: str, **fault: object) -> Callable[[BookingWorld], None]:
    def inject(world: BookingWorld) -> None:
        add_fault(world.site.api, kind, match=CLAIMS, count=1, **fault)

    return inject


def _kill_targets(world: BookingWorld) -> None:
    for name in TARGETS:
        world.site.kill(name)


def _restart_targets(world: BookingWorld) -> None:
    _kill_targets(world)
    for name in TARGETS:
        world.site.restart(name)


def _pause_targets_past_deadline(world: BookingWorld) -> None:
    for name in TARGETS:
        world.site.pause(name)
    for booking in world.bookings:
        booking.wait()
    wait_for(lambda: _past_deadline(world), "the deadline has passed")
    for name in TARGETS:
        world.site.resume(name)


def _past_deadline(world: BookingWorld) -> bool:
    return monotonic() > world.bookings[-1].call.sent_at + DEADLINE_MS / MS_PER_SECOND


def _pause_targets(world: BookingWorld) -> None:
    for name in TARGETS:
        world.site.pause(name)


def _disconnect_callers(world: BookingWorld) -> None:
    for booking in world.bookings[-2:]:
        booking.disconnect()


def _kill_running_target(world: BookingWorld) -> None:
    world.site.kill(world.target_that_ran(world.bookings[-1].body))


FAULTS: dict[str, Callable[[BookingWorld], None]] = {
    "the callers' connections are cut": lambda world: world.site.relays["entry-0"].mode("cut"),
    "the callers leave": _disconnect_callers,
    "the entry is killed": lambda world: world.site.kill("entry-0"),
    "the targets' connections are cut": _each_relay("", "cut"),
    "the targets' connections freeze": _each_relay("", "freeze"),
    "the targets' answers freeze": _each_relay("", "freeze_answers"),
    "the targets can't be reached": _each_relay("", "refuse"),
    "the targets are killed": _kill_targets,
    "the targets are killed and start again": _restart_targets,
    "the targets are frozen past the deadline": _pause_targets_past_deadline,
    "the target that runs it is killed": _kill_running_target,
    "the services' connections are cut": _each_relay("service of ", "cut"),
    "the services' connections freeze": _each_relay("service of ", "freeze"),
    "the services are killed": BookingWorld.kill_services,
    "the services drop them": _each_service("drop"),
    "the services lose their answers": _each_service("lose_answer"),
    "the services hang": _each_service("hang"),
    "the services are slow": _each_service("slow", delay_ms=SLOW_MS),
    "the services are down": BookingWorld.kill_services,
    "the services are down behind a relay": BookingWorld.kill_services,
    "the targets are down": _kill_targets,
    "the targets are frozen": _pause_targets,
    "one claim is dropped": _one_claim("drop"),
    "one claim's answer is lost": _one_claim("lose_answer"),
    "one claim's answer hangs": _one_claim("hang"),
    "one claim comes late": _one_claim("late", delay_ms=SLOW_MS),
    "one claim gets an error": _one_claim("error"),
}


@when("this strikes them: {fault}")
def inject_fault(context: Context, fault: str) -> None:
    FAULTS[fault](context.world)


@when("this awaits the bookings: {fault}")
def inject_fault_first(context: Context, fault: str) -> None:
    FAULTS[fault](context.world)


@then("bookings with a key and without one end so under each fault:")
def check_faults(context: Context) -> None:
    wrong = []
    for number, row in enumerate(table_rows(context)):
        try:
            _check_fault(context.world, f"{number}", row["when"], row["fault"], row["told"])
        except AssertionError as error:
            wrong.append(f"{row['fault']}: {error}")
        _restore_site(context.world)
    assert not wrong, "\n".join(wrong)


def _check_fault(
    world: BookingWorld, number: str, moment: str, fault: str, expected_outcome: str
) -> None:
    if moment == BEFORE_SENDING:
        FAULTS[fault](world)
    entry = world.running_entry()
    plain = world.book(f"plain {number}", entry=entry)
    pair = [plain, world.book(f"keyed {number}", entry=entry, key=f"key-{number}")]
    if moment != BEFORE_SENDING:
        for booking in pair:
            wait_for(partial(world.has_run, booking.body), f"{booking.body} runs")
        FAULTS[fault](world)
    for booking in pair:
        reply = booking.wait()
        assert reported_outcome(reply) == expected_outcome, (
            booking.body,
            reported_outcome(reply),
            reply.status,
            reply.body,
        )
        world.check_reported_outcome(booking)
    for name in world.running_targets():
        world.site.resume(name)
    # A run that ends later must not contradict the reported outcome.
    world.await_idle()
    for booking in pair:
        world.check_reported_outcome(booking)


def _restore_site(world: BookingWorld) -> None:
    site = world.site
    for relay in site.relays.values():
        relay.mode("pass")
    for name in TARGETS:
        if not world.is_running(name):
            site.restart(name)
        site.resume(name)
    world.start_services()
    clear_faults(site.api)
    for name in world.site.services:
        clear_faults(site.services[name].address)
    entry = world.running_entry()
    wait_for(partial(_serves, world, entry), f"{entry} reaches {SERVICE}")


@when("the services answer with status {status:d}")
def order_status(context: Context, status: int) -> None:
    _each_service("error", status=status)(context.world)


@then("the booking was answered with status {status:d}")
def check_status(context: Context, status: int) -> None:
    reply = context.world.last_reply()
    assert reply.status == status, (reply.status, reply.body)


@then("the services were called {count:d} times")
def check_calls(context: Context, count: int) -> None:
    services = context.world.site.services.values()
    assert sum(injected_fault_count(started.address) for started in services) == count
