"""Steps for the model version that an entry requests."""

from behave import given
from behave import then
from behave.runner import Context

from mimosaspur_coordination.hints import TargetHint
from mimosaspur_coordination.routing import candidates_for
from mimosaspur_state.bundle import BundleIndex
from mimosaspur_state.bundle import bundle_from_value
from mimosaspur_state.placement import PlacementRecord
from mimosaspur_state.placement import Replica
from mimosaspur_state.placement import ReplicaState

LOST_AT_MS = 5
NOTHING = "nothing"


@given('version {version} of "notes" is in force')
def put_in_force(context: Context, version: str) -> None:
    models = [{"name": "notes", "version": version, "memory_mb": 1}]
    bundle = bundle_from_value({"name": "b", "models": models})
    context.served = BundleIndex.build(1, bundle).served["notes"]
    context.hints = {}


@given('target "{name}" said "{said}" over a connection that is {link}')
def say(context: Context, name: str, said: str, link: str) -> None:
    hint = TargetHint(name, "127.0.0.1:1", "terminal-norte")
    if said != NOTHING:
        hint.on_connect(False, tuple(said.split()))
    if link == "lost":
        hint.on_disconnect(LOST_AT_MS)
    context.hints[name] = hint


@given('the placement record of "notes" tells "{told}"')
def tell_record(context: Context, told: str) -> None:
    rows = [row.split() for row in told.split(", ") if row != NOTHING]
    replicas = tuple(Replica(row[0], row[1], ReplicaState(row[2])) for row in rows)
    context.placement = PlacementRecord("notes", 1, replicas) if replicas else None


@then('an entry asks "{asked}"')
def check_asked(context: Context, asked: str) -> None:
    found = candidates_for(context.served, context.placement, context.hints)
    names = [f"{candidate.hint.name} {candidate.resident}" for candidate in found]
    assert names == asked.split(", "), names
