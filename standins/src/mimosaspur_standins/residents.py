"""Execute the engine's orders and track the memory of its accelerators."""

import http.client
import threading
import time
import uuid
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

from .base import MS_PER_SECOND
from .base import sleep_ms
from .base import split_address
from .orders import Order
from .orders import Resident
from .orders import StaleFencingTokenError

MAX_LISTED_ORDERS = 200
MAX_FETCH_ATTEMPTS = 4
FETCH_RETRY_DELAY_MS = 250


class Residents:
    """Load and unload residents; without a weight store (`weights`) a load takes `load_ms`."""

    def __init__(
        self,
        *,
        capacity_mb: list[int],
        weights: str | None,
        load_ms: float,
        unload_ms: float,
        ignore_fencing: bool,
        on_unload: Callable[[str], None],
    ) -> None:
        self.capacity_mb = capacity_mb
        self.weights = weights
        self.load_ms = load_ms
        self.unload_ms = unload_ms
        self.ignore_fencing = ignore_fencing
        self.on_unload = on_unload
        self.engine_id = uuid.uuid4().hex
        self.changed = threading.Condition()
        self.fencing = 0
        self.residents: dict[str, Resident] = {}
        self.orders: dict[str, Order] = {}
        self.max_used_mb = [0] * len(capacity_mb)
        self.overcommitted = False
        self.loads = 0
        self.unloads = 0

    def submit(self, order: Order) -> Order:
        """Start an order unless its id is known; raise ValueError or StaleFencingTokenError."""
        with self.changed:
            known = self.orders.get(order.order_id)
            if known is not None:
                return known
            order.validate(len(self.capacity_mb))
            if order.fencing < self.fencing and not self.ignore_fencing:
                raise StaleFencingTokenError
            self.fencing = max(self.fencing, order.fencing)
            order.at_ms = int(time.time() * MS_PER_SECOND)
            self.orders[order.order_id] = order
            self.start_order(order)
            return order

    def start_order(self, order: Order) -> None:
        """Start executing an order; the caller must hold the lock."""
        match order.kind:
            case "fence":
                order.finish("done")
            case "load":
                self.start_load(order)
            case "unload":
                self.start_unload(order)

    def start_load(self, order: Order) -> None:
        """Reserve the memory of a load and start loading."""
        present = self.residents.get(order.id)
        if present is not None:
            ready = present.state == "ready"
            order.finish("done" if ready else "failed", f"already {present.state}")
            return
        if order.base is not None and not self.is_ready(order.base):
            order.finish("failed", f"base {order.base} is not ready")
            return
        resident = Resident(
            order.id,
            order.base,
            order.resident_kind,
            order.memory_mb,
            order.accelerators,
            order.order_id,
        )
        self.residents[order.id] = resident
        self.update_memory_use()
        threading.Thread(target=self.load, args=(order, resident), daemon=True).start()

    def start_unload(self, order: Order) -> None:
        """Stop new jobs on a resident and start unloading."""
        resident = self.residents.get(order.id)
        if resident is None:
            order.finish("done", "not resident")
        elif resident.state == "unloading":
            order.finish("failed", "already unloading")
        elif any(other.base == order.id for other in self.residents.values()):
            order.finish("failed", "adapters of it are resident, unload them first")
        else:
            resident.state = "unloading"
            threading.Thread(target=self.unload, args=(order, resident), daemon=True).start()

    def load(self, order: Order, resident: Resident) -> None:
        """Load the weights and record the outcome."""
        problem = self.fetch_weights(resident)
        with self.changed:
            resident.users -= 1
            if resident.state == "unloading":
                problem = "unloaded while loading"
            elif problem:
                del self.residents[resident.id]
            else:
                resident.state = "ready"
                self.loads += 1
            order.finish("failed" if problem else "done", problem)
            self.update_memory_use()
            self.changed.notify_all()

    def unload(self, order: Order, resident: Resident) -> None:
        """Wait for all jobs of a resident to end, then free its memory."""
        with self.changed:
            self.changed.wait_for(lambda: resident.users == 0)
        sleep_ms(self.unload_ms)
        self.on_unload(resident.id)
        with self.changed:
            del self.residents[resident.id]
            self.unloads += 1
            order.finish("done")
            self.update_memory_use()

    def fetch_weights(self, resident: Resident) -> str:
        """Fetch the weights with retries; return an error text, empty on success."""
        if self.weights is None:
            sleep_ms(self.load_ms)
            return ""
        problem = ""
        for _ in range(MAX_FETCH_ATTEMPTS):
            try:
                status = request_weights(self.weights, resident)
            except (OSError, http.client.HTTPException) as error:
                return f"weight store: {error!r}"
            if status == http.HTTPStatus.OK:
                return ""
            problem = f"weight store answered {status}"
            sleep_ms(FETCH_RETRY_DELAY_MS)
        return problem

    def update_memory_use(self) -> None:
        """Update the peak memory use of each accelerator; the caller must hold the lock."""
        for index, capacity in enumerate(self.capacity_mb):
            located = (item for item in self.residents.values() if index in item.accelerators)
            used = sum(item.memory_mb for item in located)
            self.max_used_mb[index] = max(self.max_used_mb[index], used)
            self.overcommitted = self.overcommitted or used > capacity

    def is_ready(self, name: str) -> bool:
        """Return whether a model or adapter can run jobs; the caller must hold the lock."""
        found = self.residents.get(name)
        return found is not None and found.state == "ready" and found.kind != "import"

    def acquire(self, name: str) -> Resident | None:
        """Reserve a ready resident for a job; return None if it is not ready."""
        with self.changed:
            if not self.is_ready(name):
                return None
            self.residents[name].users += 1
            return self.residents[name]

    def release(self, resident: Resident) -> None:
        """Release a reserved resident."""
        with self.changed:
            resident.users -= 1
            self.changed.notify_all()

    def state(self) -> dict[str, Any]:
        """Return the state that the engine publishes."""
        with self.changed:
            orders = list(self.orders.values())[-MAX_LISTED_ORDERS:]
            return {
                "engine_id": self.engine_id,
                "fencing": self.fencing,
                "capacity_mb": self.capacity_mb,
                "residents": [resident.public_state() for resident in self.residents.values()],
                "orders": [
                    {"order_id": order.order_id, "state": order.state, "detail": order.detail}
                    for order in orders
                ],
            }

    def log(self) -> dict[str, Any]:
        """Return the counts and logs that the harness checks."""
        with self.changed:
            return {
                "max_used_mb": list(self.max_used_mb),
                "overcommitted": self.overcommitted,
                "orders": [
                    {key: getattr(order, key) for key in ("order_id", "kind", "id", "at_ms")}
                    for order in self.orders.values()
                ],
                "loads": self.loads,
                "unloads": self.unloads,
            }


def request_weights(address: str, resident: Resident) -> int:
    """Request the weights once; return the HTTP status."""
    host, port = split_address(address)
    connection = http.client.HTTPConnection(host, port)
    try:
        path = f"/weights/{quote(resident.id, safe='')}?memory_mb={resident.memory_mb}"
        connection.request("GET", path)
        answer = connection.getresponse()
        answer.read()
        return answer.status
    finally:
        connection.close()
