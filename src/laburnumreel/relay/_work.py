"""Unfinished work at the backend servers, as sent by this host and its peers."""

from collections.abc import Mapping
from typing import NamedTuple

# Reported work of a peer counts at least for this time after its update.
MIN_PEER_WORK_S = 2.5
# With many hosts, updates are less frequent. An update counts for this many times the interval
# between the last two of the peer, so that one lost datagram does not matter, up to
# the limit below.
PEER_WORK_INTERVALS = 2.2
MAX_PEER_WORK_S = 8.0


class Work(NamedTuple):
    """Unfinished work at a backend server.

    `requests` is the number of all requests, `streams` of those that generate or wait to do so,
    which take `kv_tokens` tokens of KV memory. `reading_tokens` is the number of prompt tokens
    still to be read.
    """

    requests: int = 0
    reading_tokens: int = 0
    streams: int = 0
    kv_tokens: int = 0

    def plus(self, other: "Work") -> "Work":
        return self.plus_times(other, 1)

    def plus_times(self, other: "Work", times: int) -> "Work":
        """Return this work plus `times` that of `other`."""
        return Work(
            self.requests + times * other.requests,
            self.reading_tokens + times * other.reading_tokens,
            self.streams + times * other.streams,
            self.kv_tokens + times * other.kv_tokens,
        )


NO_WORK = Work()


class _PeerWork(NamedTuple):
    """The work reported by a peer, the time of its update, and when it expires."""

    received_at: float
    expires_at: float
    work: Mapping[str, Work]


class WorkLedger:
    """This host's own work by backend server, and the work last reported by each peer.

    The totals of the peers are updated with each peer update, because each placement needs those
    of all backend servers.

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
        # No reported work expires before this time.
        self._next_expiry = float("inf")
        self._peer_totals: dict[str, Work] = {}
        # Backend servers whose work has changed since `take_changed`.
        self._changed: set[str] = set()

    @property
    def own(self) -> Mapping[str, Work]:
        """This host's work by backend server."""
        return self._own

    def add(self, back_end: str, work: Work) -> None:
        """Add work that is being sent."""
        _add_times(self._own, back_end, work, 1)
        self._changed.add(back_end)

    def remove(self, back_end: str, work: Work) -> None:
        """Subtract work that has ended."""
        _add_times(self._own, back_end, work, -1)
        self._changed.add(back_end)

    def take_changed(self, now: float) -> set[str]:
        """Return the backend servers whose work has changed since the last call."""
        self._forget_old(now)
        changed, self._changed = self._changed, set()
        return changed

    def set_peer_work(self, sender: str, work: Mapping[str, Work], now: float) -> None:
        """Replace the reported work of a peer."""
        interval_s = now - self._received_at.get(sender, now)
        lifetime_s = min(MAX_PEER_WORK_S, max(MIN_PEER_WORK_S, PEER_WORK_INTERVALS * interval_s))
        peer_work = self._peers.get(sender)
        previous = peer_work.work if peer_work is not None else {}
        self._received_at[sender] = now
        # Keep the peers in the order of their last updates, the oldest first.
        self._peers.pop(sender, None)
        self._peers[sender] = _PeerWork(now, now + lifetime_s, work)
        self._next_expiry = min(self._next_expiry, now + lifetime_s)
        # Most of the reported work has not changed since the previous update.
        for back_end, new_work in work.items():
            old_work = previous.get(back_end, NO_WORK)
            if old_work != new_work:
                self._replace_peer_work(back_end, old_work, new_work)
        for back_end, old_work in previous.items():
            if back_end not in work and old_work != NO_WORK:
                self._replace_peer_work(back_end, old_work, NO_WORK)

    def forget_peer(self, sender: str) -> None:
        """Drop the reported work of a peer that has stopped."""
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
        """Replace the contribution of a peer to the total of a backend server."""
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
        """Return the work of this host and of all peers whose updates have not expired."""
        self._forget_old(now)
        own, others = self._own.get(back_end), self._peer_totals.get(back_end, NO_WORK)
        return others if own is None else own.plus(others)

    def oldest_update_s(self, now: float) -> float:
        """Return the age in seconds of the oldest peer update that has not expired."""
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
    """Add `times` work to the sum of a backend server; remove the entry if the sum is empty."""
    total = sums.get(back_end, NO_WORK).plus_times(work, times)
    if any(total):
        sums[back_end] = total
    else:
        sums.pop(back_end, None)
