"""Steps for model placement during a release."""

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.release_play import ReleasePlay
from harness.virtual_time import VirtualTimeLoop
from harness.virtual_time import run_in_virtual_time


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
