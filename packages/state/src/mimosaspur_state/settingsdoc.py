"""Describe each settings key; docs/reference/settings.md is generated from this."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class KeyDoc:
    """Describe the meaning and unit of a settings key."""

    meaning: str
    unit: str = ""


_MS = "ms"
_REQUESTS = "requests"

KEY_DOCS: dict[str, KeyDoc] = {
    "role": KeyDoc("The role of this process, which determines the required section."),
    "instance": KeyDoc("Identity of this instance, taken only from these settings."),
    "instance.name": KeyDoc("The instance's name, as in the instance list."),
    "instance.region": KeyDoc("The region. Each region plans its placement separately."),
    "instance.failure_domain": KeyDoc("The failure domain (zone) of the instance."),
    "platform": KeyDoc("Addresses of the platform and rate limits of this instance."),
    "platform.object_api": KeyDoc("Address of the object API.", "ip:port"),
    "platform.instance_list": KeyDoc("Address of the instance list.", "ip:port"),
    "platform.timeout_ms": KeyDoc("Timeout of a call, in addition to a watch's own wait.", _MS),
    "platform.watch_ms": KeyDoc("Wait of one watch call; each one counts as a call.", _MS),
    "platform.watch_pace_ms": KeyDoc(
        "Pause between watch calls: limits the calls of a large fleet, and delays updates by as "
        "much.",
        _MS,
    ),
    "platform.reads_per_second": KeyDoc(
        "Maximum rate of reads, lists and watches; 0 is unlimited.", "calls/s"
    ),
    "platform.writes_per_second": KeyDoc("Maximum rate of writes; 0 is unlimited.", "calls/s"),
    "platform.instance_list_ms": KeyDoc(
        "Minimum interval between regular reads of the instance list.", _MS
    ),
    "platform.instance_list_bytes_per_second": KeyDoc(
        "Maximum average read rate of the instance list; a longer list is read less often, at "
        "least every 60000 ms; 0 is unlimited.",
        "bytes/s",
    ),
    "entry": KeyDoc("Section of the role entry; required if role is entry."),
    "entry.listen": KeyDoc("Address that callers connect to.", "ip:port"),
    "entry.workers": KeyDoc("Threads that serve callers; must exceed max_in_flight.", "threads"),
    "entry.max_in_flight": KeyDoc("Maximum concurrent requests; more are refused.", _REQUESTS),
    "entry.max_body_bytes": KeyDoc("Maximum size of a request body.", "bytes"),
    "entry.default_deadline_ms": KeyDoc("Deadline of a request without X-Deadline-Ms.", _MS),
    "entry.max_deadline_ms": KeyDoc("Maximum deadline that a caller may request.", _MS),
    "entry.caller_timeout_ms": KeyDoc(
        "Timeout for a request's head, for its body and for an idle caller's connection.", _MS
    ),
    "entry.retry_ratio": KeyDoc(
        "Retries that each caller's request adds to the budget.", "tries/request"
    ),
    "entry.retry_burst": KeyDoc("Maximum retries in the budget.", "tries"),
    "entry.peer_idle_ms": KeyDoc("Idle time after which a connection to a target is closed.", _MS),
    "entry.wait_ready_ms": KeyDoc(
        "Maximum wait of a request for a ready target, limited to half of its deadline; 0 disables "
        "waiting.",
        _MS,
    ),
    "entry.planner": KeyDoc("Whether this entry may become the planner of its region."),
    "target": KeyDoc("Section of the role target; required if role is target."),
    "target.listen": KeyDoc("Address that entries connect to.", "ip:port"),
    "target.kind": KeyDoc("Kind of the back end: a model engine or a plain service."),
    "target.address": KeyDoc("Address of the engine or service.", "ip:port"),
    "target.service": KeyDoc("The plain service's name in bundles; required if kind is service."),
    "target.checks_fencing": KeyDoc(
        "Whether the engine rejects orders with an old fencing token. "
        "If false, a new process waits longest_order_delay_ms before its first order."
    ),
    "target.longest_order_delay_ms": KeyDoc(
        "Maximum delay of an order; until then a lost order keeps its memory reserved.", _MS
    ),
    "target.slots": KeyDoc("Maximum requests that run at once.", _REQUESTS),
    "target.queue": KeyDoc("Maximum requests that wait for a slot; more are refused.", _REQUESTS),
    "target.service_time_ms": KeyDoc(
        "Initial estimate of a request's running time; later measured.", _MS
    ),
    "target.silent_ms": KeyDoc(
        "Time without data from the engine after which a stream is resumed.", _MS
    ),
    "target.answer_bytes": KeyDoc(
        "Maximum size of an answer; a larger one ends with ANSWER_CUT.", "bytes"
    ),
    "target.keep_answer_ms": KeyDoc(
        "How long a finished answer, or a running one whose entry is disconnected, is kept.", _MS
    ),
    "target.stop_grace_ms": KeyDoc("Maximum wait for running requests after SIGTERM.", _MS),
    "target.status_ms": KeyDoc("Maximum interval between writes of the target's status.", _MS),
    "target.poll_ms": KeyDoc("Interval between reads of the engine's report.", _MS),
    "peers": KeyDoc("Timing of connections between entries and targets."),
    "peers.heartbeat_ms": KeyDoc("Interval between an entry's pings on a connection.", _MS),
    "peers.silent_ms": KeyDoc(
        "Time without an answered ping after which an entry reconnects; also the send timeout.", _MS
    ),
    "peers.connect_ms": KeyDoc("Connect timeout.", _MS),
    "planner": KeyDoc("The planner. All entries of a region need the same values."),
    "planner.interval_ms": KeyDoc("Interval between planning passes.", _MS),
    "planner.lease_ms": KeyDoc(
        "Time without renewal after which another entry may take the lease.", _MS
    ),
    "planner.load_timeout_ms": KeyDoc(
        "Timeout of a load, after which another target is tried.", _MS
    ),
    "planner.forget_ms": KeyDoc(
        "How long a removed instance's reports are kept; above status_grace_ms.", _MS
    ),
    "planner.status_grace_ms": KeyDoc(
        "Time without a status update after which a target's replicas are placed elsewhere.", _MS
    ),
    "planner.move_cost": KeyDoc(
        "Unserved requests in one window that justify adding a replica.", _REQUESTS
    ),
    "planner.demand_window_ms": KeyDoc("Window over which demand is counted.", _MS),
    "planner.demand_report_ms": KeyDoc("Interval at which an entry checks its demand.", _MS),
    "planner.claim_keep_ms": KeyDoc(
        "Minimum retention of a claim on an Idempotency-Key after its last write.", _MS
    ),
    "planner.claims_swept_per_second": KeyDoc(
        "Claims that the sweep checks per second, at least 1.", "claims/s"
    ),
    "weight_store": KeyDoc("The weight store's limits, which the planner enforces for the region."),
    "weight_store.loads_per_second": KeyDoc(
        "Maximum loads started per second; 0 is unlimited.", "1/s"
    ),
    "weight_store.at_once": KeyDoc("Maximum replicas that load at once in the region.", "loads"),
    "statsd": KeyDoc("Address for metrics; without it none are sent."),
    "statsd.host": KeyDoc("IP address of the statsd daemon."),
    "statsd.port": KeyDoc("UDP port of the statsd daemon."),
    "policy": KeyDoc("Decision policy; the naive one is a baseline for measurements."),
}
