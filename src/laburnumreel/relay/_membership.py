"""The task that makes this host known to its peers, and agrees the time of day with them."""

from collections.abc import Callable

from laburnumreel.core import Clock, Log, Task
from laburnumreel.relay._events import (
    MEMBER_ROW_MISSING,
    MEMBERS_UNREADABLE,
    STORE_ERA_ENTERED,
    TRUE_TIME_AGREED,
)
from laburnumreel.relay._members import Member, Members
from laburnumreel.relay._peers import PeerNews
from laburnumreel.relay._true_time import TrueTime

TICK_S = 0.5
# Peers that come later make themselves known; the list only helps where their news was lost. With
# more hosts than this each looks more seldom.
LIST_EVERY_S = 20.0
FEW_HOSTS = 24
LIST_EVERY_ALONE_S = 2.0

_log = Log("relay.membership")


class Membership(Task):
    """Writes this host's row, introduces the peers, and settles the time of day.

    `on_hosts` takes how many hosts there are, those that have a row though they are not heard
    included, and those peers of this region that can look at the back ends' table. `era` gives the
    store's era.
    """

    def __init__(
        self,
        me: Member,
        members: Members,
        peers: PeerNews,
        true_time: TrueTime,
        clock: Clock,
        on_hosts: Callable[[int, frozenset[str]], None],
        era: Callable[[], int] = lambda: 0,
    ) -> None:
        super().__init__("membership", TICK_S)
        self._me = me
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
        self._listed = 0
        self._has_listed = False
        self._replaces_killed = False
        self._told: tuple[int, bool, frozenset[str]] | None = None
        self._has_begun = False

    @property
    def has_begun(self) -> bool:
        """Whether the list was asked for and what it says was told; it may not have answered."""
        return self._has_begun

    @property
    def has_listed(self) -> bool:
        """Whether the list of hosts was read since this host's row is in it.

        Of two hosts that begin together the one that writes its row later sees both, and its news
        tells the other.
        """
        return self._has_listed

    @property
    def replaces_killed(self) -> bool:
        """Whether the process before this one left its row, which one that stops removes."""
        return self._replaces_killed

    @property
    def _hosts(self) -> int:
        # A host that is cut off hears nobody, and the others are still there.
        return max(1 + len(self._peers.heard), self._listed)

    def tick(self) -> None:
        self._enter_era(self._era())
        now = self._clock.now()
        if now >= self._next_list:
            self._list(now)
        # The row of the process before this one is looked at before it is written over.
        if not self._joined and self._listed:
            self._join(now)
        if not self._agreed:
            self._agree()
        told = self._hosts, self.has_listed, frozenset(self._peers.readers)
        if told != self._told:
            self._told = told
            self._on_hosts(self._hosts, told[2])
        self._has_begun = True

    def close(self) -> None:
        left = self._members.leave(self._me.name)
        if left.is_error():
            _log.warning(MEMBERS_UNREADABLE, kind=left.error.kind, detail=left.error.detail)

    def _enter_era(self, era: int) -> None:
        """Write again what this host had in a store that came back from an older copy."""
        if self._known_era is not None and era > self._known_era:
            _log.warning(STORE_ERA_ENTERED, era=era, before=self._known_era)
            self._joined = self._agreed = False
        self._known_era = era

    def _join(self, now: float) -> None:
        """Write this host's row, and look at once who else is there."""
        joined = self._members.join(self._me)
        self._joined = joined.is_ok()
        if joined.is_error():
            _log.warning(MEMBERS_UNREADABLE, kind=joined.error.kind, detail=joined.error.detail)
        elif not self._has_listed:
            self._list(now)

    def _list(self, now: float) -> None:
        listed = self._members.list()
        if listed.is_error():
            _log.warning(MEMBERS_UNREADABLE, kind=listed.error.kind, detail=listed.error.detail)
            self._next_list = now + LIST_EVERY_ALONE_S
            return
        others = [member for member in listed.ok if member.name != self._me.name]
        if not self._listed:
            self._replaces_killed = len(others) < len(listed.ok)
        self._listed = 1 + len(others)
        self._has_listed = self._has_listed or self._joined
        if self._joined and len(others) == len(listed.ok):
            # Who cleans up takes a host that was cut off for long for one that is gone.
            self._joined = False
            _log.warning(MEMBER_ROW_MISSING, host=self._me.name)
        self._peers.meet(member.address for member in others)
        heard = len(self._peers.heard)
        every_s = LIST_EVERY_S * max(1.0, heard / FEW_HOSTS) if heard else LIST_EVERY_ALONE_S
        self._next_list = now + every_s

    def _agree(self) -> None:
        proposal = self._true_time.proposal()
        if proposal is None:
            return
        agreed = self._members.store_zero()
        if agreed.is_error():
            return
        store_zero, version = agreed.ok
        if store_zero is None:
            self._members.propose_store_zero(proposal, version)
            return
        self._true_time.agree(store_zero)
        self._agreed = True
        _log.info(
            TRUE_TIME_AGREED,
            own_clock_off_s=round(proposal - store_zero, 3),
            hosts=self._hosts,
        )
