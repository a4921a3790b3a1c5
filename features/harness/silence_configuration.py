"""Configure sites with silent targets, and change the configuration of requests in flight."""

from typing import Any

from harness.entry_site import HOST
from harness.silent_target import MODEL

TIMEOUT_MS = 10_000
MAX_ATTEMPTS = 3
# Callers give up after a longer pause: 2 s, 4 objectives or 8 gap objectives, whichever is longest.
PATIENCE_S = 3.2
KEY = "n-1"
# Of the callers whose tenant may be taken away.
EARLY_KEY = "e-1"
KINDS = {
    # Path: kind on the platform, resumable.
    "quick": ("unsafe", False),
    "early": ("streaming", True),
    "stream": ("streaming", True),
    "single": ("streaming", False),
    "safe": ("safe", False),
    "once": ("unsafe", False),
}
STREAM_KINDS = ("early", "stream", "single")
ENGINE_KINDS = ("quick", *STREAM_KINDS)
PLAIN_KINDS = ("quick", "safe", "once")


def configuration(services: list[str], *, version: int = 1, change: str = "") -> dict[str, Any]:
    """Return a configuration, with a change to what the early requests were sent by."""
    routes = [
        _route(kind, service, services)
        for service in services
        for kind in (ENGINE_KINDS if is_engine_service(service) else PLAIN_KINDS)
    ]
    tenants = {"north": [KEY], "early": [EARLY_KEY]}
    limits = {"idle_timeout_ms": 15_000, "header_timeout_ms": 3_000}
    early = [route for route in routes if route["name"].startswith("early")]
    match change:
        case "timeout":
            for route in early:
                route["timeout_ms"] = 300
        case "weights":
            for route in early:
                for part in route["traffic_split"]:
                    part["weight"] = 1.0 - part["weight"]
        case "route":
            routes = [route for route in routes if route not in early]
        case "tenant":
            del tenants["early"]
        case "idle":
            limits = {"idle_timeout_ms": 1_000, "header_timeout_ms": 500}
    return {
        "version": version,
        "routes": routes,
        "services": [_service(name) for name in services],
        "limits": limits,
        "tenants": [{"name": name, "api_keys": keys} for name, keys in tenants.items()],
    }


def is_engine_service(service: str) -> bool:
    """Return whether a service runs engines."""
    return service.startswith("engines")


def _route(kind: str, service: str, services: list[str]) -> dict[str, Any]:
    platform_kind, resumable = KINDS[kind]
    route = {
        "name": f"{kind}-{service}",
        "hostname": HOST,
        "path_prefix": f"/{kind}/{service}/",
        "route_kind": platform_kind,
        "timeout_ms": TIMEOUT_MS,
        "target_latency_ms": 800,
        "gap_aim_ms": 400,
        "resumable": resumable,
        "service": service,
        "max_attempts": MAX_ATTEMPTS,
    }
    if kind == "early":
        others = [each for each in services if each != service and is_engine_service(each)]
        parts = [{"service": service, "weight": 1.0}]
        parts += [{"service": other, "weight": 0.0} for other in others[:1]]
        route["traffic_split"] = parts
    return route


def _service(name: str) -> dict[str, Any]:
    service: dict[str, Any] = {"name": name, "connection_limit": 300}
    if is_engine_service(name):
        service["engine"] = {
            "slots": 16,
            "kv_cache_tokens": 100_000,
            "weights_mb": 220_000,
            "loads_per_s": 2,
            "models": [{"name": MODEL, "weights_mb": 70_000, "load_s": 2.0}],
        }
    return service
