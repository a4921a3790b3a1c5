"""Steps for requests served end to end, shared by several features."""

import json

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.caller import Call
from harness.caller import chat_call
from harness.caller import service_call
from harness.control import wait_for
from harness.site import model
from harness.site import start_scenario_site
from mimosaspur_standins.answers import expected_answer

TOKENS = 16


@given('a site with two entries, three model targets and the service "{service}"')
def start_site(context: Context, service: str) -> None:
    site = start_scenario_site(context)
    for number in range(3):
        site.model_target(f"model-{number}")
    site.service_target("dispatch-0", service)
    for number in range(2):
        site.entry(f"entry-{number}")
    site.wait_for_targets()


@given('the site has rolled the models "{first}" and "{second}"')
def roll_models(context: Context, first: str, second: str) -> None:
    site = context.site
    site.roll("first", [model(first, replicas=2), model(second)], ("bookings",))
    for name in ("entry-0", "entry-1"):
        site.wait_until_served(name, first, second)


@when('a caller asks "{name}" "{content}" through "{entry}", {kind}')
def ask(context: Context, name: str, content: str, entry: str, kind: str) -> None:
    address = context.site.daemons[entry].public
    call = chat_call(address, name, content, max_tokens=TOKENS, stream=kind == "streamed")
    context.reply = call.wait()


@then('the site gave the whole answer of "{name}" to "{content}"')
def check_answer(context: Context, name: str, content: str) -> None:
    reply = context.reply
    assert reply.is_complete(), (reply.status, reply.body)
    wanted = expected_answer(f"{name}@1", content, TOKENS)
    assert reply.text() == wanted, (reply.text(), wanted)


@when('a caller sends "{body}" to the service "{service}" through "{entry}"')
def send_to_service(context: Context, body: str, service: str, entry: str) -> None:
    address = context.site.daemons[entry].public

    def answered() -> bool:
        context.reply = service_call(address, service, body).wait()
        return bool(context.reply.status == 200)

    # A refusal before the target is found means "not run", so a retry is safe.
    wait_for(answered, f"{entry} reaches {service}")


@then('the service ran "{body}" once and its answer came back')
def check_service(context: Context, body: str) -> None:
    assert context.reply.json()["echo"] == body
    runs = context.site.service_log("dispatch-0")["by_body"]
    assert runs == {body: 1}, runs


@then('"{entry}" lists the models "{names}"')
def check_models(context: Context, entry: str, names: str) -> None:
    address = context.site.daemons[entry].public
    reply = Call(address, "GET", "/v1/models", b"", {}).wait()
    listed = [card["id"] for card in json.loads(reply.body)["data"]]
    assert listed == names.split(", "), listed
