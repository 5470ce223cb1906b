"""Which sends to backend servers with a limit this host makes: a part of what each takes."""

from collections import Counter
from collections.abc import Collection, Mapping
from typing import NamedTuple

from laburnumreel.coordination import TokenBucket
from laburnumreel.relay._limit_shares import HostDemand, limit_shares, may_be_isolated

# Parts are worked out anew after this time: hosts and their requests change with each news.
SHARE_REFRESH_S = 0.25
# A host may use this many times its part, as long as all together leave room in the limit.
MAX_SHARE_FACTOR = 2.0
# What all hosts together may save up of a limit, or a second's worth if that is more.
FLEET_BURST_REQUESTS = 3.0


class LimitedServer(NamedTuple):
    """A backend server with a limit, and the regions in which its service has servers."""

    back_end: str
    service: str
    region: str
    per_s: float
    served_regions: Collection[str]


class LimitShare(NamedTuple):
    """This host's part of a limit, in requests a second, and how many hosts have one."""

    per_s: float
    hosts: int


class _Peer(NamedTuple):
    boot: str
    region: str
    demand: Mapping[str, float]
    sent: Mapping[str, int]


class LimitedSends:
    """This host's parts of limits, and what the hosts have spent of them.

    What a host is asked lately is that of its own callers, by service. One that may be cut off has no
    part, nor one that is not known to the others yet. A host may use more than its part while the
    others, by what they told, leave some of theirs.

    >>> sends = LimitedSends("h1", "r")
    >>> sends.set_hosts(1)
    >>> sends.set_demand({"quotes": 3.0})
    >>> server = LimitedServer("b1", "quotes", "r", 2.0, {"r"})
    >>> sends.wait_s(server, now=0.0), sends.wait_s(server, now=0.5)
    (0.5, 0.0)
    >>> sends.record_send(server, now=0.5)
    >>> sends.wait_s(server, now=0.6)
    0.4
    """

    def __init__(self, host: str, region: str) -> None:
        self._host = host
        self._region = region
        self._peers: dict[str, _Peer] = {}
        self._hosts: int | None = None
        # What the peers were last told that this host's callers ask for.
        self._own_demand: Mapping[str, float] = {}
        self._shares: dict[str, tuple[float, LimitShare]] = {}
        # What is left of this host's part, and of the whole limit by what the others told.
        self._own_buckets: dict[str, TokenBucket] = {}
        self._fleet_buckets: dict[str, TokenBucket] = {}
        self._sent: Counter[str] = Counter()

    @property
    def sent(self) -> Mapping[str, int]:
        """This host's sends to the servers that have a limit, since they have it."""
        return dict(self._sent)

    def set_hosts(self, hosts: int) -> None:
        """Take how many hosts there are, heard or not, this one included."""
        self._hosts = hosts

    def record_peer(
        self,
        host: str,
        boot: str,
        region: str,
        demand: Mapping[str, float],
        sent: Mapping[str, int],
        now: float,
    ) -> bool:
        """Take what a peer's callers ask for and what it has sent; return whether its process is new."""
        known = self._peers.get(host)
        self._peers[host] = _Peer(boot, region, demand, sent)
        for back_end, count in sent.items():
            if back_end in self._fleet_buckets and known is not None:
                before = known.sent.get(back_end, 0) if known.boot == boot else 0
                self._fleet_buckets[back_end].charge(max(0, count - before), now)
        return known is None or known.boot != boot

    def forget_peer(self, host: str) -> None:
        """Take in that a peer is not heard any more, or stops."""
        self._peers.pop(host, None)

    def set_demand(self, demand: Mapping[str, float]) -> None:
        """Take what the peers are told that this host's callers ask for."""
        self._own_demand = demand

    def share(self, server: LimitedServer, now: float) -> LimitShare:
        """Return this host's part of a server's limit."""
        computed_at, share = self._shares.get(server.back_end, (float("-inf"), LimitShare(0.0, 0)))
        if not computed_at <= now < computed_at + SHARE_REFRESH_S:
            share = self._compute_share(server)
            self._shares[server.back_end] = (now, share)
            if server.back_end not in self._own_buckets:
                self._own_buckets[server.back_end] = TokenBucket(0.0, 1.0, now)
                # Others may just have spent what there was.
                self._fleet_buckets[server.back_end] = TokenBucket(
                    0.0, 1.0, now, True, FLEET_BURST_REQUESTS
                )
            own_per_s = min(server.per_s, MAX_SHARE_FACTOR * share.per_s)
            self._own_buckets[server.back_end].set_rate(own_per_s, now)
            self._fleet_buckets[server.back_end].set_rate(server.per_s, now)
        return share

    def wait_s(self, server: LimitedServer, now: float) -> float:
        """Return the seconds until a send to a server is within this host's part of its limit."""
        if self.share(server, now).per_s <= 0:
            return float("inf")
        return max(
            self._own_buckets[server.back_end].wait_s(now),
            self._fleet_buckets[server.back_end].wait_s(now),
        )

    def record_send(self, server: LimitedServer, now: float) -> None:
        """Count a send to a server."""
        self.share(server, now)
        self._own_buckets[server.back_end].charge(1.0, now)
        self._fleet_buckets[server.back_end].charge(1.0, now)
        self._sent[server.back_end] += 1

    def keep_only(self, limited: Collection[str]) -> None:
        """Forget what was spent at servers that have no limit any more."""
        for name in [name for name in self._own_buckets if name not in limited]:
            for each in (self._own_buckets, self._fleet_buckets, self._shares, self._sent):
                each.pop(name, None)

    def _compute_share(self, server: LimitedServer) -> LimitShare:
        if may_be_isolated(1 + len(self._peers), self._hosts):
            return LimitShare(0.0, 0)
        own = (self._host, _Peer("", self._region, self._own_demand, {}))
        shares = limit_shares(
            server.back_end,
            server.per_s,
            (
                HostDemand(
                    host, peer.demand.get(server.service, 0.0), self._is_near(server, peer.region)
                )
                for host, peer in (own, *self._peers.items())
            ),
        )
        return LimitShare(shares.get(self._host, 0.0), len(shares))

    def _is_near(self, server: LimitedServer, region: str) -> bool:
        return region == server.region or region not in server.served_regions
