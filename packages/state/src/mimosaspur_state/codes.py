"""Define the result codes that callers and operators receive."""

from dataclasses import dataclass
from enum import Enum
from enum import IntEnum


class Outcome(Enum):
    """Describe whether a request is known to have run."""

    NOT_RUN = "not_run"
    DONE = "done"
    UNKNOWN = "unknown"


class ResultCode(IntEnum):
    """Enumerate results: 1xxx bad input, 2xxx refused, 3xxx unknown or cut, 4xxx operators."""

    MALFORMED_JSON = 1001
    UNKNOWN_MODEL = 1002
    BODY_TOO_LARGE = 1003
    BAD_HEADER = 1004
    UNKNOWN_SERVICE = 1005
    BAD_REQUEST = 1006
    NOT_FOUND = 1007
    KEY_REUSED = 1008
    UNKNOWN_CREDENTIAL = 1009

    QUEUE_FULL = 2001
    DEADLINE_UNREACHABLE = 2002
    NO_READY_TARGET = 2003
    DRAINING = 2004
    NO_BUNDLE = 2005
    STALE_GENERATION = 2006
    PLATFORM_DOWN = 2007
    RETRIES_EXHAUSTED = 2008
    CLAIM_IN_PROGRESS = 2009
    NOT_READY_HERE = 2010
    CLAIM_RATE = 2011
    QUOTA_EXCEEDED = 2012
    CONFIGURATION_OLD = 2013
    QUOTA_UNKNOWN = 2014
    TARGET_LIMITED = 2015
    STREAM_VERSION_UNKNOWN = 2016
    STREAM_VERSION_GONE = 2017
    TARGET_RESTING = 2018
    SUSPECT_WAITING = 2019
    SHARE_EXCEEDED = 2020
    MEMORY_SHORT = 2021
    BODY_LATE = 2022

    OUTCOME_UNKNOWN = 3001
    ANSWER_CUT = 3002
    DEADLINE_PASSED = 3003
    ENGINE_ERROR = 3004
    CANCELLED = 3005
    ANSWER_NOT_KEPT = 3006
    REQUEST_QUARANTINED = 3007
    INTERNAL = 3999

    BAD_BUNDLE = 4001
    BUNDLE_DOES_NOT_FIT = 4002
    NOT_APPROVED = 4003
    ROLL_CONFLICT = 4004
    SUPERSEDED = 4005
    BAD_SETTINGS = 4006
    UNKNOWN_BUNDLE = 4007
    UNKNOWN_INSTANCE = 4008
    BUNDLE_EXISTS = 4009
    OUTCOME_UNSETTLED = 4010
    SAME_OPERATOR = 4011
    STORE_ERA_WRONG = 4012
    BAD_TARGET_LIMIT = 4013
    BAD_TARGET_REST = 4014
    BAD_CONFIGURATION = 4015
    ENTRY_UNAVAILABLE = 4016
    BAD_REGISTRATION = 4017


@dataclass(slots=True, frozen=True)
class CodeInfo:
    """Describe one result code to its recipient."""

    http_status: int
    meaning: str
    next_step: str


_TRY_LATER = "Try again after the time in Retry-After."
_FIX_REQUEST = "Correct the request and send it again."
_FIX_BUNDLE = "Correct the bundle and write it again."

CODE_TABLE: dict[ResultCode, CodeInfo] = {
    ResultCode.MALFORMED_JSON: CodeInfo(400, "The body is not valid JSON.", _FIX_REQUEST),
    ResultCode.UNKNOWN_MODEL: CodeInfo(
        404, "The bundle in force names no such model or adapter.", "See GET /v1/models."
    ),
    ResultCode.BODY_TOO_LARGE: CodeInfo(
        413, "The body is over the limit.", "Send a smaller body, or ask for a higher limit."
    ),
    ResultCode.BAD_HEADER: CodeInfo(400, "A header has a bad value.", _FIX_REQUEST),
    ResultCode.UNKNOWN_SERVICE: CodeInfo(
        404, "The bundle in force names no such plain service.", "Check the service's name."
    ),
    ResultCode.BAD_REQUEST: CodeInfo(400, "A field of the body is wrong.", _FIX_REQUEST),
    ResultCode.NOT_FOUND: CodeInfo(404, "There is nothing at this path.", "Check the path."),
    ResultCode.KEY_REUSED: CodeInfo(
        422, "The Idempotency-Key came before with another request.", "Use a new key."
    ),
    ResultCode.UNKNOWN_CREDENTIAL: CodeInfo(
        401,
        "The request bears no API key that a workspace holds. Not run.",
        "Send one key that is in force, as Authorization: Bearer KEY.",
    ),
    ResultCode.QUEUE_FULL: CodeInfo(503, "The target's queue is full. Not run.", _TRY_LATER),
    ResultCode.DEADLINE_UNREACHABLE: CodeInfo(
        503, "The deadline can't be met. Not run.", "Try later, or give a longer deadline."
    ),
    ResultCode.NO_READY_TARGET: CodeInfo(
        503, "No target is ready for it now. Not run.", _TRY_LATER
    ),
    ResultCode.DRAINING: CodeInfo(503, "The instance is leaving. Not run.", _TRY_LATER),
    ResultCode.NO_BUNDLE: CodeInfo(503, "No bundle is in force here yet. Not run.", _TRY_LATER),
    ResultCode.STALE_GENERATION: CodeInfo(
        503, "The entry's bundle is older than the target's. Not run.", _TRY_LATER
    ),
    ResultCode.PLATFORM_DOWN: CodeInfo(
        503,
        "The object API does not answer, so a keyed request can't be claimed. Not run.",
        _TRY_LATER,
    ),
    ResultCode.RETRIES_EXHAUSTED: CodeInfo(
        503, "Every try was refused before it began. Not run.", _TRY_LATER
    ),
    ResultCode.CLAIM_IN_PROGRESS: CodeInfo(
        409, "Another request with this Idempotency-Key is under way.", _TRY_LATER
    ),
    ResultCode.NOT_READY_HERE: CodeInfo(
        503, "This target does not hold it now. Not run.", _TRY_LATER
    ),
    ResultCode.CLAIM_RATE: CodeInfo(
        503, "Too many keyed requests for the object API's rate. Not run.", _TRY_LATER
    ),
    ResultCode.QUOTA_EXCEEDED: CodeInfo(
        429, "The workspace's quota is used up for now. Not run.", _TRY_LATER
    ),
    ResultCode.QUOTA_UNKNOWN: CodeInfo(
        503,
        "What is left of the workspace's quota isn't known here yet. Not run.",
        _TRY_LATER,
    ),
    ResultCode.TARGET_RESTING: CodeInfo(
        503,
        "The targets that could run it have asked this entry for rest. Not run.",
        _TRY_LATER,
    ),
    ResultCode.SUSPECT_WAITING: CodeInfo(
        503,
        "Targets have crashed under requests like it, of which one is sent at a time. Not run.",
        _TRY_LATER,
    ),
    ResultCode.SHARE_EXCEEDED: CodeInfo(
        429,
        "There isn't room for all, and the workspace's share of it is used up for now. Not run.",
        _TRY_LATER,
    ),
    ResultCode.MEMORY_SHORT: CodeInfo(
        503, "The entry has no memory free for the request's body. Not run.", _TRY_LATER
    ),
    ResultCode.BODY_LATE: CodeInfo(
        408,
        "The request's body did not arrive in the request's time. Not run.",
        "Send the body faster, or give a longer deadline.",
    ),
    ResultCode.TARGET_LIMITED: CodeInfo(
        503,
        "The targets that could run it limit the requests that they take. Not run.",
        _TRY_LATER,
    ),
    ResultCode.STREAM_VERSION_UNKNOWN: CodeInfo(
        503,
        "No entry knows which software version began the stream. Not run.",
        "Send the request again without Last-Event-Id.",
    ),
    ResultCode.STREAM_VERSION_GONE: CodeInfo(
        503,
        "No target of the software version that began the stream can run it. Not run.",
        "Try again after the time in Retry-After, or without Last-Event-Id.",
    ),
    ResultCode.CONFIGURATION_OLD: CodeInfo(
        503, "The configuration here may be out of date, and doesn't know it. Not run.", _TRY_LATER
    ),
    ResultCode.OUTCOME_UNKNOWN: CodeInfo(
        502, "It may or may not have run.", "Look at the service before sending it again."
    ),
    ResultCode.ANSWER_CUT: CodeInfo(
        502, "The answer could not be completed.", "Discard what came and ask again."
    ),
    ResultCode.DEADLINE_PASSED: CodeInfo(
        504, "The deadline passed while it ran.", "Give a longer deadline."
    ),
    ResultCode.ENGINE_ERROR: CodeInfo(
        502, "The engine or service answered with an error.", "See the message."
    ),
    ResultCode.CANCELLED: CodeInfo(499, "The caller went away.", "Nothing to do."),
    ResultCode.ANSWER_NOT_KEPT: CodeInfo(
        409,
        "The request with this Idempotency-Key ran; its answer was too large to keep.",
        "Don't send it again; look at the service for what it did.",
    ),
    ResultCode.REQUEST_QUARANTINED: CodeInfo(
        502,
        "Targets have crashed each time they ran this request, or requests that share a part of its"
        " prompt. It is not sent to another one.",
        "Don't send it again; report it with the request id.",
    ),
    ResultCode.INTERNAL: CodeInfo(500, "A fault of ours.", "Report it with the request id."),
    ResultCode.BAD_BUNDLE: CodeInfo(400, "The bundle is not well formed.", _FIX_BUNDLE),
    ResultCode.BUNDLE_DOES_NOT_FIT: CodeInfo(
        409, "The bundle does not fit the memory it names.", "Remove entries or add targets."
    ),
    ResultCode.NOT_APPROVED: CodeInfo(
        409, "The bundle is not approved.", "Have a second operator run: mimosaspur bundle approve"
    ),
    ResultCode.ROLL_CONFLICT: CodeInfo(
        409, "Another operator's roll won.", "Look at what is in force: mimosaspur bundle status"
    ),
    ResultCode.SUPERSEDED: CodeInfo(
        409,
        "A newer bundle is in force than the one this was written against.",
        "Compare with mimosaspur bundle diff, then write it again.",
    ),
    ResultCode.BAD_SETTINGS: CodeInfo(400, "The settings are wrong.", "Correct the named key."),
    ResultCode.UNKNOWN_BUNDLE: CodeInfo(
        404, "There is no such bundle.", "See mimosaspur bundle status."
    ),
    ResultCode.UNKNOWN_INSTANCE: CodeInfo(
        404, "There is no such instance.", "See mimosaspur instance list."
    ),
    ResultCode.BUNDLE_EXISTS: CodeInfo(
        409, "A bundle of this name is already written.", "Choose another name."
    ),
    ResultCode.OUTCOME_UNSETTLED: CodeInfo(
        503,
        "The object API did not tell whether the change took effect.",
        "Run mimosaspur bundle status before trying again.",
    ),
    ResultCode.SAME_OPERATOR: CodeInfo(
        409, "Who wrote the bundle can't approve it.", "Have another operator approve it."
    ),
    ResultCode.STORE_ERA_WRONG: CodeInfo(
        503,
        "The store's era is missing, goes back or is no number. Its answers are used.",
        "Look at the store; restores can't be told from one another meanwhile.",
    ),
    ResultCode.BAD_TARGET_REST: CodeInfo(
        503,
        "A target turns requests away with a Retry-After that is no number of seconds.",
        "Correct what the target sends.",
    ),
    ResultCode.BAD_CONFIGURATION: CodeInfo(
        503,
        "A configuration has a bad value; the last good one stays in force.",
        "Correct the field that the error names, and write it again.",
    ),
    ResultCode.BAD_REGISTRATION: CodeInfo(
        503,
        "A registration in the store can't be read, or a field of it is out of range. It names no"
        " target.",
        "Look at who wrote it; the error names the field.",
    ),
    ResultCode.ENTRY_UNAVAILABLE: CodeInfo(
        503,
        "The entry gives no explanation.",
        "Check the address: its ip and its metrics_port.",
    ),
    ResultCode.BAD_TARGET_LIMIT: CodeInfo(
        503,
        "A target names a request limit that is no number. The last good one is kept.",
        "Correct what the target names.",
    ),
}
