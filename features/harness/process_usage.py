"""Sample the memory and the descriptors of a process while callers play with it."""

import asyncio
import os
from pathlib import Path

SAMPLE_S = 0.02
KB = 1024
MB = 1_000_000


class ProcessUsage:
    """Keep the highest use of a process, with what its kernel holds unread for its addresses."""

    __slots__ = ("descriptors", "ip", "memory_bytes", "pid", "resident_bytes")

    def __init__(self, pid: int, ip: str) -> None:
        self.pid = pid
        self.ip = ip
        self.resident_bytes = 0
        self.memory_bytes = 0
        self.descriptors = 0

    async def sample(self) -> None:
        """Sample until cancelled, or until the process has ended."""
        while self.take():
            await asyncio.sleep(SAMPLE_S)

    def take(self) -> bool:
        """Take one sample; return whether the process runs."""
        try:
            resident = _resident_bytes(self.pid)
            descriptors = len(os.listdir(f"/proc/{self.pid}/fd"))
        except OSError:
            return False
        self.resident_bytes = max(self.resident_bytes, resident)
        self.memory_bytes = max(self.memory_bytes, resident + _unread_bytes(self.ip))
        self.descriptors = max(self.descriptors, descriptors)
        return True

    def __str__(self) -> str:
        return (
            f"resident {self.resident_bytes / MB:.0f} MB,"
            f" with unread {self.memory_bytes / MB:.0f} MB, {self.descriptors} descriptors"
        )


def _resident_bytes(pid: int) -> int:
    for line in Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * KB
    return 0


def _unread_bytes(ip: str) -> int:
    """Return the bytes that connections at an address have received and not passed on."""
    address = "".join(f"{int(part):02X}" for part in reversed(ip.split(".")))
    unread = 0
    for line in Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]:
        fields = line.split()
        if fields[1].startswith(address) and fields[3] == ESTABLISHED:
            unread += int(fields[4].partition(":")[2], 16)
    return unread


ESTABLISHED = "01"
