"""The tasks that follow the directory's tables."""

import operator
import random
import threading
from collections.abc import Callable
from typing import Generic, Literal

from expression import Result

from laburnumreel.core import Clock, Log, Task
from laburnumreel.relay._events import DIRECTORY_BACK, DIRECTORY_LOST, DIRECTORY_REREAD
from laburnumreel.relay._poll_schedule import PollSchedule
from laburnumreel.relay._ports import Entry, Feed, Listing
from laburnumreel.state import PlatformError, era_of

# A call that waits for changes ends after a time between these, so that a connection that went
# silent shows, at some host soon; its peers then see that they are behind.
MIN_FOLLOW_S = 2.5
MAX_FOLLOW_S = 4.5
# Where some hosts of the region do so, the others wait this many times as long: a call may wait for 30
# seconds. That holds for a table whose loss needs no answer of the host's own.
NON_READER_WAIT_FACTOR = 6.0
# A host that waits for its next look at the table wakes this often, and when a peer's word brings the
# look forward.
MAX_SLEEP_S = 1.0

# What became of a table: its calls fail, a peer says that its own do, or they are answered again.
LinkState = Literal["lost", "doubted", "back"]

_log = Log("relay.feeds")


class FeedFollower(Task, Generic[Entry]):
    """Reads a table whole, then follows it; reads it whole again where its history is gone.

    `on_listing` takes what was read, with the times between which it was, on this task's thread.
    `on_link_change` takes what became of the table, if that needs to be known at once, on any thread. `is_same`
    tells an entry that was only renewed from one that has changed. Where `long_poll` is False, the rows
    are renewed all the time, and only some hosts look often.
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
        long_poll: bool = True,
    ) -> None:
        super().__init__(f"feed-{name}", tick_s=0.0)
        self._table = name
        self._feed = feed
        self._clock = clock
        self._rng = rng
        self._on_listing = on_listing
        self._on_link_change = on_link_change
        self._is_same = is_same
        self._long_poll = long_poll
        self._version: int | None = None
        self._era = 0
        self._reread_requested = False
        self._is_stopping = False
        self._schedule = PollSchedule(rng)
        # What the table holds, to tell a change from an entry that was only renewed.
        self._entries: dict[str, Entry | None] = {}
        self._coalesce_changes = False
        # Ends the wait before the next call.
        self._wake = threading.Event()
        self._has_listing = False
        self._is_answering = True
        self._last_answer_at: float | None = None

    @property
    def has_listing(self) -> bool:
        """Whether the table was read whole at least once."""
        return self._has_listing

    @property
    def schedule(self) -> PollSchedule:
        """How far this host has seen the table, and when it looks next."""
        return self._schedule

    def set_rank(self, rank: int, hosts: int) -> None:
        """Take this host's rank among those of its region, and how many hosts look at the table."""
        self._schedule.set_rank(rank, hosts)

    def on_peer_progress(self, seen_version: int, changed_version: int, unavailable: bool) -> None:
        """Take in how far a peer has seen the table, from another thread."""
        due_at = self._schedule.next_poll_at(self._long_poll)
        if (
            self._schedule.on_peer_progress(
                seen_version, changed_version, unavailable, self._clock.now()
            )
            and self._is_answering
        ):
            self._mark_lost("doubted", "told", "a peer can't look at it")
        if self._schedule.next_poll_at(self._long_poll) < due_at:
            self._wake.set()

    def request_reread(self) -> None:
        """Give up the call that waits, from another thread, and read the table whole."""
        self._reread_requested = True
        self._wake.set()
        self._feed.interrupt()

    def stop(self, timeout_s: float = 10.0) -> None:
        """End the task without waiting for a change."""
        self._is_stopping = True
        self._wake.set()
        self._feed.interrupt()
        super().stop(timeout_s)

    def tick(self) -> None:
        if self._is_stopping or not self._wait_until_due():
            return
        sent_at = self._clock.now()
        result = self._fetch()
        if result.is_ok():
            self._apply(result.ok, sent_at)
        else:
            self._on_failure(result.error)

    def _wait_until_due(self) -> bool:
        """Wait for a moment where the next look is not due yet, and return whether it is."""
        schedule = self._schedule
        if not schedule.is_unavailable and (self._reread_requested or self._version is None):
            return True
        if (
            not schedule.is_unavailable
            and not self._coalesce_changes
            and (self._long_poll or schedule.is_reader)
        ):
            # The call itself waits for a change.
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
        # After a failure the next answer tells that the table is back, and must not wait for a change.
        # Nor must that of a host which only looks now and then.
        if self._schedule.is_unavailable or not (self._schedule.is_reader or self._long_poll):
            return self._feed.follow(self._version, 0.0)
        wait_s = self._rng.uniform(MIN_FOLLOW_S, MAX_FOLLOW_S)
        if not self._schedule.is_reader:
            wait_s *= NON_READER_WAIT_FACTOR
        return self._feed.follow(self._version, wait_s)

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
        if self._version is None and era_of(listing.version) > self._era and self._has_listing:
            # Whoever wrote into the table since the copy was made writes it again soon.
            self._notify_link("lost")
            self._notify_link("back")
        self._era = era_of(listing.version)
        self._version = listing.version
        self._has_listing = True
        self._on_listing(listing, sent_at, now)
        # Changes that come in a row cost one call, and hosts that began together drift apart.
        self._coalesce_changes = bool(listing.entries) and not listing.complete
        self._schedule.record_poll(listing.version, changed, now)

    def _newest_change(self, listing: Listing[Entry]) -> int:
        """Return the version of the newest entry that is not only renewed, or 0."""
        changed = 0
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
