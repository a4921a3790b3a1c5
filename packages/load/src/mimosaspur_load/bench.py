"""Start the small sites that overhead and slopes are measured on."""

import dataclasses
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from mimosaspur_load.shapes import PURAVIDA
from mimosaspur_load.shapes import bundle_value
from mimosaspur_load.site import Site
from mimosaspur_load.variants import Variant

MODEL = "model-00"
RESIDENT = "model-00@1"
ENTRY = "entry-0"
TARGET = "model-server-0"


@contextmanager
def bench_site(
    *, overrides: dict[str, Any] | None = None, filled: bool = True, **shape: Any
) -> Iterator[Site]:
    """Start one model server and one entry with one model, unless told otherwise."""
    sizes = {"model_servers": 1, "service_servers": 0, "entries": 1, "models": 1, "adapters": 0}
    chosen = dataclasses.replace(PURAVIDA, **{**sizes, "name": "bench", **shape})
    site = Site(chosen, Variant("bench", overrides or {}))
    try:
        site.start_all()
        if filled:
            site.roll(bundle_value(chosen))
            site.await_placed(chosen.models)
            for name in site.daemons:
                if name.startswith("entry"):
                    site.await_entry(name)
        yield site
    finally:
        site.close()
