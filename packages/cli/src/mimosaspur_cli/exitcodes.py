"""Define the exit codes of the command line."""

from enum import IntEnum

from mimosaspur_state.codes import ResultCode


class ExitCode(IntEnum):
    """Report to the shell how a command ended."""

    OK = 0
    REFUSED = 1
    BAD_INPUT = 2
    UNAVAILABLE = 3
    INTERNAL = 4


FIRST_OPERATOR_CODE = 4000
EXIT_CODES: dict[ResultCode, ExitCode] = {
    ResultCode.BAD_BUNDLE: ExitCode.BAD_INPUT,
    ResultCode.BAD_REQUEST: ExitCode.BAD_INPUT,
    ResultCode.BAD_SETTINGS: ExitCode.BAD_INPUT,
    ResultCode.OUTCOME_UNSETTLED: ExitCode.UNAVAILABLE,
    ResultCode.PLATFORM_DOWN: ExitCode.UNAVAILABLE,
    ResultCode.ENTRY_UNAVAILABLE: ExitCode.UNAVAILABLE,
}


def exit_code_of(code: ResultCode) -> ExitCode:
    """Return the exit code for a result code."""
    default = ExitCode.REFUSED if code >= FIRST_OPERATOR_CODE else ExitCode.INTERNAL
    return EXIT_CODES.get(code, default)
