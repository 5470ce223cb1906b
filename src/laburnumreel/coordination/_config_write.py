"""Accepted changes: compare-and-set on the head, with lost responses read back."""

import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Literal, NamedTuple

from expression import Error, Ok, Result

from laburnumreel.coordination._store_sync import (
    CHANGES,
    HEAD,
    PAGE,
    WITHDRAWN,
    WITHDRAWN_LOG,
    read_configuration,
    sequence_key,
    withdrawal_rows,
)
from laburnumreel.state import Change, Check, Configuration, Platform, PlatformError, Write

TRIES = 5
RETRY_PAUSE_S = 0.2
# Grants and withdrawals commute with any other change, so they are tried again after a lost race.
RACE_TRIES = 20
MANAGED = ("profile/", "service/", "customer/")


class Base(NamedTuple):
    """The newest configuration and the row version of its head, which a change must find."""

    configuration: Configuration
    head_row: int


class Edits(NamedTuple):
    """What a change would put and delete."""

    puts: dict[str, dict[str, Any]]
    deletes: tuple[str, ...]

    @property
    def empty(self) -> bool:
        return not self.puts and not self.deletes


class WriteFailure(NamedTuple):
    """Why a change was not accepted.

    `lost_race` names the change that won where it is known. `unknown` means that the platform's
    responses were lost, so that the change may have been accepted.
    """

    kind: Literal["lost_race", "unreachable", "unknown", "refused"]
    detail: str
    winner: Change | None = None


def read_base(platform: Platform) -> Result[Base, PlatformError]:
    """Read the newest accepted configuration."""
    head = platform.read(*HEAD)
    if head.is_error():
        return Error(head.error)
    if head.ok is None:
        return Ok(Base(Configuration(), 0))
    row = head.ok
    whole = read_configuration(platform, row.value["version"])
    if whole.is_ok() and whole.ok.digest != row.value["digest"]:
        return Error(PlatformError("refused", "the change log does not lead to the head's digest"))
    return whole.map(lambda configuration: Base(configuration, row.version))


def edits_to(configuration: Configuration, entries: Mapping[str, dict[str, Any]]) -> Edits:
    """Return the edits that make profiles, services and customers equal to `entries`.

    Keys stay, except those of a customer that goes: they would outlive its limits.
    """
    old = configuration.entries
    puts = {name: value for name, value in entries.items() if old.get(name) != value}
    deletes = [name for name in old if name.startswith(MANAGED) and name not in entries]
    gone = {name.removeprefix("customer/") for name in deletes if name.startswith("customer/")}
    deletes += [
        name
        for name, value in old.items()
        if name.startswith("key/") and value.get("customer") in gone
    ]
    return Edits(puts, tuple(sorted(deletes)))


def managed_entries(configuration: Configuration) -> dict[str, dict[str, Any]]:
    """Return the profiles, services and customers of a configuration."""
    return {n: v for n, v in configuration.entries.items() if n.startswith(MANAGED)}


def write_change(
    platform: Platform,
    base: Base,
    change: Change,
    checks: Sequence[Check] = (),
    writes: Sequence[Write] = (),
    sleep: Callable[[float], None] = time.sleep,
) -> Result[Change, WriteFailure]:
    """Make `change` the head unless another change came first. Its author must be unique.

    A transaction whose response was lost is sent again: it either takes effect now or finds its own
    row, however late the first one took effect.
    """
    key = sequence_key(change.version)
    head = {"version": change.version, "digest": change.digest}
    all_checks = [Check(*HEAD, base.head_row), Check(CHANGES, key, 0), *checks]
    all_writes = [Write(*HEAD, head), Write(CHANGES, key, change.to_value()), *writes]
    lost = False
    failure = PlatformError("unreachable")
    for attempt in range(TRIES):
        if attempt:
            sleep(RETRY_PAUSE_S)
        written = platform.transact(all_checks, all_writes)
        if written.is_ok():
            return Ok(change)
        failure = written.error
        if failure.kind == "conflict":
            row = platform.read(CHANGES, key)
            if row.is_ok():
                winner = None if row.ok is None else Change.from_value(row.ok.value)
                if winner == change:
                    return Ok(change)
                return Error(WriteFailure("lost_race", "another change came first", winner))
            lost = True
        elif failure.kind == "refused":
            return Error(WriteFailure("refused", failure.detail))
        elif failure.kind == "lost":
            lost = True
        elif not lost:
            break
    return Error(WriteFailure("unknown" if lost else "unreachable", failure.detail))


def write_commuting(
    platform: Platform,
    author: str,
    edit: Callable[[Configuration], Edits],
    sleep: Callable[[float], None] = time.sleep,
) -> Result[Change, WriteFailure]:
    """Write edits that hold whatever else changes, again after each lost race."""
    failure = WriteFailure("lost_race", "too many other changes came first")
    for _ in range(RACE_TRIES):
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
    """Store a withdrawal and delete the key's entry, in one transaction."""
    failure = WriteFailure("lost_race", "too many other changes came first")
    for _ in range(RACE_TRIES):
        stored = platform.read(WITHDRAWN, digest)
        if stored.is_error():
            return Error(WriteFailure("unreachable", stored.error.detail))
        if stored.ok is not None:
            return Ok(None)
        base, end = read_base(platform), _log_end(platform)
        for read in (base, end):
            if read.is_error():
                return Error(WriteFailure("unreachable", read.error.detail))
        entry = base.ok.configuration.entries.get(f"key/{digest}")
        value = {"author": author, **(entry or {})}
        checks, writes = withdrawal_rows([digest], end.ok + 1, value)
        deletes = (f"key/{digest}",) if entry else ()
        change = base.ok.configuration.next_change(author, {}, deletes)
        written = write_change(platform, base.ok, change, checks, writes, sleep)
        if written.is_ok():
            return Ok(None)
        if written.error.kind != "lost_race":
            return Error(written.error)
        failure = written.error
    return Error(failure)


def _log_end(platform: Platform) -> Result[int, PlatformError]:
    end = 0
    while True:
        page = platform.scan(WITHDRAWN_LOG, after=sequence_key(end) if end else "", limit=PAGE)
        if page.is_error():
            return Error(page.error)
        if page.ok.rows:
            end = int(page.ok.rows[-1].key)
        if not page.ok.more:
            return Ok(end)
