"""Run entries, engines and callers, and explain a request meanwhile, for docs/OPERATIONS.md.

The entries are processes of the platform's program. The engines and the callers are those of the
scenarios, on loopback. Run it as `PYTHONPATH=features .venv/bin/python tools/explain_example.py`.
"""

import asyncio
import contextlib
import sys
from pathlib import Path

from harness.direct_store import StoreStandIn
from harness.entry_processes import METRICS_PORT
from harness.entry_processes import EntryProcesses
from harness.entry_site import HOST
from harness.limit_site import LimitSite
from harness.limited_target import MODEL
from mimosaspur_load.processes import Processes

COMMAND = Path(sys.executable).parent / "mimosaspur"
ENTRIES = 2
ENGINES = 4
REQUESTS_PER_S = 40.0
# The command itself takes a second or two to start on a busy machine.
DURATION_S = 8.0
# By then the first engine has named a limit, and the second one has asked for a rest.
EXPLAINED_AFTER_S = 4.0
SETTLE_S = 0.2
LIMIT_PER_S = "1"
REST_S = "20"


async def explain_under_load(site: LimitSite, processes: Processes) -> str:
    """Return the command and its output, while callers send requests."""
    await site.start()
    site.targets[0].limit = LIMIT_PER_S
    site.targets[1].retry_after = REST_S
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(site.send_requests(per_s=REQUESTS_PER_S, seconds=DURATION_S))
        await asyncio.sleep(EXPLAINED_AFTER_S)
        assert isinstance(site.entries, EntryProcesses)
        control = f"{site.entries.entries[0].ip}:{METRICS_PORT}"
        arguments = ["explain", "--entry", control, "--host", HOST, "--path", "/stream/x"]
        arguments += ["--model", MODEL, "--prompt-tokens", "800"]
        process = await asyncio.create_subprocess_exec(
            COMMAND, *arguments, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT
        )
        output, _ = await process.communicate()
    # The store's connections end while its event loop runs.
    await asyncio.to_thread(processes.close)
    await asyncio.sleep(SETTLE_S)
    return f"$ mimosaspur {' '.join(arguments)}\n{output.decode()}"


def main() -> None:
    """Print an example."""
    with contextlib.ExitStack() as stack:
        processes = Processes()
        stack.callback(processes.close)
        entries = EntryProcesses(processes, ENTRIES)
        site = LimitSite(entries, store=StoreStandIn(), targets=ENGINES, engines=True)
        stack.callback(site.stop)
        print(asyncio.run(explain_under_load(site, processes)))


if __name__ == "__main__":
    main()
