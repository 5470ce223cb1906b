"""Reads the configuration and the withdrawn keys from the store, and stores withdrawals."""

import random
import re
from collections.abc import Sequence
from typing import Any

from expression import Error, Ok, Result

from laburnumreel.coordination._replica import Replica
from laburnumreel.state import (
    Change,
    Check,
    Configuration,
    FieldError,
    Fields,
    Platform,
    PlatformError,
    Row,
    Write,
    own_row_log,
)

HEAD_ROW = ("config_head", "head")
CHANGE_TABLE = "config_change"
SNAPSHOT_ROW = ("config_snapshot", "latest")
WITHDRAWN_TABLE = "withdrawn"
# Rows of the table `withdrawn` are keyed by digest, so they cannot be read in the order of writing.
# Each writer also appends a row to this log, which readers follow by sequence number.
WITHDRAWN_LOG_TABLE = "withdrawn_log"

_SEQUENCE_KEY = re.compile(r"[0-9]{12}")

PAGE_ROWS = 500
# Limits the pages read in one poll so that the task stays responsive; the next poll continues.
MAX_PAGES_PER_POLL = 40
MAX_DIGESTS_PER_WRITE = 50


def sequence_key(number: int) -> str:
    """Return the 12-digit row key of a version or sequence."""
    return f"{number:012d}"


class StoreSync:
    """Keeps a replica up to date with the store. It has no thread; the caller polls it."""

    def __init__(
        self,
        platform: Platform,
        replica: Replica,
        rng: random.Random,
        write_share: float = 1.0,
    ) -> None:
        """Create a reader that writes unstored withdrawals in the share `write_share` of its polls.

        Every process learns of every withdrawal and any of them can store it, so in a large fleet a
        small share keeps most processes from trying at once.
        """
        self._platform = platform
        self._replica = replica
        self._rng = rng
        self._write_share = write_share
        self._log_end = 0
        self._read_at = float("-inf")
        self._has_read_all = False

    @property
    def read_at(self) -> float:
        """The time that the caller gave to the last poll that read everything."""
        return self._read_at

    @property
    def has_read_all(self) -> bool:
        """Whether all of the store has been read at least once."""
        return self._has_read_all

    def poll(self, now: float) -> Result[None, PlatformError]:
        """Read new rows, withdrawals first, then store the withdrawals that are not stored yet."""
        read = self._read(now)
        is_writer = self._replica.unstored and self._rng.random() < self._write_share
        return self._store_withdrawals() if read.is_ok() and is_writer else read

    def poll_and_store(self, now: float) -> Result[None, PlatformError]:
        """Poll, and store withdrawals whatever the share of this process in the writes."""
        return self._read(now).bind(lambda _: self._store_withdrawals())

    def _read(self, now: float) -> Result[None, PlatformError]:
        read = self._read_withdrawn().bind(lambda _: self._read_configuration())
        if read.is_ok():
            self._read_at = max(self._read_at, now)
            self._has_read_all = True
        return read

    def _read_withdrawn(self) -> Result[None, PlatformError]:
        for _ in range(MAX_PAGES_PER_POLL):
            page = self._platform.scan(
                WITHDRAWN_LOG_TABLE,
                after=sequence_key(self._log_end) if self._log_end else "",
                limit=PAGE_ROWS,
            )
            if page.is_error():
                return Error(page.error)
            for row in page.ok.rows:
                applied = self._apply_log_row(row)
                if applied.is_error():
                    return applied
            if not page.ok.more:
                return Ok(None)
        return Error(PlatformError("unreachable", "more new withdrawals than one poll reads"))

    def _apply_log_row(self, row: Row) -> Result[None, PlatformError]:
        """Apply the withdrawals of a log row.

        If the row is malformed, the table `withdrawn`, which has every digest, is read instead.
        """
        if not _SEQUENCE_KEY.fullmatch(row.key):
            own_row_log.log_once(
                WITHDRAWN_LOG_TABLE, row.key, row.version, "the key is not a sequence number"
            )
            return Ok(None)
        try:
            self._replica.withdraw(Fields(row.value).text_list("digests"), stored=True)
        except FieldError as error:
            own_row_log.log_once(WITHDRAWN_LOG_TABLE, row.key, row.version, str(error))
            read = self._read_all_withdrawn()
            if read.is_error():
                return read
        self._log_end = int(row.key)
        return Ok(None)

    def _read_all_withdrawn(self) -> Result[None, PlatformError]:
        after = ""
        while True:
            page = self._platform.scan(WITHDRAWN_TABLE, after=after, limit=PAGE_ROWS)
            if page.is_error():
                return Error(page.error)
            self._replica.withdraw([row.key for row in page.ok.rows], stored=True)
            if not (page.ok.more and page.ok.rows):
                return Ok(None)
            after = page.ok.rows[-1].key

    def _read_configuration(self) -> Result[None, PlatformError]:
        head = self._platform.read(*HEAD_ROW)
        if head.is_error():
            return Error(head.error)
        if head.ok is None:
            return Ok(None)
        try:
            fields = Fields(head.ok.value)
            version, digest = fields.integer("version"), fields.text("digest")
        except FieldError as error:
            own_row_log.log_once(HEAD_ROW[0], HEAD_ROW[1], head.ok.version, str(error))
            return Ok(None)
        ours = self._replica.configuration
        if version > ours.version:
            return self._read_changes(version)
        if version == ours.version and digest != ours.digest:
            return self._read_full_configuration(version)
        return Ok(None)

    def _read_changes(self, target_version: int) -> Result[None, PlatformError]:
        if target_version - self._replica.configuration.version > PAGE_ROWS:
            # Reading a snapshot object takes one call, the changes before it many pages.
            snapshot = read_snapshot(self._platform)
            if snapshot.is_ok() and snapshot.ok is not None:
                self._replica.adopt_snapshot(snapshot.ok)
        for _ in range(MAX_PAGES_PER_POLL):
            changes = scan_changes(self._platform, self._replica.configuration.version)
            if changes.is_error():
                return Error(changes.error)
            before = self._replica.configuration.version
            problem = self._replica.adopt_changes(changes.ok)
            if problem is not None:
                return self._read_full_configuration(target_version)
            version = self._replica.configuration.version
            if version >= target_version:
                return Ok(None)
            if version == before:
                return self._read_full_configuration(target_version)
        return Error(PlatformError("unreachable", "more new changes than one poll reads"))

    def _read_full_configuration(self, target_version: int) -> Result[None, PlatformError]:
        full_read = read_configuration(self._platform, target_version)
        if full_read.is_error():
            return Error(full_read.error)
        self._replica.adopt_snapshot(full_read.ok, repair=True)
        return Ok(None)

    def _store_withdrawals(self) -> Result[None, PlatformError]:
        unstored = self._replica.unstored[:MAX_DIGESTS_PER_WRITE]
        if not unstored:
            return Ok(None)
        checks, writes = withdrawal_rows(unstored, self._log_end + 1, {})
        stored = self._platform.transact(checks, writes)
        if stored.is_ok():
            self._replica.withdraw(unstored, stored=True)
            self._log_end += 1
            return Ok(None)
        # A conflict means that another process stored some of them or used the sequence number. In
        # that case and after a lost response, the next poll reads the log and stores what is still
        # missing.
        if stored.error.kind == "conflict":
            rows = stored.error.rows
            known = [digest for digest in unstored if rows.get((WITHDRAWN_TABLE, digest))]
            self._replica.withdraw(known, stored=True)
            return Ok(None)
        return Error(stored.error)


def withdrawal_rows(
    digests: Sequence[str], sequence: int, value: dict[str, Any]
) -> tuple[list[Check], list[Write]]:
    """Return the checks and writes that store new withdrawals under this log sequence."""
    key = sequence_key(sequence)
    checks = [Check(WITHDRAWN_TABLE, digest, 0) for digest in digests]
    writes = [Write(WITHDRAWN_TABLE, digest, {**value, "sequence": sequence}) for digest in digests]
    return (
        [*checks, Check(WITHDRAWN_LOG_TABLE, key, 0)],
        [*writes, Write(WITHDRAWN_LOG_TABLE, key, {"digests": list(digests)})],
    )


def scan_changes(
    platform: Platform, after: int, limit: int = PAGE_ROWS
) -> Result[list[Change], PlatformError]:
    """Return the page of changes that follow version `after`."""
    page = platform.scan(CHANGE_TABLE, after=sequence_key(after), limit=limit)
    return page.map(lambda found: [Change.from_value(row.value) for row in found.rows])


def read_snapshot(platform: Platform) -> Result[Configuration | None, PlatformError]:
    """Return the newest snapshot if it is readable and matches the change log, else None."""
    row = platform.read(*SNAPSHOT_ROW)
    if row.is_error():
        return Error(row.error)
    if row.ok is None:
        return Ok(None)
    body = platform.get_object(row.ok.value["object"])
    if body.is_error():
        return Error(body.error)
    change = platform.read(CHANGE_TABLE, sequence_key(row.ok.value["version"]))
    if change.is_error():
        return Error(change.error)
    if body.ok is None or change.ok is None:
        return Ok(None)
    try:
        configuration = Configuration.from_bytes(body.ok)
    except (ValueError, KeyError, TypeError, AttributeError):
        return Ok(None)
    is_accepted = (configuration.version, configuration.digest) == (
        row.ok.value["version"],
        change.ok.value["digest"],
    )
    return Ok(configuration if is_accepted else None)


def read_configuration(
    platform: Platform, target_version: int | None = None
) -> Result[Configuration, PlatformError]:
    """Read the whole configuration from the store, at version `target_version` or the newest."""
    configuration = Configuration()
    snapshot = read_snapshot(platform)
    if snapshot.is_error():
        return Error(snapshot.error)
    if snapshot.ok is not None and (
        target_version is None or snapshot.ok.version <= target_version
    ):
        configuration = snapshot.ok
    while target_version is None or configuration.version < target_version:
        changes = scan_changes(platform, configuration.version)
        if changes.is_error():
            return Error(changes.error)
        for change in changes.ok:
            if target_version is not None and change.version > target_version:
                break
            applied = configuration.apply(change)
            if applied.is_error():
                return Error(
                    PlatformError("refused", f"the change log is damaged: {applied.error}")
                )
            configuration = applied.ok
        if len(changes.ok) < PAGE_ROWS:
            break
    if target_version is not None and configuration.version < target_version:
        return Error(
            PlatformError("refused", f"the change log ends before version {target_version}")
        )
    return Ok(configuration)
