"""The tasks that follow the directory's tables."""

import random
import threading
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
# With more hosts than this, one of them finds out as soon although each waits longer, up to this many
# times as long. That holds for a table whose loss needs no answer of the host's own.
FEW_HOSTS = 12
MOST_TIMES_LONGER = 4.0
# After changes the next call waits, so that changes that come in a row cost one call. Backend servers
# renew their entries all the time, so this sets the calls of a host. What one host learns first its
# peers hear from it, so that more hosts need to look less often each: all together about this often,
# within bounds.
LOOKS_PER_S = 12.0
SHORTEST_GATHER_S, LONGEST_GATHER_S = 0.5, 2.0
# Failed calls are repeated after a time that doubles up to the limit, spread over half of it.
FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 0.8

_log = Log("relay.feeds")


class FeedFollower(Task, Generic[Entry]):
    """Reads a table whole, then follows it; reads it whole again where its history is gone.

    `on_listing` takes what was read, with the times between which it was, and `on_link` whether
    the table answers, if that needs to be known at once; both run on this task's thread.
    """

    def __init__(
        self,
        name: str,
        feed: Feed[Entry],
        clock: Clock,
        rng: random.Random,
        on_listing: Callable[[Listing[Entry], float, float], None],
        on_link: Callable[[bool], None] | None = None,
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
        self._gather_s = SHORTEST_GATHER_S
        self._times_longer = 1.0
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
    def changed_at(self) -> int:
        """The version of the newest change that was taken."""
        return self._changed_at

    @property
    def seen_through(self) -> int:
        """The version of the store up to which all changes were taken."""
        return self._version or 0

    @property
    def gather_s(self) -> float:
        """How long after changes the table is looked at again."""
        return self._gather_s

    def set_hosts(self, hosts: int) -> None:
        """Take how many hosts look at the table."""
        if self._on_link is None:
            self._times_longer = max(1.0, min(MOST_TIMES_LONGER, hosts / FEW_HOSTS))
        self._gather_s = max(SHORTEST_GATHER_S, min(LONGEST_GATHER_S, hosts / LOOKS_PER_S))

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
        wait_s = self._rng.uniform(SHORTEST_FOLLOW_S, LONGEST_FOLLOW_S) * self._times_longer
        return self._feed.follow(self._version, 0.0 if away else wait_s)

    def _take(self, listing: Listing[Entry], sent_at: float) -> None:
        now = self._clock.now()
        if not self._answers:
            away_s = now - (self._answered_at or now)
            _log.info(DIRECTORY_BACK, table=self._table, away_s=round(away_s, 2))
            self._answers = True
            self._tell_link(True)
        self._failures = 0
        self._nudged = False
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
            # Hosts that began together drift apart.
            self._woken.wait(self._gather_s * self._rng.uniform(0.75, 1.25))
            self._woken.clear()

    def _tell_link(self, answers: bool) -> None:
        if self._on_link is not None:
            self._on_link(answers)

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
            self._tell_link(False)
        self._failures += 1
        wait_s = min(LONGEST_RETRY_S, FIRST_RETRY_S * 2 ** min(10, self._failures - 1))
        time.sleep(wait_s * (0.5 + 0.5 * self._rng.random()))
