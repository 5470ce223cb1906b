"""Whether this host reaches backend servers at all.

A connection that fails shows that a server is gone, or that this host has lost its links to all
servers while callers, peers and the store still reach it. Only the first is news for the peers. The
two are told apart by connections to other servers, opened after the failure.
"""

import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

from laburnumreel.relay._back_ends import ListedBackEnd

# Servers that are tried at once, in each round. After the last one, the host counts as cut off.
SERVERS_BY_ROUND = (2, 6)
# Minimum time between two rounds that do not belong together, in seconds.
ROUND_INTERVAL_S = 0.25


class ReachChange(NamedTuple):
    """A change of what is known: the failures from `since` on were of servers, or of the links."""

    is_cut_off: bool
    since: float


class ServerReach:
    """Decides whether failed connections are the servers' or this host's.

    `next_probes` returns the servers to open a connection to, `on_probed` takes the outcomes.

    >>> names = ["b1", "b2", "b3"]
    >>> servers = [ListedBackEnd(name, "orders", ("10.0.0.1", 80), "z", 4) for name in names]
    >>> reach = ServerReach(random.Random(1))
    >>> reach.on_failure("b1", now=1.0)
    >>> sorted(each.name for each in reach.next_probes(servers, now=1.0))
    ['b2', 'b3']
    >>> reach.on_probed("b2", True, began_at=1.0)
    ReachChange(is_cut_off=False, since=1.0)
    >>> reach.is_doubtful, reach.is_cut_off
    (False, False)
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        # When the oldest failure came that no later connection to another server has explained.
        self._failed_since: float | None = None
        self._failed_at = float("-inf")
        self._failed: set[str] = set()
        # Servers that are known to have failed, which tell nothing of the links.
        self._lost: set[str] = set()
        # The time up to which failures are known to be those of servers.
        self._confirmed_at = float("-inf")
        self._awaited: set[str] = set()
        self._unreached: set[str] = set()
        self._rounds = 0
        self._next_round_at = float("-inf")
        self._is_cut_off = False

    @property
    def is_cut_off(self) -> bool:
        """Whether this host reaches no backend server."""
        return self._is_cut_off

    @property
    def is_doubtful(self) -> bool:
        """Whether a failure may have been this host's; its cause is not known yet."""
        return self._failed_since is not None

    @property
    def confirmed_at(self) -> float:
        """The time up to which failed connections are known to show failed servers."""
        return self._confirmed_at

    def on_failure(self, back_end: str, now: float) -> None:
        """Record that a connection to a backend server could not be opened."""
        if self._failed_since is None:
            self._failed_since = now
        self._failed_at = now
        self._failed.add(back_end)

    def next_probes(self, back_ends: Iterable[ListedBackEnd], now: float) -> list[ListedBackEnd]:
        """Return the backend servers to connect to now, of those that may get work."""
        if self._failed_since is None or self._awaited or now < self._next_round_at:
            return []
        listed = list(back_ends)
        if not self._is_cut_off:
            listed = [each for each in listed if each.name not in self._lost]
            if len(listed) <= 1 and {each.name for each in listed} <= self._failed:
                # There is nothing to compare with.
                self._confirm(now)
                return []
        untried = [
            each for each in listed if each.name not in self._failed | self._unreached
        ] or listed
        round_number = min(self._rounds, len(SERVERS_BY_ROUND) - 1)
        chosen = _spread_over_zones(untried, self._rng)[: SERVERS_BY_ROUND[round_number]]
        self._awaited = {each.name for each in chosen}
        return chosen

    def on_probed(self, back_end: str, is_reached: bool, began_at: float) -> ReachChange | None:
        """Record the outcome of a connection that was begun at a time."""
        self._awaited.discard(back_end)
        if is_reached:
            return self._on_reached(began_at)
        self._unreached.add(back_end)
        if self._awaited or self._failed_since is None:
            return None
        self._rounds += 1
        if self._rounds < len(SERVERS_BY_ROUND):
            return None
        self._next_round_at = began_at + ROUND_INTERVAL_S
        self._unreached.clear()
        self._failed.clear()
        if self._is_cut_off:
            return None
        self._is_cut_off = True
        return ReachChange(True, self._failed_since)

    def trust_failures(self, now: float) -> None:
        """Take all failures for the servers', where no connection can be opened to tell."""
        self._confirm(now)

    def on_answer(self, back_end: str) -> None:
        """Record that a backend server has answered, or is another process than before."""
        self._lost.discard(back_end)

    def keep_only(self, is_known: Callable[[str], bool]) -> None:
        """Forget the backend servers that are no longer known."""
        self._lost = {name for name in self._lost if is_known(name)}

    def _on_reached(self, began_at: float) -> ReachChange | None:
        if self._failed_since is None:
            return None
        was_cut_off, since = self._is_cut_off, self._failed_since
        if not was_cut_off and began_at < self._failed_at:
            # Another connection has failed since; the next probe tells more.
            self._confirmed_at = began_at
            self._next_round_at = began_at + ROUND_INTERVAL_S
            return None
        self._confirm(began_at)
        return ReachChange(False, since)

    def _confirm(self, now: float) -> None:
        self._confirmed_at = max(self._confirmed_at, now)
        if not self._is_cut_off:
            self._lost |= self._failed
        self._failed_since, self._is_cut_off, self._rounds = None, False, 0
        self._failed.clear()
        self._unreached.clear()
        self._next_round_at = now + ROUND_INTERVAL_S


def _spread_over_zones(
    back_ends: Iterable[ListedBackEnd], rng: random.Random
) -> list[ListedBackEnd]:
    """Return the backend servers in random order, the first ones in different zones."""
    by_zone: dict[str, list[ListedBackEnd]] = {}
    for each in back_ends:
        by_zone.setdefault(each.zone, []).append(each)
    ranked = []
    for group in by_zone.values():
        rng.shuffle(group)
        ranked += [(rank, rng.random(), each) for rank, each in enumerate(group)]
    return [each for _, _, each in sorted(ranked, key=lambda item: item[:2])]
