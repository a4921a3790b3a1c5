"""Steps for model placement during a release."""

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
