"""Steps for requests that crash the engines that run them."""

import asyncio
import signal
from collections import Counter
from collections.abc import Awaitable
from collections.abc import Callable

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.crash_site import CrashSite
from harness.crash_site import PartWorkload
from harness.crash_site import PopularWorkload
from harness.crash_site import TwoBodiesWorkload
from harness.crash_site import flood
from harness.direct_entry import DOMAIN
from harness.direct_entry import REQUEST_KINDS
from harness.direct_entry import DirectEntry
from harness.direct_entry import ReceivedResponse
from harness.direct_entry import read_response
from harness.direct_entry import request_bytes
from harness.direct_store import StoreStandIn
from harness.direct_target import ScriptedTarget
from harness.entry_processes import EntryProcesses
from harness.local_entries import LocalEntries
from harness.loop import run
from mimosaspur_coordination.quarantine.crashledger import SETTLE_MS
from mimosaspur_coordination.quarantine.crashledger import CrashLedger
from mimosaspur_coordination.quarantine.crashledger import Stage
from mimosaspur_daemon.direct.requestdigest import request_digest
from mimosaspur_daemon.direct.statusserver import StatusServer
from mimosaspur_protocol.peermessages import CrashReport
from mimosaspur_state.clock import Clock
from mimosaspur_state.fleet import TargetRecord
from mimosaspur_transport.callerconnection import CallerRequest

CUT_ENTRIES = (1, 2)
CUT_S = 2.0
# Longer than both probes of a target.
CRASH_NOTICE_S = 0.3
UNAVAILABLE_STATUS = 503
EVENTS_BEFORE_CRASH = 2
# Longer than entries follow a silent coordinator, or it keeps a silent entry.
FREEZE_S = 2.0
# Numbers of the requests that come after a play.
FURTHER_REQUESTS = 1_000

AfterCrash = Callable[[int], Awaitable[None]]


@given("{entries:d} entry processes before {engines:d} engines that come back after a crash")
def start_processes(context: Context, entries: int, engines: int) -> None:
    store = StoreStandIn()
    entry_processes = EntryProcesses(context.processes, entries)
    _start_site(context, CrashSite(entry_processes, store=store, engines=engines))


@given("{entries:d} entry processes before {engines:d} engines that mark no end and crash")
def start_processes_unframed(context: Context, entries: int, engines: int) -> None:
    store = StoreStandIn()
    site = CrashSite(EntryProcesses(context.processes, entries), store=store, engines=engines)
    site.fleet.unframed = True
    site.fleet.events_before_crash = EVENTS_BEFORE_CRASH
    _start_site(context, site)


@given(
    "{entries:d} entry processes before {engines:d} engines that crash, or fail one request in"
    " {interval:d} with an error"
)
def start_failing_processes(context: Context, entries: int, engines: int, interval: int) -> None:
    store = StoreStandIn()
    site = CrashSite(EntryProcesses(context.processes, entries), store=store, engines=engines)
    site.fleet.error_interval = interval
    _start_site(context, site)


@given(
    "{entries:d} entries in this process before {engines:d} engines that come back after a crash"
)
def start_local_entries(context: Context, entries: int, engines: int) -> None:
    store = StoreStandIn()
    _start_site(context, CrashSite(LocalEntries(entries, store), store=store, engines=engines))


@given("an engine that crashed is back after {seconds:g} s")
def set_restart_delay(context: Context, seconds: float) -> None:
    context.crash_site.fleet.restart_delay_s = seconds


def _start_site(context: Context, site: CrashSite) -> None:
    context.healed_s = 0.0
    context.crash_site = site
    run(context, context.crash_site.start())
    context.add_cleanup(context.crash_site.stop)


@when("a request that crashes engines comes {count:d} times in {seconds:d} s, {where}")
def send_crashing(context: Context, count: int, seconds: int, where: str) -> None:
    site = context.crash_site
    where, _, fault = where.partition(", ")

    def choose_entry(number: int) -> int:
        return 0 if where == "always at one entry" else number

    work = site.play(
        count=count,
        interval_s=seconds / count,
        choose_entry=choose_entry,
        after_crash=_fault(context, fault) if fault else None,
    )
    run(context, work)


@when("two requests that crash engines come {count:d} times in {seconds:d} s, {where}")
def send_two_crashing(context: Context, count: int, seconds: int, where: str) -> None:
    context.crash_site.workload = TwoBodiesWorkload()
    send_crashing(context, count, seconds, where)


@when(
    "a request that crashes engines comes {count:d} times in {seconds:d} s beside a popular one,"
    " {where}"
)
def send_beside_popular(context: Context, count: int, seconds: int, where: str) -> None:
    context.crash_site.workload = PopularWorkload()
    send_crashing(context, count, seconds, where)


@when(
    "requests that share a part that crashes engines come {count:d} times in {seconds:d} s, {where}"
)
def send_crashing_part(context: Context, count: int, seconds: int, where: str) -> None:
    context.crash_site.workload = PartWorkload()
    send_crashing(context, count, seconds, where)


def _fault(context: Context, fault: str) -> AfterCrash:
    """Return what happens after the crash of a number."""
    site: CrashSite = context.crash_site
    entries = site.entries

    async def restart_last(number: int) -> None:
        assert isinstance(entries, EntryProcesses)
        await entries.restart(entries.entries[(number - 1) % entries.count])

    async def restart_coordinator(number: int) -> None:
        assert isinstance(entries, EntryProcesses)
        if number == 2:
            await entries.restart(entries.coordinator())

    async def kill_coordinator(number: int) -> None:
        assert isinstance(entries, EntryProcesses)
        if number == 2:
            entries.coordinator().kill()

    async def cut_two(number: int) -> None:
        assert isinstance(entries, LocalEntries)
        if number == 1:
            entries.cut_off(CUT_ENTRIES)
            await asyncio.sleep(CUT_S)
            entries.heal(CUT_ENTRIES)
            context.healed_s = asyncio.get_running_loop().time()

    async def freeze_next(number: int) -> None:
        assert isinstance(entries, EntryProcesses)
        process = entries.entries[number % entries.count].process
        process.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(FREEZE_S)
        finally:
            process.send_signal(signal.SIGCONT)

    async def stop_store(number: int) -> None:
        site.store.status = UNAVAILABLE_STATUS

    faults = {
        "the one that had it starts again after each crash": restart_last,
        "the coordinator starts again after the second crash": restart_coordinator,
        "the coordinator is gone after the second crash": kill_coordinator,
        "an entry is frozen after each crash": freeze_next,
        "two entries are cut off from the first crash for 2 s": cut_two,
        "the store is away from the first crash on": stop_store,
    }
    return faults[fault]


@then("it crashed at least {least:d} engines")
def check_crashes(context: Context, least: int) -> None:
    crashes = context.crash_site.fleet.crashes
    print(f"MEASURED {len(crashes)} engines crashed")
    assert len(crashes) >= least, crashes


@then("it crashed at most {most:d} engines")
def check_most_crashes(context: Context, most: int) -> None:
    crashes = context.crash_site.fleet.own_crashes()
    ends = [(round(each.at_s - crashes[0].at_s, 2), len(each.requests)) for each in crashes]
    print(f"MEASURED {len(crashes)} engines crashed: s after the first, requests there: {ends}")
    assert len(crashes) <= most, ends


@then("it reached engines at most {most:d} times later than {ms:d} ms after its first crash")
def check_arrivals_after_first(context: Context, most: int, ms: int) -> None:
    fleet = context.crash_site.fleet
    late = fleet.crashing_arrivals(after_s=fleet.own_crashes()[0].at_s + ms / 1000)
    print(f"MEASURED {len(late)} arrivals later than {ms} ms after the first crash")
    assert len(late) <= most, late


@then("it reached engines at most {most:d} times later than {ms:d} ms after its third crash")
def check_late_arrivals(context: Context, most: int, ms: int) -> None:
    site = context.crash_site
    late = site.fleet.crashing_arrivals(after_s=site.third_crash_s() + ms / 1000)
    print(f"MEASURED {len(late)} arrivals later than {ms} ms after the third crash")
    assert len(late) <= most, late


@then("they crashed at least {least:d} engines")
def check_part_crashes(context: Context, least: int) -> None:
    check_crashes(context, least)


@then("they reached engines at most {most:d} times later than {ms:d} ms after their third crash")
def check_late_part_arrivals(context: Context, most: int, ms: int) -> None:
    check_late_arrivals(context, most, ms)


@then("every entry that runs then rejects one more of them within {ms:d} ms")
def check_rejected_by_all(context: Context, ms: int) -> None:
    site = context.crash_site
    running = [number for number, entry in enumerate(site.entries.entries) if entry.runs()]
    assert len(running) >= site.entries.count - 1, running
    for number in running:
        answer = run(context, site.call_crashing(number, FURTHER_REQUESTS + number))
        assert "3007" in answer.text, (number, answer)
        assert answer.lasted_s <= ms / 1000, (number, answer)


@then(
    "of the sound requests at least {share:g} times as many as before were begun at their first"
    " attempt, from {ms:d} ms after the third crash"
)
def check_sound_share(context: Context, share: float, ms: int) -> None:
    site = context.crash_site
    first_s = site.fleet.crashes[0].at_s
    before = site.served_share(since_s=0.0, until_s=first_s)
    since_s = site.third_crash_s() + ms / 1000
    during = site.served_share(since_s=since_s, until_s=site.crashing[-1].sent_s)
    print(f"MEASURED {before:.2f} begun before, {during:.2f} during")
    assert during >= share * before, (before, during)


@then("no sound request was rejected for the crashes")
def check_sound(context: Context) -> None:
    site = context.crash_site
    statuses = [answer.status for answer in site.sound]
    lost = [answer for answer in site.sound if answer.status != 200 or not answer.whole]
    print(f"MEASURED {len(lost)} of {len(statuses)} sound requests lost")
    rejected = [answer for answer in site.sound if "3007" in answer.text]
    assert len(statuses) > 50, statuses
    assert not rejected, rejected


@then("all entries reject it within {ms:d} ms after its third crash, or after the cut has healed")
def check_rejected_in_time(context: Context, ms: int) -> None:
    site = context.crash_site
    due_s = max(site.third_crash_s(), context.healed_s) + ms / 1000
    since_s = site.entries.rejected_since_s
    crashes = [(round(each.at_s, 2), len(each.requests)) for each in site.fleet.crashes]
    events = site.entries.link_events()
    assert len(since_s) == site.entries.count, (since_s, crashes, events)
    known_s = max(since_s.values()) - site.third_crash_s()
    print(f"MEASURED all entries rejected it {known_s:.2f} s after the third crash")
    assert max(since_s.values()) <= due_s, (
        f"third crash {site.third_crash_s():.2f}, healed {context.healed_s:.2f}, due {due_s:.2f}, "
        f"known {since_s}, crashes {crashes}, events {events}"
    )


@when(
    "the engines crash one after another {crashes:d} times, while one body is sent every {ms:d} ms"
)
def send_sound_body(context: Context, crashes: int, ms: int) -> None:
    work = flood(context.crash_site, body=b"sound", interval_s=ms / 1000, crashes=crashes)
    context.answers = run(context, work)


@then("the body was never rejected for the crashes")
def check_never_rejected(context: Context) -> None:
    answers = context.answers
    served = [answer for answer in answers if answer.status == 200 and answer.whole]
    lasted_s = sorted(answer.lasted_s for answer in served)
    late_s = lasted_s[int(0.95 * len(lasted_s))]
    rejected = Counter(answer.text[:4] for answer in answers if answer.status != 200)
    print(f"MEASURED {len(served)} of {len(answers)} served, 95 of 100 in {late_s:.2f} s")
    print(f"MEASURED not served, by code: {dict(rejected)}")
    assert not [answer for answer in answers if "3007" in answer.text]
    assert len(served) > len(answers) / 2, answers


@given("an entry with a quarantined request")
def start_quarantined(context: Context) -> None:
    async def start() -> None:
        context.entry = DirectEntry()
        context.first = ScriptedTarget("first")
        await context.entry.start(context.first)
        for route, _, _ in REQUEST_KINDS.values():
            _quarantine(context.entry, route)

    run(context, start())


def _quarantine(entry: DirectEntry, route: str) -> None:
    digest = _digest_of(route)
    crashes = [CrashReport(f"i-{number}", 0, [(digest, Stage.BLAMED)]) for number in range(3)]
    entry.state.quarantine.apply_reports(crashes, relay=False)


def _digest_of(route: str) -> bytes:
    headers = [(b"Host", b"site.example")]
    request = CallerRequest(b"POST", f"/{route}/x".encode(), headers, b"{}", 0.0)
    return request_digest(request, None)


@when("it comes as {kind}")
def send_kind(context: Context, kind: str) -> None:
    async def send() -> None:
        began_s = asyncio.get_running_loop().time()
        context.answer = await context.entry.call(REQUEST_KINDS[kind][0])
        context.lasted_s = asyncio.get_running_loop().time() - began_s

    run(context, send())


@then(
    "it is answered 502 with code {code} within {ms:d} ms, without Retry-After and without a target"
)
def check_rejected(context: Context, code: str, ms: int) -> None:
    _check_code(context.answer, code)
    assert "retry-after" not in {name.lower() for name in context.answer.headers}
    assert context.lasted_s <= ms / 1000, context.lasted_s
    assert not context.first.seen


def _check_code(answer: ReceivedResponse, code: str) -> None:
    assert answer.status == 502, answer
    assert answer.body.startswith(code.encode()), answer


@given("an entry with a request at a target that says nothing")
def start_silent(context: Context) -> None:
    async def start() -> None:
        context.entry = DirectEntry()
        context.first = ScriptedTarget("first", "says nothing")
        await context.entry.start(context.first)
        # The writer is kept, since a connection without one is closed.
        reader, context.writer = await context.entry.connect()
        context.writer.write(request_bytes("safe"))
        context.answer_task = asyncio.create_task(read_response(reader))
        while not context.first.seen:
            await asyncio.sleep(0.01)

    run(context, start())


@when("it is quarantined on another entry's evidence")
def quarantine_running(context: Context) -> None:
    async def apply() -> None:
        context.began_s = asyncio.get_running_loop().time()
        _quarantine(context.entry, "safe")

    run(context, apply())


@then("the caller gets 502 with code {code} within {ms:d} ms and the target's connection is closed")
def check_ended(context: Context, code: str, ms: int) -> None:
    async def wait() -> ReceivedResponse:
        async with asyncio.timeout_at(context.began_s + ms / 1000):
            answer: ReceivedResponse = await context.answer_task
            await context.first.closed.wait()
        return answer

    _check_code(run(context, wait()), code)


@when("an operator lifts its quarantine on the metrics address")
def lift_quarantine(context: Context) -> None:
    status = StatusServer(context.entry.state)
    digest = _digest_of("safe")

    def ask(method: bytes, path: str) -> tuple[int, bytes]:
        request = CallerRequest(method, path.encode(), [], b"", 0.0)
        return status._answer(request, for_operators=True)

    async def lift() -> None:
        code, listing = ask(b"GET", "/quarantine")
        assert code == 200, code
        assert digest.hex().encode() in listing, listing
        assert ask(b"DELETE", "/quarantine/no-digest")[0] == 400
        assert ask(b"DELETE", f"/quarantine/{'00' * 16}")[0] == 404
        for route, _, _ in REQUEST_KINDS.values():
            assert ask(b"DELETE", f"/quarantine/{_digest_of(route).hex()}")[0] == 200
        context.listing = ask(b"GET", "/quarantine")[1]
        hidden = CallerRequest(b"GET", b"/quarantine", [], b"", 0.0)
        assert status._answer(hidden, for_operators=False)[0] == 404

    run(context, lift())


@then("the request is served, and the list is empty")
def check_lifted(context: Context) -> None:
    answer = run(context, context.entry.call("safe"))
    assert answer.status == 200, answer
    assert context.listing == b"[]", context.listing


@given("an entry with a request that was at two crashes, before two targets")
def start_suspected(context: Context) -> None:
    async def start() -> None:
        context.entry = DirectEntry()
        context.targets = [ScriptedTarget("first"), ScriptedTarget("second")]
        await context.entry.start(*context.targets)
        digest = _digest_of("resumable-stream")
        reports = [CrashReport(f"i-{each}", 0, [(digest, Stage.RUNNING)]) for each in range(2)]
        context.entry.state.quarantine.apply_reports(reports, relay=False)

    run(context, start())


@when("{count:d} copies of it come at once")
def send_copies(context: Context, count: int) -> None:
    async def send() -> None:
        quarantine = context.entry.state.quarantine
        context.most = 0
        calls = [asyncio.create_task(context.entry.call("resumable-stream")) for _ in range(count)]
        while not all(call.done() for call in calls):
            if quarantine.ledger.crash_count(_digest_of("resumable-stream")):
                context.most = max(context.most, *quarantine.at_targets.values(), 0)
            await asyncio.sleep(0)
        context.answers = [call.result() for call in calls]

    run(context, send())


@then("no two of them were at targets at the same time, and all are served")
def check_copies(context: Context) -> None:
    assert context.most == 1, context.most
    assert all(answer.status == 200 and answer.whole for answer in context.answers)


@when("another entry tells of a crash of the first target, and the request comes")
def send_after_crash(context: Context) -> None:
    async def send() -> None:
        state = context.entry.state
        record = state.fleet.targets["first"].record
        report = CrashReport(record.incarnation, 0, [(b"other", Stage.RUNNING)])
        state.quarantine.apply_reports([report], relay=False)
        await context.entry.call("resumable-stream")

    run(context, send())


@then("it was sent to the second target only")
def check_sent_to_second(context: Context) -> None:
    first, second = context.targets
    assert (len(first.seen), len(second.seen)) == (0, 1), (first.seen, second.seen)


class CountingLedger(CrashLedger):
    """Count the reviews of the evidence."""

    __slots__ = ("reviews",)

    def __init__(self, *, clock: Clock) -> None:
        super().__init__(clock=clock)
        self.reviews = 0

    def assign_blame(self) -> None:
        """Count a review and do it."""
        self.reviews += 1
        super().assign_blame()


@given(
    "an entry with a request that was at three crashes beside another one, before a silent target"
)
def start_suspected_pair(context: Context) -> None:
    async def start() -> None:
        context.entry = DirectEntry()
        await context.entry.start(ScriptedTarget("target", "says nothing"))
        state = context.entry.state
        context.ledger = state.quarantine.ledger = CountingLedger(clock=state.clock)
        requests = [(_digest_of("safe"), Stage.RUNNING), (b"other", Stage.RUNNING)]
        reports = [CrashReport(f"i-{each}", SETTLE_MS, requests) for each in range(3)]
        state.quarantine.apply_reports(reports, relay=False)

    run(context, start())


@when("{count:d} copies of it wait for {ms:d} ms")
def let_copies_wait(context: Context, count: int, ms: int) -> None:
    async def wait() -> None:
        context.ledger.reviews = 0
        calls = [asyncio.create_task(context.entry.call("safe")) for _ in range(count)]
        await asyncio.sleep(ms / 1000)
        for call in calls:
            call.cancel()

    run(context, wait())


@then("the evidence was reviewed at most {most:d} times")
def check_reviews(context: Context, most: int) -> None:
    assert 0 < context.ledger.reviews <= most, context.ledger.reviews


@given("an entry before a target that crashes, and starts again under its identity")
def start_restarting(context: Context) -> None:
    async def start() -> None:
        context.entry = DirectEntry()
        first = ScriptedTarget("target", "says nothing")
        await context.entry.start(first)
        await _crash_under_request(context.entry, first, b"first")

    run(context, start())


async def _crash_under_request(entry: DirectEntry, target: ScriptedTarget, body: bytes) -> None:
    """Send a request to a target and let the target crash."""
    reader, writer = await entry.connect()
    seen = len(target.seen)
    writer.write(request_bytes("once", body=body))
    while len(target.seen) == seen:
        await asyncio.sleep(0.01)
    assert target.server
    target.server.close()
    target.stop_streams()
    await read_response(reader)
    await asyncio.sleep(CRASH_NOTICE_S)
    writer.close()


@when("it breaks off a request and goes on, and crashes under another one")
def restart_and_crash(context: Context) -> None:
    async def play() -> None:
        second = ScriptedTarget("target", "closes without an answer")
        address = await second.start()
        record = TargetRecord("target", "service", address, DOMAIN, slots=4, started_ms=2_000)
        state = context.entry.state
        state.on_targets_changed(state.fleet.update([record], []))
        await context.entry.call("once")
        await asyncio.sleep(CRASH_NOTICE_S)
        second.seen.clear()
        second.fault = "says nothing"
        await _crash_under_request(context.entry, second, b"second")

    run(context, play())


@then("the requests were at {count:d} crashes, one of them at none")
def check_crash_records(context: Context, count: int) -> None:
    ledger = context.entry.state.quarantine.ledger
    assert len(ledger.crashes) == count, ledger.crashes
    assert ledger.crash_count(_digest_of("once")) == 0, ledger.crashes
    assert all(len(crash.traits) == 1 for crash in ledger.crashes.values()), ledger.crashes


@given("an entry with a request that waits for a target")
def start_waiting(context: Context) -> None:
    async def start() -> None:
        context.entry = DirectEntry()
        context.target = ScriptedTarget("target")
        unreachable = TargetRecord("unreachable", "service", ("127.0.0.1", 1), DOMAIN)
        context.entry.state.fleet.update([unreachable], [])
        await context.entry.callers.listen()
        context.entry.port = context.entry.callers.server.sockets[0].getsockname()[1]
        context.answer_task = asyncio.create_task(context.entry.call("safe"))
        await asyncio.sleep(0.05)

    run(context, start())


@when("it was at three crashes by the time a target is there")
def suspect_and_add_target(context: Context) -> None:
    async def add() -> None:
        digest = _digest_of("safe")
        reports = [CrashReport(f"i-{each}", 0, [(digest, Stage.RUNNING)]) for each in range(3)]
        context.entry.state.quarantine.apply_reports(reports, relay=False)
        context.began_s = asyncio.get_running_loop().time()
        address = await context.target.start()
        context.entry.add("target", address)
        context.entry.state.changes.notify()

    run(context, add())


@then("it reaches the target no sooner than {ms:d} ms later")
def check_held(context: Context, ms: int) -> None:
    async def wait() -> float:
        while not context.target.seen:
            await asyncio.sleep(0.01)
        return asyncio.get_running_loop().time() - float(context.began_s)

    assert run(context, wait()) >= ms / 1000
