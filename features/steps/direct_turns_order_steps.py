"""Steps for the order in which a coordinator gives turns."""

from collections.abc import Iterable

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_fleet import ManualClock
from mimosaspur_coordination.quarantine.turnissuer import ISOLATION
from mimosaspur_coordination.quarantine.turnissuer import Traits
from mimosaspur_coordination.quarantine.turnissuer import TurnDemand
from mimosaspur_coordination.quarantine.turnissuer import TurnIssuer

ROUND_MS = 20
START_MS = 10_000
LONGEST_MS = 2_000


class TurnCoordinator:
    """Give turns to entries that take them at once."""

    def __init__(self, count: int) -> None:
        self.clock = ManualClock(START_MS)
        self.issuer = TurnIssuer(clock=self.clock, first=True)
        # By entry, the turns that it has.
        self.taken: dict[str, set[Traits]] = {f"entry-{number}": set() for number in range(count)}
        for name in self.taken:
            self.issuer.on_connect(name)

    def report(self, name: str, waiting: Iterable[Traits] = ()) -> None:
        """Apply the report of an entry that waits for turns beside those that it has."""
        sent = frozenset(trait for traits in self.taken[name] for trait in traits)
        number = self.issuer.entries[name].number
        demand = TurnDemand(list(waiting), sent)
        self.issuer.apply_demand(name, demand, asked_ms=self.clock.now_ms(), received_number=number)

    def issue(self) -> None:
        """Give the turns that are free."""
        for name, turns in self.issuer.issue().items():
            self.taken[name].update(turns.traits)
            self.report(name)


def _traits(digest: bytes, crashes: str) -> Traits:
    return {"one crash": (digest,), "two crashes": (ISOLATION, digest)}[crashes]


@given("a coordinator that gives turns to {count:d} entries")
def start_turn_coordinator(context: Context, count: int) -> None:
    context.turn_coordinator = TurnCoordinator(count)


@when("an entry has the turn of a request that was at {crashes} for {lasts:d} ms")
def give_first_turn(context: Context, crashes: str, lasts: int) -> None:
    coordinator = context.turn_coordinator
    coordinator.report("entry-0", [_traits(b"first", crashes)])
    coordinator.issue()
    assert coordinator.taken["entry-0"], coordinator.taken
    context.first_ends_ms = START_MS + lasts


@when(
    "another one asks for that of a request that was at {crashes} {ms:d} ms after the first one"
    " got it"
)
def ask_for_second_turn(context: Context, crashes: str, ms: int) -> None:
    coordinator = context.turn_coordinator
    coordinator.clock.ms = START_MS + ms
    coordinator.report("entry-1", [_traits(b"second", crashes)])


@then("it gets its turn {ms:d} ms after the first one got it")
def check_second_turn(context: Context, ms: int) -> None:
    coordinator = context.turn_coordinator
    while coordinator.clock.ms <= START_MS + LONGEST_MS:
        if coordinator.clock.ms >= context.first_ends_ms and coordinator.taken["entry-0"]:
            coordinator.taken["entry-0"].clear()
            coordinator.report("entry-0")
        coordinator.issue()
        if coordinator.taken["entry-1"]:
            break
        coordinator.clock.ms += ROUND_MS
    assert coordinator.clock.ms - START_MS == ms, (coordinator.clock.ms, coordinator.taken)


@when("both ask for the turns of {count:d} requests that were at one crash")
def ask_for_many(context: Context, count: int) -> None:
    coordinator = context.turn_coordinator
    context.asked_count = count
    for name in coordinator.taken:
        digests = (f"{name} {number}".encode() for number in range(count))
        coordinator.report(name, [_traits(digest, "one crash") for digest in digests])
    coordinator.issue()


@then("all of them get their turns at once")
def check_many(context: Context) -> None:
    taken = context.turn_coordinator.taken
    assert [len(each) for each in taken.values()] == [context.asked_count] * len(taken), taken
