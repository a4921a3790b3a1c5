"""Count the requests at an entry in a sliding window of a few buckets."""

import threading
from collections import Counter
from collections import deque

from mimosaspur_state.records import ModelDemand

BUCKET_COUNT = 5


class DemandCounter:
    """Sum the requests and rejections of each model over the most recent buckets."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.requests: deque[Counter[str]] = deque([Counter()], maxlen=BUCKET_COUNT)
        self.refusals: deque[Counter[str]] = deque([Counter()], maxlen=BUCKET_COUNT)

    def count_request(self, model: str) -> None:
        """Count a request."""
        with self.lock:
            self.requests[-1][model] += 1

    def count_refusal(self, model: str) -> None:
        """Count a request that was rejected without being run."""
        with self.lock:
            self.refusals[-1][model] += 1

    def rotate(self) -> None:
        """Start a new bucket and drop the oldest."""
        with self.lock:
            self.requests.append(Counter())
            self.refusals.append(Counter())

    def totals(self) -> dict[str, ModelDemand]:
        """Return the sums for the models with any requests."""
        with self.lock:
            requests = sum(self.requests, Counter[str]())
            refusals = sum(self.refusals, Counter[str]())
        return {model: ModelDemand(requests[model], refusals[model]) for model in sorted(requests)}
