"""Count events and durations and render them in the Prometheus text format.

The usual client library is not used, since its import nearly doubles an entry's memory.
"""

PREFIX = "mimosaspur_"
# Around the callers' latency objectives.
BUCKET_BOUNDS_MS = (25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800)


class Counters:
    """Collect counters by event and label, and histograms of milliseconds."""

    __slots__ = ("cross_domain_bytes", "counts", "histograms", "sums")

    def __init__(self) -> None:
        self.counts: dict[tuple[str, str], int] = {}
        # By purpose and direction.
        self.cross_domain_bytes: dict[tuple[str, str], int] = {}
        self.histograms: dict[str, list[int]] = {}
        self.sums: dict[str, float] = {}

    def count(self, event: str, label: str = "") -> None:
        """Increment the counter of an event."""
        key = (event, label)
        self.counts[key] = self.counts.get(key, 0) + 1

    def add_cross_domain_bytes(self, purpose: str, direction: str, count: int) -> None:
        """Add bytes that were exchanged with another failure domain."""
        key = (purpose, direction)
        self.cross_domain_bytes[key] = self.cross_domain_bytes.get(key, 0) + count

    def observe(self, name: str, ms: float) -> None:
        """Record a duration in its histogram."""
        buckets = self.histograms.setdefault(name, [0] * (len(BUCKET_BOUNDS_MS) + 1))
        index = sum(ms > bound for bound in BUCKET_BOUNDS_MS)
        buckets[index] += 1
        self.sums[name] = self.sums.get(name, 0.0) + ms

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = [
            f'{PREFIX}events_total{{event="{event}",result="{label}"}} {count}'
            for (event, label), count in sorted(self.counts.items())
        ]
        for (purpose, direction), count in sorted(self.cross_domain_bytes.items()):
            labels = f'purpose="{purpose}",direction="{direction}"'
            lines.append(f"{PREFIX}cross_domain_bytes_total{{{labels}}} {count}")
        for name, buckets in sorted(self.histograms.items()):
            lines += self._render_histogram(name, buckets)
        return "\n".join(lines) + "\n"

    def _render_histogram(self, name: str, buckets: list[int]) -> list[str]:
        total = 0
        lines = []
        for bound, count in zip((*BUCKET_BOUNDS_MS, "+Inf"), buckets, strict=True):
            total += count
            lines.append(f'{PREFIX}{name}_bucket{{le="{bound}"}} {total}')
        lines.append(f"{PREFIX}{name}_sum {self.sums[name]:g}")
        lines.append(f"{PREFIX}{name}_count {total}")
        return lines
