"""The tasks that follow the directory's tables."""

import operator
import random
import threading
from collections.abc import Callable
from typing import Generic, Literal

from expression import Result

from laburnumreel.core import Clock, Log, Task
from laburnumreel.relay._events import DIRECTORY_BACK, DIRECTORY_LOST, DIRECTORY_REREAD
from laburnumreel.relay._looks import Looks
from laburnumreel.relay._ports import Entry, Feed, Listing
from laburnumreel.state import PlatformError, era_of

# A call that waits for changes ends after a time between these, so that a connection that went
# silent shows, at some host soon; its peers then see that they are behind.
MIN_FOLLOW_S = 2.5
MAX_FOLLOW_S = 4.5
# Where some hosts of the region do so, the others wait this many times as long: a call may wait for 30
# seconds. That holds for a table whose loss needs no answer of the host's own.
TIMES_LONGER = 6.0
# A host that waits for its next look at the table wakes this often, and when a peer's word brings the
# look forward.
WAKE_S = 1.0

# What became of a table: its calls fail, a peer says that its own do, or they are answered again.
Link = Literal["lost", "doubted", "back"]

_log = Log("relay.feeds")


class FeedFollower(Task, Generic[Entry]):
    """Reads a table whole, then follows it; reads it whole again where its history is gone.

    `on_listing` takes what was read, with the times between which it was, on this task's thread.
    `on_link` takes what became of the table, if that needs to be known at once, on any thread. `same`
    tells an entry that was only renewed from one that has changed. Where `waits` is False, the rows
    are renewed all the time, and only some hosts look often.
    """

    def __init__(
        self,
        name: str,
        feed: Feed[Entry],
        clock: Clock,
        rng: random.Random,
        on_listing: Callable[[Listing[Entry], float, float], None],
        on_link: Callable[[Link], None] | None = None,
        same: Callable[[Entry, Entry], bool] = operator.eq,
        waits: bool = True,
    ) -> None:
        super().__init__(f"feed-{name}", tick_s=0.0)
        self._table = name
        self._feed = feed
        self._clock = clock
        self._rng = rng
        self._on_listing = on_listing
        self._on_link = on_link
        self._same = same
        self._waits = waits
        self._version: int | None = None
        self._era = 0
        self._nudged = False
        self._ending = False
        self._looks = Looks(rng)
        # What the table holds, to tell a change from an entry that was only renewed.
        self._entries: dict[str, Entry | None] = {}
        self._gathers = False
        # Ends the wait before the next call.
        self._woken = threading.Event()
        self._listed = False
        self._answers = True
        self._answered_at: float | None = None

    @property
    def listed(self) -> bool:
        """Whether the table was read whole at least once."""
        return self._listed

    @property
    def looks(self) -> Looks:
        """How far this host has seen the table, and when it looks next."""
        return self._looks

    def share(self, rank: int, hosts: int) -> None:
        """Take this host's rank among those of its region, and how many hosts look at the table."""
        self._looks.share(rank, hosts)

    def heard(self, seen: int, changed: int, away: bool) -> None:
        """Take in how far a peer has seen the table, from another thread."""
        due_at = self._looks.due_at(self._waits)
        if self._looks.heard(seen, changed, away, self._clock.now()) and self._answers:
            self._lost("doubted", "told", "a peer can't look at it")
        if self._looks.due_at(self._waits) < due_at:
            self._woken.set()

    def nudge(self) -> None:
        """Give up the call that waits, from another thread, and read the table whole."""
        self._nudged = True
        self._woken.set()
        self._feed.interrupt()

    def stop(self, timeout_s: float = 10.0) -> None:
        """End the task without waiting for a change."""
        self._ending = True
        self._woken.set()
        self._feed.interrupt()
        super().stop(timeout_s)

    def tick(self) -> None:
        if self._ending or not self._due():
            return
        sent_at = self._clock.now()
        result = self._call()
        if result.is_ok():
            self._take(result.ok, sent_at)
        else:
            self._failed(result.error)

    def _due(self) -> bool:
        """Wait for a moment where the next look is not due yet, and return whether it is."""
        looks = self._looks
        if not looks.away and (self._nudged or self._version is None):
            return True
        if not looks.away and not self._gathers and (self._waits or looks.reads):
            # The call itself waits for a change.
            return True
        wait_s = looks.due_at(self._waits) - self._clock.now()
        if wait_s <= 0:
            return True
        self._woken.wait(min(wait_s, WAKE_S))
        self._woken.clear()
        return False

    def _call(self) -> Result[Listing[Entry], PlatformError]:
        if self._version is None:
            return self._feed.read()
        # After a failure the next answer tells that the table is back, and must not wait for a change.
        # Nor must that of a host which only looks now and then.
        if self._looks.away or not (self._looks.reads or self._waits):
            return self._feed.follow(self._version, 0.0)
        wait_s = self._rng.uniform(MIN_FOLLOW_S, MAX_FOLLOW_S)
        if not self._looks.reads:
            wait_s *= TIMES_LONGER
        return self._feed.follow(self._version, wait_s)

    def _take(self, listing: Listing[Entry], sent_at: float) -> None:
        now = self._clock.now()
        if not self._answers:
            away_s = now - (self._answered_at or now)
            _log.info(DIRECTORY_BACK, table=self._table, away_s=round(away_s, 2))
            self._answers = True
            self._tell_link("back")
        self._nudged = False
        self._answered_at = now
        changed = self._changed(listing)
        if listing.complete:
            _log.info(
                DIRECTORY_REREAD,
                table=self._table,
                entries=len(listing.entries),
                version=listing.version,
            )
        if self._version is None and era_of(listing.version) > self._era and self._listed:
            # Whoever wrote into the table since the copy was made writes it again soon.
            self._tell_link("lost")
            self._tell_link("back")
        self._era = era_of(listing.version)
        self._version = listing.version
        self._listed = True
        self._on_listing(listing, sent_at, now)
        # Changes that come in a row cost one call, and hosts that began together drift apart.
        self._gathers = bool(listing.entries) and not listing.complete
        self._looks.looked(listing.version, changed, now)

    def _changed(self, listing: Listing[Entry]) -> int:
        """Return the version of the newest entry that is not only renewed, or 0."""
        changed = 0
        for name, entry in listing.entries.items():
            known = self._entries.get(name)
            if entry is None or known is None or not self._same(known, entry):
                if entry is not known:
                    changed = max(changed, listing.versions.get(name, listing.version))
                self._entries[name] = entry
        if listing.complete:
            gone = [name for name in self._entries if name not in listing.entries]
            for name in gone:
                del self._entries[name]
            changed = max(changed, listing.version) if gone else changed
        return changed

    def _tell_link(self, link: Link) -> None:
        if self._on_link is not None:
            self._on_link(link)

    def _failed(self, error: PlatformError) -> None:
        nudged, self._nudged = self._nudged, False
        if error.kind == "history_gone" or nudged:
            self._version = None
            return
        if self._answers:
            self._lost("lost", error.kind, error.detail[:200])
        else:
            self._tell_link("lost")
        self._looks.failed(self._clock.now())

    def _lost(self, link: Link, kind: str, detail: str) -> None:
        self._answers = False
        _log.warning(DIRECTORY_LOST, table=self._table, kind=kind, detail=detail)
        self._tell_link(link)
