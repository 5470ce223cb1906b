"""What the command line reports instead of a traceback, and its exit codes."""

from collections.abc import Sequence
from enum import IntEnum
from typing import Any, NoReturn

from laburnumreel.coordination import WriteFailure


class ExitCode(IntEnum):
    """How a command ended."""

    DONE = 0
    USAGE = 1
    CHECK_FAILED = 2
    UNREACHABLE = 3
    LOST_RACE = 4
    NOT_IN_FORCE = 5


class UserError(Exception):
    """Something that the operator can mend. Each of `lines` is printed on one line."""

    def __init__(self, code: ExitCode, *lines: object, **fields: Any) -> None:
        super().__init__(*lines)
        self.code = code
        self.lines = [" ".join(str(line).split()) for line in lines]
        self.fields = fields


def raise_unreachable(error: Any) -> NoReturn:
    """Report a platform error."""
    raise UserError(
        ExitCode.UNREACHABLE, f"the platform cannot be used: {error.kind}: {error.detail}"
    )


def raise_write_failure(failure: WriteFailure, names: Sequence[str] = ()) -> NoReturn:
    """Report a change that was not accepted; `names` are the entries it would have changed."""
    if failure.kind == "lost_race":
        if failure.winner is None:
            raise UserError(ExitCode.LOST_RACE, failure.detail)
        winner = failure.winner
        winner_entries = sorted({*winner.puts, *winner.deletes})
        both = sorted(set(winner_entries) & set(names))
        raise UserError(
            ExitCode.LOST_RACE,
            f"version {winner.version} by {winner.author} was accepted first;"
            f" it changes {', '.join(winner_entries) or 'no entry'};"
            f" changed by both: {', '.join(both) or 'none'}; nothing of yours was applied",
            winner=winner.author,
            version=winner.version,
            their_entries=winner_entries,
            both=both,
        )
    if failure.kind == "unknown":
        raise UserError(
            ExitCode.UNREACHABLE,
            "the platform's response was lost and cannot be read back: the change may have been"
            f" accepted; see `config show` ({failure.detail})",
        )
    raise UserError(ExitCode.UNREACHABLE, f"the platform did not take the change: {failure.detail}")
