"""Work that backend servers have not finished, as this host and its peers sent it."""

from collections.abc import Mapping
from typing import NamedTuple

# News of a peer that is older than this says nothing about the present.
PEER_NEWS_S = 2.5
# Many hosts send their news more seldom: it counts for this many times the time between the last two
# of a peer, so that a lost datagram does not matter, but not for longer than the limit.
NEWS_TIMES = 2.2
LONGEST_NEWS_S = 8.0


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
        return self.times_added(other, 1)

    def times_added(self, other: "Work", times: int) -> "Work":
        """Return this work and `times` that of `other`."""
        return Work(
            self.requests + times * other.requests,
            self.reading_tokens + times * other.reading_tokens,
            self.streams + times * other.streams,
            self.kv_tokens + times * other.kv_tokens,
        )


NO_WORK = Work()


class _Told(NamedTuple):
    """What a peer said of its work, when it was heard, and until when that counts."""

    heard_at: float
    ends_at: float
    work: Mapping[str, Work]


class WorkLedger:
    """This host's own work by backend server, and what each peer last said of its work.

    The sums over the peers are kept as news comes, since each placement asks for those of all
    backend servers.

    >>> ledger = WorkLedger()
    >>> ledger.add("b1", Work(requests=1))
    >>> ledger.peer("host-2", {"b1": Work(requests=2)}, now=10.0)
    >>> ledger.total("b1", now=10.1).requests, ledger.total("b1", now=20.0).requests
    (3, 1)
    """

    def __init__(self) -> None:
        self._own: dict[str, Work] = {}
        self._peers: dict[str, _Told] = {}
        self._heard_at: dict[str, float] = {}
        # Nothing that peers said ends before this time.
        self._next_end = float("inf")
        self._of_peers: dict[str, Work] = {}
        # Backend servers whose work has changed since `take_changed`.
        self._changed: set[str] = set()

    @property
    def own(self) -> Mapping[str, Work]:
        """This host's work by backend server."""
        return self._own

    def add(self, back_end: str, work: Work) -> None:
        """Count work that is being sent."""
        _change(self._own, back_end, work, 1)
        self._changed.add(back_end)

    def remove(self, back_end: str, work: Work) -> None:
        """Count work that has ended."""
        _change(self._own, back_end, work, -1)
        self._changed.add(back_end)

    def take_changed(self, now: float) -> set[str]:
        """Return the backend servers whose work has changed since the last call."""
        self._forget_old(now)
        changed, self._changed = self._changed, set()
        return changed

    def peer(self, sender: str, work: Mapping[str, Work], now: float) -> None:
        """Take what a peer says of all its work."""
        gap_s = now - self._heard_at.get(sender, now)
        lasts_s = min(LONGEST_NEWS_S, max(PEER_NEWS_S, NEWS_TIMES * gap_s))
        told = self._peers.get(sender)
        before = told.work if told is not None else {}
        self._heard_at[sender] = now
        # Whoever was heard longest ago stays first.
        self._peers.pop(sender, None)
        self._peers[sender] = _Told(now, now + lasts_s, work)
        self._next_end = min(self._next_end, now + lasts_s)
        # Most of what a peer tells is what it told before.
        for back_end, is_now in work.items():
            was = before.get(back_end, NO_WORK)
            if was != is_now:
                self._correct(back_end, was, is_now)
        for back_end, was in before.items():
            if back_end not in work and was != NO_WORK:
                self._correct(back_end, was, NO_WORK)

    def forget_peer(self, sender: str) -> None:
        """Drop what a peer said, because it has stopped."""
        self._heard_at.pop(sender, None)
        self._drop(sender)

    def _drop(self, sender: str) -> None:
        told = self._peers.pop(sender, None)
        if told is None:
            return
        for back_end, each in told.work.items():
            _change(self._of_peers, back_end, each, -1)
        self._changed.update(told.work)

    def _correct(self, back_end: str, was: Work, is_now: Work) -> None:
        """Put what a peer says now in the place of what it said of a backend server."""
        total = self._of_peers.get(back_end, NO_WORK)
        total = Work(
            total.requests + is_now.requests - was.requests,
            total.reading_tokens + is_now.reading_tokens - was.reading_tokens,
            total.streams + is_now.streams - was.streams,
            total.kv_tokens + is_now.kv_tokens - was.kv_tokens,
        )
        if total == NO_WORK:
            self._of_peers.pop(back_end, None)
        else:
            self._of_peers[back_end] = total
        self._changed.add(back_end)

    def total(self, back_end: str, now: float) -> Work:
        """Return the work of this host and of the peers heard from lately."""
        self._forget_old(now)
        own, others = self._own.get(back_end), self._of_peers.get(back_end, NO_WORK)
        return others if own is None else own.plus(others)

    def oldest_news_s(self, now: float) -> float:
        """Return the age of the oldest peer news that still counts, in seconds."""
        self._forget_old(now)
        oldest = next(iter(self._peers.values()), None)
        return now - oldest.heard_at if oldest is not None else 0.0

    def _forget_old(self, now: float) -> None:
        if now < self._next_end:
            return
        for sender in [sender for sender, told in self._peers.items() if told.ends_at < now]:
            self._drop(sender)
        self._next_end = min((told.ends_at for told in self._peers.values()), default=float("inf"))


def _change(sums: dict[str, Work], back_end: str, work: Work, times: int) -> None:
    """Add `times` work to the sum of a backend server; a sum of nothing leaves no entry."""
    total = sums.get(back_end, NO_WORK).times_added(work, times)
    if any(total):
        sums[back_end] = total
    else:
        sums.pop(back_end, None)
