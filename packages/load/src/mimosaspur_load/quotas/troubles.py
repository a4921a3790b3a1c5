"""List what may happen while quotas are held."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Trouble:
    """Hold what happens at a time, and until when."""

    kind: str
    at_ms: int
    for_ms: int = 0
    # Which workspace or entry, or how many times as much.
    which: int = 0
    times: float = 1.0


TROUBLES: dict[str, tuple[Trouble, ...]] = {
    "calm": (),
    "hot": (Trouble("hot", 8_000, 12_000, which=0, times=7.5),),
    "hot small": (Trouble("hot", 8_000, 12_000, which=6, times=7.5),),
    "coordinator lost": (Trouble("coordinator lost", 10_000, 3_000),),
    "coordinator away": (Trouble("coordinator lost", 10_000, 10_000),),
    "hot, coordinator lost": (
        Trouble("hot", 8_000, 16_000, which=0, times=7.5),
        Trouble("coordinator lost", 12_000, 3_000),
    ),
    "hot middling, coordinator lost": (
        Trouble("hot", 8_000, 16_000, which=1, times=7.5),
        Trouble("coordinator lost", 14_000, 3_000),
    ),
    "coordinator lost, then hot": (
        Trouble("coordinator lost", 8_000, 8_000),
        Trouble("hot", 9_000, 10_000, which=0, times=7.5),
    ),
    "hot small, coordinator away": (
        Trouble("coordinator lost", 8_000, 8_000),
        Trouble("hot", 9_000, 10_000, which=6, times=7.5),
    ),
    "entry cut": (Trouble("entry cut", 10_000, 8_000, which=1),),
    "hot, entries cut": (
        Trouble("hot", 8_000, 16_000, which=0, times=7.5),
        Trouble("entries cut", 10_000, 6_000, times=0.3),
    ),
    "entries cut, then hot": (
        Trouble("entries cut", 8_000, 8_000, times=0.3),
        Trouble("hot", 10_000, 12_000, which=0, times=7.5),
    ),
    "hot, entries killed": (
        Trouble("hot", 8_000, 16_000, which=0, times=7.5),
        Trouble("entries killed", 14_000, times=0.6),
    ),
    "hot, all killed, coordinator away": (
        Trouble("hot", 8_000, 16_000, which=0, times=7.5),
        Trouble("coordinator lost", 14_000, 4_000),
        Trouble("entries killed", 14_000, times=1.0),
    ),
    "quota lowered": (Trouble("quota", 10_000, which=0, times=0.15),),
    "quota raised": (Trouble("quota", 10_000, which=0, times=3.0),),
}
