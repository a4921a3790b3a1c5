"""Keep an entry's picture of the targets: who is there, what they hold, how busy they are."""

from collections import OrderedDict
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from mimosaspur_coordination.modelpace import LEARNING_RATE
from mimosaspur_coordination.modelpace import MAX_CHANGE_RATIO
from mimosaspur_coordination.modelpace import ModelPace
from mimosaspur_coordination.prefillspeed import PrefillSpeed
from mimosaspur_coordination.prefillspeed import prefill_ms
from mimosaspur_coordination.targethealth import TargetHealth
from mimosaspur_state.clock import Clock
from mimosaspur_state.fleet import OutstandingWork
from mimosaspur_state.fleet import TargetRecord

# Bounds of what is learnt of an engine, beside what is learnt of its models.
SLOWNESS_BOUNDS = (0.2, 8.0)
# Prompt parts remembered for each target.
MAX_PROMPT_PARTS = 2_000


@dataclass(slots=True, frozen=True)
class Prompt:
    """Describe a request to a model engine."""

    model: str
    adapter: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    # Identity and tokens of the prompt's parts in order; the last one is the request's own.
    parts: tuple[tuple[str, int], ...] = ()


@dataclass(slots=True)
class TargetView:
    """Hold what this entry knows of one target."""

    record: TargetRecord
    health: TargetHealth
    # What a model's tokens cost, the same for all targets.
    paces: ModelPace = field(default_factory=ModelPace)
    # What is known of all engines of its kind.
    speed: PrefillSpeed = field(default_factory=PrefillSpeed)
    own_work: OutstandingWork = field(default_factory=OutstandingWork)
    # What the other entries have there, as the coordinator last told.
    others_work: OutstandingWork = field(default_factory=OutstandingWork)
    residents: Mapping[str, frozenset[str]] = field(default_factory=dict)
    # Models that are about to be unloaded.
    unloading: frozenset[str] = frozenset()
    slowness: float = 1.0
    # Parts of prompts that were sent there, by model and adapter.
    prompt_parts: OrderedDict[tuple[str, str, str], int] = field(default_factory=OrderedDict)

    def can_run(self, prompt: Prompt) -> bool:
        """Tell whether the target can run the prompt now."""
        adapters = self.residents.get(prompt.model)
        if adapters is None or prompt.model in self.unloading:
            return False
        return not prompt.adapter or prompt.adapter in adapters

    def cached_tokens(self, prompt: Prompt) -> int:
        """Return how much of a prompt the target has read for others of this entry's requests."""
        kept = 0
        for identity, tokens in prompt.parts[:-1]:
            if (prompt.model, prompt.adapter, identity) not in self.prompt_parts:
                break
            kept += tokens
        return kept

    def prefill_tokens(self, prompt: Prompt) -> float:
        """Return what the target probably has to read of a prompt, in a common model's tokens."""
        unread = max(1, prompt.prompt_tokens - self.cached_tokens(prompt))
        return unread * self.paces.token_cost(prompt.model)

    def request_count(self) -> int:
        """Return the requests that run or wait at the target, over all entries."""
        return self.own_work.requests + self.others_work.requests

    def record_stream(self, stream_ms: float) -> None:
        """Take how long a whole stream lasted after its first event."""
        lasting = self.speed.stream_ms
        lasting.update(max(1.0, stream_ms) / lasting.value)

    def first_token_ms(self, prompt: Prompt, *, rank: int) -> float:
        """Predict the time to the first token if the prompt were sent now with a rank."""
        queued = 0.0
        for work in (self.own_work, self.others_work):
            # What is less urgent is read later.
            queued += sum(n for other, n in work.prefill_tokens.items() if other <= rank)
        own_ms = prefill_ms(self.prefill_tokens(prompt))
        return self.speed.base_ms.value + (own_ms + self.speed.queue_ms(queued)) * self.slowness

    def on_sent(self, prompt: Prompt, *, rank: int) -> float:
        """Count a prompt that is sent; return the tokens counted as unread."""
        unread = self.prefill_tokens(prompt)
        self.own_work.requests += 1
        self.own_work.prefill_tokens[rank] = self.own_work.prefill_tokens.get(rank, 0) + unread
        self.own_work.held_tokens += prompt.prompt_tokens + prompt.output_tokens
        self.own_work.by_model[prompt.model] = self.own_work.by_model.get(prompt.model, 0) + 1
        return unread

    def on_first_token(
        self, prompt: Prompt, *, unread: float, predicted_ms: float, took_ms: float
    ) -> None:
        """Remember a prompt that has been read, and learn from the time it took."""
        for identity, tokens in prompt.parts[:-1]:
            key = (prompt.model, prompt.adapter, identity)
            self.prompt_parts[key] = tokens
            self.prompt_parts.move_to_end(key)
        while len(self.prompt_parts) > MAX_PROMPT_PARTS:
            self.prompt_parts.popitem(last=False)
        own_ms = prefill_ms(unread) * self.slowness
        queue_ms = max(0.0, predicted_ms - self.speed.base_ms.value - own_ms)
        ratio = max(1.0, took_ms - self.speed.base_ms.value) / (own_ms + queue_ms)
        self.speed.record_first_token(own_ms=own_ms, queue_ms=queue_ms, took_ms=took_ms)
        if own_ms + queue_ms > self.speed.base_ms.value:
            self.paces.add_measurement(prompt.model, ratio, share=own_ms / (own_ms + queue_ms))
        change = min(MAX_CHANGE_RATIO, max(1.0 / MAX_CHANGE_RATIO, ratio)) ** LEARNING_RATE
        low, high = SLOWNESS_BOUNDS
        self.slowness = min(high, max(low, self.slowness * change))

    def on_prefill_end(self, *, unread: float, rank: int) -> None:
        """Count a prompt as read, or as given up before it was."""
        self.own_work.prefill_tokens[rank] -= unread

    def on_end(self, prompt: Prompt) -> None:
        """Count a prompt that has ended."""
        self.own_work.requests -= 1
        self.own_work.held_tokens -= prompt.prompt_tokens + prompt.output_tokens
        left = self.own_work.by_model.get(prompt.model, 1) - 1
        if left:
            self.own_work.by_model[prompt.model] = left
        else:
            self.own_work.by_model.pop(prompt.model, None)


class FleetView:
    """Hold the targets by service; what the coordinator tells goes before registrations."""

    __slots__ = (
        "by_service",
        "clock",
        "adaptive_queue",
        "paces",
        "revision",
        "speeds",
        "targets",
        "coordinator_targets",
    )

    def __init__(
        self, *, clock: Clock, adaptive_pace: bool = True, adaptive_queue: bool = True
    ) -> None:
        self.clock = clock
        self.adaptive_queue = adaptive_queue
        self.paces = ModelPace(adaptive=adaptive_pace)
        self.targets: dict[str, TargetView] = {}
        self.by_service: dict[str, dict[str, TargetView]] = {}
        self.speeds: dict[str, PrefillSpeed] = {}
        # Targets whose residents the coordinator keeps up.
        self.coordinator_targets: set[str] = set()
        # The store's revision up to which changes are known.
        self.revision = 0

    def replace(
        self, records: Mapping[str, TargetRecord], *, keep: Collection[str] = ()
    ) -> list[str]:
        """Take a whole list of targets; return those that have ended, but for those to keep."""
        gone = [each for each in self.targets if each not in records and each not in keep]
        return self.update(records.values(), gone)

    def update(self, changed: Iterable[TargetRecord], removed: Iterable[str]) -> list[str]:
        """Take what changed among the targets; return those that have ended.

        A target that has started again has ended too: nothing known of it holds any more.
        """
        ended = [identity for identity in removed if self._remove(identity)]
        for record in changed:
            view = self.targets.get(record.identity)
            if view and record.started_ms < view.record.started_ms:
                # What an earlier lifetime registered.
                continue
            if view and record.started_ms > view.record.started_ms:
                self._remove(record.identity)
                ended.append(record.identity)
                view = None
            if view is None:
                speed = self.prefill_speed(record.service)
                view = TargetView(record, TargetHealth(clock=self.clock), self.paces, speed)
                self.targets[record.identity] = view
                self.by_service.setdefault(record.service, {})[record.identity] = view
            view.record = record
            if record.identity not in self.coordinator_targets and record.residents is not None:
                view.residents = record.residents
        return ended

    def _remove(self, identity: str) -> bool:
        """Drop a target; tell whether it was known."""
        view = self.targets.pop(identity, None)
        if view is None:
            return False
        self.by_service[view.record.service].pop(identity, None)
        self.coordinator_targets.discard(identity)
        return True

    def set_residents(
        self, identity: str, residents: Mapping[str, frozenset[str]], closing: frozenset[str]
    ) -> None:
        """Take the coordinator's word on what a target holds."""
        view = self.targets.get(identity)
        if view:
            self.coordinator_targets.add(identity)
            view.residents = residents
            view.unloading = closing

    def on_coordinator_lost(self) -> None:
        """Go back to what the targets register of themselves."""
        self.coordinator_targets.clear()
        for view in self.targets.values():
            if view.record.residents is not None:
                view.residents = view.record.residents
            view.unloading = frozenset()
            view.others_work = OutstandingWork()

    def prefill_speed(self, service: str) -> PrefillSpeed:
        """Return what is known of all engines of a service."""
        return self.speeds.setdefault(service, PrefillSpeed(adaptive=self.adaptive_queue))

    def serving_targets(self, service: str) -> list[TargetView]:
        """Return the targets of a service that take work."""
        views = self.by_service.get(service, {}).values()
        return [view for view in views if not view.record.leaving]
