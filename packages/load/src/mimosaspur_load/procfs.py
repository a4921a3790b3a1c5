"""Read a process's processor time and memory from /proc."""

import os
from pathlib import Path

MS_PER_SECOND = 1000
USER_TICKS = 11
SYSTEM_TICKS = 12
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def cpu_ms(pid: int) -> float:
    """Return the processor time that a process has used, in milliseconds (ticks of 10 ms)."""
    stat = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
    # The command's name may hold spaces, so count from its closing bracket.
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[USER_TICKS]) + int(fields[SYSTEM_TICKS])
    return ticks * MS_PER_SECOND / TICKS_PER_SECOND


def rss_kb(pid: int) -> int:
    """Return a process's resident memory in kB."""
    status = Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    line = next(line for line in status.splitlines() if line.startswith("VmRSS:"))
    return int(line.split()[1])


def load_average() -> float:
    """Return the machine's load average over the last minute."""
    return os.getloadavg()[0]
