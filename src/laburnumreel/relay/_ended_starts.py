"""Which starts of the backend servers have ended, and what they wrote last.

The directory orders when entries were performed, not when their servers wrote them: a write that was
not answered may be performed seconds later, after the entry was removed. Within one start of a
server, the beat orders the writings whatever the directory does.
"""

from collections.abc import Mapping
from typing import NamedTuple

# Ended starts are remembered for at least this long, in seconds. A write may be performed some seconds
# late.
MIN_REMEMBERED_S = 30.0
# After that, this many are remembered. A store that is restored from an older copy lists them again.
MAX_REMEMBERED_STARTS = 1000


class Writing(NamedTuple):
    """When an entry was written: by its writer's clock, and the store's version of its row.

    `started_at_ms` is 0 if the entry does not name its start, and the version if it is not known.
    """

    started_at_ms: int
    beat: int
    version: int = 0

    @property
    def written(self) -> tuple[int, int]:
        """What its writer says of when it was written, by the clock of the writer's machine."""
        return self.started_at_ms, self.beat


class EndedStart(NamedTuple):
    """A start whose entry was removed, can't be read, or was replaced by that of another start.

    `last` is its last writing that counted, and `ended_at` is in seconds of this process' clock.
    `has_lapsed` says that the entry may have expired with the directory, so that the server may live,
    and `is_told` that only a peer's report is known.
    """

    last: Writing
    ended_at: float
    has_lapsed: bool
    is_told: bool = False


class EndedStarts:
    """The starts of all backend servers that have ended.

    >>> ended = EndedStarts()
    >>> ended.add("b1", Writing(5000, beat=7, version=10), has_lapsed=False, now=0.0)
    >>> [ended.get("b1", 5000).last.beat, ended.get("b1", 9000)]
    [7, None]
    """

    def __init__(self) -> None:
        # By name, then by start; the last to end are last.
        self._starts: dict[str, dict[int, EndedStart]] = {}
        # The names and starts in the order in which they ended.
        self._order: dict[tuple[str, int], None] = {}

    def __len__(self) -> int:
        return len(self._order)

    def add(
        self, name: str, last: Writing, has_lapsed: bool, now: float, is_told: bool = False
    ) -> None:
        """Record the end of a start, and forget the oldest if there are too many."""
        key = name, last.started_at_ms
        self.remove(*key)
        ended = EndedStart(last, now, has_lapsed, is_told)
        self._starts.setdefault(name, {})[last.started_at_ms] = ended
        self._order[key] = None
        while len(self._order) > MAX_REMEMBERED_STARTS:
            oldest = next(iter(self._order))
            if now - self._starts[oldest[0]][oldest[1]].ended_at < MIN_REMEMBERED_S:
                break
            self.remove(*oldest)

    def remove(self, name: str, started_at_ms: int) -> None:
        """Forget the end of a start, if it is known."""
        if (name, started_at_ms) in self._order:
            del self._order[name, started_at_ms]
            starts = self._starts[name]
            del starts[started_at_ms]
            if not starts:
                del self._starts[name]

    def has(self, name: str) -> bool:
        """Return whether a start of a name is known to have ended."""
        return name in self._starts

    def get(self, name: str, started_at_ms: int) -> EndedStart | None:
        """Return the end of a start, or None if it is not known to have ended."""
        return self._of(name).get(started_at_ms)

    def ended_last(self, name: str, started_at_ms: int) -> bool:
        """Return whether no start of a name ended after this one, or all that did began before it.

        Starts that only a peer has seen end don't count: when they did is not known.
        """
        starts = [start for start, ended in self._of(name).items() if not ended.is_told]
        return not starts or starts[-1] <= started_at_ms

    def last_writing(self, name: str) -> Writing | None:
        """Return the last writing of the start of a name that ended last, or None.

        Left out are those that only a peer has read, whose versions are not known.
        """
        writings = [ended.last for ended in self._of(name).values() if not ended.is_told]
        return writings[-1] if writings else None

    def add_told(self, name: str, started_at_ms: int, beat: int, now: float) -> None:
        """Record that by a peer's report a start has ended, and the beat of its last writing."""
        known = self.get(name, started_at_ms)
        if known is None:
            self.add(name, Writing(started_at_ms, beat), has_lapsed=False, now=now, is_told=True)
        elif known.last.beat < beat:
            last = known.last._replace(beat=beat)
            self._starts[name][started_at_ms] = known._replace(last=last, has_lapsed=False)

    def _of(self, name: str) -> Mapping[int, EndedStart]:
        return self._starts.get(name, {})
