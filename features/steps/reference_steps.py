"""Compare the reference pages and examples with the code."""

import json
import re
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import pyjson5
from behave import given
from behave import step
from behave import then
from behave import when
from behave.runner import Context

from harness.emitted_names import log_parts
from harness.emitted_names import metrics
from mimosaspur_state.bundle import Bundle
from mimosaspur_state.bundle import bundle_from_value
from mimosaspur_state.settings import Role
from mimosaspur_state.settings import Settings
from mimosaspur_state.settings import TargetKind
from mimosaspur_state.settings import load_settings
from mimosaspur_state.settings import settings_from_text

DOCS = Path("docs")
EXAMPLES = DOCS / "examples"
REFERENCE = Path("reference")
TOOL = Path("tools/reference.py").resolve()
TOOL_TIMEOUT_S = 60
STALE = 1
EMITTED_PAGE = DOCS / REFERENCE / "metrics-and-logs.md"
BUNDLE_FILE = "bundle.json"
FIRST_CELL = re.compile(r"^\| `([^`]+)` \|", re.MULTILINE)
KEY_ROW = re.compile(r"^\| `(?P<name>[a-z_]+)` \|.*\| `(?P<example>[^|]+)` \|$")
SECTION = re.compile(r"^## `(?P<name>[a-z_]+)`$")

PLATFORM = {"object_api": "127.0.0.1:7000", "instance_list": "127.0.0.1:7000"}
INSTANCE = {"name": "entry-1", "region": "alajuela", "failure_domain": "hangar-oeste"}
ENGINE = {"listen": "127.0.0.1:9000", "kind": "engine", "address": "127.0.0.1:9100"}


@given('a copy of the documents in which the page "{page}" is changed by a word')
def append_word_to_page(context: Context, page: str) -> None:
    path = copy_docs(context) / DOCS / REFERENCE / page
    path.write_text(path.read_text(encoding="utf-8") + "word\n", encoding="utf-8")


@given('a copy of the documents in which the page "{page}" is absent')
def remove_page(context: Context, page: str) -> None:
    (copy_docs(context) / DOCS / REFERENCE / page).unlink()


@when("the reference tool checks its pages")
def check_pages(context: Context) -> None:
    context.completed = subprocess.run(
        [sys.executable, str(TOOL), "--check"],
        cwd=getattr(context, "copy", Path.cwd()),
        capture_output=True,
        text=True,
        timeout=TOOL_TIMEOUT_S,
        check=False,
    )


@then("it finds none that is stale")
def check_fresh(context: Context) -> None:
    assert context.completed.returncode == 0, context.completed.stderr


@then('it names the page "{page}" as stale')
def check_stale(context: Context, page: str) -> None:
    assert context.completed.returncode == STALE, context.completed
    named = re.findall(r"([a-z-]+\.md) is stale", context.completed.stderr)
    assert named == [page], context.completed.stderr


@when("each key's example is put into good settings")
def check_each_example(context: Context) -> None:
    context.examples = page_examples()
    context.errors = {}
    for key, example in context.examples.items():
        try:
            settings_from_text(json.dumps(settings_with(key, json.loads(example))), file=key)
        except Exception as error:  # noqa: BLE001  (every invalid example is reported)
            context.errors[key] = repr(error)


@then("the check accepts each of them")
def check_examples(context: Context) -> None:
    assert len(context.examples) == len(settings_keys()), context.examples.keys()
    assert not context.errors, context.errors


@when("the code is searched for metrics")
def find_metrics(context: Context) -> None:
    context.found = metrics()


@when("the code is searched for log parts")
def find_parts(context: Context) -> None:
    context.found = log_parts()


@then('the section "{title}" of the page lists the same')
def check_listed(context: Context, title: str) -> None:
    page = EMITTED_PAGE.read_text(encoding="utf-8")
    section = page.partition(f"\n## {title}\n")[2].partition("\n## ")[0]
    listed = FIRST_CELL.findall(section)
    assert context.found, "the search found nothing"
    assert sorted(listed) == sorted(context.found), set(listed) ^ context.found


@when("the settings files under docs/examples are checked")
def check_files(context: Context) -> None:
    files = sorted(set(EXAMPLES.glob("*/*.json")) - set(EXAMPLES.glob(f"*/{BUNDLE_FILE}")))
    context.loaded = {file: load_settings(file) for file in files}


@then("each of them is good")
def check_good(context: Context) -> None:
    assert context.loaded, "there is no example"


@step('there are examples of "{first}" and "{second}" for an entry, an engine and a service')
def check_kinds(context: Context, first: str, second: str) -> None:
    expected: set[object] = {Role.ENTRY, TargetKind.ENGINE, TargetKind.SERVICE}
    for site in (first, second):
        kinds = {
            kind_of(loaded) for file, loaded in context.loaded.items() if file.parent.name == site
        }
        assert kinds == expected, (site, kinds)


@when("the bundles under docs/examples are read")
def read_bundles(context: Context) -> None:
    context.bundles = {
        file.parent: bundle_from_value(pyjson5.decode(file.read_text(encoding="utf-8")))
        for file in EXAMPLES.glob(f"*/{BUNDLE_FILE}")
    }


@then("each of them is well formed")
def check_bundles(context: Context) -> None:
    assert {folder.name for folder in context.bundles} == {"puravida", "cathaoir"}


@step("each names the service that its site's service target carries")
def check_services(context: Context) -> None:
    for folder, bundle in context.bundles.items():
        assert isinstance(bundle, Bundle)
        target = load_settings(folder / "service-target.json").target
        named = {service.name for service in bundle.services}
        assert target is not None and target.service in named, (folder, named)


def copy_docs(context: Context) -> Path:
    """Copy the documents to a temporary folder that is removed after the scenario."""
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.copy = Path(folder.name)
    shutil.copytree(DOCS, context.copy / DOCS)
    return Path(folder.name)


def page_examples() -> dict[str, str]:
    """Return each key of the settings page with its example."""
    section = ""
    found: dict[str, str] = {}
    page = (DOCS / REFERENCE / "settings.md").read_text(encoding="utf-8")
    for line in page.splitlines():
        if heading := SECTION.match(line):
            section = heading["name"] + "."
        elif row := KEY_ROW.match(line):
            found[section + row["name"]] = row["example"]
    return found


def settings_keys() -> list[str]:
    """Return every settings key of settings that hold all sections."""
    full = settings_from_text(json.dumps(full_settings()), file="full")
    keys: list[str] = []
    for name in full.__struct_fields__:
        keys.append(name)
        inner = getattr(full, name)
        keys.extend(f"{name}.{key}" for key in getattr(inner, "__struct_fields__", ()))
    return keys


def full_settings() -> dict[str, Any]:
    """Return valid settings that hold every section."""
    return {
        "role": "target",
        "instance": dict(INSTANCE),
        "platform": dict(PLATFORM),
        "entry": {"listen": "127.0.0.1:8080"},
        "target": dict(ENGINE),
        "peers": {},
        "planner": {},
        "weight_store": {},
        "statsd": {},
    }


def settings_with(key: str, example: object) -> dict[str, Any]:
    """Return valid settings in which one key has the example's value."""
    settings = full_settings()
    section, _, name = key.rpartition(".")
    part = settings[section] if section else settings
    part[name] = example
    return settings


def kind_of(settings: Settings) -> object:
    """Return the entry role, or the kind of the target."""
    if settings.role is Role.ENTRY:
        return Role.ENTRY
    assert settings.target is not None
    return settings.target.kind
