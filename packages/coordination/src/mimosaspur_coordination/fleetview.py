"""Keep an entry's picture of the targets: who is there, what they hold, how busy they are."""

from collections import OrderedDict
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from mimosaspur_coordination.modelpace import MOST_CHANGE
from mimosaspur_coordination.modelpace import NEWEST
from mimosaspur_coordination.modelpace import ModelPace
from mimosaspur_coordination.readingspeed import ReadingSpeed
from mimosaspur_coordination.readingspeed import reading_ms
from mimosaspur_coordination.targethealth import TargetHealth
from mimosaspur_state.clock import Clock
from mimosaspur_state.fleet import TargetRecord
from mimosaspur_state.fleet import Work

# Bounds of what is learnt of an engine, beside what is learnt of its models.
SLOWNESS_BOUNDS = (0.2, 8.0)
# Prompt parts remembered for each target.
MAX_PARTS = 2_000


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
    speed: ReadingSpeed = field(default_factory=ReadingSpeed)
    own: Work = field(default_factory=Work)
    # What the other entries have there, as the coordinator last told.
    others: Work = field(default_factory=Work)
    residents: Mapping[str, frozenset[str]] = field(default_factory=dict)
    # Models that are about to be unloaded.
    closing: frozenset[str] = frozenset()
    slowness: float = 1.0
    # Parts of prompts that were sent there, by model and adapter.
    parts: OrderedDict[tuple[str, str, str], int] = field(default_factory=OrderedDict)

    def holds(self, prompt: Prompt) -> bool:
        """Tell whether the target can run the prompt now."""
        adapters = self.residents.get(prompt.model)
        if adapters is None or prompt.model in self.closing:
            return False
        return not prompt.adapter or prompt.adapter in adapters

    def kept_tokens(self, prompt: Prompt) -> int:
        """Return how much of a prompt the target has read for others of this entry's requests."""
        kept = 0
        for identity, tokens in prompt.parts[:-1]:
            if (prompt.model, prompt.adapter, identity) not in self.parts:
                break
            kept += tokens
        return kept

    def unread_tokens(self, prompt: Prompt) -> float:
        """Return what the target probably has to read of a prompt, in a common model's tokens."""
        unread = max(1, prompt.prompt_tokens - self.kept_tokens(prompt))
        return unread * self.paces.of(prompt.model)

    def requests(self) -> int:
        """Return the requests that run or wait at the target, over all entries."""
        return self.own.requests + self.others.requests

    def lasted(self, stream_ms: float) -> None:
        """Take how long a whole stream lasted after its first event."""
        lasting = self.speed.stream_ms
        lasting.learn(max(1.0, stream_ms) / lasting.value)

    def first_token_ms(self, prompt: Prompt, *, rank: int) -> float:
        """Predict the time to the first token if the prompt were sent now with a rank."""
        queued = 0.0
        for work in (self.own, self.others):
            # What is less urgent is read later.
            queued += sum(n for other, n in work.unread.items() if other <= rank)
        own_ms = reading_ms(self.unread_tokens(prompt))
        return self.speed.base.value + (own_ms + self.speed.queue_ms(queued)) * self.slowness

    def begin(self, prompt: Prompt, *, rank: int) -> float:
        """Count a prompt that is sent; return the tokens counted as unread."""
        unread = self.unread_tokens(prompt)
        self.own.requests += 1
        self.own.unread[rank] = self.own.unread.get(rank, 0) + unread
        self.own.held_tokens += prompt.prompt_tokens + prompt.output_tokens
        self.own.by_model[prompt.model] = self.own.by_model.get(prompt.model, 0) + 1
        return unread

    def first_token(
        self, prompt: Prompt, *, unread: float, predicted_ms: float, took_ms: float
    ) -> None:
        """Remember a prompt that has been read, and learn from the time it took."""
        for identity, tokens in prompt.parts[:-1]:
            key = (prompt.model, prompt.adapter, identity)
            self.parts[key] = tokens
            self.parts.move_to_end(key)
        while len(self.parts) > MAX_PARTS:
            self.parts.popitem(last=False)
        own_ms = reading_ms(unread) * self.slowness
        queue_ms = max(0.0, predicted_ms - self.speed.base.value - own_ms)
        ratio = max(1.0, took_ms - self.speed.base.value) / (own_ms + queue_ms)
        self.speed.learn(own_ms=own_ms, queue_ms=queue_ms, took_ms=took_ms)
        if own_ms + queue_ms > self.speed.base.value:
            self.paces.learn(prompt.model, ratio, share=own_ms / (own_ms + queue_ms))
        change = min(MOST_CHANGE, max(1.0 / MOST_CHANGE, ratio)) ** NEWEST
        low, high = SLOWNESS_BOUNDS
        self.slowness = min(high, max(low, self.slowness * change))

    def read(self, *, unread: float, rank: int) -> None:
        """Count a prompt as read, or as given up before it was."""
        self.own.unread[rank] -= unread

    def end(self, prompt: Prompt) -> None:
        """Count a prompt that has ended."""
        self.own.requests -= 1
        self.own.held_tokens -= prompt.prompt_tokens + prompt.output_tokens
        left = self.own.by_model.get(prompt.model, 1) - 1
        if left:
            self.own.by_model[prompt.model] = left
        else:
            self.own.by_model.pop(prompt.model, None)


class FleetView:
    """Hold the targets by service; what the coordinator tells goes before registrations."""

    __slots__ = (
        "by_service",
        "clock",
        "learns_queue",
        "paces",
        "revision",
        "speeds",
        "targets",
        "told",
    )

    def __init__(
        self, *, clock: Clock, learns_pace: bool = True, learns_queue: bool = True
    ) -> None:
        self.clock = clock
        self.learns_queue = learns_queue
        self.paces = ModelPace(learns=learns_pace)
        self.targets: dict[str, TargetView] = {}
        self.by_service: dict[str, dict[str, TargetView]] = {}
        self.speeds: dict[str, ReadingSpeed] = {}
        # Targets whose residents the coordinator keeps up.
        self.told: set[str] = set()
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
        ended = [identity for identity in removed if self._forget(identity)]
        for record in changed:
            view = self.targets.get(record.identity)
            if view and record.started_ms < view.record.started_ms:
                # What an earlier lifetime registered.
                continue
            if view and record.started_ms > view.record.started_ms:
                self._forget(record.identity)
                ended.append(record.identity)
                view = None
            if view is None:
                speed = self.speed_of(record.service)
                view = TargetView(record, TargetHealth(clock=self.clock), self.paces, speed)
                self.targets[record.identity] = view
                self.by_service.setdefault(record.service, {})[record.identity] = view
            view.record = record
            if record.identity not in self.told and record.residents is not None:
                view.residents = record.residents
        return ended

    def _forget(self, identity: str) -> bool:
        """Drop a target; tell whether it was known."""
        view = self.targets.pop(identity, None)
        if view is None:
            return False
        self.by_service[view.record.service].pop(identity, None)
        self.told.discard(identity)
        return True

    def tell_residents(
        self, identity: str, residents: Mapping[str, frozenset[str]], closing: frozenset[str]
    ) -> None:
        """Take the coordinator's word on what a target holds."""
        view = self.targets.get(identity)
        if view:
            self.told.add(identity)
            view.residents = residents
            view.closing = closing

    def coordinator_lost(self) -> None:
        """Go back to what the targets register of themselves."""
        self.told.clear()
        for view in self.targets.values():
            if view.record.residents is not None:
                view.residents = view.record.residents
            view.closing = frozenset()
            view.others = Work()

    def speed_of(self, service: str) -> ReadingSpeed:
        """Return what is known of all engines of a service."""
        return self.speeds.setdefault(service, ReadingSpeed(learns=self.learns_queue))

    def serving(self, service: str) -> list[TargetView]:
        """Return the targets of a service that take work."""
        views = self.by_service.get(service, {}).values()
        return [view for view in views if not view.record.leaving]
