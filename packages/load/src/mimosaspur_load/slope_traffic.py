"""Measure how traffic grows: connections, streams in flight, tokens and idle daemons."""

from functools import partial

from mimosaspur_load.bench import ENTRY
from mimosaspur_load.bench import MODEL
from mimosaspur_load.bench import TARGET
from mimosaspur_load.bench import bench_site
from mimosaspur_load.control import call
from mimosaspur_load.control import wait_for
from mimosaspur_load.fakes import FakeTarget
from mimosaspur_load.fakes import entry_links
from mimosaspur_load.overhead import stream_costs
from mimosaspur_load.shapes import PURAVIDA
from mimosaspur_load.site import Site
from mimosaspur_load.slopes import Line
from mimosaspur_load.slopes import Point
from mimosaspur_load.slopes import fit
from mimosaspur_load.slopes import fit_points
from mimosaspur_load.slopes import watch
from mimosaspur_load.timing import Streams
from mimosaspur_transport.targetlink import TargetLink

CONNECTION_SIZES = (1, 20, 60)
STREAM_SIZES = (1, 16, 48)
STREAM_SLOTS = 64
SLOW_TOKEN_MS = 250
# A stream outlasts the window, so that every one is in flight all the time.
STREAM_TOKENS = 80
CONNECT_S = 30.0
SHORT_WATCH = {"platform.watch_ms": 1000, "entry.planner": False}
FAST_TOKEN_MS = 5
SERVICE_TARGET = "service-server-0"


def idle() -> list[Line]:
    """Watch daemons with one model and no callers."""
    with bench_site(entries=2, service_servers=1) as site:
        names = {"entry-0": "entry that plans", "entry-1": "entry", TARGET: "target (engine)"}
        names[SERVICE_TARGET] = "target (service)"
        holder = str(site.store().list("planner/").objects[0].value["holder"])
        if holder != "entry-0":
            names["entry-0"], names["entry-1"] = names["entry-1"], names["entry-0"]
        found = watch(site, list(names))
    lines = []
    for name, role in names.items():
        lines += fit_points("idle", role, "-", {1: found[name]})
    return lines


def entry_connections() -> list[Line]:
    """Weigh an entry's connections to targets, with their heartbeats, during an outage."""
    points: dict[int, Point] = {}
    for size in CONNECTION_SIZES:
        with bench_site(overrides=SHORT_WATCH, model_servers=0, filled=False) as site:
            targets = [FakeTarget(f"fake-{number}") for number in range(size)]
            for target in targets:
                _list(site, target)
            # An entry asks all targets it knows for their state when the object API is down.
            for path in ("/objects", "/watch"):
                call(site.api, "POST", "/faults", {"kind": "error", "match": path})
            for target in targets:
                wait_for(target.greeted.is_set, "the entry's connection", bound_s=CONNECT_S)
            points[size] = watch(site, [ENTRY])[ENTRY]
            for target in targets:
                target.close()
    return fit_points("entry-connections", "entry", "connection at 1 heartbeat/s", points)


def target_connections() -> list[Line]:
    """Weigh a target's connections from entries, with their heartbeats."""
    points: dict[int, Point] = {}
    for size in CONNECTION_SIZES:
        with bench_site(entries=0, filled=False) as site:
            links = entry_links(site.daemons[TARGET].started.address, size)
            for link in links:
                wait_for(partial(_connected, link), "a link", bound_s=CONNECT_S)
            points[size] = watch(site, [TARGET])[TARGET]
            for link in links:
                link.stop()
    return fit_points("target-connections", "target", "connection at 1 heartbeat/s", points)


def streams() -> list[Line]:
    """Weigh streams in flight of a few tokens a second each."""
    overrides = {"target.slots": STREAM_SLOTS}
    entry: dict[int, Point] = {}
    target: dict[int, Point] = {}
    for size in STREAM_SIZES:
        with bench_site(overrides=overrides, slots=STREAM_SLOTS, token_ms=SLOW_TOKEN_MS) as site:
            address = site.daemons[ENTRY].started.address
            running = Streams(address, MODEL, count=size, tokens=STREAM_TOKENS)
            running.start()
            found = watch(site, [ENTRY, TARGET])
            entry[size], target[size] = found[ENTRY], found[TARGET]
            running.stop()
    per = f"stream of {1000 // SLOW_TOKEN_MS} tokens/s"
    return [
        *fit_points("streams", "entry", per, entry),
        *fit_points("streams", "target", per, target),
    ]


def tokens() -> list[Line]:
    """Weigh the processor time of a request and of a token."""
    with bench_site(prefill_ms=20, token_ms=FAST_TOKEN_MS) as site:
        costs = stream_costs(site)
    measure = "processor ms per request"
    return [fit("tokens", cost.role, measure, "token", cost.measured_ms) for cost in costs]


def _connected(link: TargetLink) -> bool:
    return link.wire is not None


def _list(site: Site, target: FakeTarget) -> None:
    value = {
        "name": target.name,
        "role": "target",
        "address": target.address,
        "region": PURAVIDA.region,
        "failure_domain": PURAVIDA.domains[0],
        "state": "live",
    }
    call(site.api, "PUT", f"/instances/{target.name}", value)
