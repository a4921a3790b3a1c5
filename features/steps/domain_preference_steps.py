"""Steps for the preference of an entry's own failure domain, and its traffic with others."""

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_fleet import ManualClock
from mimosaspur_coordination.domainpreference import crossing_cost_ms
from mimosaspur_coordination.fleetview import Prompt
from mimosaspur_coordination.fleetview import TargetView
from mimosaspur_coordination.targetchoice import choose_engine
from mimosaspur_coordination.targethealth import TargetHealth
from mimosaspur_state.counters import Counters
from mimosaspur_state.domaintraffic import DomainTraffic
from mimosaspur_state.domaintraffic import TrafficPurpose
from mimosaspur_state.fleet import TargetRecord

DOMAINS = ("a", "b", "c")
RANK = 5
# Takes 100 ms to read.
PROMPT_TOKENS = 2_000
RESIDENTS: dict[str, frozenset[str]] = {"notes": frozenset()}


def _engine(domain: str, requests: int) -> TargetView:
    record = TargetRecord(f"engine-{domain}", "llm", ("127.0.0.1", 1), domain, slots=64)
    view = TargetView(record, TargetHealth(clock=ManualClock(0)))
    view.residents = RESIDENTS
    view.others_work.requests = requests
    view.others_work.prefill_tokens[RANK] = requests * PROMPT_TOKENS
    return view


@given("a link of {link:g} Mbit/s and an objective of {objective:d} ms")
def set_link(context: Context, link: float, objective: int) -> None:
    context.crossing_ms = crossing_cost_ms(objective_ms=objective, link_mbps=link)
    context.engines = [_engine(domain, 0) for domain in DOMAINS]


@when("{queue} requests are at the engines of domains a, b and c")
def set_queues(context: Context, queue: str) -> None:
    counts = [int(count) for count in queue.split()]
    context.engines = [_engine(*pair) for pair in zip(DOMAINS, counts, strict=True)]


@when("the engine of domain a is lost")
def lose_own_engine(context: Context) -> None:
    context.engines = context.engines[1:]


@then("the request goes to domain {domains}")
def check_domain(context: Context, domains: str) -> None:
    view = choose_engine(
        context.engines,
        Prompt("notes", prompt_tokens=PROMPT_TOKENS),
        rank=RANK,
        domain="a",
        kv_tokens=0,
        crossing_ms=context.crossing_ms,
    )
    assert view is not None
    assert view.record.failure_domain in domains.split(" or "), view.record


@given("an entry in domain a")
def make_traffic(context: Context) -> None:
    context.counters = Counters()
    context.traffic = DomainTraffic("a", context.counters)


@when("it sends {sent:d} bytes and receives {received:d} bytes for an answer of domain {domain:w}")
def exchange(context: Context, sent: int, received: int, domain: str) -> None:
    context.traffic.add_sent(TrafficPurpose.REQUESTS, domain, sent)
    context.traffic.add_received(TrafficPurpose.ANSWERS, domain, received)


@when("it sends {sent:d} bytes and receives {received:d} bytes for an answer of an unknown domain")
def exchange_unknown(context: Context, sent: int, received: int) -> None:
    exchange(context, sent, received, "")


@then("the metrics show {sent:d} bytes of requests sent and {received:d} bytes of answers received")
def check_metrics(context: Context, sent: int, received: int) -> None:
    name = "mimosaspur_cross_domain_bytes_total"
    lines = [line for line in context.counters.render().splitlines() if line.startswith(name)]
    assert lines == [
        f'{name}{{purpose="answers",direction="received"}} {received}',
        f'{name}{{purpose="requests",direction="sent"}} {sent}',
    ], lines
