"""Steps for the shares of workspaces while there isn't room for all."""

import re
import time
from dataclasses import replace

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import HOST
from harness.direct_entry import DirectEntry
from harness.direct_entry import engine_spec
from harness.direct_entry import model_spec
from harness.direct_target import ScriptedTarget
from harness.direct_workspaces import KEYS
from harness.direct_workspaces import with_workspaces
from harness.explained_entry import snapshot
from harness.fair_share_play import BURST_MS
from harness.fair_share_play import END_MS
from harness.fair_share_play import FairSharePlay
from harness.loop import run
from harness.recorded_log import RecordedLog
from harness.report_simulation import CoordinatorWithMembers
from mimosaspur_coordination.limits.sharelease import LEASE_MS
from mimosaspur_coordination.prefillspeed import PREFILL_TOKENS_PER_MS
from mimosaspur_coordination.shares.division import ServiceUse
from mimosaspur_coordination.shares.division import Share
from mimosaspur_coordination.shares.division import Use
from mimosaspur_coordination.shares.division import divide_room
from mimosaspur_coordination.shares.issuer import ShareIssuer
from mimosaspur_daemon.direct.entryreport import build_entry_report
from mimosaspur_daemon.direct.explain.explanation import explain
from mimosaspur_daemon.direct.sharemessages import share_messages
from mimosaspur_daemon.direct.sharemessages import shares_of
from mimosaspur_daemon.direct.sharemessages import use_messages
from mimosaspur_daemon.direct.sharemessages import uses_of
from mimosaspur_platform.store import PlatformStore
from mimosaspur_platform.wire import Metadata
from mimosaspur_platform.wire import StoredObject
from mimosaspur_protocol.explanations import ExplainRequest
from mimosaspur_protocol.explanations import Explanation
from mimosaspur_protocol.peermessages import FleetReport
from mimosaspur_protocol.peermessages import decode_peer
from mimosaspur_protocol.peermessages import encode_peer
from mimosaspur_state.clock import SystemClock
from mimosaspur_state.fleet import OutstandingWork
from mimosaspur_state.policy import policy_without
from mimosaspur_state.routes import Configuration

MODEL = "notes"
SHARE = Share(1_000.0, 9_000.0)


@given(
    "a service that serves 1000 tokens a second, of which 800 are divided, and the weights {text}"
)
def set_weights(context: Context, text: str) -> None:
    context.weights = {str(n): float(each) for n, each in enumerate(text.split())}


@when("its workspaces ask for {text} tokens a second")
def divide(context: Context, text: str) -> None:
    asked = [float(each) for each in text.split()]
    uses = {str(n): Use(each, 1000 / len(asked)) for n, each in enumerate(asked)}
    context.shares = divide_room(uses, context.weights)


@then("the limited workspaces get {text}")
def check_division(context: Context, text: str) -> None:
    expected = {} if text == "nothing" else dict(enumerate(text.split()))
    wanted = {str(n): int(each) for n, each in expected.items() if each != "-"}
    assert {name: round(each.per_s) for name, each in context.shares.items()} == wanted


@when(
    "24 entries serve 16 workspaces, one of which asks for 8 times its usual demand, the"
    " coordinator {state}"
)
def play_burst(context: Context, state: str) -> None:
    lost_ms = END_MS if state == "stays" else BURST_MS[0] + 3_000
    usual = context.usual = FairSharePlay(factor=1, shares=False).play()
    shared = FairSharePlay(factor=8, shares=True, lost_ms=lost_ms).play()
    context.kept = shared.kept(usual), FairSharePlay(factor=8, shares=False).play().kept(usual)


@then(
    "the other workspaces keep at least 0.95 of their answers in time, and under 0.5 without shares"
)
def check_kept(context: Context) -> None:
    with_shares, without = context.kept
    assert with_shares >= 0.95 and without < 0.5, context.kept


@then(
    "at usual demand no share is issued, and each workspace gets the same answers with shares as"
    " without"
)
def check_unchanged(context: Context) -> None:
    shared = FairSharePlay(factor=1, shares=True).play()
    assert not shared.was_issued and shared.on_time == context.usual.on_time


def _with_weights(current: Configuration) -> Configuration:
    """Return a configuration that names a weight for one of its workspaces."""
    first, *others = current.workspaces or ()
    return replace(current, workspaces=(replace(first, weight=1.0), *others))


@given("an entry with {count:d} workspaces before an engine, {state}")
def start_entry(context: Context, count: int, state: str) -> None:
    context.log = RecordedLog("entry-0")
    context.entry = DirectEntry(engine=engine_spec([model_spec(MODEL)]), log=context.log)
    entry = context.entry.state
    if "without" in state:
        entry.settings = replace(entry.settings, policy=policy_without("fair-shares"))
    keys = dict(list(KEYS.items())[:count])
    current = with_workspaces(keys, version=2)
    if "no weight" not in state:
        current = _with_weights(current)
    services = entry.configuration.services
    entry.apply_configuration(replace(current, services=services), source="test")
    entry.freshness.confirm("configuration", age_ms=0)
    context.target = ScriptedTarget("first")
    run(context, context.entry.start(context.target))
    entry.fleet.targets["first"].residents = {MODEL: frozenset()}
    name = "south" if "south" in state else "north"
    entry.shares.apply_shares({"service": {name: SHARE}}, entries=1)
    entry.shares.take("service", name, -500 if "below" in state else 500)
    if "ms ago" in state:
        entry.shares.renewed_ms -= int(state.split()[3])


@given("the engine has {ms:d} ms of prompts of other workspaces to read at rank {rank:d}")
def fill_engine(context: Context, ms: int, rank: int) -> None:
    view = context.entry.state.fleet.targets["first"]
    view.others_work = OutstandingWork(8, {rank: ms * PREFILL_TOKENS_PER_MS})


@then("{times} shortage is observed")
def check_shortage(context: Context, times: str) -> None:
    entry, expected = context.entry.state, int(times == "one")
    assert entry.log.counters.counts.get(("share_shortage", ""), 0) == expected
    assert len(entry.shares.observed.short_services()) == expected


@when("north sends a stream of {tokens:d} prompt tokens")
def send_long_stream(context: Context, tokens: int) -> None:
    send_stream(context, tokens=tokens)


@when("north sends a stream")
def send_stream(context: Context, key: str = "n-1", tokens: int = 50) -> None:
    counts = {"X-Model": MODEL, "X-Token-Counts": f"{tokens},7"}
    headers = counts | {"Authorization": f"Bearer {key}"}
    context.answer = run(context, context.entry.call("stream", headers=headers))


@when("north sends a stream {times:d} times")
def send_streams(context: Context, times: int) -> None:
    for _ in range(times):
        send_stream(context)


@then("the engine gets it at rank {rank}, and {lines} line tells that it exceeds a share")
def check_rank(context: Context, rank: str, lines: str) -> None:
    assert context.answer.status == 200 and context.answer.whole, context.answer
    assert [each.headers["x-priority"] for each in context.target.seen] == [rank]
    told = [each["outcome"] for each in context.log.of_kind("share_exceeded")]
    assert told == (["behind"] if lines == "one" else []), told


@then("it is refused with 429 and code 2020, to return when its share covers it")
def check_refused(context: Context) -> None:
    answer = context.answer
    assert answer.status == 429 and answer.body.startswith(b"2020"), answer
    # 500 tokens are missing at 1000 a second, of which this entry gets all but a tenth by demand.
    per_s = context.entry.state.shares.allowances["service", "north"].bucket.per_s
    retry_s = float(answer.headers["retry-after"])
    assert 0.9 * 500 / per_s <= retry_s <= 1.25 * 500 / per_s, (retry_s, per_s)
    assert not context.target.seen


@then(
    "an explanation names 2020 and rank 9, the parts of its costs are first_event alone, and"
    " changes no share"
)
def check_refusal_explained(context: Context) -> None:
    question = ExplainRequest(
        HOST, "/stream/x", model=MODEL, prompt_tokens=50, output_tokens=7, workspace="north"
    )
    before = snapshot(context.entry.state.shares)
    explanation = run(context, _explain(context, question))
    refusal = explanation.refusal
    assert refusal and refusal.code == 2020 and explanation.rank == 9, explanation
    assert "weight" in refusal.would_change, refusal
    assert [set(each.cost_parts_ms) for each in explanation.targets] == [{"first_event"}]
    assert snapshot(context.entry.state.shares) == before


@then(
    "an explanation tells that north's plain request waits for room for at most {ms:d} ms, and"
    " south's doesn't"
)
def check_wait_explained(context: Context, ms: int) -> None:
    waits = [
        run(context, _explain(context, ExplainRequest(HOST, "/safe/x", workspace=name))).waits_for
        for name in ("north", "south")
    ]
    assert waits[0] and waits[0].at_most_ms == ms and not waits[1], waits


async def _explain(context: Context, question: ExplainRequest) -> Explanation:
    return explain(context.entry.state, question)


@when("north's share becomes {per_s:g} tokens a second")
def set_share(context: Context, per_s: float) -> None:
    shares = context.entry.state.shares
    shares.apply_shares({"service": {"north": Share(per_s, 9_000.0)}}, entries=1)


@then(
    "it is refused with 429 and code 2020, to return after over {least_s:d} s, as a decimal number"
)
def check_decimal(context: Context, least_s: int) -> None:
    answer = context.answer
    assert answer.status == 429 and answer.body.startswith(b"2020"), answer
    told = answer.headers["retry-after"]
    assert re.fullmatch(r"\d+(\.\d{1,3})?", told) and float(told) > least_s, told


@then("south's stream is sent at rank 1")
def check_south(context: Context) -> None:
    send_stream(context, "s-1")
    assert [each.headers["x-priority"] for each in context.target.seen] == ["1"]


@given("the target runs {count:d} plain requests of 4")
def fill_target(context: Context, count: int) -> None:
    context.entry.state.fleet.targets["first"].others_work = OutstandingWork(count)


@when("a plain request with the key {key} and a time limit of {limit_ms:d} ms is sent")
def send_limited_plain(context: Context, key: str, limit_ms: int) -> None:
    send_plain(context, key, {"X-Deadline-Ms": str(limit_ms)})


@when("a plain request with the key {key} is sent")
def send_plain(context: Context, key: str, more: dict[str, str] | None = None) -> None:
    headers = {"Authorization": f"Bearer {key}"} | (more or {})
    began_s = time.monotonic()
    context.answer = run(context, context.entry.call("safe", headers=headers))
    context.took_ms = (time.monotonic() - began_s) * 1000


@then("it is answered after {least:d} to {most:d} ms")
def check_plain(context: Context, least: int, most: int) -> None:
    assert context.answer.status == 200, context.answer
    assert least <= context.took_ms <= most, context.took_ms


@given("a coordinator with an entry that serves two workspaces")
def start_coordinator(context: Context) -> None:
    context.followed = CoordinatorWithMembers(1)
    context.state = context.followed.state
    current = _with_weights(with_workspaces(KEYS, version=2))
    context.state.apply_configuration(current, source="test")


@when("the entry observes a shortage while north asks for 9 times what is served to south")
def report_shortage(context: Context) -> None:
    shares, members = context.state.shares, context.followed.members
    shares.on_asked("service", "north", 9_000)
    shares.on_asked("service", "south", 600)
    shares.on_served("service", "north", 1_000)
    shares.on_served("service", "south", 1_000)
    assert shares.on_shortage("service")
    report = decode_peer(encode_peer(build_entry_report(context.state))[4:])
    members.apply_report(report, members.local_member("coordinator"))
    context.followed.updates.send_updates([], context.followed.lease)


@then(
    "all entries are told north's share, also one that joins later, and keep it under a coordinator"
    " of an earlier version"
)
def check_told(context: Context) -> None:
    shares = context.state.shares
    # 0.8 of the 1000 tokens per second that are served, less 300 that south asks for.
    assert round(shares.share("service", "north").per_s) == 500, shares.shares
    assert shares.share("service", "south") is None
    frames: list[bytes] = []
    context.followed.add_entry()
    context.followed.links["entry-1"].send_encoded = frames.append
    context.followed.updates.send_updates([], context.followed.lease)
    # The acknowledgement comes first.
    report = decode_peer(frames[0][8 + int.from_bytes(frames[0][:4], "big") :])
    assert isinstance(report, FleetReport)
    assert report.shares == share_messages(shares.issued), report
    # A coordinator of an earlier version sends none: those of its predecessor hold on their lease.
    shares.on_coordinator_lost()
    shares.apply_shares(None, entries=1)
    assert not shares.follows and shares.share("service", "north")


@when(
    "{entries:d} entries report that south asks for {south:g} and north for {north:g} plain"
    " requests a second, half are served"
)
def report_plain_requests(context: Context, entries: int, south: float, north: float) -> None:
    uses = {"south": Use(south, south / 2), "north": Use(north, north / 2)}
    issuer = ShareIssuer(clock=SystemClock())
    for entry in range(entries):
        message = use_messages({"service": ServiceUse(short=True, by_workspace=uses)})
        issuer.apply_use(f"entry-{entry}", uses_of(message or ()))
    issuer.take_changes({"north": 1.0, "south": 1.0})
    context.shares = shares_of(share_messages(issuer.issued))


@then("north's share is {per_s:g} plain requests a second at the entries")
def check_plain_share(context: Context, per_s: float) -> None:
    assert context.shares["service"].keys() == {"north"}, context.shares
    assert abs(context.shares["service"]["north"].per_s - per_s) < 0.01, context.shares


@given("the target answers its first request with {status:d}")
def set_status(context: Context, status: int) -> None:
    context.target.fault = f"answers with {status}"


@when("north sends a plain request that runs at most once")
def send_once(context: Context) -> None:
    headers = {"Authorization": "Bearer n-1"}
    context.answer = run(context, context.entry.call("once", headers=headers))


@then("it is answered with {status:d}, and counts as asked and as served")
def check_counted_as_served(context: Context, status: int) -> None:
    assert context.answer.status == status, context.answer
    use = context.entry.state.shares.observed.use("service").by_workspace["north"]
    assert use.asked_per_s > 0 and use.served_per_s > 0.9 * use.asked_per_s, use


@when("it is told that north is limited, and then reads a weight")
def read_weight_later(context: Context) -> None:
    entry = context.entry.state
    entry.shares.apply_shares({"service": {"north": SHARE}}, entries=1)
    assert entry.shares.share("service", "north") is None
    current = _with_weights(with_workspaces(KEYS, version=3))
    assert entry.apply_configuration(current, source="test")


@then("north is limited there, also after the lease, which the coordinator's messages renew")
def check_limited(context: Context) -> None:
    shares = context.entry.state.shares
    assert shares.share("service", "north") == SHARE
    shares.renewed_ms -= LEASE_MS + 1
    shares.apply_shares(None, entries=1)
    assert shares.share("service", "north") == SHARE


@when("a configuration with the weight {weight} is read from the store")
def read_weight(context: Context, weight: str) -> None:
    context.log = RecordedLog("entry-0")
    store = PlatformStore(("127.0.0.1", 1), clock=SystemClock(), log=context.log)
    body = f'{{"version": 1, "tenants": [{{"name": "north", "weight": {weight}}}]}}'
    stored = StoredObject(Metadata("main"), body.encode())  # type: ignore[arg-type]
    context.read = store._decode_configuration(stored)


@then("the configuration is {result}")
def check_read(context: Context, result: str) -> None:
    lines = context.log.of_kind("configuration_unreadable")
    if result == "read":
        assert context.read.workspaces[0].weight == 2.5 and not lines
        return
    assert context.read is None and lines[0]["code"] == 4015, lines
    assert "tenants[" in str(lines[0]["error"]) and "weight" in str(lines[0]["error"]), lines
