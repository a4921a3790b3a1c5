"""Answer each request with the first bytes of one response, and end the connection."""

import socketserver
import threading

REQUEST_BYTES = 65_536


class CutResponder:
    """Listen on loopback, until closed; `sent_bytes` of the response are sent."""

    def __init__(self, response: bytes) -> None:
        self.response = response
        self.sent_bytes = len(response)
        responder = self

        class Handler(socketserver.BaseRequestHandler):
            def handle(self) -> None:
                self.request.recv(REQUEST_BYTES)
                self.request.sendall(responder.response[: responder.sent_bytes])

        self.server = socketserver.ThreadingTCPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.thread = threading.Thread(target=self.server.serve_forever, daemon=True)
        self.thread.start()

    @property
    def address(self) -> str:
        """Return where it listens."""
        host, port = self.server.server_address[:2]
        return f"{host!s}:{port}"

    def close(self) -> None:
        """Stop listening."""
        self.server.shutdown()
        self.server.server_close()
