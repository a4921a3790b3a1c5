"""Read only responses whose heads are complete.

The standard library takes the end of a connection inside a head for the head's end, so that a
response that was cut there looks like one with an empty body.
"""

import http.client
import io
from typing import cast

import urllib3
import urllib3.connection
from urllib3.exceptions import HeaderParsingError
from urllib3.util.response import assert_header_parsing


class _HeadReader:
    """Read the lines of a head; raise RemoteDisconnected if the connection ends inside it."""

    __slots__ = ("reader",)

    def __init__(self, reader: io.BufferedIOBase) -> None:
        self.reader = reader

    def readline(self, limit: int) -> bytes:
        """Return a whole line, or as many bytes of it as the limit allows."""
        line = self.reader.readline(limit)
        if len(line) < limit and not line.endswith(b"\n"):
            raise http.client.RemoteDisconnected("the connection ended inside a response's head")
        return line

    def close(self) -> None:
        """Close the connection's reader."""
        self.reader.close()


class CompleteHeadResponse(http.client.HTTPResponse):
    """Represent a response, once its whole head has come."""

    def begin(self) -> None:
        """Read the head; raise HTTPException unless it is complete and valid."""
        reader = self.fp
        self.fp = cast(io.BufferedReader, _HeadReader(reader))
        try:
            super().begin()
        finally:
            if self.fp is not None:
                self.fp = reader
        try:
            assert_header_parsing(self.headers)
        except HeaderParsingError as error:
            # Headers after an invalid line are not read, the length of the body among them.
            raise http.client.HTTPException(str(error)) from error


class HttpConnection(http.client.HTTPConnection):
    """Make calls on one connection."""

    response_class = CompleteHeadResponse


class _PooledConnection(urllib3.connection.HTTPConnection):
    response_class = CompleteHeadResponse


class HttpPool(urllib3.HTTPConnectionPool):
    """Make calls on pooled connections to one address."""

    ConnectionCls = _PooledConnection
