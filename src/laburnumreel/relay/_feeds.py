"""The tasks that follow the directory's tables."""

import random
import time
from collections.abc import Callable
from typing import Generic

from expression import Result

from laburnumreel.core import Clock, Log, Task
from laburnumreel.relay._events import DIRECTORY_BACK, DIRECTORY_LOST, DIRECTORY_REREAD
from laburnumreel.relay._ports import Entry, Feed, Listing
from laburnumreel.state import PlatformError

# A call that waits for changes ends after a time between these, so that a connection that went
# silent shows, at some host soon; its peers then see that they are behind.
SHORTEST_FOLLOW_S = 2.5
LONGEST_FOLLOW_S = 4.5
# After changes the next call waits a moment, so that changes that come in a row cost one call.
GATHER_S = 0.5
# Failed calls are repeated after a time that doubles up to the limit, spread over half of it.
FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 0.8

_log = Log("relay.feeds")


class FeedFollower(Task, Generic[Entry]):
    """Reads a table whole, then follows it; reads it whole again where its history is gone.

    `on_listing` takes what was read, with the times between which it was, and `on_link` whether
    the table answers; both run on this task's thread.
    """

    def __init__(
        self,
        name: str,
        feed: Feed[Entry],
        clock: Clock,
        rng: random.Random,
        on_listing: Callable[[Listing[Entry], float, float], None],
        on_link: Callable[[bool], None],
    ) -> None:
        super().__init__(f"feed-{name}", tick_s=0.0)
        self._table = name
        self._feed = feed
        self._clock = clock
        self._rng = rng
        self._on_listing = on_listing
        self._on_link = on_link
        self._version: int | None = None
        self._changed_at = 0
        self._nudged = False
        self._ending = False
        self._failures = 0
        self._listed = False
        self._answers = True
        self._answered_at: float | None = None

    @property
    def listed(self) -> bool:
        """Whether the table was read whole at least once."""
        return self._listed

    @property
    def changed_at(self) -> int:
        """The version of the newest change that was taken."""
        return self._changed_at

    @property
    def seen_through(self) -> int:
        """The version of the store up to which all changes were taken."""
        return self._version or 0

    def nudge(self) -> None:
        """Give up the call that waits, from another thread, and read the table whole."""
        self._nudged = True
        self._feed.interrupt()

    def stop(self, timeout_s: float = 10.0) -> None:
        """End the task without waiting for a change."""
        self._ending = True
        self._feed.interrupt()
        super().stop(timeout_s)

    def tick(self) -> None:
        if self._ending:
            return
        sent_at = self._clock.now()
        result = self._call()
        if result.is_ok():
            self._take(result.ok, sent_at)
        else:
            self._failed(result.error)

    def _call(self) -> Result[Listing[Entry], PlatformError]:
        if self._version is None:
            return self._feed.read()
        # After a failure the next answer tells that the table is back, and must not wait for a change.
        away = self._failures > 0
        wait_s = 0.0 if away else self._rng.uniform(SHORTEST_FOLLOW_S, LONGEST_FOLLOW_S)
        return self._feed.follow(self._version, wait_s)

    def _take(self, listing: Listing[Entry], sent_at: float) -> None:
        now = self._clock.now()
        if not self._answers:
            away_s = now - (self._answered_at or now)
            _log.info(DIRECTORY_BACK, table=self._table, away_s=round(away_s, 2))
            self._answers = True
            self._on_link(True)
        self._failures = 0
        self._answered_at = now
        self._changed_at = max(self._changed_at, listing.changed_at)
        if listing.complete:
            _log.info(
                DIRECTORY_REREAD,
                table=self._table,
                entries=len(listing.entries),
                version=listing.version,
            )
        self._version = listing.version
        self._listed = True
        self._on_listing(listing, sent_at, now)
        if listing.entries and not listing.complete:
            time.sleep(GATHER_S)

    def _failed(self, error: PlatformError) -> None:
        nudged, self._nudged = self._nudged, False
        if error.kind == "history_gone" or nudged:
            self._version = None
            return
        if self._answers:
            self._answers = False
            _log.warning(
                DIRECTORY_LOST, table=self._table, kind=error.kind, detail=error.detail[:200]
            )
            self._on_link(False)
        self._failures += 1
        wait_s = min(LONGEST_RETRY_S, FIRST_RETRY_S * 2 ** min(10, self._failures - 1))
        time.sleep(wait_s * (0.5 + 0.5 * self._rng.random()))
