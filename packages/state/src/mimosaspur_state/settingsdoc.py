"""Describe every settings key in one line; docs/reference/settings.md is made from it."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class KeyDoc:
    """Hold a key's meaning and unit."""

    meaning: str
    unit: str = ""


_MS = "ms"
_REQUESTS = "requests"

KEY_DOCS: dict[str, KeyDoc] = {
    "role": KeyDoc("What this process does. It decides which section must be there."),
    "instance": KeyDoc("Who this instance is. Nothing of it is looked up elsewhere."),
    "instance.name": KeyDoc("The instance's name, the one that the instance list shows."),
    "instance.region": KeyDoc("The region. Placement is planned for each region by itself."),
    "instance.failure_domain": KeyDoc("What the instance fails together with."),
    "platform": KeyDoc("Where the platform is and how much of it this instance may use."),
    "platform.object_api": KeyDoc("Address of the object API.", "ip:port"),
    "platform.instance_list": KeyDoc("Address of the instance list.", "ip:port"),
    "platform.timeout_ms": KeyDoc("Longest wait for one answer, beyond a watch's own wait.", _MS),
    "platform.watch_ms": KeyDoc("How long one watch waits; each one counts as a call.", _MS),
    "platform.watch_pace_ms": KeyDoc(
        "Pause after a watch's answer before the next: bounds the calls of a large fleet, and "
        "delays what is watched by as much.",
        _MS,
    ),
    "platform.reads_per_second": KeyDoc(
        "Most reads, lists and watches of this instance; 0 is no limit.", "calls/s"
    ),
    "platform.writes_per_second": KeyDoc("Most writes of this instance; 0 is no limit.", "calls/s"),
    "platform.instance_list_ms": KeyDoc(
        "Shortest pause between regular readings of the instance list.", _MS
    ),
    "platform.instance_list_bytes_per_second": KeyDoc(
        "Most of the instance list that an entry reads on average; a longer list is read the more "
        "rarely, at least every 60000 ms; 0 is no limit.",
        "bytes/s",
    ),
    "entry": KeyDoc("Section of the role entry; needed if role is entry."),
    "entry.listen": KeyDoc("Where callers connect.", "ip:port"),
    "entry.workers": KeyDoc("Threads that answer callers; more than max_in_flight.", "threads"),
    "entry.max_in_flight": KeyDoc("Most requests for work at once; more are refused.", _REQUESTS),
    "entry.max_body_bytes": KeyDoc("Largest body of a request.", "bytes"),
    "entry.default_deadline_ms": KeyDoc("Deadline of a request without X-Deadline-Ms.", _MS),
    "entry.max_deadline_ms": KeyDoc("Longest deadline that a caller may ask for.", _MS),
    "entry.caller_timeout_ms": KeyDoc(
        "Longest wait for a request's body, and for a silent caller's connection.", _MS
    ),
    "entry.retry_ratio": KeyDoc(
        "How many tries of its own a caller's request adds to the budget.", "tries/request"
    ),
    "entry.retry_burst": KeyDoc("Most tries that the budget holds.", "tries"),
    "entry.peer_idle_ms": KeyDoc("When an unused connection to a target is closed.", _MS),
    "entry.wait_ready_ms": KeyDoc(
        "How long a request may wait for a target to be ready before it is refused; at most half "
        "of its deadline, 0 is not at all.",
        _MS,
    ),
    "entry.planner": KeyDoc("Whether this entry may take up the planner duty of its region."),
    "target": KeyDoc("Section of the role target; needed if role is target."),
    "target.listen": KeyDoc("Where entries connect.", "ip:port"),
    "target.kind": KeyDoc("What stands behind: a model engine or a plain service."),
    "target.address": KeyDoc("Address of the engine or service.", "ip:port"),
    "target.service": KeyDoc("The plain service's name in bundles; needed if kind is service."),
    "target.checks_fencing": KeyDoc(
        "Whether the engine refuses an order with an old fencing token. "
        "If false, a new process waits longest_order_delay_ms before its first order."
    ),
    "target.longest_order_delay_ms": KeyDoc(
        "Latest arrival of an order; until then a lost one keeps its memory.", _MS
    ),
    "target.slots": KeyDoc("Requests that run at once.", _REQUESTS),
    "target.queue": KeyDoc("Requests that may wait for a slot; more are refused.", _REQUESTS),
    "target.service_time_ms": KeyDoc(
        "First guess of a request's running time; measured from then on.", _MS
    ),
    "target.silent_ms": KeyDoc("Silence of the engine after which a stream is resumed.", _MS),
    "target.answer_bytes": KeyDoc("Largest answer; a larger one ends in ANSWER_CUT.", "bytes"),
    "target.keep_answer_ms": KeyDoc(
        "How long an ended answer stays to be fetched, and a running one without its entry.", _MS
    ),
    "target.stop_grace_ms": KeyDoc("Longest wait for running requests after SIGTERM.", _MS),
    "target.status_ms": KeyDoc("Longest pause between writes of the target's status.", _MS),
    "target.poll_ms": KeyDoc("Pause between readings of the engine's report.", _MS),
    "peers": KeyDoc("Timing of connections between our processes."),
    "peers.heartbeat_ms": KeyDoc("Pause between an entry's pings on a connection.", _MS),
    "peers.silent_ms": KeyDoc(
        "Silence after which an entry opens a new connection; bounds a send too.", _MS
    ),
    "peers.connect_ms": KeyDoc("Longest wait for a connection to open.", _MS),
    "planner": KeyDoc("The planner duty. Give all entries of a region the same."),
    "planner.interval_ms": KeyDoc("Pause between planning passes.", _MS),
    "planner.lease_ms": KeyDoc("How long the lease may stand still before another takes it.", _MS),
    "planner.load_timeout_ms": KeyDoc(
        "When a load that is not done is given up and tried at another target.", _MS
    ),
    "planner.forget_ms": KeyDoc(
        "How long a report of an instance that is gone is kept; above status_grace_ms.", _MS
    ),
    "planner.status_grace_ms": KeyDoc(
        "How long a target's status may stand still before its replicas are placed anew.", _MS
    ),
    "planner.move_cost": KeyDoc(
        "Requests of one window that must find no place before a replica is added.", _REQUESTS
    ),
    "planner.demand_window_ms": KeyDoc("The window over which demand is counted.", _MS),
    "planner.demand_report_ms": KeyDoc("Pause between an entry's looks at its demand.", _MS),
    "planner.claim_keep_ms": KeyDoc(
        "How long a claim on an Idempotency-Key is kept at the least, from its last write.", _MS
    ),
    "planner.claims_swept_per_second": KeyDoc(
        "Claims that the sweep looks at in a second, at least 1.", "claims/s"
    ),
    "weight_store": KeyDoc("The weight store's limits, which the planner keeps for the region."),
    "weight_store.loads_per_second": KeyDoc("Most loads begun in a second; 0 is no limit.", "1/s"),
    "weight_store.at_once": KeyDoc("Most replicas that load at once in the region.", "loads"),
    "statsd": KeyDoc("Where metrics go. Without it none are sent."),
    "statsd.host": KeyDoc("IP number of the statsd daemon."),
    "statsd.port": KeyDoc("Its UDP port."),
    "policy": KeyDoc("Decisions to use: ours, or the naive ones that measurements compare with."),
}
