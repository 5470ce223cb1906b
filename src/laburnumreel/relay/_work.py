"""Work that backend servers have not finished, as this host and its peers sent it."""

from collections.abc import Mapping
from typing import NamedTuple

# News of a peer that is older than this says nothing about the present. Peers in other regions send
# about once a second, so that a lost datagram does not matter.
PEER_NEWS_S = 2.5


class Work(NamedTuple):
    """Unfinished work at a backend server.

    `requests` are all requests there, `streams` those that generate or wait to, with `kv_tokens` of
    memory. `reading_tokens` are the prompt tokens still to be read.
    """

    requests: int = 0
    reading_tokens: int = 0
    streams: int = 0
    kv_tokens: int = 0

    def plus(self, other: "Work") -> "Work":
        return Work(*(mine + theirs for mine, theirs in zip(self, other, strict=True)))

    def minus(self, other: "Work") -> "Work":
        return Work(*(mine - theirs for mine, theirs in zip(self, other, strict=True)))


NO_WORK = Work()


class WorkLedger:
    """This host's own work by backend server, and what each peer last said of its work.

    >>> ledger = WorkLedger()
    >>> ledger.add("b1", Work(requests=1))
    >>> ledger.peer("host-2", {"b1": Work(requests=2)}, now=10.0)
    >>> ledger.total("b1", now=10.1).requests, ledger.total("b1", now=20.0).requests
    (3, 1)
    """

    def __init__(self) -> None:
        self._own: dict[str, Work] = {}
        self._peers: dict[str, tuple[float, Mapping[str, Work]]] = {}

    @property
    def own(self) -> Mapping[str, Work]:
        """This host's work by backend server."""
        return self._own

    def add(self, back_end: str, work: Work) -> None:
        """Count work that is being sent."""
        self._own[back_end] = self._own.get(back_end, NO_WORK).plus(work)

    def remove(self, back_end: str, work: Work) -> None:
        """Count work that has ended."""
        left = self._own.get(back_end, NO_WORK).minus(work)
        if any(left):
            self._own[back_end] = left
        else:
            self._own.pop(back_end, None)

    def peer(self, sender: str, work: Mapping[str, Work], now: float) -> None:
        """Take what a peer says of all its work."""
        self._peers[sender] = (now, work)

    def forget_peer(self, sender: str) -> None:
        """Drop what a peer said, because it has stopped."""
        self._peers.pop(sender, None)

    def total(self, back_end: str, now: float) -> Work:
        """Return the work of this host and of the peers heard from lately."""
        total = self._own.get(back_end, NO_WORK)
        for heard_at, work in self._peers.values():
            if now - heard_at <= PEER_NEWS_S and back_end in work:
                total = total.plus(work[back_end])
        return total

    def oldest_news_s(self, now: float) -> float:
        """Return the age of the oldest peer news that still counts, in seconds."""
        ages = [now - heard_at for heard_at, _ in self._peers.values()]
        return max((age for age in ages if age <= PEER_NEWS_S), default=0.0)
