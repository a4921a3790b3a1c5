"""Steps for model placement during a release."""

import asyncio
import re

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.release_placement_play import ReleasePlay
from harness.release_placement_play import stream_chooser
from harness.virtual_time import VirtualTimeLoop
from harness.virtual_time import run_in_virtual_time
from mimosaspur_daemon.direct.refusal import RequestFailed
from mimosaspur_state.codes import ResultCode


@when("{released:d} of {engines:d} engines are released")
def release(context: Context, released: int, engines: int) -> None:
    loop = VirtualTimeLoop()
    context.play = ReleasePlay(loop, engines=engines, released=released)
    run_in_virtual_time(context.play.run(), loop)


@then(
    "at least {share:d} in 100 streams that are taken up go on, and {begun:d} in 100 new ones begin"
)
def check_share(context: Context, share: int, begun: int) -> None:
    play = context.play
    seen = (
        f"{play.went_on} of {play.broken} went on, {play.began} of {play.asked} began,"
        f" {play.loads()} loads"
    )
    assert play.broken and play.went_on * 100 >= share * play.broken, seen
    assert play.began * 100 >= begun * play.asked, seen


@given("engine x runs v1 and engine z v2, and streams of {text} may be taken up")
def set_streams(context: Context, text: str) -> None:
    for engine in context.engines:
        engine.version = {"x": "v1", "z": "v2"}[engine.identity]
    context.streams = {
        (model, version): float(count)
        for model, version, count in (part.split() for part in text.split(", "))
    }


@given("an entry that knows engines of v1 and v2, where only v2 holds the model, and of {load}")
def set_load(context: Context, load: str) -> None:
    found = re.fullmatch(r"a load at (v\d) (?:for (\d+) ms|that ended)", load)
    assert found, load
    context.load = found[1], int(found[2] or 0)


@when("a stream that began at v1 is taken up there")
def take_up(context: Context) -> None:
    version, load_ms = context.load
    loop = VirtualTimeLoop()

    async def ask() -> None:
        chooser = stream_chooser(loop, version=version, load_ms=load_ms)
        await asyncio.sleep(0)
        try:
            context.wait, context.failure = chooser.engine_wait(), None
        except RequestFailed as failure:
            context.wait, context.failure = None, failure

    run_in_virtual_time(ask(), loop)


@then("it waits for {ms:d} ms")
def check_waits(context: Context, ms: int) -> None:
    assert context.failure is None, context.failure
    assert context.wait.expected_s == ms / 1000, context.wait
    assert not context.wait.is_in_vain


@then("it is rejected for {least_ms:d} to {most_ms:d} ms")
def check_rejected(context: Context, least_ms: int, most_ms: int) -> None:
    assert context.failure.code is ResultCode.STREAM_VERSION_GONE, context.failure
    told_ms = context.failure.retry_after_s * 1000
    assert least_ms <= told_ms <= most_ms, told_ms
