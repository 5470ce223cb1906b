"""Work that backend servers have not finished, as this host and its peers sent it."""

from collections.abc import Mapping
from typing import NamedTuple

# News of a peer that is older than this says nothing about the present.
MIN_PEER_WORK_S = 2.5
# Many hosts send their news more seldom: it counts for this many times the time between the last two
# of a peer, so that a lost datagram does not matter, but not for longer than the limit.
PEER_WORK_INTERVALS = 2.2
MAX_PEER_WORK_S = 8.0


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
        return self.plus_times(other, 1)

    def plus_times(self, other: "Work", times: int) -> "Work":
        """Return this work and `times` that of `other`."""
        return Work(
            self.requests + times * other.requests,
            self.reading_tokens + times * other.reading_tokens,
            self.streams + times * other.streams,
            self.kv_tokens + times * other.kv_tokens,
        )


NO_WORK = Work()


class _PeerWork(NamedTuple):
    """What a peer said of its work, when it was heard, and until when that counts."""

    received_at: float
    expires_at: float
    work: Mapping[str, Work]


class WorkLedger:
    """This host's own work by backend server, and what each peer last said of its work.

    The sums over the peers are kept as news comes, since each placement asks for those of all
    backend servers.

    >>> ledger = WorkLedger()
    >>> ledger.add("b1", Work(requests=1))
    >>> ledger.set_peer_work("host-2", {"b1": Work(requests=2)}, now=10.0)
    >>> ledger.total("b1", now=10.1).requests, ledger.total("b1", now=20.0).requests
    (3, 1)
    """

    def __init__(self) -> None:
        self._own: dict[str, Work] = {}
        self._peers: dict[str, _PeerWork] = {}
        self._received_at: dict[str, float] = {}
        # Nothing that peers said ends before this time.
        self._next_expiry = float("inf")
        self._peer_totals: dict[str, Work] = {}
        # Backend servers whose work has changed since `take_changed`.
        self._changed: set[str] = set()

    @property
    def own(self) -> Mapping[str, Work]:
        """This host's work by backend server."""
        return self._own

    def add(self, back_end: str, work: Work) -> None:
        """Count work that is being sent."""
        _add_times(self._own, back_end, work, 1)
        self._changed.add(back_end)

    def remove(self, back_end: str, work: Work) -> None:
        """Count work that has ended."""
        _add_times(self._own, back_end, work, -1)
        self._changed.add(back_end)

    def take_changed(self, now: float) -> set[str]:
        """Return the backend servers whose work has changed since the last call."""
        self._forget_old(now)
        changed, self._changed = self._changed, set()
        return changed

    def set_peer_work(self, sender: str, work: Mapping[str, Work], now: float) -> None:
        """Take what a peer says of all its work."""
        interval_s = now - self._received_at.get(sender, now)
        lifetime_s = min(MAX_PEER_WORK_S, max(MIN_PEER_WORK_S, PEER_WORK_INTERVALS * interval_s))
        peer_work = self._peers.get(sender)
        previous = peer_work.work if peer_work is not None else {}
        self._received_at[sender] = now
        # Whoever was heard longest ago stays first.
        self._peers.pop(sender, None)
        self._peers[sender] = _PeerWork(now, now + lifetime_s, work)
        self._next_expiry = min(self._next_expiry, now + lifetime_s)
        # Most of what a peer tells is what it told before.
        for back_end, new_work in work.items():
            old_work = previous.get(back_end, NO_WORK)
            if old_work != new_work:
                self._replace_peer_work(back_end, old_work, new_work)
        for back_end, old_work in previous.items():
            if back_end not in work and old_work != NO_WORK:
                self._replace_peer_work(back_end, old_work, NO_WORK)

    def forget_peer(self, sender: str) -> None:
        """Drop what a peer said, because it has stopped."""
        self._received_at.pop(sender, None)
        self._remove_peer(sender)

    def _remove_peer(self, sender: str) -> None:
        peer_work = self._peers.pop(sender, None)
        if peer_work is None:
            return
        for back_end, each in peer_work.work.items():
            _add_times(self._peer_totals, back_end, each, -1)
        self._changed.update(peer_work.work)

    def _replace_peer_work(self, back_end: str, old_work: Work, new_work: Work) -> None:
        """Put what a peer says now in the place of what it said of a backend server."""
        total = self._peer_totals.get(back_end, NO_WORK)
        total = Work(
            total.requests + new_work.requests - old_work.requests,
            total.reading_tokens + new_work.reading_tokens - old_work.reading_tokens,
            total.streams + new_work.streams - old_work.streams,
            total.kv_tokens + new_work.kv_tokens - old_work.kv_tokens,
        )
        if total == NO_WORK:
            self._peer_totals.pop(back_end, None)
        else:
            self._peer_totals[back_end] = total
        self._changed.add(back_end)

    def total(self, back_end: str, now: float) -> Work:
        """Return the work of this host and of the peers heard from lately."""
        self._forget_old(now)
        own, others = self._own.get(back_end), self._peer_totals.get(back_end, NO_WORK)
        return others if own is None else own.plus(others)

    def oldest_update_s(self, now: float) -> float:
        """Return the age of the oldest peer news that still counts, in seconds."""
        self._forget_old(now)
        oldest = next(iter(self._peers.values()), None)
        return now - oldest.received_at if oldest is not None else 0.0

    def _forget_old(self, now: float) -> None:
        if now < self._next_expiry:
            return
        for sender in [
            sender for sender, peer_work in self._peers.items() if peer_work.expires_at < now
        ]:
            self._remove_peer(sender)
        self._next_expiry = min(
            (peer_work.expires_at for peer_work in self._peers.values()), default=float("inf")
        )


def _add_times(sums: dict[str, Work], back_end: str, work: Work, times: int) -> None:
    """Add `times` work to the sum of a backend server; a sum of nothing leaves no entry."""
    total = sums.get(back_end, NO_WORK).plus_times(work, times)
    if any(total):
        sums[back_end] = total
    else:
        sums.pop(back_end, None)
