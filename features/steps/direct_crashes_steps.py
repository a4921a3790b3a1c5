"""Steps for requests that crash the engines that run them."""

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.crash_site import CrashSite
from harness.crashing_engine import CRASHING_BODY
from harness.loop import run


@given("{entries:d} entry processes before {engines:d} engines that come back after a crash")
def start_site(context: Context, entries: int, engines: int) -> None:
    context.crash_site = CrashSite(context.processes, entries=entries, engines=engines)
    run(context, context.crash_site.start())
    context.add_cleanup(context.crash_site.stop)


@when("a request that crashes engines comes {count:d} times in {seconds:d} s, {where}")
def send_crashing(context: Context, count: int, seconds: int, where: str) -> None:
    def choose_entry(number: int) -> int:
        return 0 if where == "always at one entry" else number

    site = context.crash_site
    run(context, site.play(count=count, interval_s=seconds / count, choose_entry=choose_entry))


@then("it crashed at least {least:d} engines")
def check_crashes(context: Context, least: int) -> None:
    crashes = context.crash_site.fleet.crashes
    print(f"MEASURED {len(crashes)} engines crashed")
    assert len(crashes) >= least, crashes


@then("it reached engines at most {most:d} times later than {ms:d} ms after its third crash")
def check_late_arrivals(context: Context, most: int, ms: int) -> None:
    site = context.crash_site
    late = site.fleet.sent(CRASHING_BODY, after_s=site.third_crash_s() + ms / 1000)
    print(f"MEASURED {len(late)} arrivals later than {ms} ms after the third crash")
    assert len(late) <= most, late


@then("no sound request was rejected for the crashes")
def check_sound(context: Context) -> None:
    site = context.crash_site
    statuses = [answer.status for answer in site.sound]
    lost = [answer for answer in site.sound if answer.status != 200 or not answer.whole]
    print(f"MEASURED {len(lost)} of {len(statuses)} sound requests lost")
    rejected = [answer for answer in site.sound if "3007" in answer.text]
    assert len(statuses) > 50, statuses
    assert not rejected, rejected
