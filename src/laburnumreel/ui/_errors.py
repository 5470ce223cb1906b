"""The exit codes of the command line, and the errors that it prints without a traceback."""

from collections.abc import Sequence
from enum import IntEnum
from typing import Any, NoReturn

from laburnumreel.coordination import WriteFailure


class ExitCode(IntEnum):
    """The exit code of a command."""

    DONE = 0
    USAGE = 1
    CHECK_FAILED = 2
    UNREACHABLE = 3
    LOST_RACE = 4
    NOT_IN_FORCE = 5


class UserError(Exception):
    """An error that the operator can resolve.

    Each of `lines` is printed on one line; `fields` are added to the JSON form.
    """

    def __init__(self, code: ExitCode, *lines: object, **fields: Any) -> None:
        super().__init__(*lines)
        self.code = code
        self.lines = [" ".join(str(line).split()) for line in lines]
        self.fields = fields


def raise_unreachable(error: Any) -> NoReturn:
    """Raise a `UserError` for a platform error."""
    raise UserError(
        ExitCode.UNREACHABLE, f"the platform request failed: {error.kind}: {error.detail}"
    )


def raise_write_failure(failure: WriteFailure, names: Sequence[str] = ()) -> NoReturn:
    """Raise a `UserError` for a change that was not accepted.

    `names` are the entries that the change would have modified.
    """
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
            f" changed by both: {', '.join(both) or 'none'}; your change was not applied",
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
    raise UserError(
        ExitCode.UNREACHABLE, f"the platform did not accept the change: {failure.detail}"
    )
