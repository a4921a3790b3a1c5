"""Steps for responses that targets break off."""

from collections.abc import Callable

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_store import StoreStandIn
from harness.entry_processes import EntryProcesses
from harness.framed_site import FramedSite
from harness.framed_site import Result
from harness.framed_site import every_play
from harness.framed_target import Completeness
from harness.loop import run

SHOWN = 6


@given("{entries:d} entry processes before targets that frame and end responses in every way")
def start_processes(context: Context, entries: int) -> None:
    context.site = FramedSite(EntryProcesses(context.processes, entries), store=StoreStandIn())
    context.add_cleanup(context.site.stop)
    run(context, context.site.start())


@when("the requests of {path} are answered in every way")
def play_all(context: Context, path: str) -> None:
    run(context, context.site.play_all([(path, play) for play in every_play(path)]))


@then("no caller got as complete what wasn't, or content of another answer")
def check_content(context: Context) -> None:
    _check_none(context, _is_content_foreign)
    _check_none(
        context, lambda each: each.is_served and each.is_marked and each.content != each.expected
    )


@then("nothing that isn't known to be complete was marked as complete")
def check_marks(context: Context) -> None:
    _check_none(
        context,
        lambda each: each.is_served
        and each.is_marked
        and each.completeness is not Completeness.WHOLE,
    )
    # A connection that just closes would look like the end of a response without a mark.
    _check_none(
        context,
        lambda each: each.is_served
        and each.answer.whole
        and each.completeness is Completeness.BROKEN,
    )


@then("whole answers reached their callers, and are marked if their targets marked them")
def check_whole(context: Context) -> None:
    _check_none(
        context,
        lambda each: each.completeness is Completeness.WHOLE
        and not (each.is_marked and each.content == each.expected),
    )
    _check_none(
        context,
        lambda each: each.completeness is Completeness.UNKNOWN
        and not (each.answer.whole and each.content == each.expected),
    )


@then("streams that may be resumed were completed where their targets were known to break off")
def check_resumed(context: Context) -> None:
    _check_none(
        context,
        lambda each: each.path == "stream" and each.completeness is Completeness.BROKEN,
    )


@then("no request that may run once ran twice")
def check_runs(context: Context) -> None:
    _check_none(context, lambda each: each.path in ("single", "once") and each.runs > 1)


def _is_content_foreign(result: Result) -> bool:
    return result.is_served and not result.play.content.startswith(result.content)


def _check_none(context: Context, is_broken: Callable[[Result], bool]) -> None:
    results: list[Result] = context.site.results
    broken = [each for each in results if is_broken(each)]
    shown = [
        f"{each.play.framing} {each.play.sent}+{each.play.extra_bytes} {each.play.end} "
        f"{each.play.event_end!r} runs {each.runs}: {each.answer.status} "
        f"{'marked' if each.is_marked else 'whole' if each.answer.whole else 'broken'} "
        f"{each.answer.text!r}"
        for each in broken[:SHOWN]
    ]
    assert not broken, "\n".join([f"{len(broken)} of {len(results)} answers:", *shown])
