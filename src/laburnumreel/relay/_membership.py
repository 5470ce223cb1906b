"""The task that registers this host, finds its peers and agrees with them on the time of day."""

from collections.abc import Callable

from laburnumreel.core import Clock, Log, Task
from laburnumreel.relay._events import (
    MEMBER_ROW_MISSING,
    MEMBERS_UNREADABLE,
    STORE_ERA_ENTERED,
    TRUE_TIME_AGREED,
)
from laburnumreel.relay._holds_wait import FIRST_UPDATE_WAIT_S
from laburnumreel.relay._members import Member, Members
from laburnumreel.relay._peer_gossip import PeerGossip
from laburnumreel.relay._true_time import TrueTime

TICK_S = 0.5
# Hosts that start later announce themselves with their updates; the list of hosts is only needed if
# these were lost. With more than `SMALL_FLEET_HOSTS` hosts, the interval grows in proportion.
LIST_INTERVAL_S = 20.0
SMALL_FLEET_HOSTS = 24
LIST_INTERVAL_ALONE_S = 2.0

_log = Log("relay.membership")


class Membership(Task):
    """Writes this host's row, adds the peers in the table, and agrees on the time of day.

    `on_hosts` is called with the number of hosts, including those in the table that send no
    updates, and with the live peers of this region that can read the table of backend servers.
    `era` returns the store's era.
    """

    def __init__(
        self,
        own_member: Member,
        members: Members,
        peers: PeerGossip,
        true_time: TrueTime,
        clock: Clock,
        on_hosts: Callable[[int, frozenset[str]], None],
        era: Callable[[], int] = lambda: 0,
    ) -> None:
        super().__init__("membership", TICK_S)
        self._own_member = own_member
        self._members = members
        self._peers = peers
        self._true_time = true_time
        self._clock = clock
        self._on_hosts = on_hosts
        self._era = era
        self._known_era: int | None = None
        self._joined = False
        self._agreed = False
        self._next_list = 0.0
        self._listed_hosts = 0
        self._has_listed = False
        self._replaces_killed = False
        self._reported: tuple[int, bool, frozenset[str]] | None = None
        self._has_tried_listing = False
        self._first_listed_at = float("inf")

    @property
    def has_tried_listing(self) -> bool:
        """Whether reading the list of hosts was tried and `on_hosts` called; it may have failed."""
        return self._has_tried_listing

    @property
    def has_listed(self) -> bool:
        """Whether the list of hosts was read after this host's row was written.

        Of two hosts that start at the same time, the one that writes its row later sees both rows,
        and its updates inform the other.
        """
        return self._has_listed

    @property
    def has_heard_peers(self) -> bool:
        """Whether a peer was heard since the start, or none is listed or answers in time."""
        waited_s = self._clock.now() - self._first_listed_at
        has_peers = self._listed_hosts > 1
        return not has_peers or waited_s >= FIRST_UPDATE_WAIT_S or bool(self._peers.live_peers)

    @property
    def replaces_killed(self) -> bool:
        """Whether the previous process left its row, which a planned stop removes."""
        return self._replaces_killed

    @property
    def _host_count(self) -> int:
        # A partitioned host receives no updates although the other hosts still exist.
        return max(1 + len(self._peers.live_peers), self._listed_hosts)

    def tick(self) -> None:
        self._enter_era(self._era())
        now = self._clock.now()
        if now >= self._next_list:
            self._list_hosts(now)
        # The row of the previous process is read before it is overwritten.
        if not self._joined and self._listed_hosts:
            self._join(now)
        if not self._agreed:
            self._agree_on_time()
        report = self._host_count, self.has_listed, frozenset(self._peers.table_readers)
        if report != self._reported:
            self._reported = report
            self._on_hosts(self._host_count, report[2])
        self._has_tried_listing = True

    def close(self) -> None:
        removed = self._members.leave(self._own_member.name)
        if removed.is_error():
            _log.warning(MEMBERS_UNREADABLE, kind=removed.error.kind, detail=removed.error.detail)

    def _enter_era(self, era: int) -> None:
        """Have the rows written again after the store was restored from an older copy."""
        if self._known_era is not None and era > self._known_era:
            _log.warning(STORE_ERA_ENTERED, era=era, before=self._known_era)
            self._joined = self._agreed = False
        self._known_era = era

    def _join(self, now: float) -> None:
        """Write this host's row; then read the list of hosts if it was never read with the row."""
        joined = self._members.join(self._own_member)
        self._joined = joined.is_ok()
        if joined.is_error():
            _log.warning(MEMBERS_UNREADABLE, kind=joined.error.kind, detail=joined.error.detail)
        elif not self._has_listed:
            self._list_hosts(now)

    def _list_hosts(self, now: float) -> None:
        listed = self._members.list()
        if listed.is_error():
            _log.warning(MEMBERS_UNREADABLE, kind=listed.error.kind, detail=listed.error.detail)
            self._next_list = now + LIST_INTERVAL_ALONE_S
            return
        others = [member for member in listed.ok if member.name != self._own_member.name]
        if not self._listed_hosts:
            self._first_listed_at = now
            self._replaces_killed = len(others) < len(listed.ok)
        self._listed_hosts = 1 + len(others)
        self._has_listed = self._has_listed or self._joined
        if self._joined and len(others) == len(listed.ok):
            # The cleanup takes a host that was partitioned for long for one that is gone.
            self._joined = False
            _log.warning(MEMBER_ROW_MISSING, host=self._own_member.name)
        self._peers.add_peers(member.address for member in others)
        live_count = len(self._peers.live_peers)
        interval_s = (
            LIST_INTERVAL_S * max(1.0, live_count / SMALL_FLEET_HOSTS)
            if live_count
            else LIST_INTERVAL_ALONE_S
        )
        self._next_list = now + interval_s

    def _agree_on_time(self) -> None:
        proposal = self._true_time.proposed_store_zero()
        if proposal is None:
            return
        agreed = self._members.store_zero()
        if agreed.is_error():
            return
        store_zero, version = agreed.ok
        if store_zero is None:
            self._members.propose_store_zero(proposal, version)
            return
        self._true_time.set_store_zero(store_zero)
        self._agreed = True
        _log.info(
            TRUE_TIME_AGREED,
            own_clock_off_s=round(proposal - store_zero, 3),
            hosts=self._host_count,
        )
