"""The task that follows a table of the directory."""

import math
import operator
import random
import threading
from collections.abc import Callable
from typing import Generic, Literal

from expression import Result

from laburnumreel.core import Clock, Log, Task
from laburnumreel.relay._events import (
    DIRECTORY_BACK,
    DIRECTORY_LOST,
    DIRECTORY_POLLED,
    DIRECTORY_REREAD,
)
from laburnumreel.relay._poll_schedule import MAX_CHANGE_WAIT_S, PollSchedule
from laburnumreel.relay._ports import Entry, Feed, Listing
from laburnumreel.state import PlatformError, era_of_version

# A long poll ends after a random time between these bounds, so that some host soon detects a broken
# connection. Its peers then learn from its updates that they are behind.
MIN_FOLLOW_S = 2.5
MAX_FOLLOW_S = 4.5
# The other hosts of the region wait this many times as long; the store allows up to 30 seconds per
# call. This applies to tables whose loss a host need not handle itself.
NON_READER_WAIT_FACTOR = 6.0
# A peer's read that seems to be later than now by more than this shows that the store's clock is not
# the one that this host knows, and says nothing about the age of the table.
MAX_CLOCK_ERROR_S = 0.1
# Longest sleep while waiting for the next poll. A peer's report that moves the poll forward also
# wakes the task.
MAX_SLEEP_S = 1.0

# State of the link to a table: calls fail (lost), a peer reports that its calls fail (doubted), or
# calls succeed again (back).
LinkState = Literal["lost", "doubted", "back"]

_log = Log("relay.feeds")


class FeedFollower(Task, Generic[Entry]):
    """Reads a table completely, then follows its changes.

    The table is read completely again if the store no longer has the history since the last read.
    `on_listing` is called on this task's thread with what was read and the times at which the call
    was sent and answered. `on_link_change` is called on any thread when the state of the link is
    known to have changed, and `on_polled` after each answer. `is_same` returns whether two entries
    differ only by a renewal.

    A table whose changes are rare is followed by long polls. `effect_s` is for one whose rows are
    renewed all the time, so that only some hosts poll often: the seconds from a change until it must
    have taken effect on all hosts. `to_own_time` converts a reading of the store's clock to this
    process' clock, if it can.
    """

    def __init__(
        self,
        name: str,
        feed: Feed[Entry],
        clock: Clock,
        rng: random.Random,
        on_listing: Callable[[Listing[Entry], float, float], None],
        on_link_change: Callable[[LinkState], None] | None = None,
        is_same: Callable[[Entry, Entry], bool] = operator.eq,
        on_polled: Callable[[], None] = lambda: None,
        effect_s: float | None = None,
        to_own_time: Callable[[float], float | None] = lambda store_time_s: None,
    ) -> None:
        super().__init__(f"feed-{name}", tick_s=0.0)
        self._table = name
        self._feed = feed
        self._clock = clock
        self._rng = rng
        self._on_listing = on_listing
        self._on_link_change = on_link_change
        self._is_same = is_same
        self._on_polled = on_polled
        self._long_poll = effect_s is None
        self._version: int | None = None
        self._era = 0
        self._reread_requested = False
        self._is_stopping = False
        self._schedule = PollSchedule(rng, math.inf if effect_s is None else effect_s)
        self._to_own_time = to_own_time
        self._read_store_time_s = 0.0
        # When the call that waits for a change was sent, infinite between calls.
        self._waiting_since = float("inf")
        # The last known entries, to tell a change from a renewal.
        self._entries: dict[str, Entry | None] = {}
        self._coalesce_changes = False
        # Set to end the wait before the next call.
        self._wake = threading.Event()
        self._has_listing = False
        self._is_answering = True
        self._last_answer_at: float | None = None

    @property
    def has_listing(self) -> bool:
        """Whether the table was read completely at least once."""
        return self._has_listing

    @property
    def schedule(self) -> PollSchedule:
        """How far this host has read the table, and when it polls next."""
        return self._schedule

    @property
    def view_age_s(self) -> float:
        """The seconds for which changes of the table may be unknown to this host."""
        return self._clock.now() - self._schedule.complete_until

    @property
    def read_store_time_s(self) -> float:
        """The store's clock at its last answer to this host, or 0 before the first one."""
        return self._read_store_time_s

    def set_rank(self, rank: int, hosts: int) -> None:
        """Set this host's rank among those of its region, and the number of hosts in total."""
        self._schedule.set_rank(rank, hosts)

    def on_peer_progress(
        self, seen_version: int, changed_version: int, unavailable: bool, read_store_time_s: float
    ) -> None:
        """Record how far a peer has read the table. May be called from another thread.

        `read_store_time_s` is the store's clock when the peer read it, 0 if the peer does not tell.
        """
        now = self._clock.now()
        read_at = self._to_own_time(read_store_time_s) if read_store_time_s else None
        if read_at is None or read_at > now + MAX_CLOCK_ERROR_S:
            read_at = float("-inf")
        due_at = self._schedule.next_poll_at(self._long_poll)
        if (
            self._schedule.on_peer_progress(
                seen_version, changed_version, unavailable, read_at, now
            )
            and self._is_answering
        ):
            self._mark_lost("doubted", "told", "a peer cannot read it")
        if self._schedule.next_poll_at(self._long_poll) < due_at:
            self._wake.set()

    @property
    def change_read_s(self) -> float:
        """The seconds within which this host reads a change that it knows of, if its calls work."""
        if self._long_poll:
            # Changes that follow one another are read after a short wait.
            return MAX_CHANGE_WAIT_S
        return self._schedule.change_poll_s

    def renew_call(self, sent_before: float) -> None:
        """Read the table completely if a call waits that was sent before a time.

        For a call on a connection that may have become silent. Called from other threads.
        """
        if self._waiting_since < sent_before:
            self.request_reread()

    def request_reread(self) -> None:
        """Interrupt a waiting call and read the table completely. Called from other threads."""
        self._reread_requested = True
        self._wake.set()
        self._feed.interrupt()

    def stop(self, timeout_s: float = 10.0) -> None:
        """Stop the task without waiting for a change."""
        self._is_stopping = True
        self._wake.set()
        self._feed.interrupt()
        super().stop(timeout_s)

    def tick(self) -> None:
        if self._is_stopping or not self._wait_until_due():
            return
        sent_at, age_s = self._clock.now(), self.view_age_s
        self._waiting_since = sent_at
        result = self._fetch()
        self._waiting_since = float("inf")
        if result.is_ok():
            self._log_poll(result.ok, age_s, sent_at)
            self._apply(result.ok, sent_at)
        else:
            self._on_failure(result.error)

    def _wait_until_due(self) -> bool:
        """Return whether the next poll is due, after a short wait if it is not."""
        schedule = self._schedule
        if not schedule.is_unavailable and (self._reread_requested or self._version is None):
            return True
        if (
            not schedule.is_unavailable
            and not self._coalesce_changes
            and (self._long_poll or schedule.is_reader)
        ):
            # The call is a long poll that waits for a change itself.
            return True
        wait_s = schedule.next_poll_at(self._long_poll) - self._clock.now()
        if wait_s <= 0:
            return True
        self._wake.wait(min(wait_s, MAX_SLEEP_S))
        self._wake.clear()
        return False

    def _fetch(self) -> Result[Listing[Entry], PlatformError]:
        if self._version is None:
            return self._feed.read()
        # After a failure, the next answer shows that the table is back, so it must not wait for a
        # change. Nor may the call of a host that only polls from time to time.
        if self._schedule.is_unavailable or not (self._schedule.is_reader or self._long_poll):
            return self._feed.follow(self._version, 0.0)
        if not self._long_poll:
            wait_s = max(0.0, self._schedule.too_old_at() - self._clock.now())
            return self._feed.follow(self._version, wait_s)
        wait_s = self._rng.uniform(MIN_FOLLOW_S, MAX_FOLLOW_S)
        if not self._schedule.is_reader:
            wait_s *= NON_READER_WAIT_FACTOR
        return self._feed.follow(self._version, wait_s)

    def _log_poll(self, listing: Listing[Entry], age_s: float, sent_at: float) -> None:
        """Log a poll of a host that is no reader; `age_s` is the age of its view before it."""
        if listing.complete or self._long_poll or self._schedule.is_reader:
            return
        _log.info(
            DIRECTORY_POLLED,
            table=self._table,
            reason=self._schedule.polls_for,
            age_s=round(age_s, 3),
            took_s=round(self._clock.now() - sent_at, 3),
            rows=len(listing.entries),
        )

    def _apply(self, listing: Listing[Entry], sent_at: float) -> None:
        now = self._clock.now()
        if not self._is_answering:
            away_s = now - (self._last_answer_at or now)
            _log.info(DIRECTORY_BACK, table=self._table, away_s=round(away_s, 2))
            self._is_answering = True
            self._notify_link("back")
        self._reread_requested = False
        self._last_answer_at = now
        changed = self._newest_change(listing)
        if listing.complete:
            _log.info(
                DIRECTORY_REREAD,
                table=self._table,
                entries=len(listing.entries),
                version=listing.version,
            )
        if (
            self._version is None
            and era_of_version(listing.version) > self._era
            and self._has_listing
        ):
            # The store was restored from an older copy; entries written since then come back soon.
            self._notify_link("lost")
            self._notify_link("back")
        self._era = era_of_version(listing.version)
        self._version = listing.version
        self._has_listing = True
        self._on_listing(listing, sent_at, now)
        # Collects changes that follow one another in one call, and spreads the calls of hosts that
        # started at the same time.
        self._coalesce_changes = bool(listing.entries) and not listing.complete
        self._read_store_time_s = listing.store_time_s
        read_at = self._to_own_time(listing.store_time_s)
        # Without a converted time, the call may have been answered as soon as it was sent.
        read_at = sent_at if read_at is None else min(max(read_at, sent_at), now)
        self._schedule.record_poll(listing.version, changed, read_at, now)
        self._on_polled()

    def _newest_change(self, listing: Listing[Entry]) -> int:
        """Update the known entries; return the newest version of a real change, or 0.

        The first read does not show what was removed before it, possibly just now.
        """
        changed = 0 if self._has_listing else listing.version
        for name, entry in listing.entries.items():
            previous = self._entries.get(name)
            if entry is None or previous is None or not self._is_same(previous, entry):
                if entry is not previous:
                    changed = max(changed, listing.versions.get(name, listing.version))
                self._entries[name] = entry
        if listing.complete:
            removed = [name for name in self._entries if name not in listing.entries]
            for name in removed:
                del self._entries[name]
            changed = max(changed, listing.version) if removed else changed
        return changed

    def _notify_link(self, link: LinkState) -> None:
        if self._on_link_change is not None:
            self._on_link_change(link)

    def _on_failure(self, error: PlatformError) -> None:
        reread_requested, self._reread_requested = self._reread_requested, False
        if error.kind == "history_gone" or reread_requested:
            self._version = None
            return
        if self._is_answering:
            self._mark_lost("lost", error.kind, error.detail[:200])
        else:
            self._notify_link("lost")
        self._schedule.record_failure(self._clock.now())

    def _mark_lost(self, link: LinkState, kind: str, detail: str) -> None:
        self._is_answering = False
        _log.warning(DIRECTORY_LOST, table=self._table, kind=kind, detail=detail)
        self._notify_link(link)
