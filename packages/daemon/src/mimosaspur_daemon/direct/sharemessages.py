"""Translate shares and the use of services to messages between entries and their coordinator."""

from collections.abc import Iterable
from collections.abc import Mapping

from mimosaspur_coordination.shares.division import ServiceUse
from mimosaspur_coordination.shares.division import Share
from mimosaspur_coordination.shares.division import Shares
from mimosaspur_coordination.shares.division import Use
from mimosaspur_protocol.peermessages import ServiceShares
from mimosaspur_protocol.peermessages import ServiceUseReport

# Messages hold rates in thousandths of a token per second: a plain request counts as one token, and
# most entries get less than one a second of a workspace.
PARTS_PER_TOKEN = 1_000


def use_messages(uses: Mapping[str, ServiceUse] | None) -> list[ServiceUseReport] | None:
    """Return the use of services as messages, None if there is nothing new."""
    if uses is None:
        return None
    return [
        ServiceUseReport(
            service,
            use.short,
            {
                workspace: (_parts(each.asked_per_s), _parts(each.served_per_s))
                for workspace, each in use.by_workspace.items()
            },
        )
        for service, use in uses.items()
    ]


def uses_of(messages: Iterable[ServiceUseReport]) -> dict[str, ServiceUse]:
    """Return the use of services that messages hold; negative rates count as 0."""
    return {
        message.service: ServiceUse(
            message.short,
            {
                workspace: Use(_tokens(asked), _tokens(served))
                for workspace, (asked, served) in message.by_workspace.items()
            },
        )
        for message in messages
    }


def share_messages(shares: Shares) -> list[ServiceShares]:
    """Return shares as messages."""
    return [
        ServiceShares(
            service,
            {name: (_parts(each.per_s), _parts(each.asked_per_s)) for name, each in shared.items()},
        )
        for service, shared in shares.items()
    ]


def shares_of(messages: Iterable[ServiceShares] | None) -> Shares | None:
    """Return the shares that messages hold, None without messages."""
    if messages is None:
        return None
    return {
        message.service: {
            name: Share(_tokens(per_s), _tokens(asked_per_s))
            for name, (per_s, asked_per_s) in message.by_workspace.items()
        }
        for message in messages
    }


def _parts(per_s: float) -> int:
    return round(per_s * PARTS_PER_TOKEN)


def _tokens(parts: int) -> float:
    return max(0, parts) / PARTS_PER_TOKEN
