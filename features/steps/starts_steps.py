"""Steps that start an entry's process."""

import asyncio
import signal
import tempfile
from pathlib import Path

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_store import StoreStandIn
from harness.entry_processes import EntryProcess
from harness.loop import run

STATUS_POLL_S = 0.002
SIGNAL_INTERVAL_S = 0.01
START_TIMEOUT_S = 10.0
GOES_ON_S = 0.5
IGNORED = "SigIgn:"


@given("an entry process before a store")
def set_process(context: Context) -> None:
    folder = tempfile.TemporaryDirectory(prefix="starts-")
    context.add_cleanup(folder.cleanup)
    context.store = StoreStandIn()
    address = run(context, context.store.start())
    context.store.put("config", "main", {"version": 1})
    context.entry = EntryProcess(context.processes, Path(folder.name), 0, address)


@when(
    "it starts and gets signals to read its settings again, from before it reads them until it is"
    " ready"
)
def start_under_signals(context: Context) -> None:
    async def start() -> None:
        entry: EntryProcess = context.entry
        entry.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            while not _ignores_reload(entry.process.pid):
                assert entry.runs()
                await asyncio.sleep(STATUS_POLL_S)
        ready = asyncio.create_task(entry.wait_until_ready())
        while not ready.done() and entry.runs():
            entry.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(SIGNAL_INTERVAL_S)
        await ready

    run(context, start())


def _ignores_reload(pid: int) -> bool:
    """Return whether a process ignores the signal now."""
    lines = Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines()
    mask = next(int(line.split()[1], 16) for line in lines if line.startswith(IGNORED))
    return bool(mask & 1 << (signal.SIGHUP - 1))


@then("it is ready and goes on running")
def check_running(context: Context) -> None:
    run(context, asyncio.sleep(GOES_ON_S))
    assert context.entry.runs(), context.entry.log_lines()[-3:]
