"""Steps for the bytes that an entry exchanges with other failure domains."""

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from mimosaspur_state.counters import Counters
from mimosaspur_state.domaintraffic import DomainTraffic
from mimosaspur_state.domaintraffic import TrafficPurpose


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
