"""Track the targets at an entry: their registrations, residents and load."""

from collections import OrderedDict
from collections.abc import Collection
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from mimosaspur_coordination.enginespeed.decodepace import DecodePace
from mimosaspur_coordination.enginespeed.decodepace import StreamGaps
from mimosaspur_coordination.enginespeed.estimate import SpeedUpdate
from mimosaspur_coordination.enginespeed.measured import EngineSpeeds
from mimosaspur_coordination.enginespeed.momentary import MomentarySlowness
from mimosaspur_coordination.modelpace import LEARNING_RATE
from mimosaspur_coordination.modelpace import MAX_CHANGE_RATIO
from mimosaspur_coordination.modelpace import ModelPace
from mimosaspur_coordination.prefillspeed import PREFILL_TOKENS_PER_MS
from mimosaspur_coordination.prefillspeed import PrefillSpeed
from mimosaspur_coordination.prefillspeed import prefill_ms
from mimosaspur_coordination.streampauses import EnginePauses
from mimosaspur_coordination.streampauses import PauseCorrection
from mimosaspur_coordination.targethealth import TargetHealth
from mimosaspur_state.clock import Clock
from mimosaspur_state.fleet import OutstandingWork
from mimosaspur_state.fleet import TargetRecord

# Bounds of an engine's estimated slowness relative to the others.
SLOWNESS_BOUNDS = (0.2, 8.0)
# A target is silent that has paused for this long, and for some times its usual pauses.
SILENT_MS = 300
SILENT_PAUSES = 3
# Weight of the newest pause in the average, and the longest one that it takes.
PAUSE_WEIGHT = 0.3
MAX_PAUSE_MS = 1_000
# Prompt parts tracked per target as probably cached.
MAX_PROMPT_PARTS = 2_000
# Requests whose own prefill takes a smaller share of the predicted time say little of the engine's
# speed at the moment.
MIN_MOMENTARY_SHARE = 0.5
# The first measurement in which an engine is slow: whether it is so for a moment isn't known yet.
FIRST_SLOW_WEIGHT = 0.7
# Speeds kept of engines that aren't registered yet: a store's update may be late.
MAX_EARLY_SPEEDS = 400
# Speeds change slowly once they are known.
SPEEDS_INTERVAL_MS = 1_000

# The model, adapter and identity of a part of a prompt, and its tokens.
SharedPart = tuple[tuple[str, str, str], int]


@dataclass(slots=True, frozen=True)
class Prompt:
    """Describe a request to a model engine."""

    model: str
    adapter: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    # Identity and token count of the prompt's parts in order; the last is unique to the request.
    parts: tuple[tuple[str, int], ...] = ()

    def shared_parts(self) -> list[SharedPart]:
        """Return the parts that other prompts for the same model and adapter may begin with."""
        return [
            ((self.model, self.adapter, identity), tokens) for identity, tokens in self.parts[:-1]
        ]


@dataclass(slots=True)
class TargetView:
    """Hold an entry's view of one target."""

    record: TargetRecord
    health: TargetHealth
    # Token costs per model, shared by all targets.
    paces: ModelPace = field(default_factory=ModelPace)
    # Prefill speed, shared by all engines of the service.
    speed: PrefillSpeed = field(default_factory=PrefillSpeed)
    own_work: OutstandingWork = field(default_factory=OutstandingWork)
    # The work of the other entries in the coordinator's last update.
    others_work: OutstandingWork = field(default_factory=OutstandingWork)
    residents: Mapping[str, frozenset[str]] = field(default_factory=dict)
    # Models that are about to be unloaded; they take no new requests.
    unloading: frozenset[str] = frozenset()
    # Models that it held when it went out of reach, while it may still return with them.
    out_of_reach: frozenset[str] = frozenset()
    # This entry's own estimate, used while the speeds of engines aren't shared.
    slowness: float = 1.0
    # Time to read prompts and to write tokens, relative to the engines of the service; above 1 is
    # slower, 1 if unknown.
    prefill_factor: float = 1.0
    decode_factor: float = 1.0
    # Speeds of all engines of the service; None if they aren't shared.
    speeds: EngineSpeeds | None = None
    decode_paces: DecodePace = field(default_factory=DecodePace)
    momentary: MomentarySlowness = field(default_factory=MomentarySlowness)
    # Least recently used first; the key is (model, adapter, part identity).
    prompt_parts: OrderedDict[tuple[str, str, str], int] = field(default_factory=OrderedDict)
    # This entry's streams that wait for the target's next event, when it last sent anything, or got
    # a request while it had none, and the average pause between.
    awaited_streams: int = 0
    heard_ms: int = 0
    pause_ms: float = 0.0
    # How long streams pause here, for the choice of an engine.
    pauses: EnginePauses = field(default_factory=EnginePauses)

    def can_run(self, prompt: Prompt) -> bool:
        """Return whether the target holds the prompt's model and adapter."""
        return bool(targets_holding((self,), prompt))

    def cached_tokens(self, shared: Iterable[SharedPart]) -> int:
        """Estimate how many tokens of a prompt's shared parts the target has cached."""
        cached = 0
        prompt_parts = self.prompt_parts
        for key, tokens in shared:
            if key not in prompt_parts:
                break
            cached += tokens
        return cached

    def prefill_tokens(self, prompt: Prompt) -> float:
        """Estimate the prefill work of a prompt in reference tokens."""
        unread = max(1, prompt.prompt_tokens - self.cached_tokens(prompt.shared_parts()))
        return unread * self.paces.token_cost(prompt.model)

    def is_silent(self) -> bool:
        """Return whether the target has paused in all that it writes for this entry."""
        # An engine that only reads prompts may be at work.
        awaited = self.own_work.requests if self.record.residents is None else self.awaited_streams
        paused_ms = self.health.clock.now_ms() - self.heard_ms
        return bool(awaited) and paused_ms > max(SILENT_MS, SILENT_PAUSES * self.pause_ms)

    def on_heard(self) -> None:
        """Record that the target sent a response or an event."""
        now_ms = self.health.clock.now_ms()
        paused_ms = min(MAX_PAUSE_MS, now_ms - self.heard_ms)
        self.pause_ms += PAUSE_WEIGHT * (paused_ms - self.pause_ms)
        self.heard_ms = now_ms

    def request_count(self) -> int:
        """Return the running and queued requests of all entries at the target."""
        return self.own_work.requests + self.others_work.requests

    def reads_prompts(self) -> bool:
        """Return whether the target has prompts to read, of any entry."""
        works = (self.own_work, self.others_work)
        return any(tokens >= 1 for work in works for tokens in work.prefill_tokens.values())

    def is_slow_now(self) -> bool:
        """Return whether the target is slower at the moment than it usually is."""
        return self.momentary.remaining_ms(now_ms=self.health.clock.now_ms()) > 0

    def record_gaps(self, gaps: StreamGaps) -> None:
        """Update the estimates with the time between a stream's events."""
        gap_ms = gaps.usual_gap_ms()
        if self.speeds is None or gap_ms is None:
            return
        ratio = self.decode_paces.ratio(gap_ms, factor=self.decode_factor)
        self.speeds.add_decode(self.record.identity, ratio)
        self.apply_speed()

    def apply_speed(self) -> None:
        """Update the factors to what is known of the engines' speeds."""
        if self.speeds is not None:
            self.prefill_factor, self.decode_factor = self.speeds.factors(self.record.identity)

    def record_stream(self, stream_ms: float) -> None:
        """Record the duration of a stream after its first event."""
        estimate = self.speed.stream_ms
        estimate.update(max(1.0, stream_ms) / estimate.value)

    def queued_tokens(self, rank: int) -> float:
        """Return the prefill work of what is read before or beside a request with a rank."""
        own = others = 0.0
        # Less urgent requests are processed later.
        for other_rank, tokens in self.own_work.prefill_tokens.items():
            if other_rank <= rank:
                own += tokens
        for other_rank, tokens in self.others_work.prefill_tokens.items():
            if other_rank <= rank:
                others += tokens
        return own + others

    def first_token_ms(self, prompt: Prompt, *, rank: int) -> float:
        """Predict the time to first token if the prompt were sent now with a rank."""
        return self.work_ms(self.prefill_tokens(prompt), queued=self.queued_tokens(rank))

    def work_ms(self, unread: float, *, queued: float) -> float:
        """Predict the time to first token from the prefill work of a prompt, and that queued."""
        speed = self.speed
        own_ms = unread / PREFILL_TOKENS_PER_MS
        queue_ms = queued / PREFILL_TOKENS_PER_MS * speed.queue_ratio.value
        read_ms = (own_ms + queue_ms) * self.slowness * self.prefill_factor
        if self.momentary.ratio > 1.0:
            read_ms += self.momentary.added_ms(read_ms, now_ms=self.health.clock.now_ms())
        return speed.base_ms.value + read_ms

    def on_sent(self, prompt: Prompt, *, rank: int) -> float:
        """Count a prompt that is sent; return its prefill work."""
        unread = self.prefill_tokens(prompt)
        if not self.own_work.requests:
            self.heard_ms = self.health.clock.now_ms()
        self.own_work.requests += 1
        self.own_work.prefill_tokens[rank] = self.own_work.prefill_tokens.get(rank, 0) + unread
        self.own_work.held_tokens += prompt.prompt_tokens + prompt.output_tokens
        self.own_work.by_model[prompt.model] = self.own_work.by_model.get(prompt.model, 0) + 1
        return unread

    def on_first_token(
        self, prompt: Prompt, *, unread: float, predicted_ms: float, took_ms: float
    ) -> None:
        """Track the prompt's parts as cached and update the estimates with the measured time."""
        for key, tokens in prompt.shared_parts():
            self.prompt_parts[key] = tokens
            self.prompt_parts.move_to_end(key)
        while len(self.prompt_parts) > MAX_PROMPT_PARTS:
            self.prompt_parts.popitem(last=False)
        own_ms = prefill_ms(unread) * self.slowness * self.prefill_factor
        queue_ms = max(0.0, predicted_ms - self.speed.base_ms.value - own_ms)
        ratio = max(1.0, took_ms - self.speed.base_ms.value) / (own_ms + queue_ms)
        self.speed.record_first_token(own_ms=own_ms, queue_ms=queue_ms, took_ms=took_ms)
        share = own_ms / (own_ms + queue_ms)
        engine_ratio = ratio
        weight = 1.0 if self.speeds is None else self._weight(ratio, share=share, own_ms=own_ms)
        if own_ms + queue_ms > self.speed.base_ms.value:
            engine_ratio = self.paces.add_measurement(prompt.model, ratio, share=share * weight)
        if self.speeds is not None:
            self.speeds.add_prefill(self.record.identity, engine_ratio, weight=share * weight)
            self.apply_speed()
            return
        slowness_ratio = min(MAX_CHANGE_RATIO, max(1.0 / MAX_CHANGE_RATIO, ratio)) ** LEARNING_RATE
        minimum, maximum = SLOWNESS_BOUNDS
        self.slowness = min(maximum, max(minimum, self.slowness * slowness_ratio))

    def _weight(self, ratio: float, *, share: float, own_ms: float) -> float:
        """Return how much a measurement tells of the lasting speed; note a moment's slowness.

        `share` is the request's own prefill time divided by the predicted time: what it waits for
        others says less, since their work is known late and in part.
        """
        if share < MIN_MOMENTARY_SHARE or own_ms <= self.speed.base_ms.value:
            return share
        begins = self.momentary.record(ratio, now_ms=self.health.clock.now_ms())
        known = self.speeds is not None and self.speeds.is_steady(self.record.identity)
        return share * FIRST_SLOW_WEIGHT if begins and known else share

    def on_prefill_end(self, *, unread: float, rank: int) -> None:
        """Subtract a prompt's prefill work once it is done or cancelled."""
        self.own_work.prefill_tokens[rank] -= unread

    def on_end(self, prompt: Prompt) -> None:
        """Subtract a request that has ended."""
        self.own_work.requests -= 1
        self.own_work.held_tokens -= prompt.prompt_tokens + prompt.output_tokens
        remaining = self.own_work.by_model.get(prompt.model, 1) - 1
        if remaining:
            self.own_work.by_model[prompt.model] = remaining
        else:
            self.own_work.by_model.pop(prompt.model, None)


def targets_holding(views: Iterable[TargetView], prompt: Prompt) -> list[TargetView]:
    """Return the targets that hold a prompt's model and adapter."""
    model, adapter = prompt.model, prompt.adapter
    return [
        view
        for view in views
        if (adapters := view.residents.get(model)) is not None
        and (not adapter or adapter in adapters)
        and not (view.unloading and model in view.unloading)
    ]


class FleetView:
    """Hold the targets by service; the coordinator's updates take precedence over registrations."""

    __slots__ = (
        "adaptive_queue",
        "by_service",
        "clock",
        "coordinator_targets",
        "decode_paces",
        "early_speeds",
        "engine_speeds",
        "leaving",
        "list_number",
        "paces",
        "pauses",
        "revision",
        "share_speeds",
        "speeds",
        "speeds_taken_ms",
        "speeds_told",
        "targets",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        leaving: Container[str] = (),
        adaptive_pace: bool = True,
        adaptive_queue: bool = True,
        share_speeds: bool = True,
    ) -> None:
        self.clock = clock
        # Incarnations that leave, whatever their registrations say.
        self.leaving = leaving
        self.adaptive_queue = adaptive_queue
        self.paces = ModelPace(adaptive=adaptive_pace)
        self.targets: dict[str, TargetView] = {}
        self.by_service: dict[str, dict[str, TargetView]] = {}
        self.speeds: dict[str, PrefillSpeed] = {}
        # How much longer streams pause than predicted, by service.
        self.pauses: dict[str, PauseCorrection] = {}
        # Whether the speeds of engines are shared by all entries.
        self.share_speeds = share_speeds
        self.engine_speeds: dict[str, EngineSpeeds] = {}
        self.decode_paces: dict[str, DecodePace] = {}
        # The coordinator's speeds of engines whose registrations aren't known yet.
        self.early_speeds: OrderedDict[str, SpeedUpdate] = OrderedDict()
        # Whether the coordinator was told all that is known.
        self.speeds_told = False
        self.speeds_taken_ms = 0
        # Targets whose residents come from the coordinator.
        self.coordinator_targets: set[str] = set()
        # The store's revision that this view reflects.
        self.revision = 0
        # Increases with each change of the list of targets.
        self.list_number = 0

    def replace(
        self, records: Mapping[str, TargetRecord], *, keep: Collection[str] = ()
    ) -> list[str]:
        """Replace all targets except those to keep; return the identities of those that ended."""
        gone = [each for each in self.targets if each not in records and each not in keep]
        return self.update(records.values(), gone)

    def update(self, changed: Iterable[TargetRecord], removed: Iterable[str]) -> list[str]:
        """Apply changed and removed targets; return the identities of those that ended.

        A restarted target counts as ended, because its previous state is lost. So does one that
        another target has taken the identity of.
        """
        self.list_number += 1
        ended = [identity for identity in removed if self._remove(identity)]
        for each in changed:
            if not each.can_be_named():
                continue
            record = self._with_leaving(each)
            view = self.targets.get(record.identity)
            if view and record.started_ms < view.record.started_ms:
                # The registration of a previous process.
                continue
            if view and not view.record.is_same_lifetime(record):
                self._remove(record.identity)
                ended.append(record.identity)
                view = None
            if view is None:
                speed = self.prefill_speed(record.service)
                view = TargetView(record, TargetHealth(clock=self.clock), self.paces, speed)
                common = self.pauses.setdefault(record.service, PauseCorrection())
                view.pauses = EnginePauses(common)
                self.targets[record.identity] = view
                self.by_service.setdefault(record.service, {})[record.identity] = view
                self._start_speed(view)
            view.record = record
            if record.identity not in self.coordinator_targets and record.residents is not None:
                view.residents = record.residents
        return ended

    def mark_leaving(self, incarnation: str) -> None:
        """Apply that a target leaves to its registration."""
        for view in self.targets.values():
            if view.record.incarnation == incarnation:
                view.record = self._with_leaving(view.record)

    def _with_leaving(self, record: TargetRecord) -> TargetRecord:
        if record.leaving or record.incarnation not in self.leaving:
            return record
        return replace(record, leaving=True)

    def _remove(self, identity: str) -> bool:
        """Remove a target; return whether it was known."""
        view = self.targets.pop(identity, None)
        if view is None:
            return False
        self.by_service[view.record.service].pop(identity, None)
        self.coordinator_targets.discard(identity)
        if view.speeds is not None:
            view.speeds.end(identity)
        return True

    def set_residents(
        self,
        identity: str,
        residents: Mapping[str, frozenset[str]],
        closing: frozenset[str],
        *,
        out_of_reach: frozenset[str] = frozenset(),
    ) -> None:
        """Apply the coordinator's update of a target's residents."""
        view = self.targets.get(identity)
        if view:
            self.coordinator_targets.add(identity)
            view.residents = residents
            view.unloading = closing
            view.out_of_reach = out_of_reach

    def _start_speed(self, view: TargetView) -> None:
        """Begin to learn the speed of an engine, from what the coordinator has told of it."""
        identity, service = view.record.identity, view.record.service
        if not self.share_speeds:
            return
        view.speeds = self.engine_speeds.setdefault(service, EngineSpeeds())
        view.decode_paces = self.decode_paces.setdefault(service, DecodePace())
        view.speeds.start(identity, view.record.started_ms)
        early = self.early_speeds.pop(identity, None)
        if early and view.speeds.apply_shared(early):
            view.apply_speed()

    def apply_speeds(self, updates: Iterable[SpeedUpdate]) -> int:
        """Apply the coordinator's speeds of engines; return the number of those ignored."""
        if not self.share_speeds:
            return 0
        ignored = 0
        services = set()
        for update in updates:
            view = self.targets.get(update.target)
            if view and view.speeds and view.speeds.apply_shared(update):
                services.add(view.record.service)
            elif update.speed() is None or (view and view.record.started_ms > update.started_ms):
                ignored += 1
            else:
                # Its lifetime is registered in the store, but not known here yet.
                self.early_speeds[update.target] = update
                self.early_speeds.move_to_end(update.target)
                while len(self.early_speeds) > MAX_EARLY_SPEEDS:
                    self.early_speeds.popitem(last=False)
        for service in services:
            for view in self.by_service[service].values():
                view.apply_speed()
        return ignored

    def started_ms(self, target: str) -> int | None:
        """Return the start of a target's lifetime, None if there is no such target."""
        view = self.targets.get(target)
        return view.record.started_ms if view else None

    def take_speeds(self) -> list[SpeedUpdate]:
        """Return the speeds that the coordinator isn't known to have, and mark them as told."""
        tables = self.engine_speeds.values()
        if not self.speeds_told:
            self.speeds_told = True
            return [update for table in tables for update in table.take_all()]
        now_ms = self.clock.now_ms()
        if 0 <= now_ms - self.speeds_taken_ms < SPEEDS_INTERVAL_MS:
            return []
        self.speeds_taken_ms = now_ms
        return [update for table in tables for update in table.take_unreported()]

    def on_coordinator_lost(self) -> None:
        """Fall back to the residents that the targets register themselves."""
        self.speeds_told = False
        self.coordinator_targets.clear()
        for view in self.targets.values():
            if view.record.residents is not None:
                view.residents = view.record.residents
            view.unloading = view.out_of_reach = frozenset()
            view.others_work = OutstandingWork()

    def prefill_speed(self, service: str) -> PrefillSpeed:
        """Return the shared prefill speed of a service's engines."""
        return self.speeds.setdefault(service, PrefillSpeed(adaptive=self.adaptive_queue))

    def versions(self) -> dict[str, set[str]]:
        """Return the software versions of all targets by service."""
        return {
            service: {view.record.version for view in views.values()}
            for service, views in self.by_service.items()
        }

    def only_leaving(self, service: str) -> bool:
        """Return whether a service has targets, all of which leave."""
        views = self.by_service.get(service, {}).values()
        return bool(views) and all(view.record.leaving for view in views)

    def serving_targets(self, service: str) -> list[TargetView]:
        """Return the targets of a service that accept new requests."""
        views = self.by_service.get(service, {}).values()
        return [view for view in views if not view.record.leaving]
