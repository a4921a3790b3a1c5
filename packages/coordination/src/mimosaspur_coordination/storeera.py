"""Order a store's revisions and fencing tokens across restores from older copies.

A restored store reuses revisions, and its lease may name an earlier holder and token. Each restore
increments the store's era, which is the high-order part of both here: values of an earlier era are
always smaller, and a watch never continues from a revision of another era.
"""

from mimosaspur_state.clock import Clock
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import StoreRestored
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.eventlog import EventLog

REVISIONS_PER_ERA = 1 << 44
# Exceeds the revisions of an era, as a token may be taken from one.
TOKENS_PER_ERA = 1 << 34
# Leaves room for tokens above the last one that is taken from a revision.
MAX_BOUND_REVISION = TOKENS_PER_ERA // 2
# Keeps encoded revisions within the 64-bit integers of messages between entries, and tokens within
# the integers that JSON carries exactly.
MAX_ERA = 1 << 18
MAX_TOKEN = (MAX_ERA + 1) * TOKENS_PER_ERA


class StoreEra:
    """Track the store's era and convert revisions to and from it."""

    __slots__ = ("changed_ms", "clock", "era", "known", "log", "missing")

    def __init__(self, *, clock: Clock, log: EventLog) -> None:
        self.clock = clock
        self.log = log
        self.era = 0
        # Whether an answer has carried an era, and when the present one was first received.
        self.known = False
        self.changed_ms = 0
        # Whether answers have lacked the era after an earlier one carried it.
        self.missing = False

    def update(self, header: str | None, *, asked_ms: int) -> None:
        """Apply the era of an answer; raise StoreUnavailable if the answer predates a restore.

        An invalid era is logged, and the answer is assumed to be of the present era.
        """
        era = self._parse(header)
        if era is None or (self.known and era == self.era):
            return
        if self.known and era < self.era and asked_ms <= self.changed_ms:
            raise StoreUnavailable(f"the answer is of era {era}, the store is in era {self.era}")
        if self.known:
            code_field = {} if era > self.era else {"code": ResultCode.STORE_ERA_WRONG.value}
            self.log.write("store_restored", before=self.era, era=era, **code_field)
        self.era, self.known = era, True
        self.changed_ms = self.clock.now_ms()

    def _parse(self, header: str | None) -> int | None:
        if header is None:
            if self.known and not self.missing:
                self.missing = True
                self._log_invalid("the answer has no era")
            return None
        self.missing = False
        if header.isascii() and header.isdecimal() and len(header) <= 9 and int(header) <= MAX_ERA:
            return int(header)
        self._log_invalid(f"expected an integer up to {MAX_ERA}, got {header[:40]!r}")
        return None

    def _log_invalid(self, detail: str) -> None:
        self.log.write("store_era", code=ResultCode.STORE_ERA_WRONG.value, detail=detail)

    def encode_revision(self, revision: int) -> int:
        """Return a revision of the present era in a form that is ordered across eras."""
        return self.era * REVISIONS_PER_ERA + revision

    def decode_revision(self, encoded: int) -> int:
        """Return the store's revision for an encoded one; raise StoreRestored in another era."""
        era, revision = divmod(encoded, REVISIONS_PER_ERA)
        if era != self.era:
            raise StoreRestored(f"the revision is of era {era}, the store is in era {self.era}")
        return revision

    def token_floor(self) -> int:
        """Return a number below all fencing tokens of the present era."""
        return self.era * TOKENS_PER_ERA

    def token_bound(self, revision: int) -> int:
        """Return a number that no token of an object exceeds that has a revision, or had before.

        That holds up to MAX_BOUND_REVISION.
        """
        # Each change of the lease raises its revision, and its token by one or to one above this.
        return self.token_floor() + min(revision, MAX_BOUND_REVISION)
