"""Send metrics to statsd."""

import statsd

from mimosaspur_state.settings import StatsdSettings

PREFIX = "mimosaspur"


class Metrics:
    """Send counters, timings and gauges; does nothing if statsd is not configured."""

    __slots__ = ("client",)

    def __init__(self, settings: StatsdSettings | None = None, *, instance: str = "") -> None:
        self.client: statsd.StatsClient | None = None
        if settings:
            prefix = f"{PREFIX}.{instance}"
            self.client = statsd.StatsClient(settings.host, settings.port, prefix=prefix)

    def count(self, name: str, n: int = 1) -> None:
        """Increment a counter."""
        if self.client:
            self.client.incr(name, n)

    def timing(self, name: str, ms: float) -> None:
        """Record a duration in milliseconds."""
        if self.client:
            self.client.timing(name, ms)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self.client:
            self.client.gauge(name, value)
