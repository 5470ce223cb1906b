"""When a host looks at a table that all hosts follow.

Load pattern that this answers: hundreds of hosts before a table whose rows are renewed all the time,
so that each call returns at once. A few hosts of each region look often and say how far they have
seen; the others look when they are told of a change, or when nobody says that it has looked lately.
"""

import random

# Hosts of a region that look often. The loss of one or two at once delays nothing.
READERS = 2
# How often those look.
READ_S = 0.7
# A host that knows of a change which it has not seen looks this long after its last look, more
# seldom the more hosts there are, as one change makes all of them look: all together about this
# often, within bounds.
LOOKS_PER_S = 12.0
MIN_GATHER_S, MAX_GATHER_S = 0.5, 2.0
# Hosts that hear of a change together look at different moments within this time.
SPREAD_S = 0.3
# A host looks by itself where nobody has said for this long that it looked: news goes round a region
# in less than a second.
QUIET_S = 2.5
# A peer's word that it can't look at the table is believed where nobody has looked for this long.
DOUBT_S = 1.0
# Failed looks are repeated after a time that doubles up to the limit, spread over half of it. With
# more hosts than this, one of them finds out as soon although each tries more seldom.
FIRST_RETRY_S = 0.1
MAX_RETRY_S = 0.8
FEW_HOSTS = 24
MAX_TIMES_LONGER = 8.0


class Looks:
    """Decides when this host looks at the table next.

    `seen` are versions of the store up to which a host knows all changes, `changed` those of the
    newest change that matters.

    >>> looks = Looks(random.Random(1))
    >>> looks.share(rank=9, hosts=200)
    >>> looks.looked(seen=100, changed=40, now=0.0)
    >>> looks.heard(seen=120, changed=40, away=False, now=2.0)
    False
    >>> looks.due_at() > 4.0
    True
    >>> looks.heard(seen=130, changed=125, away=False, now=3.0)
    False
    >>> looks.due_at() < 4.0
    True
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._reads = True
        self._hosts = 1
        self._seen = 0
        self._changed = 0
        self._peers_seen = 0
        self._looked_at = float("-inf")
        # When this host or a peer that knows no more than it was last known to have looked.
        self._fresh_at = float("-inf")
        self._hinted_at: float | None = None
        self._failures = 0
        self._draw()

    @property
    def reads(self) -> bool:
        """Whether this host is one of those that look often."""
        return self._reads

    @property
    def changed(self) -> int:
        """The version of the newest change that matters and that this host has seen."""
        return self._changed

    @property
    def seen(self) -> int:
        """The version up to which this host has seen all changes."""
        return self._seen

    @property
    def away(self) -> bool:
        """Whether this host's last look failed."""
        return self._failures > 0

    @property
    def gather_s(self) -> float:
        """The time between the looks of a host that is told of changes."""
        return max(MIN_GATHER_S, min(MAX_GATHER_S, self._hosts / LOOKS_PER_S))

    def share(self, rank: int, hosts: int) -> None:
        """Take this host's rank among those of its region that can look at the table, and how many
        hosts there are in all."""
        self._reads = rank < READERS
        self._hosts = hosts

    def looked(self, seen: int, changed: int, now: float) -> None:
        """Take in a look that was answered."""
        self._seen = seen
        self._changed = max(self._changed, changed)
        self._looked_at = self._fresh_at = now
        self._hinted_at = None
        self._failures = 0
        self._draw()

    def failed(self, now: float) -> None:
        """Take in a look that failed."""
        self._looked_at = now
        self._hinted_at = None
        self._failures += 1
        self._draw()

    def heard(self, seen: int, changed: int, away: bool, now: float) -> bool:
        """Take in how far a peer has seen the table, or that it can't look at it.

        Returns whether the table seems to be away: nobody has looked for some time, and a peer can't.
        """
        news = seen > self._peers_seen
        self._peers_seen = max(self._peers_seen, seen)
        if changed > self._seen:
            self._hint(now)
        elif news and seen > self._seen:
            if self.away:
                self._hint(now)
            else:
                self._fresh_at = now
        return away and now - self._fresh_at > DOUBT_S

    def due_at(self, told_at_once: bool = False) -> float:
        """Return when this host looks next.

        `told_at_once` is for a table whose calls wait for changes, which come seldom: after one the
        next call only waits for those that come in a row. What it says must be in force soon, and
        peers do not say it, so it is tried again as often with many hosts as with few.
        """
        if self._failures:
            due = self._looked_at + self._retry_s(1.0 if told_at_once else self._longer)
            if self._hinted_at is not None:
                due = min(due, max(self._looked_at, self._hinted_at) + MAX_RETRY_S * self._spread)
            return due
        if told_at_once:
            return self._looked_at + MIN_GATHER_S * (0.75 + 0.5 * self._spread)
        if self._reads:
            return self._looked_at + READ_S * (0.75 + 0.5 * self._spread)
        due = self._fresh_at + QUIET_S * (1 + 0.5 * self._spread)
        if self._hinted_at is not None:
            gathered = self._looked_at + self.gather_s * (0.75 + 0.5 * self._spread)
            due = min(due, max(gathered, self._hinted_at + SPREAD_S * self._spread))
        return due

    def _hint(self, now: float) -> None:
        if self._hinted_at is None:
            self._hinted_at = now

    @property
    def _longer(self) -> float:
        return max(1.0, min(MAX_TIMES_LONGER, self._hosts / FEW_HOSTS))

    def _retry_s(self, longer: float) -> float:
        doubled = FIRST_RETRY_S * 2 ** min(10, self._failures - 1)
        return longer * min(MAX_RETRY_S, doubled) * (0.5 + 0.5 * self._spread)

    def _draw(self) -> None:
        """Draw where in the spread this host's next look lies."""
        self._spread = self._rng.random()
