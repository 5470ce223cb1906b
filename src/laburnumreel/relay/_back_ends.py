"""The list of backend servers, as read from the directory."""

from collections.abc import Collection, Iterable, Mapping
from enum import StrEnum
from types import MappingProxyType
from typing import NamedTuple

from laburnumreel.relay._ended_starts import EndedStart, EndedStarts, Writing
from laburnumreel.state import era_of_version

Address = tuple[str, int]

# A server whose entry is overwritten by an older writing gets no new work until it has written again,
# if it has not done so after this many of its heartbeat intervals.
MAX_HEARTBEATS_TO_CONFIRM = 1.25
DEFAULT_HEARTBEAT_S = 1.2
# Names of entries that were never listed which are remembered.
MAX_UNLISTED_NAMES = 1000
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


class BackEndList:
    """The backend servers that may get new work.

    An entry that disappears while the directory is unavailable, or just after its return, may have
    expired only because its backend server could not renew it. It is kept until `return_grace_s`
    seconds after the return and removed if it has not reappeared by then. If only a peer reports
    that the directory is unavailable, the grace period starts when this host first finds the entry
    missing.

    Within one start of a server, the beat orders its writings, because the store may perform a write
    late. A start that has ended is listed again with one writing after its last one, because the
    store does not show writings that change the beat alone. An older writing in place of the listed
    one may hide a removal, so the server then has to write again before
    `MAX_HEARTBEATS_TO_CONFIRM` intervals of `heartbeat_s` seconds pass, or gets no new work until
    it does.

    The store's versions order the writings of different starts, whatever the clocks of the writer's
    machine say. Only a store that was restored from an older copy may list older writings with
    higher versions; these are told by the writer's start time and beat.

    >>> listed = ListedBackEnd("b1", "orders", ("10.0.0.1", 80), "zone-a", 4)
    >>> back_ends = BackEndList(return_grace_s=2.0)
    >>> back_ends.replace([listed], now=0.0)
    >>> back_ends.on_directory_lost(now=1.0)
    >>> back_ends.on_directory_back(now=5.0)
    >>> back_ends.drop("b1", now=5.1)
    >>> [len(back_ends.usable("orders", now)) for now in (5.2, 7.2)]
    [1, 0]
    """

    def __init__(self, return_grace_s: float, heartbeat_s: float = DEFAULT_HEARTBEAT_S) -> None:
        self._return_grace_s = return_grace_s
        self._confirm_s = MAX_HEARTBEATS_TO_CONFIRM * heartbeat_s
        self._listed: dict[str, ListedBackEnd] = {}
        # The store's versions of the listed entries, where they are known.
        self._versions: dict[str, int] = {}
        # Entries with a higher version of the same era were written after the store was restored.
        self._era_began_at = 0
        # Entries that were dropped during a grace period, and when each will be removed.
        self._removal_times: dict[str, float] = {}
        self._ended = EndedStarts()
        # The starts of the rows in the directory that were not listed, by name.
        self._refused_starts: dict[str, int] = {}
        # Listed starts that had ended before, by name.
        self._returned_starts: dict[str, int] = {}
        # Names that were never listed and whose entries were removed.
        self._unlisted_names: dict[str, None] = {}
        # When servers whose entries were overwritten by older writings get no new work any more.
        self._unconfirmed_from: dict[str, float] = {}
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

    @property
    def refused_starts(self) -> dict[str, EndedStart]:
        """The starts that have ended and whose rows are in the directory nevertheless, by name.

        A host that has not seen the end would take such a row for a server that lives.
        """
        ended = {
            name: self._ended.get(name, start) if start else None
            for name, start in self._refused_starts.items()
        }
        return {
            name: each for name, each in ended.items() if each is not None and not each.has_lapsed
        }

    def on_peer_ended(self, name: str, started_at_ms: int, beat: int, now: float) -> bool:
        """Record a peer's report that a start has ended, and return whether its entry was removed.

        A newer writing than the last one that the peer counts shows that the server lives.
        """
        entry = self._listed.get(name)
        if entry is not None and entry.started_at_ms == started_at_ms:
            if entry.beat > beat:
                return False
            self.forget(name, now)
        self._ended.add_told(name, started_at_ms, beat, now)
        return entry is not None and self._listed.get(name) is None

    def is_first_seen(self, name: str) -> bool:
        """Return whether an entry that was removed was never seen before.

        Its server may have come and gone between two reads. Each such name counts once.
        """
        if name in self._listed or name in self._unlisted_names or self._ended.has(name):
            return False
        self._unlisted_names[name] = None
        if len(self._unlisted_names) > MAX_UNLISTED_NAMES:
            del self._unlisted_names[next(iter(self._unlisted_names))]
        return True

    def begin_era(self, version: int) -> None:
        """Record that the store was restored from an older copy, which it read up to a version."""
        self._era_began_at = version

    def replace(
        self,
        entries: Iterable[ListedBackEnd],
        now: float,
        versions: Mapping[str, int] = EMPTY,
        unreadable: Collection[str] = (),
        read_version: float = float("inf"),
    ) -> None:
        """Replace the whole list.

        `versions` are the store's versions of the entries' rows, and `unreadable` the names of rows
        that can't be read. Entries that were written after `read_version` stay.
        """
        entries = {entry.name: entry for entry in entries}
        for name in [*self._listed, *self._refused_starts]:
            if name not in entries and self._versions.get(name, 0) <= read_version:
                self.drop(name, now, name in unreadable)
        for entry in entries.values():
            self.put(entry, now, versions.get(entry.name, 0))

    def put(self, entry: ListedBackEnd, now: float, version: int = 0) -> bool:
        """Add or update an entry unless it was written before what is known of its server.

        Returns whether the entry is listed now.
        """
        name, known = entry.name, self._listed.get(entry.name)
        writing = Writing(entry.started_at_ms, entry.beat, version)
        if known is not None and known.started_at_ms == entry.started_at_ms:
            counts = self._counts_beside_listed(entry, writing, known)
        else:
            counts = self._counts_beside_other_starts(name, writing, known)
        if not counts:
            self._refused_starts[name] = entry.started_at_ms
            if known is not None and self._may_hide_removal(writing, known, now):
                self._unconfirmed_from.setdefault(name, now + self._confirm_s)
            return False
        self._refused_starts.pop(name, None)
        if self._ended.get(name, entry.started_at_ms) is not None:
            self._returned_starts[name] = entry.started_at_ms
        self._ended.remove(name, entry.started_at_ms)
        if known is not None and known.started_at_ms != entry.started_at_ms:
            self._ended.add(name, self._writing_of(known), has_lapsed=False, now=now)
        if known is None or (known.started_at_ms, known.beat) != (entry.started_at_ms, entry.beat):
            self._unconfirmed_from.pop(name, None)
        self._listed[name] = entry
        self._unlisted_names.pop(name, None)
        self._versions[name] = version
        self._removal_times.pop(name, None)
        return True

    def drop(self, name: str, now: float, is_unreadable: bool = False) -> None:
        """Remove an entry, or keep it for the grace period if the directory is or was away.

        An entry that `is_unreadable` says nothing of its server, so peers are not told of an end.
        """
        self._refused_starts.pop(name, None)
        entry = self._listed.get(name)
        if entry is None:
            return
        if entry.draining or not self._may_have_lapsed(now):
            self.forget(name, now, has_lapsed=is_unreadable)
        elif name not in self._removal_times:
            ends = self._grace_until if now < self._grace_until else now + self._return_grace_s
            self._removal_times[name] = ends

    def forget(self, name: str, now: float, has_lapsed: bool = False) -> None:
        """Remove an entry immediately, because its backend server is known to have ended.

        `has_lapsed` says that it is not known: the entry expired with the directory or is unreadable.
        """
        entry = self._listed.get(name)
        if entry is None:
            return
        last = self._writing_of(entry)
        del self._listed[name]
        self._removal_times.pop(name, None)
        self._unconfirmed_from.pop(name, None)
        self._returned_starts.pop(name, None)
        self._versions.pop(name, None)
        # An entry with neither a version, a start time nor a beat has nothing to compare.
        if last > (0, 0, 0):
            self._ended.add(name, last, has_lapsed, now)

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
                self.forget(name, now, has_lapsed=True)

    def usable(self, service: str, now: float) -> list[ListedBackEnd]:
        """Return the backend servers of a service that may get new work."""
        self.expire(now)
        return [
            entry
            for entry in self._listed.values()
            if entry.service == service
            and not entry.draining
            and not self._is_unconfirmed(entry.name, now)
        ]

    def _counts_beside_listed(
        self, entry: ListedBackEnd, writing: Writing, known: ListedBackEnd
    ) -> bool:
        """Return whether an entry is no older than the listed one of the same start."""
        if entry.started_at_ms and entry.beat != known.beat:
            return entry.beat > known.beat
        is_repeated = entry.started_at_ms > 0 and (
            entry.name in self._removal_times or (known.draining and not entry.draining)
        )
        return not (is_repeated or self._is_older(writing, self._writing_of(known)))

    def _counts_beside_other_starts(
        self, name: str, writing: Writing, known: ListedBackEnd | None
    ) -> bool:
        """Return whether a writing is newer than the listed one of another start and what has ended."""
        start = writing.started_at_ms
        ended = self._ended.get(name, start) if start else None
        if ended is not None:
            return writing.beat > ended.last.beat and self._may_return(name, start, known)
        if known is not None:
            return not self._is_older(writing, self._writing_of(known))
        last = self._ended.last_writing(name)
        return last is None or self._is_older(last, writing)

    def _may_return(self, name: str, start: int, known: ListedBackEnd | None) -> bool:
        """Return whether a newer writing of an ended start shows that it was not the earlier one.

        One that another start has replaced is the earlier of the two, unless its clock says
        otherwise or the other one has returned in this way itself.
        """
        if known is None:
            return self._ended.ended_last(name, start)
        return start > known.started_at_ms or self._returned_starts.get(name) == known.started_at_ms

    def _may_hide_removal(self, writing: Writing, known: ListedBackEnd, now: float) -> bool:
        """Return whether an older writing was performed in place of the listed one.

        Not so if the store was restored from an older copy, or if entries may have lapsed with it.
        """
        is_same_start = writing.started_at_ms == known.started_at_ms > 0
        known_version = self._versions.get(known.name, 0)
        is_same_era = era_of_version(writing.version) == era_of_version(known_version)
        return (
            is_same_start
            and is_same_era
            and writing.beat < known.beat
            and not self._may_have_lapsed(now)
        )

    def _may_have_lapsed(self, now: float) -> bool:
        """Return whether entries may be missing only because the directory is or was away."""
        return self._is_directory_lost or self._is_directory_doubted or now < self._grace_until

    def _is_unconfirmed(self, name: str, now: float) -> bool:
        """Return whether a server has not written again in time after an older writing of it."""
        if not self._unconfirmed_from or self._may_have_lapsed(now):
            return False
        return now >= self._unconfirmed_from.get(name, float("inf"))

    def _writing_of(self, entry: ListedBackEnd) -> Writing:
        return Writing(entry.started_at_ms, entry.beat, self._versions.get(entry.name, 0))

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
