"""When a host looks at a table that all hosts follow.

Load pattern that this answers: hundreds of hosts before a table whose rows are renewed all the time,
so that each call returns at once. A few hosts of each region look often and say how far they have
seen; the others look when they are told of a change, or when nobody says that it has looked lately.
"""

import random

# Hosts of a region that look often. The loss of one or two at once delays nothing.
READERS_PER_REGION = 2
# How often those look.
READER_POLL_S = 0.7
# A host that knows of a change which it has not seen looks this long after its last look, more
# seldom the more hosts there are, as one change makes all of them look: all together about this
# often, within bounds.
CHANGE_POLLS_PER_S = 12.0
MIN_CHANGE_POLL_S, MAX_CHANGE_POLL_S = 0.5, 2.0
# Hosts that hear of a change together look at different moments within this time.
HINT_JITTER_S = 0.3
# A host looks by itself where nobody has said for this long that it looked: news goes round a region
# in less than a second.
UNCONFIRMED_POLL_S = 2.5
# A peer's word that it can't look at the table is believed where nobody has looked for this long.
OUTAGE_CONFIRM_S = 1.0
# Failed looks are repeated after a time that doubles up to the limit, spread over half of it. With
# more hosts than this, one of them finds out as soon although each tries more seldom.
FIRST_RETRY_S = 0.1
MAX_RETRY_S = 0.8
SMALL_FLEET_HOSTS = 24
MAX_RETRY_FACTOR = 8.0


class PollSchedule:
    """Decides when this host looks at the table next.

    `seen_version` are versions of the store up to which a host knows all changes, `changed_version` those of the
    newest change that matters.

    >>> schedule = PollSchedule(random.Random(1))
    >>> schedule.set_rank(rank=9, hosts=200)
    >>> schedule.record_poll(seen_version=100, changed_version=40, now=0.0)
    >>> schedule.on_peer_progress(seen_version=120, changed_version=40, unavailable=False, now=2.0)
    False
    >>> schedule.next_poll_at() > 4.0
    True
    >>> schedule.on_peer_progress(seen_version=130, changed_version=125, unavailable=False, now=3.0)
    False
    >>> schedule.next_poll_at() < 4.0
    True
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._is_reader = True
        self._hosts = 1
        self._seen_version = 0
        self._changed_version = 0
        self._peers_seen_version = 0
        self._polled_at = float("-inf")
        # When this host or a peer that knows no more than it was last known to have looked.
        self._confirmed_at = float("-inf")
        self._change_hint_at: float | None = None
        self._failures = 0
        self._draw_jitter()

    @property
    def is_reader(self) -> bool:
        """Whether this host is one of those that look often."""
        return self._is_reader

    @property
    def changed_version(self) -> int:
        """The version of the newest change that matters and that this host has seen."""
        return self._changed_version

    @property
    def seen_version(self) -> int:
        """The version up to which this host has seen all changes."""
        return self._seen_version

    @property
    def is_unavailable(self) -> bool:
        """Whether this host's last look failed."""
        return self._failures > 0

    @property
    def change_poll_s(self) -> float:
        """The time between the looks of a host that is told of changes."""
        return max(MIN_CHANGE_POLL_S, min(MAX_CHANGE_POLL_S, self._hosts / CHANGE_POLLS_PER_S))

    def set_rank(self, rank: int, hosts: int) -> None:
        """Take this host's rank among those of its region that can look at the table, and how many
        hosts there are in all."""
        self._is_reader = rank < READERS_PER_REGION
        self._hosts = hosts

    def record_poll(self, seen_version: int, changed_version: int, now: float) -> None:
        """Take in a look that was answered."""
        self._seen_version = seen_version
        self._changed_version = max(self._changed_version, changed_version)
        self._polled_at = self._confirmed_at = now
        self._change_hint_at = None
        self._failures = 0
        self._draw_jitter()

    def record_failure(self, now: float) -> None:
        """Take in a look that failed."""
        self._polled_at = now
        self._change_hint_at = None
        self._failures += 1
        self._draw_jitter()

    def on_peer_progress(
        self, seen_version: int, changed_version: int, unavailable: bool, now: float
    ) -> bool:
        """Take in how far a peer has seen the table, or that it can't look at it.

        Returns whether the table seems to be away: nobody has looked for some time, and a peer can't.
        """
        is_newer = seen_version > self._peers_seen_version
        self._peers_seen_version = max(self._peers_seen_version, seen_version)
        if changed_version > self._seen_version:
            self._record_change_hint(now)
        elif is_newer and seen_version > self._seen_version:
            if self.is_unavailable:
                self._record_change_hint(now)
            else:
                self._confirmed_at = now
        return unavailable and now - self._confirmed_at > OUTAGE_CONFIRM_S

    def next_poll_at(self, long_poll: bool = False) -> float:
        """Return when this host looks next.

        `long_poll` is for a table whose calls wait for changes, which come seldom: after one the
        next call only waits for those that come in a row. What it says must be in force soon, and
        peers do not say it, so it is tried again as often with many hosts as with few.
        """
        if self._failures:
            due = self._polled_at + self._retry_s(1.0 if long_poll else self._retry_factor)
            if self._change_hint_at is not None:
                due = min(
                    due, max(self._polled_at, self._change_hint_at) + MAX_RETRY_S * self._jitter
                )
            return due
        if long_poll:
            return self._polled_at + MIN_CHANGE_POLL_S * (0.75 + 0.5 * self._jitter)
        if self._is_reader:
            return self._polled_at + READER_POLL_S * (0.75 + 0.5 * self._jitter)
        due = self._confirmed_at + UNCONFIRMED_POLL_S * (1 + 0.5 * self._jitter)
        if self._change_hint_at is not None:
            earliest = self._polled_at + self.change_poll_s * (0.75 + 0.5 * self._jitter)
            due = min(due, max(earliest, self._change_hint_at + HINT_JITTER_S * self._jitter))
        return due

    def _record_change_hint(self, now: float) -> None:
        if self._change_hint_at is None:
            self._change_hint_at = now

    @property
    def _retry_factor(self) -> float:
        return max(1.0, min(MAX_RETRY_FACTOR, self._hosts / SMALL_FLEET_HOSTS))

    def _retry_s(self, factor: float) -> float:
        doubled = FIRST_RETRY_S * 2 ** min(10, self._failures - 1)
        return factor * min(MAX_RETRY_S, doubled) * (0.5 + 0.5 * self._jitter)

    def _draw_jitter(self) -> None:
        """Draw where in the spread this host's next look lies."""
        self._jitter = self._rng.random()
