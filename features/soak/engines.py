"""Simulate engines that hold models and carry out the coordinator's orders."""

import asyncio
from dataclasses import dataclass
from dataclasses import field

import msgspec

from soak.record import Order
from soak.targets import Peer
from soak.targets import Request
from soak.targets import SoakTarget

MODELS = ("m1", "m2", "m3")
MODEL_MB = 70_000
# Room for two models.
WEIGHTS_MB = 150_000
LOAD_S = 0.8
LOADS_PER_S = 2
KV_TOKENS = 100_000


@dataclass(slots=True)
class SoakEngine(SoakTarget):
    """Stream for the models that it holds."""

    models: list[str] = field(default_factory=list)
    # Orders that were accepted.
    sequence: int = 0
    busy: bool = False
    loading: "asyncio.Task[None] | None" = None

    def registration(self, state: str = "ready") -> dict[str, object]:
        """Return what it says of itself in the store."""
        base = SoakTarget.registration(self, state)
        return {**base, "stage": "both", "models": self._held()}

    def accepts(self, request: Request) -> bool:
        """Return whether it holds the request's model."""
        return SoakTarget.accepts(self, request) and request.headers.get("x-model") in self.models

    async def _answer(self, request: Request, peer: Peer) -> None:
        if request.path == "/api/report":
            peer.send_whole(200, "Content-Type: application/json\r\n", self._report())
        elif request.path == "/api/order":
            peer.send_whole(self._order(request), "", "{}")
        else:
            await SoakTarget._answer(self, request, peer)

    def _held(self) -> list[dict[str, object]]:
        return [{"name": name, "version": 1, "adapters": []} for name in self.models]

    def _report(self) -> str:
        running = len(self.running)
        report = {
            "stage": "both",
            "models": self._held(),
            "busy": self.busy,
            "sequence": self.sequence,
            "waiting": 0,
            "running": running,
            "kv_used": 1_000 * running,
            "kv_total": KV_TOKENS,
            "handles": 0,
        }
        return msgspec.json.encode(report).decode()

    def _order(self, request: Request) -> int:
        order = msgspec.json.decode(request.body)
        status = self._order_status(request, order)
        now_s = asyncio.get_running_loop().time()
        self.record.orders.append(
            Order(now_s, self.identity, order["holder"], order["fencing_token"], status)
        )
        return status

    def _order_status(self, request: Request, order: dict[str, object]) -> int:
        if not SoakTarget.accepts(self, request):
            return 421
        if self.busy or order.get("expected", self.sequence) != self.sequence:
            return 409
        model, loads = str(order["model"]), order["operation"] == "load"
        if loads == (model in self.models):
            return 200
        if loads and (len(self.models) + 1) * MODEL_MB > WEIGHTS_MB:
            return 409
        self.sequence += 1
        self.busy = True
        self.loading = asyncio.create_task(self._carry_out(model, loads))
        return 202

    async def _carry_out(self, model: str, loads: bool) -> None:
        if loads:
            await asyncio.sleep(LOAD_S)
            self.models.append(model)
        else:
            self.models.remove(model)
        self.busy = False


def engine_specification() -> dict[str, object]:
    """Return the engine of the configured service."""
    models = [{"name": name, "weights_mb": MODEL_MB, "load_s": LOAD_S} for name in MODELS]
    return {
        "slots": 64,
        "kv_cache_tokens": KV_TOKENS,
        "weights_mb": WEIGHTS_MB,
        "loads_per_s": LOADS_PER_S,
        "models": models,
    }
