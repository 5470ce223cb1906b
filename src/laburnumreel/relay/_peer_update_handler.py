"""Builds the updates for the peers and applies the updates that come from them."""

from collections.abc import Callable, Sequence
from typing import Any

from laburnumreel.core import Clock
from laburnumreel.relay._config import RouteTable
from laburnumreel.relay._dispatcher import Dispatcher
from laburnumreel.relay._feed_follower import FeedFollower
from laburnumreel.relay._peer_update import PeerUpdate
from laburnumreel.relay._settings import HostSettings
from laburnumreel.relay._true_time import TrueTime
from laburnumreel.relay._usage_counters import UsageCounters, UsageUpdate
from laburnumreel.state import StoreEra

# Updates carry the usage counts of this many windows, which are those that are not fixed yet. A
# host that has just become the reporter of usage gets more, as its predecessor may have left some.
RECENT_USAGE_WINDOWS = 2
HISTORY_USAGE_WINDOWS = 6
# Counts are dropped after this many windows.
KEPT_WINDOWS = 40
# How many fixed windows an update names. Older windows are no longer reported.
MAX_SENT_FIXED_WINDOWS = 8
# If a peer knows a newer version of a table for this long plus the time in which a host reads a
# change, the connection to the table is considered broken and the table is read again.
MAX_BEHIND_S = 0.8


class PeerUpdateHandler:
    """Builds this host's updates from its components, and passes peers' updates on to them.

    `table` returns the route table in force, `fence` the fencing number under which this host does
    the duties, `stopping` whether the host is shutting down, and `forward_port` the port at which it
    takes requests that other hosts pass on, 0 if it takes none now. All calls come from the thread of
    the task that exchanges updates.
    """

    def __init__(
        self,
        host: HostSettings,
        boot: str,
        clock: Clock,
        true_time: TrueTime,
        usage_counters: UsageCounters,
        dispatcher: Dispatcher,
        config_feed: FeedFollower,
        back_end_feed: FeedFollower,
        table: Callable[[], RouteTable | None],
        fence: Callable[[], int],
        stopping: Callable[[], bool],
        era: StoreEra,
        forward_port: Callable[[], int] = lambda: 0,
    ) -> None:
        self._host = host
        self._boot = boot
        self._clock = clock
        self._true_time = true_time
        self._usage_counters = usage_counters
        self._dispatcher = dispatcher
        self._config_feed = config_feed
        self._back_end_feed = back_end_feed
        self._table = table
        self._fence = fence
        self._stopping = stopping
        self._era = era
        self._forward_port = forward_port
        self._has_heard_peer = False
        self._peer_config_version = 0
        self._peer_listing_version = 0
        self._behind_since: dict[FeedFollower, float] = {}

    @property
    def newest_config_version(self) -> int | None:
        """The newest configuration version of any peer, or None before the first update."""
        return self._peer_config_version if self._has_heard_peer else None

    @property
    def is_behind_on_back_ends(self) -> bool:
        """Whether a peer knows a newer change of the backend servers' table than this host."""
        return self._back_end_feed.schedule.seen_version < self._peer_listing_version

    def build_update(self, cross_region: bool) -> PeerUpdate:
        """Return this host's update for the peers in its region, or for those in other regions."""
        beliefs = self._dispatcher.local_state(cross_region).result()
        table = self._table()
        return PeerUpdate(
            sender=self._host.name,
            boot=self._boot,
            zone=self._host.zone,
            sequence=0,
            config_version=table.version if table is not None else 0,
            stopping=self._stopping(),
            usage={},
            **beliefs._asdict(),
            duty_fence=self._fence(),
            **self.build_listing_fields(),
            store_era=self._era.current,
            fixed=self._usage_counters.fixed()[-MAX_SENT_FIXED_WINDOWS:],
            forward_port=self._forward_port(),
        )

    def build_listing_fields(self) -> dict[str, Any]:
        """Return the fields of an update that tell how far the table of backend servers was read."""
        schedule = self._back_end_feed.schedule
        return {
            "listing_version": schedule.changed_version,
            "listing_seen": schedule.seen_version,
            "listing_away": schedule.is_unavailable,
            "listing_read_s": self._back_end_feed.read_store_time_s,
        }

    def build_crash_fields(self) -> dict[str, Any]:
        """Return the fields of an update that concern crashes."""
        return self._dispatcher.crash_update()._asdict()

    def build_usage(self, with_history: bool) -> UsageUpdate:
        """Return this host's counts of the last windows.

        With `with_history`, also return earlier windows and the counts of ended processes.
        """
        window = self._usage_counters.window(self._true_time.now())
        self._usage_counters.forget_before(window - KEPT_WINDOWS)
        if not with_history:
            return UsageUpdate(
                window, self._usage_counters.own_counts_since(window - RECENT_USAGE_WINDOWS + 1)
            )
        oldest = window - HISTORY_USAGE_WINDOWS + 1
        return UsageUpdate(
            window,
            self._usage_counters.own_counts_since(oldest),
            self._usage_counters.ended_counts_since(oldest),
        )

    def on_updates(self, updates: Sequence[PeerUpdate]) -> None:
        """Apply a batch of updates from peers."""
        self._has_heard_peer = True
        for update in updates:
            if update.store_era != self._era.current:
                self._era.advance_to(update.store_era)
            if update.fixed:
                self._usage_counters.mark_fixed(*update.fixed)
            self._peer_config_version = max(self._peer_config_version, update.config_version)
            is_same_era = update.store_era == self._era.current
            self._back_end_feed.on_peer_progress(
                update.listing_seen,
                update.listing_version,
                update.listing_away,
                # The clock of a store that was restored need not be the one of before.
                update.listing_read_s if is_same_era else 0.0,
            )
            self._peer_listing_version = max(self._peer_listing_version, update.listing_version)
            for window, counts in update.usage.items():
                self._usage_counters.record_peer_counts(update.sender, update.boot, window, counts)
            for ended in update.ended:
                if ended.process.sender != self._host.name or ended.process.boot != self._boot:
                    self._usage_counters.record_peer_counts(
                        *ended.process, ended.window, ended.counts
                    )
            if update.stopping:
                self._usage_counters.mark_stopping(update.sender, update.boot)
            else:
                self._usage_counters.mark_running(update.sender, update.boot)
            if update.usage_window:
                since = update.usage_window - RECENT_USAGE_WINDOWS + 1
                self._usage_counters.mark_reported(update.sender, since, update.usage_window)
        table = self._table()
        self._reread_if_behind(
            self._config_feed, table is None or table.version >= self._peer_config_version
        )
        self._reread_if_behind(self._back_end_feed, not self.is_behind_on_back_ends)
        self._dispatcher.on_peer_updates(updates)

    def on_peer_silent(self, peer: str) -> None:
        """Handle that a peer has timed out."""
        self._usage_counters.mark_silent(peer)
        self._dispatcher.on_peer_silent(peer)

    def _reread_if_behind(self, feed: FeedFollower, is_current: bool) -> None:
        """Request a full read of a table that has been behind the peers for too long."""
        now = self._clock.now()
        if is_current:
            self._behind_since.pop(feed, None)
        elif now - self._behind_since.setdefault(feed, now) >= MAX_BEHIND_S + feed.change_read_s:
            self._behind_since.pop(feed)
            feed.request_reread()
