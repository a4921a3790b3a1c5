"""Count how much longer messages get by what they say of quotas."""

from mimosaspur_coordination.quota.spending import Remaining
from mimosaspur_coordination.quota.spending import Spending
from mimosaspur_protocol.peermessages import EntryReport
from mimosaspur_protocol.peermessages import FleetReport
from mimosaspur_protocol.peermessages import QuotaRemaining
from mimosaspur_protocol.peermessages import QuotaSpending
from mimosaspur_protocol.peermessages import encode_peer


def bytes_of_said(said: Spending | Remaining) -> int:
    """Return the bytes that one workspace adds to a message."""
    if isinstance(said, Spending):
        one = QuotaSpending(said.workspace, round(said.spent), round(said.refused))
        base = EntryReport("", 1, [], [], [], [])
        longer = EntryReport("", 1, [], [], [], [], [], [], False, 0, [one])
        return len(encode_peer(longer)) - len(encode_peer(base))
    told = QuotaRemaining(said.workspace, round(said.content), round(said.asked_per_s))
    bare = FleetReport(1, True, 1, [], [], {})
    more = FleetReport(1, True, 1, [], [], {}, [], 0, None, 0, [told])
    return len(encode_peer(more)) - len(encode_peer(bare))
