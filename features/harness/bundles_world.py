"""Roll versions of one model and wait until a site has them."""

from behave.runner import Context

from harness.control import wait_for
from harness.drain_world import read_generation
from harness.site import REGION
from harness.site import Site
from harness.site import model

ENTRIES = ("entry-0", "entry-1")
TARGETS = ("model-0", "model-1")
PROCESSES = (*ENTRIES, *TARGETS)
SETTLE_REQUESTS = 20


def write_version(site: Site, version: int) -> None:
    """Write a version of "notes" and have it approved."""
    models = [model("notes", version=str(version), mb=50)]
    site.write(f"notes-{version}", models, operator="eva")


def roll_notes(context: Context, version: int) -> None:
    """Write, approve and roll a version of "notes"."""
    write_version(context.site, version)
    context.rolled = context.site.roll_approved(f"notes-{version}")


def await_generation(context: Context, names: tuple[str, ...], wanted: int) -> None:
    """Wait until processes have reached a generation."""
    for name in names:
        wait_for(
            lambda n=name: read_generation(context.site, n) >= wanted,  # type: ignore[misc]
            f"{name} has the generation {wanted}",
        )


def await_ready(site: Site, version: int) -> None:
    """Wait until a version of "notes" is ready somewhere."""

    def ready() -> bool:
        return any(
            key.endswith(f" {version}") and state == "ready"
            for key, state in site.replicas("notes").items()
        )

    wait_for(ready, f"version {version} is ready in {REGION}")
