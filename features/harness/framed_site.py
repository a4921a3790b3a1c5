"""Run entries before targets whose responses are broken off, and judge what callers get."""

import asyncio
import itertools
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace

import msgspec

from harness.direct_store import StoreStandIn
from harness.entry_processes import EntryProcesses
from harness.entry_site import HOST
from harness.entry_site import TIMEOUT_MS
from harness.entry_site import Answer
from harness.entry_site import EntrySite
from harness.framed_target import EVENT_COUNT
from harness.framed_target import SERVERS
from harness.framed_target import SERVICE
from harness.framed_target import Completeness
from harness.framed_target import FramedTarget
from harness.framed_target import Play
from harness.framed_target import registration

ROUTES = {
    # Path: kind on the platform, resumable.
    "stream": ("streaming", True),
    "single": ("streaming", False),
    "safe": ("safe", False),
    "once": ("unsafe", False),
}
STREAM_PATHS = ("stream", "single")
REPEATABLE_PATHS = ("stream", "safe")
# Sound requests for each broken one, so that the retry budget is not what ends a stream.
SOUND_PER_PLAY = 12
MARKS = ("content-length", "transfer-encoding")


@dataclass(slots=True, frozen=True)
class Result:
    """Hold what a caller got of a described response."""

    play: Play
    path: str
    answer: Answer

    runs: int

    @property
    def is_marked(self) -> bool:
        """Return whether the caller got it marked as complete."""
        return self.answer.whole and any(mark in self.answer.headers for mark in MARKS)

    @property
    def is_served(self) -> bool:
        """Return whether the answer comes from a target."""
        return "x-response-signature" in self.answer.headers

    @property
    def is_described(self) -> bool:
        """Return whether the caller got the described response.

        A complete one may have a backup beside it, and be kept.
        """
        is_whole = self.play.completeness is Completeness.WHOLE
        return self.runs == 1 or (is_whole and self.content == self.play.sent_content)

    @property
    def completeness(self) -> Completeness:
        """Return what is known of the last response; repeated ones are complete."""
        return self.play.completeness if self.is_described else Completeness.WHOLE

    @property
    def can_be_marked(self) -> bool:
        """Return whether the target that began the caller's response marks its end."""
        began = self.is_described or (self.play.stream and self.play.sent > 0)
        return not began or self.play.framing in ("length", "chunks")

    @property
    def content(self) -> bytes:
        """Return the content that the caller got."""
        return self.answer.text.encode()

    @property
    def expected(self) -> bytes:
        """Return what the caller gets of an answer that isn't broken off."""
        return self.play.sent_content if self.is_described else self.play.content


class FramedSite(EntrySite):
    """Run a store, two targets of one service and entries."""

    def __init__(
        self,
        entries: EntryProcesses,
        *,
        store: StoreStandIn,
        limits: Mapping[str, int] | None = None,
        targets: int = 2,
    ) -> None:
        super().__init__(entries, store=store)
        configuration = framed_configuration()
        if limits:
            configuration["limits"] = dict(limits)
        self.store.put("config", "main", configuration)
        played: set[str] = set()
        # How often each request ran.
        self.runs: dict[str, int] = {}
        self.targets = [
            FramedTarget(f"i-{number}", played, self.runs) for number in range(1, targets + 1)
        ]
        self.plays = itertools.count(1)
        self.results: list[Result] = []

    async def start(self) -> None:
        """Start the store, the targets and the entries."""
        for target in self.targets:
            await target.start()
            self.store.put(SERVERS, target.identity, registration(target))
        await self.start_entries()

    def stop(self) -> None:
        """Stop the targets and remove the entries' files."""
        for target in self.targets:
            target.stop()
        self.entries.stop()

    async def play_all(self, plays: list[tuple[str, Play]], *, sound: int = SOUND_PER_PLAY) -> None:
        """Send requests whose first responses are described, at the entries in turn."""
        sound_play = Play(stream=False)
        for number, (path, play) in enumerate(plays):
            own = self._numbered(play)
            count = sound if path in REPEATABLE_PATHS else 0
            await asyncio.gather(
                *(self._send(number, "safe", self._numbered(sound_play)) for _ in range(count))
            )
            answer = await self._send(number, path, own)
            runs = self.runs.get(answer.headers.get("x-attempt-id", ""), 0)
            self.results.append(Result(own, path, answer, runs))

    async def _send(self, number: int, path: str, play: Play) -> Answer:
        return await self.call(number, msgspec.json.encode(play), path=f"/{path}/x")

    def _numbered(self, play: Play) -> Play:
        return replace(play, number=next(self.plays))


def every_play(path: str) -> list[Play]:
    """Return every framing with every end that it can have, for a route."""
    stream = path in STREAM_PATHS
    event_ends = ("\n\n", "\r\n\r\n", "\r\r") if stream else ("\n\n",)
    plays = []
    for framing, event_end, (sent, extra_bytes, end) in itertools.product(
        ("length", "chunks", "connection", "http/1.0"), event_ends, _ENDS
    ):
        if framing == "length" and sent == EVENT_COUNT and end == "reset":
            # It is complete once its length has come, which the reset may overtake.
            continue
        plays.append(
            Play(
                framing=framing,
                sent=sent,
                extra_bytes=extra_bytes,
                end=end,
                event_end=event_end,
                stream=stream,
            )
        )
    return plays


def every_cut_head(path: str, framing: str) -> list[Play]:
    """Return responses whose heads are cut anywhere."""
    stream = path in STREAM_PATHS
    return [
        Play(framing=framing, sent=0, end=end, stream=stream, head_bytes=head_bytes)
        for end, head_bytes in itertools.product(("close", "reset"), _HEAD_CUTS)
    ]


def every_cut_resumption(framing: str) -> list[Play]:
    """Return streams that are broken off and taken up by a response whose head is cut anywhere."""
    return [
        Play(framing=framing, sent=2, end=end, later_head_bytes=head_bytes)
        for end, head_bytes in itertools.product(("close", "reset"), _HEAD_CUTS)
    ]


# Inside the version, the status, the reason and the end of their line, names and values, and just
# before the end of the blank line.
_HEAD_CUTS = (0, 4, 11, 12, 16, 20, 21, 30, 50, 70, 95, 110, 1_000)
# Parts that are sent in full, bytes of the next one, and how the response ends.
_ENDS = (
    (EVENT_COUNT, 0, "framing"),
    (2, 0, "framing"),
    (2, 9, "framing"),
    (2, 0, "close"),
    (2, 9, "close"),
    (0, 0, "close"),
    (0, 3, "close"),
    (2, 0, "reset"),
    (2, 9, "reset"),
    (EVENT_COUNT, 0, "reset"),
)


def framed_configuration() -> dict[str, object]:
    """Return a configuration with a route of each kind to one plain service."""
    routes = [
        {
            "name": name,
            "hostname": HOST,
            "path_prefix": f"/{name}/",
            "route_kind": kind,
            "timeout_ms": TIMEOUT_MS,
            "target_latency_ms": 800,
            "gap_aim_ms": 400,
            "resumable": resumable,
            "service": SERVICE,
            "max_attempts": 3,
        }
        for name, (kind, resumable) in ROUTES.items()
    ]
    return {
        "version": 4,
        "routes": routes,
        "services": [{"name": SERVICE, "connection_limit": 300}],
    }
