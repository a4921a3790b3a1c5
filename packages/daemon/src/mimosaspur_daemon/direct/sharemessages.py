"""Translate shares and the use of services to messages between entries and their coordinator."""

from collections.abc import Iterable
from collections.abc import Mapping

from mimosaspur_coordination.shares.division import ServiceUse
from mimosaspur_coordination.shares.division import Share
from mimosaspur_coordination.shares.division import Shares
from mimosaspur_coordination.shares.division import Use
from mimosaspur_protocol.peermessages import ServiceShares
from mimosaspur_protocol.peermessages import ServiceUseReport


def use_messages(uses: Mapping[str, ServiceUse] | None) -> list[ServiceUseReport] | None:
    """Return the use of services as messages, None if there is nothing new."""
    if uses is None:
        return None
    return [
        ServiceUseReport(
            service,
            use.short,
            {
                workspace: (round(each.asked_per_s), round(each.served_per_s))
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
                workspace: Use(max(0, asked), max(0, served))
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
            {name: (round(each.per_s), round(each.asked_per_s)) for name, each in shared.items()},
        )
        for service, shared in shares.items()
    ]


def shares_of(messages: Iterable[ServiceShares] | None) -> Shares | None:
    """Return the shares that messages hold, None without messages."""
    if messages is None:
        return None
    return {
        message.service: {
            name: Share(max(0, per_s), max(0, asked_per_s))
            for name, (per_s, asked_per_s) in message.by_workspace.items()
        }
        for message in messages
    }
