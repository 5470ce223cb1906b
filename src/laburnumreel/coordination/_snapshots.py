"""Task that stores snapshots of the configuration, from which new nodes load it."""

from collections.abc import Callable

from laburnumreel.coordination._authority import AuthorityRegistry
from laburnumreel.coordination._events import SNAPSHOT_WRITTEN
from laburnumreel.core import Log, Task
from laburnumreel.state import LEASE_TABLE, Check, Configuration, Platform, Write

SNAPSHOT_LEASE = "snapshot"
CHANGES_PER_SNAPSHOT = 500
SNAPSHOT_TICK_S = 5.0
SNAPSHOT_TABLE, SNAPSHOT_KEY = "config_snapshot", "latest"

_log = Log("coordination.snapshots")


class SnapshotWriter(Task):
    """Writes the configuration as an object every 500 changes and names it in the row `latest`."""

    def __init__(
        self,
        platform: Platform,
        authorities: AuthorityRegistry,
        configuration: Callable[[], Configuration | None],
    ) -> None:
        super().__init__("snapshots", SNAPSHOT_TICK_S)
        self._platform = platform
        self._authorities = authorities
        self._configuration = configuration

    def tick(self) -> None:
        authority = self._authorities.current(SNAPSHOT_LEASE)
        configuration = self._configuration()
        if authority is None or configuration is None:
            return
        row = self._platform.read(SNAPSHOT_TABLE, SNAPSHOT_KEY)
        if row.is_error():
            return
        version = 0 if row.ok is None else row.ok.value["version"]
        if configuration.version < version + CHANGES_PER_SNAPSHOT:
            return
        object_name = f"config/{configuration.version:012d}"
        if self._platform.put_object(object_name, configuration.to_bytes()).is_error():
            return
        # If the response was lost, the next tick reads the row again.
        result = self._platform.transact(
            [
                Check(LEASE_TABLE, SNAPSHOT_LEASE, authority.row_version),
                Check(SNAPSHOT_TABLE, SNAPSHOT_KEY, 0 if row.ok is None else row.ok.version),
            ],
            [
                Write(
                    SNAPSHOT_TABLE,
                    SNAPSHOT_KEY,
                    {"version": configuration.version, "object": object_name},
                )
            ],
        )
        if result.is_ok():
            _log.info(SNAPSHOT_WRITTEN, version=configuration.version)
