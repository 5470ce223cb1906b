"""Decides when a host polls a table that all hosts follow.

Hundreds of hosts follow a table whose rows are renewed all the time, so that each waiting call
would return at once. To limit the calls, a few hosts of each region (the readers) poll often and
report to their peers how far they have read, and when. The others poll when a peer reports a
change, or when what they know of the table may be older than a limit. This limit holds for each
host by itself, whichever other hosts are lost, paused or out of reach.
"""

import random
from typing import Literal

# Hosts of a region that poll often. The loss of one or two at once causes no delay.
READERS_PER_REGION = 2
# How often the readers poll.
READER_POLL_S = 0.7
# One change makes all hosts poll. A host that knows of a change which it has not read waits after
# its last poll, longer with more hosts, so that all hosts together poll about `CHANGE_POLLS_PER_S`
# times a second. The wait stays between the two bounds.
CHANGE_POLLS_PER_S = 12.0
MIN_CHANGE_POLL_S, MAX_CHANGE_POLL_S = 0.5, 2.0
# Longest wait before the next long poll after one that brought changes.
MAX_CHANGE_WAIT_S = 1.25 * MIN_CHANGE_POLL_S
# Hosts that learn of a change at the same time spread their polls over this time.
HINT_JITTER_S = 0.3
# A host polls by itself before its view of the table has this age, as a share of the time within
# which a change must take effect. The rest of that time is for the call, for requests that are on
# their way, and for a busy host.
MAX_AGE_SHARE = 0.7
# Hosts that hear of no polls spread their own over this last part of that age. The first ones tell
# the others.
AGE_JITTER_SHARE = 0.3
# Minimum time between two polls that are answered.
MIN_POLL_S = 0.2
# Peers hear of a poll at once where regular updates are further apart than this share of that age.
# One of a reader's polls would otherwise reach them only when their view is too old.
LISTING_INTERVAL_SHARE = 0.5
# A peer's report that it cannot read the table is believed if no host has read it for this long.
OUTAGE_CONFIRM_S = 1.0
# Failed polls are retried with an exponential backoff up to the limit, with jitter over half of it.
# With more than `SMALL_FLEET_HOSTS` hosts, each retries less often, up to `MAX_RETRY_FACTOR`
# times the delay: some host still notices as early that the table is back.
FIRST_RETRY_S = 0.1
MAX_RETRY_S = 0.8
SMALL_FLEET_HOSTS = 24
MAX_RETRY_FACTOR = 8.0


class PollSchedule:
    """Decides when this host polls the table next.

    `seen_version` is the version of the store up to which a host has read all changes,
    `changed_version` the version of the newest change that is more than a renewal of an entry, and
    `read_at` when the store gave that answer. `effect_s` is the time from a change in the table
    until it must have taken effect, in seconds.

    >>> schedule = PollSchedule(random.Random(1), effect_s=4.0)
    >>> schedule.set_rank(rank=9, hosts=200)
    >>> schedule.record_poll(seen_version=100, changed_version=40, read_at=0.0, now=0.1)
    >>> schedule.on_peer_progress(120, 40, unavailable=False, read_at=1.5, now=2.0)
    False
    >>> 3.4 < schedule.next_poll_at() < 4.4
    True
    >>> schedule.on_peer_progress(130, 125, unavailable=False, read_at=2.5, now=2.6)
    False
    >>> schedule.next_poll_at() < 3.2
    True
    """

    def __init__(self, rng: random.Random, effect_s: float) -> None:
        self._rng = rng
        self._max_age_s = MAX_AGE_SHARE * effect_s
        self._is_reader = True
        self._hosts = 1
        self._seen_version = 0
        self._changed_version = 0
        self._peers_seen_version = 0
        self._polled_at = float("-inf")
        # The time up to which all changes were read, by this host or by a peer that knows no other.
        self._complete_until = float("-inf")
        # When this host last polled, or heard of a peer's poll.
        self._heard_at = float("-inf")
        self._change_hint_at: float | None = None
        self._failures = 0
        self._draw_jitter()

    @property
    def is_reader(self) -> bool:
        """Whether this host is one of the readers, which poll often."""
        return self._is_reader

    @property
    def changed_version(self) -> int:
        """The version of the newest change, other than a renewal, that this host has read."""
        return self._changed_version

    @property
    def seen_version(self) -> int:
        """The version up to which this host has read all changes."""
        return self._seen_version

    @property
    def complete_until(self) -> float:
        """The time up to which this host is known to have read all changes."""
        return self._complete_until

    @property
    def polls_for(self) -> Literal["change", "unconfirmed"]:
        """Why a host that is no reader polls next: it knows of a change, or hears of no polls."""
        return "unconfirmed" if self._change_hint_at is None else "change"

    @property
    def is_unavailable(self) -> bool:
        """Whether this host's last poll failed."""
        return self._failures > 0

    @property
    def change_poll_s(self) -> float:
        """The seconds between the polls of a host that keeps learning of changes."""
        return max(MIN_CHANGE_POLL_S, min(MAX_CHANGE_POLL_S, self._hosts / CHANGE_POLLS_PER_S))

    def set_rank(self, rank: int, hosts: int) -> None:
        """Set this host's rank among the hosts of its region that can read the table.

        `hosts` is the number of all hosts of the deployment.
        """
        self._is_reader = rank < READERS_PER_REGION
        self._hosts = hosts

    def record_poll(
        self, seen_version: int, changed_version: int, read_at: float, now: float
    ) -> None:
        """Record a successful poll."""
        self._seen_version = seen_version
        self._changed_version = max(self._changed_version, changed_version)
        self._polled_at = self._heard_at = now
        self._complete_until = max(self._complete_until, read_at)
        self._change_hint_at = None
        self._failures = 0
        self._draw_jitter()

    def record_failure(self, now: float) -> None:
        """Record a failed poll."""
        self._polled_at = now
        self._change_hint_at = None
        self._failures += 1
        self._draw_jitter()

    def on_peer_progress(
        self,
        seen_version: int,
        changed_version: int,
        unavailable: bool,
        read_at: float,
        now: float,
    ) -> bool:
        """Record how far a peer has read the table, or that it cannot read it.

        A peer's word may come late, so only `read_at` counts for the age of this host's view.
        Returns whether the table seems unavailable: the peer cannot read it, and no host is known
        to have read it within `OUTAGE_CONFIRM_S`.
        """
        is_newer = seen_version > self._peers_seen_version
        self._peers_seen_version = max(self._peers_seen_version, seen_version)
        if changed_version > self._seen_version:
            self._record_change_hint(now)
        else:
            self._complete_until = max(self._complete_until, min(read_at, now))
            if is_newer and seen_version > self._seen_version:
                if self.is_unavailable:
                    self._record_change_hint(now)
                else:
                    self._heard_at = now
        return unavailable and now - self._heard_at > OUTAGE_CONFIRM_S

    def too_old_at(self) -> float:
        """Return when this host's view gets too old, so that the next poll must be answered."""
        share = 1 - AGE_JITTER_SHARE * self._jitter
        return self._complete_until + self._max_age_s * share

    def next_poll_at(self, long_poll: bool = False) -> float:
        """Return when this host polls next.

        `long_poll` is for a table that is followed by long polls because changes are rare: after
        a change, the next call only waits for changes that follow directly. Such changes must take
        effect soon and peers do not report them, so the retry interval after a failure does not
        grow with the number of hosts.
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
        due = max(self.too_old_at(), self._polled_at + MIN_POLL_S)
        if self._is_reader:
            return min(due, self._polled_at + READER_POLL_S * (0.75 + 0.5 * self._jitter))
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
        """Draw the jitter of the next poll, from 0 to 1."""
        self._jitter = self._rng.random()


def listing_interval_s(effect_s: float) -> float:
    """Return the longest interval of updates with which peers need not hear of a poll at once."""
    return LISTING_INTERVAL_SHARE * MAX_AGE_SHARE * effect_s
