"""The backend servers of a relay, as the directory lists them."""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

Address = tuple[str, int]

# Entries that went, of which a list remembers how far they were written.
MAX_REMEMBERED_ENTRIES = 1000
NEVER_WRITTEN = (-1, -1)
# Requests that one backend server may work on at once, by its own word.
MAX_SLOTS = 1_000_000


class Role(StrEnum):
    """What an engine does: read prompts, or generate tokens."""

    PREFILL = "prefill"
    DECODE = "decode"


class ListedBackEnd(NamedTuple):
    """A backend server as its own entry in the directory describes it.

    `name` is that of one incarnation. `role` is None for a backend server that is no engine.
    `started_at_ms` tells two starts under the same name apart; it is in milliseconds of the Unix
    epoch, or 0 where the entry does not say. `beat` grows with each writing of the entry since the
    start.
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

    @property
    def written(self) -> tuple[int, int]:
        """Orders the writings of an entry in time."""
        return self.started_at_ms, self.beat


class BackEndList:
    """Which backend servers may get new work.

    An entry that is dropped while the directory is away, or just after it is back, may only have
    lapsed because its backend server could not renew it. It counts for `return_grace_s` seconds
    after the return and is gone if it has not come back by then. Where only a peer doubts that the
    directory answers, an entry counts for that long from when this host first found it missing.

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
        # Names that were dropped in the grace time, and when each is gone for good.
        self._removal_times: dict[str, float] = {}
        # How far the entries that went were written, the oldest first: a store that comes back from
        # an older copy shows them again.
        self._removed_writings: dict[str, tuple[int, int]] = {}
        self._is_directory_lost = False
        # Whether peers say that the directory is away, which this host did not find.
        self._is_directory_doubted = False
        self._grace_until = float("-inf")

    def __iter__(self):
        return iter(list(self._listed.values()))

    def __len__(self) -> int:
        return len(self._listed)

    def get(self, name: str) -> ListedBackEnd | None:
        """Return the entry of a name, or None."""
        return self._listed.get(name)

    def replace(self, entries: Iterable[ListedBackEnd], now: float) -> None:
        """Take a complete list."""
        entries = {entry.name: entry for entry in entries}
        for name in list(self._listed):
            if name not in entries:
                self.drop(name, now)
        for entry in entries.values():
            self.put(entry)

    def put(self, entry: ListedBackEnd) -> None:
        """Take a new or changed entry, unless it was written before the known or the last one."""
        known = self._listed.get(entry.name)
        if known is not None and entry.written < known.written:
            return
        if entry.written <= self._removed_writings.get(entry.name, NEVER_WRITTEN):
            return
        self._removed_writings.pop(entry.name, None)
        self._listed[entry.name] = entry
        self._removal_times.pop(entry.name, None)

    def drop(self, name: str, now: float) -> None:
        """Take in that an entry was removed."""
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
        """Drop an entry at once, because its backend server is known to be gone."""
        entry = self._listed.pop(name, None)
        self._removal_times.pop(name, None)
        if entry is not None and entry.written > (0, 0):
            self._removed_writings[name] = entry.written
            if len(self._removed_writings) > MAX_REMEMBERED_ENTRIES:
                del self._removed_writings[next(iter(self._removed_writings))]

    def on_directory_lost(self, now: float) -> None:
        """Take in that the directory does not answer."""
        self._is_directory_lost = True

    def on_directory_doubted(self, now: float) -> None:
        """Take in that peers say that the directory does not answer."""
        self._is_directory_doubted = True

    def on_directory_back(self, now: float) -> None:
        """Take in that the directory answers again."""
        if self._is_directory_lost or self._is_directory_doubted:
            self._grace_until = now + self._return_grace_s
        if self._is_directory_lost:
            for name in self._removal_times:
                self._removal_times[name] = self._grace_until
        self._is_directory_lost = self._is_directory_doubted = False

    def expire(self, now: float) -> None:
        """Forget the entries that did not come back in the grace time."""
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
