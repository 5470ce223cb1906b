"""The task that keeps the versions of each service's software in the store.

Hosts that all start at once, after all were killed, know only what is listed then. The rows tell
them which versions may have begun the streams that their callers take up.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from laburnumreel.core import Log, Task
from laburnumreel.relay._events import SOFTWARE_STORED, SOFTWARE_UNREADABLE
from laburnumreel.relay._software_history import MIN_STREAM_LIFE_S
from laburnumreel.relay._stream_directory import StreamDirectory
from laburnumreel.state import Check, FieldError, Fields, Platform, Row, Write, own_row_log

SOFTWARE_TABLE = "relay_software"
TICK_S = 0.5
# Failed calls are repeated after this time.
RETRY_S = 2.0
MAX_ROWS = 500
# In a new era of the store, rows are read this often until the holder has written them again. After
# that time the versions are known from the list of backend servers.
MAX_REREADS = round(MIN_STREAM_LIFE_S / RETRY_S)
ERA_FIELD = "era"

_log = Log("relay.software_rows")


class _StoredVersions(NamedTuple):
    """The versions in a row, none if it can't be read, and the row's version in the store.

    `era` is the store's era in which the row was written. In a later one it may be an older copy.
    """

    versions: frozenset[str] = frozenset()
    row_version: int = 0
    era: int = 0


class SoftwareRows(Task):
    """Reads the rows as the host starts, and renews them while it holds the lease of the duties.

    A row has the versions that may have begun a live stream. It is written only as these change, so
    that a service with one version costs a read for each start of a host. In a new era of the store
    all rows are written again, because those of before may lack a version. `fence` returns the
    fencing number under which this host does the duties, or 0, and `era` the store's era.
    """

    def __init__(
        self,
        platform: Platform,
        directory: StreamDirectory,
        fence: Callable[[], int],
        era: Callable[[], int] = lambda: 0,
    ) -> None:
        super().__init__("software-rows", TICK_S)
        self._platform = platform
        self._directory = directory
        self._fence = fence
        self._era = era
        self._read_era: int | None = None
        self._rows: Mapping[str, _StoredVersions] = {}
        self._ticks_to_wait = 0
        self._rows_era = 0
        self._rereads_left = MAX_REREADS

    def request_read(self) -> None:
        """Have the rows read again at the next tick. May be called from any thread."""
        self._read_era = None

    def tick(self) -> None:
        if self._ticks_to_wait:
            self._ticks_to_wait -= 1
        elif self._read_era != self._era():
            self._read()
        elif self._fence():
            self._write()

    def _read(self) -> None:
        era = self._era()
        page = self._platform.scan(SOFTWARE_TABLE, limit=MAX_ROWS)
        if page.is_error():
            self._wait_after_error(page.error.kind, page.error.detail)
            return
        self._rows = {row.key: _parse_row(row) for row in page.ok.rows}
        self._read_era = era
        # A malformed row is written again, and its service's versions are not known till then.
        stored = {key: each for key, each in self._rows.items() if each.versions}
        older = {key: each.versions for key, each in stored.items() if each.era != era}
        self._directory.on_stored(
            {key: each.versions for key, each in stored.items() if key not in older}
        )
        if older:
            self._directory.on_restored(older)
            self._reread_later(era)

    def _reread_later(self, era: int) -> None:
        """Have the rows read again soon, unless this host writes them or has read them often."""
        if era != self._rows_era:
            self._rows_era, self._rereads_left = era, MAX_REREADS
        if not self._fence() and self._rereads_left:
            self._rereads_left -= 1
            self._read_era = None
            self._ticks_to_wait = round(RETRY_S / TICK_S)

    def _write(self) -> None:
        era = self._era()
        changed = {
            service: versions
            for service, versions in self._directory.versions().result().items()
            if versions and not self._is_stored(service, versions)
        }
        for service, versions in changed.items():
            row_version = self._stored(service).row_version
            value = {"versions": sorted(versions - {""}), "has_unknown": "" in versions}
            if era:
                value[ERA_FIELD] = era
            written = self._platform.transact(
                [Check(SOFTWARE_TABLE, service, row_version)],
                [Write(SOFTWARE_TABLE, service, value)],
            )
            if written.is_error():
                # Another holder may have written the row, or this write took effect.
                self._read_era = None
                self._wait_after_error(written.error.kind, written.error.detail)
                return
            self._rows = {**self._rows, service: _StoredVersions(versions, written.ok, era)}
            _log.info(SOFTWARE_STORED, service=service, versions=sorted(versions))

    def _stored(self, service: str) -> _StoredVersions:
        return self._rows.get(service, _StoredVersions())

    def _is_stored(self, service: str, versions: frozenset[str]) -> bool:
        stored = self._stored(service)
        return stored.versions == versions and stored.era == self._read_era

    def _wait_after_error(self, kind: str, detail: str) -> None:
        self._ticks_to_wait = round(RETRY_S / TICK_S)
        _log.warning(SOFTWARE_UNREADABLE, kind=kind, detail=detail[:200])


def _parse_row(row: Row) -> _StoredVersions:
    try:
        fields = Fields(row.value)
        versions = frozenset(fields.text_list("versions"))
        unknown = {""} if fields.flag("has_unknown", False) else set()
        era = fields.integer(ERA_FIELD, default=0)
        return _StoredVersions(versions | unknown, row.version, era)
    except FieldError as error:
        own_row_log.log_once(SOFTWARE_TABLE, row.key, row.version, str(error))
        return _StoredVersions(frozenset(), row.version)
