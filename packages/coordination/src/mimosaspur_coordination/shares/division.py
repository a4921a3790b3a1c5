"""Divide the room of one service among the workspaces that ask for it, by weight."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

# Demand and served tokens are averaged over about 2 s, and a request counts as served some 100 ms
# after it has come, so that they differ by this share while demand grows and there is no shortage.
TOLERANCE_SHARE = 0.05
DEFAULT_WEIGHT = 1.0
# Part of the room that shares are taken from. The rest is used by requests that exceed a share: at
# full use the queue of requests within their shares would grow, and at 0.8 of it they wait for two
# other ones on average (constant service times).
DIVIDED_PART = 0.8


@dataclass(slots=True, frozen=True)
class Use:
    """Hold what a workspace asks of a service and what is served, in tokens per second."""

    asked_per_s: float
    served_per_s: float


@dataclass(slots=True, frozen=True)
class ServiceUse:
    """Hold the use of one service by workspace, and whether there isn't room for all."""

    short: bool
    by_workspace: Mapping[str, Use] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Share:
    """Hold a limited workspace's share and demand over all entries, in tokens per second."""

    per_s: float
    asked_per_s: float


# By service that is short of room: the shares of the workspaces that ask for more than theirs.
Shares = Mapping[str, Mapping[str, Share]]


def divide_room(uses: Mapping[str, Use], weights: Mapping[str, float]) -> dict[str, Share]:
    """Return the shares of the workspaces that ask for more than theirs.

    The room is what the service serves now, in tokens per second. It is divided by weighted max-min
    fairness: what a workspace leaves of its share goes to the others. A workspace that isn't in the
    result may use what it asks for. Workspaces without a weight have DEFAULT_WEIGHT.
    """
    asked = {name: each.asked_per_s for name, each in uses.items() if each.asked_per_s > 0}
    room = sum(each.served_per_s for each in uses.values())
    if len(asked) < 2 or room <= 0 or sum(asked.values()) <= room * (1 + TOLERANCE_SHARE):
        return {}
    weight = {name: weights.get(name, DEFAULT_WEIGHT) for name in asked}
    level = _level(asked, weight, DIVIDED_PART * room)
    return {
        name: Share(level * weight[name], per_s)
        for name, per_s in asked.items()
        if per_s > level * weight[name] * (1 + TOLERANCE_SHARE)
    }


def _level(asked: Mapping[str, float], weight: Mapping[str, float], room: float) -> float:
    """Return the room per weight of the workspaces that don't get all that they ask for."""
    left, weight_left = room, sum(weight.values())
    for name in sorted(asked, key=lambda each: asked[each] / weight[each]):
        if asked[name] * weight_left > left * weight[name]:
            break
        left -= asked[name]
        weight_left -= weight[name]
    return left / weight_left
