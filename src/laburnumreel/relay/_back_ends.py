"""The list of backend servers, as read from the directory."""

from collections.abc import Iterable, Mapping
from enum import StrEnum
from types import MappingProxyType
from typing import NamedTuple

from laburnumreel.state import era_of_version

Address = tuple[str, int]

# Removed entries whose last version is remembered.
MAX_REMEMBERED_ENTRIES = 1000
EMPTY: Mapping[str, int] = MappingProxyType({})
# Upper bound of the concurrent requests that a backend server may declare.
MAX_SLOTS = 1_000_000


class Role(StrEnum):
    """The role of an engine: read prompts (prefill) or generate tokens (decode)."""

    PREFILL = "prefill"
    DECODE = "decode"


class ListedBackEnd(NamedTuple):
    """A backend server as described by its directory entry.

    `name` is unique among the listed entries. A restart may keep it, and then has another
    `started_at_ms`, in milliseconds since the Unix epoch, or 0 if the entry does not have it.
    `beat` increases each time the entry is written after the start. `role` is None for a backend
    server that is not an engine. `software` is the version of its software, empty if unknown.
    """

    name: str
    service: str
    address: Address
    zone: str
    slots: int
    draining: bool = False
    role: Role | None = None
    cheap: bool = False
    started_at_ms: int = 0
    beat: int = 0
    software: str = ""

    @property
    def written(self) -> tuple[int, int]:
        """What its writer says of when it was written, by the clock of the writer's machine."""
        return self.started_at_ms, self.beat


class Writing(NamedTuple):
    """When an entry was written: by its writer's clock, and the store's version of its row.

    The version is 0 if it is not known.
    """

    written: tuple[int, int]
    version: int = 0


class BackEndList:
    """The backend servers that may get new work.

    An entry that disappears while the directory is unavailable, or just after its return, may have
    expired only because its backend server could not renew it. It is kept until `return_grace_s`
    seconds after the return and removed if it has not reappeared by then. If only a peer reports
    that the directory is unavailable, the grace period starts when this host first finds the entry
    missing.

    The store's versions order the writings of an entry, whatever the clocks of the writer's machine
    say. Only a store that was restored from an older copy may list older writings with higher
    versions; these are told by the writer's start time and beat.

    >>> listed = ListedBackEnd("b1", "orders", ("10.0.0.1", 80), "zone-a", 4)
    >>> back_ends = BackEndList(return_grace_s=2.0)
    >>> back_ends.replace([listed], now=0.0)
    >>> back_ends.on_directory_lost(now=1.0)
    >>> back_ends.on_directory_back(now=5.0)
    >>> back_ends.drop("b1", now=5.1)
    >>> [len(back_ends.usable("orders", now)) for now in (5.2, 7.2)]
    [1, 0]
    """

    def __init__(self, return_grace_s: float) -> None:
        self._return_grace_s = return_grace_s
        self._listed: dict[str, ListedBackEnd] = {}
        # The store's versions of the listed entries, where they are known.
        self._versions: dict[str, int] = {}
        # Entries with a higher version of the same era were written after the store was restored.
        self._era_began_at = 0
        # Entries that were dropped during a grace period, and when each will be removed.
        self._removal_times: dict[str, float] = {}
        # Last writings of removed entries, the oldest first. A store that is restored from an
        # older copy lists these entries again.
        self._removed_writings: dict[str, Writing] = {}
        self._is_directory_lost = False
        # Whether peers report the directory as unavailable while this host can still reach it.
        self._is_directory_doubted = False
        self._grace_until = float("-inf")

    def __iter__(self):
        return iter(list(self._listed.values()))

    def __len__(self) -> int:
        return len(self._listed)

    def get(self, name: str) -> ListedBackEnd | None:
        """Return the entry of a name, or None."""
        return self._listed.get(name)

    def begin_era(self, version: int) -> None:
        """Record that the store was restored from an older copy, which it read up to a version."""
        self._era_began_at = version

    def replace(
        self, entries: Iterable[ListedBackEnd], now: float, versions: Mapping[str, int] = EMPTY
    ) -> None:
        """Replace the whole list. `versions` are the store's versions of the entries' rows."""
        entries = {entry.name: entry for entry in entries}
        for name in list(self._listed):
            if name not in entries:
                self.drop(name, now)
        for entry in entries.values():
            self.put(entry, versions.get(entry.name, 0))

    def put(self, entry: ListedBackEnd, version: int = 0) -> None:
        """Add or update an entry unless it is older than the known or the last removed one."""
        writing = Writing(entry.written, version)
        known = self._listed.get(entry.name)
        if known is not None and self._is_older(writing, self._writing_of(known)):
            return
        removed = self._removed_writings.get(entry.name)
        if removed is not None and not self._is_older(removed, writing):
            return
        self._removed_writings.pop(entry.name, None)
        self._listed[entry.name] = entry
        self._versions[entry.name] = version
        self._removal_times.pop(entry.name, None)

    def drop(self, name: str, now: float) -> None:
        """Remove an entry, or keep it for the grace period if the directory is or was away."""
        entry = self._listed.get(name)
        if entry is None:
            return
        if entry.draining or not (
            self._is_directory_lost or self._is_directory_doubted or now < self._grace_until
        ):
            self.forget(name)
        elif name not in self._removal_times:
            ends = self._grace_until if now < self._grace_until else now + self._return_grace_s
            self._removal_times[name] = ends

    def forget(self, name: str) -> None:
        """Remove an entry immediately, because its backend server is known to have ended."""
        entry = self._listed.pop(name, None)
        self._removal_times.pop(name, None)
        version = self._versions.pop(name, 0)
        # An entry with neither a version, a start time nor a beat has nothing to compare.
        if entry is not None and (version or entry.written > (0, 0)):
            self._removed_writings[name] = Writing(entry.written, version)
            if len(self._removed_writings) > MAX_REMEMBERED_ENTRIES:
                del self._removed_writings[next(iter(self._removed_writings))]

    def on_directory_lost(self, now: float) -> None:
        """Record that the directory does not answer."""
        self._is_directory_lost = True

    def on_directory_doubted(self, now: float) -> None:
        """Record that peers report that the directory does not answer."""
        self._is_directory_doubted = True

    def on_directory_back(self, now: float) -> None:
        """Record that the directory answers again and start the grace period."""
        if self._is_directory_lost or self._is_directory_doubted:
            self._grace_until = now + self._return_grace_s
        # If the directory was only doubted, the grace periods of missing entries run already.
        if self._is_directory_lost:
            for name in self._removal_times:
                self._removal_times[name] = self._grace_until
        self._is_directory_lost = self._is_directory_doubted = False

    def expire(self, now: float) -> None:
        """Remove the entries that did not reappear within the grace period."""
        # The grace periods of a lost directory start with its return.
        if self._is_directory_lost:
            return
        for name, removed_at in list(self._removal_times.items()):
            if now >= removed_at:
                self.forget(name)

    def usable(self, service: str, now: float) -> list[ListedBackEnd]:
        """Return the backend servers of a service that may get new work."""
        self.expire(now)
        return [
            entry
            for entry in self._listed.values()
            if entry.service == service and not entry.draining
        ]

    def _writing_of(self, entry: ListedBackEnd) -> Writing:
        return Writing(entry.written, self._versions.get(entry.name, 0))

    def _is_older(self, first: Writing, second: Writing) -> bool:
        """Return whether one writing of an entry is older than another one."""
        if not (first.version and second.version):
            return first.written < second.written
        eras = era_of_version(first.version), era_of_version(second.version)
        if eras[0] == eras[1]:
            return first.version < second.version
        newer = max(first, second, key=lambda writing: writing.version)
        if newer.version > self._era_began_at:
            return newer is second
        return first.written < second.written
