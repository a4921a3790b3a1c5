"""Send continuous requests and inspect processes while a site changes."""

import http.client
import json
import uuid
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from typing import Any

from harness.caller import Reply
from harness.caller import chat_call
from harness.caller import service_call
from harness.control import wait_for
from harness.repeater import Repeater
from harness.site import REGION
from harness.site import Site
from mimosaspur_protocol.messages import Hello
from mimosaspur_protocol.messages import Welcome
from mimosaspur_standins.answers import expected_answer
from mimosaspur_state import keys
from mimosaspur_transport.wire import ConnectionLost
from mimosaspur_transport.wire import connect

MAX_TOKENS = 3
PROBE_TIMEOUT_MS = 2000
MAX_VERSIONS = 30


@dataclass(slots=True)
class Traffic:
    """Send requests one at a time until stopped, and record the versions that answered."""

    address: str
    name: str
    service: bool = False
    sent: int = 0
    failures: list[Any] = field(default_factory=list)
    versions: list[int] = field(default_factory=list)
    steady: Repeater | None = None

    def start(self) -> "Traffic":
        """Start sending."""
        self.steady = Repeater(self._send_request)
        return self

    def stop(self) -> None:
        """Stop after the current request."""
        assert self.steady
        self.steady.stop()

    def _send_request(self) -> None:
        content = f"{self.address} {self.sent}"
        self.sent += 1
        if self.service:
            reply = service_call(self.address, self.name, content).wait()
            succeeded = reply.status == 200 and reply.json()["echo"] == content
        else:
            reply = chat_call(self.address, self.name, content, max_tokens=MAX_TOKENS).wait()
            succeeded = reply.is_complete() and self._record_version(reply, content)
        if not succeeded:
            self.failures.append((reply.status, reply.body, reply.broken))

    def _record_version(self, reply: Reply, content: str) -> bool:
        for version in range(MAX_VERSIONS):
            if reply.text() == expected_answer(f"{self.name}@{version}", content, MAX_TOKENS):
                self.versions.append(version)
                return True
        return False


def run_count(site: Site, target: str) -> int:
    """Return the number of requests that a target's engine or service has run."""
    if target in site.services:
        return sum(site.service_log(target)["by_body"].values())
    return sum(site.engine_log(target)["runs"].values())


def targets_holding(site: Site, model: str, *states: str) -> set[str]:
    """Return the targets with a replica of a model in one of the states."""
    found = site.replicas(model).items()
    return {key.split()[0] for key, state in found if state in (states or ("ready", "leaving"))}


def service_targets(site: Site, service: str) -> set[str]:
    """Return the targets in the record of a service."""
    found = site.store().get(keys.service_registration(REGION, service))
    return {replica["target"] for replica in found.value["replicas"]} if found else set()


def wait_until_drained(site: Site, target: str) -> None:
    """Wait until no record names a target and its status reports that it drains."""
    names = ("notes", "dispatch")

    def withdrawn() -> bool:
        placed = any(target in targets_holding(site, n, "load", "ready", "leaving") for n in names)
        return not placed and target not in service_targets(site, "bookings")

    wait_for(withdrawn, f"no record names {target}")
    wait_for(partial(_is_draining, site, target), f"{target} drains")


def _is_draining(site: Site, target: str) -> bool:
    status = site.store().get(keys.status(REGION, target))
    return bool(status and status.value["draining"])


def read_generation(site: Site, name: str) -> int:
    """Return a process's generation: an entry's over HTTP, a target's by the peer protocol."""
    daemon = site.daemons[name]
    if daemon.role == "entry":
        return int(get_json(daemon.address, "/healthz")[1]["generation"])
    try:
        wire = connect(
            daemon.address, connect_ms=PROBE_TIMEOUT_MS, send_timeout_ms=PROBE_TIMEOUT_MS
        )
    except ConnectionLost:
        return -1
    try:
        wire.send(Hello("probe", uuid.uuid4().hex, 1, 0))
        for message in wire.receive():
            if isinstance(message, Welcome):
                return message.generation
    except (ConnectionLost, TimeoutError):
        return -1
    finally:
        wire.close()
    return -1


def get_json(address: str, path: str) -> tuple[int, Any]:
    """Return the status and the JSON body of a GET request to an entry."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=PROBE_TIMEOUT_MS / 1000)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        return response.status, json.loads(response.read())
    finally:
        connection.close()
