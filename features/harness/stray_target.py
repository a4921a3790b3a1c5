"""Run a target that sends a rejection that belongs to no send, and then runs the request."""

import asyncio

import h11

from harness.direct_target import read_request

# After a rejection that isn't this send's, the answer follows so much later.
ANSWER_S = 0.02


class StrayTarget:
    """Reject the first request on a connection, or none, and run the others after a rejection."""

    def __init__(self, *, rejects_first: bool) -> None:
        self.rejects_first = rejects_first
        # The IDs of the requests that ran.
        self.ran: list[bytes] = []

    async def start(self) -> tuple[str, int]:
        """Listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        return host, port

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        codec = h11.Connection(h11.SERVER)
        is_first = self.rejects_first
        try:
            while (request := await read_request(codec, reader)) is not None:
                identity = dict(request[0].headers)[b"x-request-id"]
                writer.write(_response(503, identity if self.rejects_first else None))
                if not is_first:
                    self.ran.append(identity)
                    await asyncio.sleep(ANSWER_S)
                    writer.write(_response(200, identity))
                is_first = False
                # The responses were written as bytes; the codec only follows.
                codec.send(h11.Response(status_code=200, headers=[(b"Content-Length", b"0")]))
                codec.send(h11.EndOfMessage())
                codec.start_next_cycle()
        except (OSError, h11.ProtocolError):
            pass
        finally:
            writer.close()


def _response(status: int, identity: bytes | None) -> bytes:
    lines = [b"HTTP/1.1 %d X" % status, b"Content-Length: 2", b"X-Proof: p"]
    if identity is not None:
        lines.append(b"X-Request-Id: " + identity)
    if status == 503:
        lines.append(b"X-Not-Run: 1")
    return b"\r\n".join(lines) + b"\r\n\r\nok"
