"""Exit codes of the operators' command."""

from enum import IntEnum

EXIT_CODE_HELP = (
    "Exit codes: 0 done; 2 wrong command line; 3 ticket refused; 4 another ticket "
    "holds the number; 5 platform or instance not reached, nothing changed; "
    "6 outcome unknown, read the ticket back; 7 settings or file unreadable; "
    "8 no such ticket, instance or plan; 9 fleet not in order (an instance is "
    "behind or unreachable, or a wave missed its deadline); 10 stored data "
    "unreadable."
)


class ExitCode(IntEnum):
    """What each exit code of the command means."""

    DONE = 0
    """The command did what it says."""

    USAGE = 2
    """The command line is wrong."""

    REFUSED = 3
    """The ticket is invalid; nothing was changed."""

    LOST_RACE = 4
    """Another ticket holds the number; nothing was changed."""

    NOT_REACHED = 5
    """The platform or an instance wasn't reached; nothing was changed."""

    UNSETTLED = 6
    """The ticket may have been accepted and can't be read back now."""

    UNREADABLE = 7
    """The settings or a given file can't be read."""

    NOT_FOUND = 8
    """There is no such ticket, instance or plan."""

    NOT_IN_ORDER = 9
    """An instance is behind or unreachable, or a wave missed its deadline."""

    CORRUPT = 10
    """A value in the store is malformed or of an unknown format."""
