"""What a host tells its peers, and what it does with their news."""

from collections.abc import Callable, Sequence

from laburnumreel.core import Clock
from laburnumreel.relay._config import RouteTable
from laburnumreel.relay._dispatcher import Dispatcher
from laburnumreel.relay._feeds import FeedFollower
from laburnumreel.relay._news import News
from laburnumreel.relay._settings import HostSettings
from laburnumreel.relay._true_time import TrueTime
from laburnumreel.relay._usage import UsageBook, UsageNews
from laburnumreel.state import StoreEra

# Peers hear of the usage of this many windows, which are those that are not fixed yet. One that
# begins to report usage hears of more, since its predecessor may have left some.
USAGE_WINDOWS = 2
ALL_USAGE_WINDOWS = 6
# Counts are forgotten after this many windows.
FORGET_WINDOWS = 40
# Windows that hosts tell one another as fixed. Older ones are not reported any more.
TOLD_FIXED = 8
# A peer that knows more of a table for this long, and the time for which changes gather, shows that
# the connection to it has gone silent.
BEHIND_S = 0.8


class Exchange:
    """Puts a host's news together from its parts, and hands the peers' news to them.

    `table` gives the routes in force, `fence` the number under which this host does the duties, and
    `stopping` whether it stops. All calls come from the thread of the peers' task.
    """

    def __init__(
        self,
        host: HostSettings,
        boot: str,
        clock: Clock,
        true_time: TrueTime,
        book: UsageBook,
        dispatcher: Dispatcher,
        config_feed: FeedFollower,
        back_end_feed: FeedFollower,
        table: Callable[[], RouteTable | None],
        fence: Callable[[], int],
        stopping: Callable[[], bool],
        era: StoreEra,
    ) -> None:
        self._host = host
        self._boot = boot
        self._clock = clock
        self._true_time = true_time
        self._book = book
        self._dispatcher = dispatcher
        self._config_feed = config_feed
        self._back_end_feed = back_end_feed
        self._table = table
        self._fence = fence
        self._stopping = stopping
        self._era = era
        self._heard_any = False
        self._peer_version = 0
        self._peer_listing = 0
        self._behind_since: dict[FeedFollower, float] = {}

    @property
    def newest_version(self) -> int | None:
        """The newest configuration that any peer is known to have, or None before one was heard."""
        return self._peer_version if self._heard_any else None

    def news(self, far: bool) -> News:
        """Return this host's news for the peers in its region, or for those in others."""
        beliefs = self._dispatcher.local_state(far).result()
        table = self._table()
        return News(
            sender=self._host.name,
            boot=self._boot,
            zone=self._host.zone,
            sequence=0,
            config_version=table.version if table is not None else 0,
            stopping=self._stopping(),
            usage={},
            **beliefs._asdict(),
            duty_fence=self._fence(),
            listing_version=self._back_end_feed.looks.changed,
            listing_seen=self._back_end_feed.looks.seen,
            listing_away=self._back_end_feed.looks.away,
            store_era=self._era.known,
            fixed=self._book.fixed()[-TOLD_FIXED:],
        )

    def usage(self, older: bool) -> UsageNews:
        """Return this host's counts of the last windows.

        With `older`, more windows, and what ended processes told this host.
        """
        window = self._book.window(self._true_time.now())
        self._book.forget_before(window - FORGET_WINDOWS)
        if not older:
            return UsageNews(window, self._book.own_since(window - USAGE_WINDOWS + 1))
        oldest = window - ALL_USAGE_WINDOWS + 1
        return UsageNews(window, self._book.own_since(oldest), self._book.ended_since(oldest))

    def heard(self, batch: Sequence[News]) -> None:
        """Take the news of some peers."""
        self._heard_any = True
        for news in batch:
            if news.store_era != self._era.known:
                self._era.heard(news.store_era)
            if news.fixed:
                self._book.fix(*news.fixed)
            self._peer_version = max(self._peer_version, news.config_version)
            self._back_end_feed.heard(news.listing_seen, news.listing_version, news.listing_away)
            self._peer_listing = max(self._peer_listing, news.listing_version)
            for window, counts in news.usage.items():
                self._book.peer(news.sender, news.boot, window, counts)
            for ended in news.ended:
                if ended.process.sender != self._host.name or ended.process.boot != self._boot:
                    self._book.peer(*ended.process, ended.window, ended.counts)
            if news.stopping:
                self._book.stopped(news.sender)
            else:
                self._book.runs(news.sender, news.boot)
            if news.usage_window:
                since = news.usage_window - USAGE_WINDOWS + 1
                self._book.told(news.sender, since, news.usage_window)
        table = self._table()
        self._nudge(self._config_feed, table is None or table.version >= self._peer_version)
        self._nudge(self._back_end_feed, self._back_end_feed.looks.seen >= self._peer_listing)
        self._dispatcher.on_peer_updates(batch)

    def silent(self, peer: str) -> None:
        """Take in that a peer is not heard any more."""
        self._book.stopped(peer)
        self._dispatcher.on_peer_silent(peer)

    def _nudge(self, feed: FeedFollower, current: bool) -> None:
        """Have a table read again that peers know more of than its connection has told."""
        now = self._clock.now()
        if current:
            self._behind_since.pop(feed, None)
        elif now - self._behind_since.setdefault(feed, now) >= BEHIND_S + feed.looks.gather_s:
            self._behind_since.pop(feed)
            feed.nudge()
