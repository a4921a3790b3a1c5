"""Define the daemon's exit codes."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit status of mimosaspurd."""

    OK = 0
    INTERNAL = 1
    USAGE = 2
    ADDRESS_TAKEN = 3
    BAD_SETTINGS = 4
