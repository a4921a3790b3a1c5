"""Steps for the check that no journal entry of the history is missing."""

import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given
from behave import then
from behave import when
from behave.runner import Context

TOOL = Path("tools/journal_history.py").resolve()
FIRST = "journal/1-a.json"
SECOND = "journal/2-b.json"
THIRD = "journal/3-c.json"
BLOB = "journal/blobs/d.json"
IDENTITY = ("-c", "user.name=test", "-c", "user.email=test@localhost")
GIT_TIMEOUT_S = 30


@given("a repository with two journal entries and a blob")
def create_repository(context: Context) -> None:
    folder = tempfile.TemporaryDirectory(prefix="journal-")
    context.add_cleanup(folder.cleanup)
    context.root = Path(folder.name)
    _git(context.root, "init", "--quiet")
    for path in (FIRST, SECOND, BLOB):
        _write(context.root, path)
    _commit(context.root)


@when("nothing changes")
def leave(context: Context) -> None:
    pass


@when("a third entry is added")
def add(context: Context) -> None:
    _write(context.root, THIRD)
    _commit(context.root)


@when("a commit deletes the first entry")
def delete(context: Context) -> None:
    (context.root / FIRST).unlink()
    _commit(context.root)


@when("a commit renames the first entry")
def rename(context: Context) -> None:
    (context.root / FIRST).rename(context.root / THIRD)
    _commit(context.root)


@when("the first entry is deleted, not yet committed")
def delete_uncommitted(context: Context) -> None:
    (context.root / FIRST).unlink()


@when("a deleted first entry is restored")
def restore(context: Context) -> None:
    delete(context)
    _write(context.root, FIRST)
    _commit(context.root)


@when("only the blob is deleted")
def delete_blob(context: Context) -> None:
    (context.root / BLOB).unlink()
    _commit(context.root)


@when("the history is damaged")
def damage(context: Context) -> None:
    shutil.rmtree(context.root / ".git" / "objects")


@when("the folder is no repository")
def remove_repository(context: Context) -> None:
    shutil.rmtree(context.root / ".git")


@then("the check of the journal ends with {code:d} and names {named}")
def check(context: Context, code: int, named: str) -> None:
    run = subprocess.run(
        [sys.executable, str(TOOL)],
        cwd=context.root,
        capture_output=True,
        text=True,
        timeout=GIT_TIMEOUT_S,
        check=False,
    )
    assert run.returncode == code, (run.returncode, run.stdout, run.stderr)
    assert (FIRST in run.stdout) == (named == "the first entry"), run.stdout
    assert SECOND not in run.stdout, run.stdout


def _write(root: Path, path: str) -> None:
    target = root / path
    target.parent.mkdir(parents=True, exist_ok=True)
    target.write_text(f"{path}\n", encoding="utf-8")


def _commit(root: Path) -> None:
    _git(root, "add", "--all")
    _git(root, *IDENTITY, "commit", "--quiet", "--message", "A change")


def _git(root: Path, *arguments: str) -> None:
    subprocess.run(["git", *arguments], cwd=root, check=True, timeout=GIT_TIMEOUT_S)
