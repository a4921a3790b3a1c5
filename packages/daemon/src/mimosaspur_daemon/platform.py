"""Create clients of the platform's services from the settings."""

from mimosaspur_state.clock import Clock
from mimosaspur_state.settings import Settings
from mimosaspur_transport.instancelist import InstanceListClient
from mimosaspur_transport.objectapi import HttpObjectStore


def open_store(settings: Settings, clock: Clock) -> HttpObjectStore:
    """Return an object API client limited to this instance's request rates."""
    platform = settings.platform
    return HttpObjectStore(
        platform.object_api,
        caller=settings.instance.name,
        timeout_ms=platform.timeout_ms,
        clock=clock,
        reads_per_second=platform.reads_per_second,
        writes_per_second=platform.writes_per_second,
    )


def open_instance_list(settings: Settings, clock: Clock) -> InstanceListClient:
    """Return a client of the platform's instance list."""
    platform = settings.platform
    return InstanceListClient(
        platform.instance_list,
        caller=settings.instance.name,
        timeout_ms=platform.timeout_ms,
        clock=clock,
    )
