"""Writing of configuration changes by compare-and-set on the head row.

After a lost response, the change log is read to find out whether the change was accepted.
"""

import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Literal, NamedTuple

from expression import Error, Ok, Result

from laburnumreel.coordination._store_sync import (
    CHANGE_TABLE,
    HEAD_ROW,
    PAGE_ROWS,
    WITHDRAWN_LOG_TABLE,
    WITHDRAWN_TABLE,
    read_configuration,
    sequence_key,
    withdrawal_rows,
)
from laburnumreel.state import Change, Check, Configuration, Platform, PlatformError, Write

MAX_ATTEMPTS = 5
RETRY_DELAY_S = 0.2
# Grants and withdrawals commute with any other change, so they are retried after a lost race.
MAX_RACE_ATTEMPTS = 20
MANAGED_PREFIXES = ("profile/", "service/", "customer/")


class ConfigBase(NamedTuple):
    """The newest configuration and the row version of its head, which writes check."""

    configuration: Configuration
    head_row_version: int


class ConfigEdits(NamedTuple):
    """Entries to put and names of entries to delete."""

    puts: dict[str, dict[str, Any]]
    deletes: tuple[str, ...]

    @property
    def is_empty(self) -> bool:
        return not self.puts and not self.deletes


class WriteFailure(NamedTuple):
    """Why a change was not accepted.

    The kinds are: `lost_race`, another change was accepted first, and `winner` is that change if
    it is known; `unreachable`, the platform could not be reached; `unknown`, the platform's
    responses were lost, so the change may have been accepted; `refused`, the platform rejected it.
    """

    kind: Literal["lost_race", "unreachable", "unknown", "refused"]
    detail: str
    winner: Change | None = None


def read_base(platform: Platform) -> Result[ConfigBase, PlatformError]:
    """Read the newest accepted configuration and the row version of its head."""
    head = platform.read(*HEAD_ROW)
    if head.is_error():
        return Error(head.error)
    if head.ok is None:
        return Ok(ConfigBase(Configuration(), 0))
    row = head.ok
    full_read = read_configuration(platform, row.value["version"])
    if full_read.is_ok() and full_read.ok.digest != row.value["digest"]:
        return Error(PlatformError("refused", "the change log does not match the head's digest"))
    return full_read.map(lambda configuration: ConfigBase(configuration, row.version))


def compute_edits(
    configuration: Configuration, entries: Mapping[str, dict[str, Any]]
) -> ConfigEdits:
    """Return the edits that make profiles, services and customers equal to `entries`.

    Keys are kept, except those of a deleted customer: they would remain valid without its limits.
    """
    old = configuration.entries
    puts = {name: value for name, value in entries.items() if old.get(name) != value}
    deletes = [name for name in old if name.startswith(MANAGED_PREFIXES) and name not in entries]
    deleted_customers = {
        name.removeprefix("customer/") for name in deletes if name.startswith("customer/")
    }
    deletes += [
        name
        for name, value in old.items()
        if name.startswith("key/") and value.get("customer") in deleted_customers
    ]
    return ConfigEdits(puts, tuple(sorted(deletes)))


def managed_entries(configuration: Configuration) -> dict[str, dict[str, Any]]:
    """Return the entries of a configuration that are profiles, services or customers."""
    return {n: v for n, v in configuration.entries.items() if n.startswith(MANAGED_PREFIXES)}


def write_change(
    platform: Platform,
    base: ConfigBase,
    change: Change,
    checks: Sequence[Check] = (),
    writes: Sequence[Write] = (),
    sleep: Callable[[float], None] = time.sleep,
) -> Result[Change, WriteFailure]:
    """Write `change` as the new head unless another change was accepted first.

    The author of the change must be unique: it identifies our own row in the change log. A
    transaction whose response was lost is sent again. The repeat either takes effect or finds the
    row of the first attempt, however late that one took effect.
    """
    key = sequence_key(change.version)
    head = {"version": change.version, "digest": change.digest}
    all_checks = [Check(*HEAD_ROW, base.head_row_version), Check(CHANGE_TABLE, key, 0), *checks]
    all_writes = [Write(*HEAD_ROW, head), Write(CHANGE_TABLE, key, change.to_value()), *writes]
    may_be_applied = False
    failure = PlatformError("unreachable")
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            sleep(RETRY_DELAY_S)
        written = platform.transact(all_checks, all_writes)
        if written.is_ok():
            return Ok(change)
        failure = written.error
        if failure.kind == "conflict":
            row = platform.read(CHANGE_TABLE, key)
            if row.is_ok():
                winner = None if row.ok is None else Change.from_value(row.ok.value)
                if winner == change:
                    return Ok(change)
                return Error(WriteFailure("lost_race", "another change was accepted first", winner))
            may_be_applied = True
        elif failure.kind == "refused":
            return Error(WriteFailure("refused", failure.detail))
        elif failure.kind == "lost":
            may_be_applied = True
        elif not may_be_applied:
            break
    return Error(WriteFailure("unknown" if may_be_applied else "unreachable", failure.detail))


def write_commuting_edits(
    platform: Platform,
    author: str,
    edit: Callable[[Configuration], ConfigEdits],
    sleep: Callable[[float], None] = time.sleep,
) -> Result[Change, WriteFailure]:
    """Write edits that are valid on any configuration, and retry after each lost race."""
    failure = WriteFailure("lost_race", "too many other changes were accepted first")
    for _ in range(MAX_RACE_ATTEMPTS):
        base = read_base(platform)
        if base.is_error():
            return Error(WriteFailure("unreachable", base.error.detail))
        edits = edit(base.ok.configuration)
        change = base.ok.configuration.next_change(author, *edits)
        written = write_change(platform, base.ok, change, sleep=sleep)
        if written.is_ok() or written.error.kind != "lost_race":
            return written
        failure = written.error
    return Error(failure)


def write_withdrawal(
    platform: Platform,
    author: str,
    digest: str,
    sleep: Callable[[float], None] = time.sleep,
) -> Result[None, WriteFailure]:
    """Store a withdrawal and delete the key's entry in one transaction."""
    failure = WriteFailure("lost_race", "too many other changes were accepted first")
    for _ in range(MAX_RACE_ATTEMPTS):
        stored = platform.read(WITHDRAWN_TABLE, digest)
        if stored.is_error():
            return Error(WriteFailure("unreachable", stored.error.detail))
        if stored.ok is not None:
            return Ok(None)
        base, log_end = read_base(platform), _read_log_end(platform)
        for read in (base, log_end):
            if read.is_error():
                return Error(WriteFailure("unreachable", read.error.detail))
        entry = base.ok.configuration.entries.get(f"key/{digest}")
        value = {"author": author, **(entry or {})}
        checks, writes = withdrawal_rows([digest], log_end.ok + 1, value)
        deletes = (f"key/{digest}",) if entry else ()
        change = base.ok.configuration.next_change(author, {}, deletes)
        written = write_change(platform, base.ok, change, checks, writes, sleep)
        if written.is_ok():
            return Ok(None)
        if written.error.kind != "lost_race":
            return Error(written.error)
        failure = written.error
    return Error(failure)


def _read_log_end(platform: Platform) -> Result[int, PlatformError]:
    log_end = 0
    while True:
        page = platform.scan(
            WITHDRAWN_LOG_TABLE, after=sequence_key(log_end) if log_end else "", limit=PAGE_ROWS
        )
        if page.is_error():
            return Error(page.error)
        if page.ok.rows:
            log_end = int(page.ok.rows[-1].key)
        if not page.ok.more:
            return Ok(log_end)
