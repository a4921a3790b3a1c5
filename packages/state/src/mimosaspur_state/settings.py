"""Read and validate a daemon's settings: JSON with comments; unknown keys are rejected."""

from enum import Enum
from pathlib import Path
from typing import Any

import msgspec

from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import MimosaspurError


class Role(Enum):
    """Enumerate the roles of mimosaspurd."""

    ENTRY = "entry"
    TARGET = "target"


class TargetKind(Enum):
    """Enumerate the kinds of back ends."""

    ENGINE = "engine"
    SERVICE = "service"


class Policy(Enum):
    """Select the decision policy; the naive one is a baseline for measurements."""

    NORMAL = "normal"
    NAIVE = "naive"


class _StrictStruct(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Reject unknown keys."""


class InstanceSettings(_StrictStruct, frozen=True):
    """Identify this instance."""

    name: str
    region: str
    failure_domain: str


class PlatformSettings(_StrictStruct, frozen=True):
    """Configure the platform's addresses and this instance's rate limits."""

    object_api: str
    instance_list: str
    timeout_ms: int = 2000
    watch_ms: int = 10_000
    watch_pace_ms: int = 0
    reads_per_second: float = 50
    writes_per_second: float = 20
    instance_list_ms: int = 2000
    instance_list_bytes_per_second: float = 5000


class WeightStoreSettings(_StrictStruct, frozen=True):
    """Configure the weight store's limits, which the planner enforces for the region."""

    loads_per_second: float = 2
    at_once: int = 6


class StatsdSettings(_StrictStruct, frozen=True):
    """Configure the statsd address."""

    host: str = "127.0.0.1"
    port: int = 8125


class EntrySettings(_StrictStruct, frozen=True):
    """Configure the role entry."""

    listen: str
    workers: int = 96
    max_in_flight: int = 64
    max_body_bytes: int = 4_000_000
    default_deadline_ms: int = 60_000
    max_deadline_ms: int = 600_000
    caller_timeout_ms: int = 10_000
    retry_ratio: float = 0.2
    retry_burst: int = 10
    peer_idle_ms: int = 30_000
    wait_ready_ms: int = 2000
    planner: bool = True


class PlannerSettings(_StrictStruct, frozen=True):
    """Configure the planner; move_cost is the number of requests that justify a move."""

    interval_ms: int = 1000
    lease_ms: int = 6000
    status_grace_ms: int = 15_000
    forget_ms: int = 600_000
    load_timeout_ms: int = 180_000
    move_cost: float = 20
    demand_window_ms: int = 30_000
    demand_report_ms: int = 2000
    claim_keep_ms: int = 86_400_000
    claims_swept_per_second: int = 10


class TargetSettings(_StrictStruct, frozen=True):
    """Configure the role target."""

    listen: str
    kind: TargetKind
    address: str
    service: str = ""
    checks_fencing: bool = True
    longest_order_delay_ms: int = 10_000
    slots: int = 8
    queue: int = 64
    service_time_ms: int = 500
    silent_ms: int = 5000
    answer_bytes: int = 8_000_000
    keep_answer_ms: int = 10_000
    stop_grace_ms: int = 30_000
    status_ms: int = 5000
    poll_ms: int = 250


class PeerSettings(_StrictStruct, frozen=True):
    """Configure the timing of connections between entries and targets."""

    heartbeat_ms: int = 1000
    silent_ms: int = 3000
    connect_ms: int = 1000


class Settings(_StrictStruct, frozen=True):
    """Hold all settings of a daemon."""

    role: Role
    instance: InstanceSettings
    platform: PlatformSettings
    entry: EntrySettings | None = None
    target: TargetSettings | None = None
    peers: PeerSettings = PeerSettings()
    planner: PlannerSettings = PlannerSettings()
    weight_store: WeightStoreSettings = WeightStoreSettings()
    statsd: StatsdSettings | None = None
    policy: Policy = Policy.NORMAL


EXAMPLES: dict[str, str] = {
    "role": '"entry"',
    "instance": '{"name": "entry-1", "region": "alajuela", "failure_domain": "hangar-oeste"}',
    "instance.name": '"entry-1"',
    "instance.region": '"alajuela"',
    "instance.failure_domain": '"terminal-norte"',
    "platform": '{"object_api": "127.0.0.1:7000", "instance_list": "127.0.0.1:7000"}',
    "platform.object_api": '"127.0.0.1:7000"',
    "platform.instance_list": '"127.0.0.1:7000"',
    "entry": '{"listen": "127.0.0.1:8080"}',
    "entry.listen": '"127.0.0.1:8080"',
    "target": '{"listen": "127.0.0.1:9000", "kind": "engine", "address": "127.0.0.1:9100"}',
    "target.listen": '"127.0.0.1:9000"',
    "target.kind": '"engine"',
    "target.address": '"127.0.0.1:9100"',
    "target.service": '"bookings"',
    "policy": '"normal"',
}


class SettingsError(MimosaspurError):
    """Raised for invalid settings; reports the file, key, expectation and an example."""

    def __init__(self, file: str, key: str, expected: str) -> None:
        example = EXAMPLES.get(key, "see docs/reference/settings.md")
        detail = f"{file}: {key or 'the whole file'}: {expected}; for example {example}."
        super().__init__(ResultCode.BAD_SETTINGS, detail)
        self.file = file
        self.key = key
        self.expected = expected


def load_settings(path: Path) -> Settings:
    """Read and validate a settings file; raise SettingsError."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(str(path), "", f"a readable file ({error.strerror})") from error
    return settings_from_text(text, file=str(path))


def settings_from_text(text: str, *, file: str) -> Settings:
    """Validate settings given as text; raise SettingsError."""
    # Imported here since it is only needed at startup.
    import pyjson5

    try:
        data: Any = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        raise SettingsError(file, "", f"JSON with comments ({error.message})") from error
    try:
        settings = msgspec.convert(data, Settings)
    except msgspec.ValidationError as error:
        expected, _, place = str(error).partition(" - at `$")
        key = place.rstrip("`").lstrip(".")
        raise SettingsError(file, key, expected) from error
    _check_role(settings, file)
    _check_addresses(settings, file)
    _check_numbers(settings, file)
    return settings


def split_address(address: str) -> tuple[str, int]:
    """Split "ip:port"; raise ValueError."""
    host, _, port = address.rpartition(":")
    parts = host.split(".")
    if len(parts) != 4 or not all(part.isdigit() and int(part) < 256 for part in parts):
        raise ValueError(f"{address!r} has no IPv4 address")
    number = int(port)
    if not 0 <= number < 65536:
        raise ValueError(f"{address!r} has no port from 0 to 65535")
    return host, number


def _check_role(settings: Settings, file: str) -> None:
    if settings.role is Role.ENTRY and settings.entry is None:
        raise SettingsError(file, "entry", "a section, since role is entry")
    if settings.role is Role.TARGET and settings.target is None:
        raise SettingsError(file, "target", "a section, since role is target")
    target = settings.target
    if target and target.kind is TargetKind.SERVICE and not target.service:
        raise SettingsError(file, "target.service", "a service's name, since kind is service")


def _check_addresses(settings: Settings, file: str) -> None:
    addresses = {
        "platform.object_api": settings.platform.object_api,
        "platform.instance_list": settings.platform.instance_list,
    }
    if settings.entry:
        addresses["entry.listen"] = settings.entry.listen
    if settings.target:
        addresses["target.listen"] = settings.target.listen
        addresses["target.address"] = settings.target.address
    for key, address in addresses.items():
        try:
            split_address(address)
        except ValueError as error:
            raise SettingsError(file, key, f"ip:port ({error})") from error


def _check_numbers(settings: Settings, file: str) -> None:
    sections = ("platform", "entry", "target", "peers", "planner", "weight_store")
    for section in sections:
        values = getattr(settings, section)
        if values is None:
            continue
        for name in values.__struct_fields__:
            value = getattr(values, name)
            if isinstance(value, int | float) and not isinstance(value, bool) and value < 0:
                raise SettingsError(
                    file, f"{section}.{name}", f"a number of 0 or more, not {value}"
                )
    entry = settings.entry
    if entry and entry.max_in_flight >= entry.workers:
        # The additional workers answer health checks and refusals while the others stream.
        raise SettingsError(file, "entry.workers", "a number above entry.max_in_flight")
