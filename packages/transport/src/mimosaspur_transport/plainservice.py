"""Call a plain service, without retries."""

from dataclasses import dataclass

import urllib3

from mimosaspur_state.codes import Outcome
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import MimosaspurError
from mimosaspur_state.requests import Work
from mimosaspur_state.settings import split_address
from mimosaspur_transport.headcheck import HttpPool

CONNECT_TIMEOUT_S = 1.0


@dataclass(slots=True, frozen=True)
class ServiceResponse:
    """Hold a plain service's complete response."""

    status: int
    content_type: str
    body: bytes


class PlainService:
    """Call a local service, with a new connection for each call.

    A kept-alive connection may be dead: it would be unknown whether a request sent on it ran.
    """

    def __init__(self, address: str) -> None:
        self.host, self.port = split_address(address)

    def call(self, work: Work, run_id: str, timeout_ms: int) -> ServiceResponse:
        """Run a request; raise MimosaspurError with whether it may have run."""
        if timeout_ms <= 0:
            raise MimosaspurError(ResultCode.DEADLINE_UNREACHABLE)
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_ms / 1000)
        headers = {"X-Request-Id": run_id, "Connection": "close"}
        if work.content_type:
            headers["Content-Type"] = work.content_type
        # Not shared, since a shared pool may reuse connections that the service is closing.
        pool = HttpPool(self.host, self.port, retries=False, timeout=timeout)
        try:
            response = pool.request(
                work.method, work.path, body=work.body or None, headers=headers, redirect=False
            )
        except urllib3.exceptions.NewConnectionError as error:
            raise MimosaspurError(ResultCode.NO_READY_TARGET, "The service is down.") from error
        except urllib3.exceptions.ConnectTimeoutError as error:
            raise MimosaspurError(ResultCode.NO_READY_TARGET, "The service is down.") from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise MimosaspurError(
                ResultCode.OUTCOME_UNKNOWN, f"{error}.", outcome=Outcome.UNKNOWN
            ) from error
        finally:
            pool.close()
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        return ServiceResponse(response.status, content_type, response.data)
