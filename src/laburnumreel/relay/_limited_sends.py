"""This host's share of the limits of backend servers, and the sends that count against them."""

from collections import Counter
from collections.abc import Collection, Mapping
from typing import NamedTuple

from laburnumreel.coordination import TokenBucket
from laburnumreel.relay._limit_shares import HostDemand, limit_shares, may_be_isolated

# Shares are recomputed after this time, as hosts and their demand change with each update.
SHARE_REFRESH_S = 0.25
# A host may use up to this many times its share while the hosts together stay within the limit.
MAX_SHARE_FACTOR = 2.0
# Burst of requests that all hosts together may save up, or one second's worth if that is more.
FLEET_BURST_REQUESTS = 3.0


class LimitedServer(NamedTuple):
    """A backend server with a limit, and the regions in which its service has servers."""

    back_end: str
    service: str
    region: str
    per_s: float
    served_regions: Collection[str]


class LimitShare(NamedTuple):
    """This host's share of a limit in requests per second, and the number of hosts with a share."""

    per_s: float
    hosts: int


class _Peer(NamedTuple):
    boot: str
    region: str
    demand: Mapping[str, float]
    sent: Mapping[str, int]


class LimitedSends:
    """This host's shares of limits, and the sends of all hosts that count against the limits.

    Demand is the recent rate of requests from a host's own callers, by service. A host that may be
    partitioned has no share, nor has one that the others do not know yet. A host may use more than
    its share while the others, by their updates, do not use theirs.

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
        # This host's demand by service, as last sent to the peers.
        self._own_demand: Mapping[str, float] = {}
        self._shares: dict[str, tuple[float, LimitShare]] = {}
        # Rate limits by server: for this host's sends, and for the sends of all hosts.
        self._own_buckets: dict[str, TokenBucket] = {}
        self._fleet_buckets: dict[str, TokenBucket] = {}
        self._sent: Counter[str] = Counter()

    @property
    def sent(self) -> Mapping[str, int]:
        """This host's sends by limited server, since the server has a limit."""
        return dict(self._sent)

    def set_hosts(self, hosts: int) -> None:
        """Set the number of all hosts, including this one and those that send no updates."""
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
        """Record a peer's demand and its sends; return whether its process is new."""
        known = self._peers.get(host)
        self._peers[host] = _Peer(boot, region, demand, sent)
        for back_end, count in sent.items():
            if back_end in self._fleet_buckets and known is not None:
                before = known.sent.get(back_end, 0) if known.boot == boot else 0
                self._fleet_buckets[back_end].charge(max(0, count - before), now)
        return known is None or known.boot != boot

    def forget_peer(self, host: str) -> None:
        """Drop the state of a peer that has timed out or is stopping."""
        self._peers.pop(host, None)

    def set_demand(self, demand: Mapping[str, float]) -> None:
        """Set the demand of this host's callers, by service, as it is sent to the peers."""
        self._own_demand = demand

    def share(self, server: LimitedServer, now: float) -> LimitShare:
        """Return this host's share of a server's limit."""
        computed_at, share = self._shares.get(server.back_end, (float("-inf"), LimitShare(0.0, 0)))
        if not computed_at <= now < computed_at + SHARE_REFRESH_S:
            share = self._compute_share(server)
            self._shares[server.back_end] = (now, share)
            if server.back_end not in self._own_buckets:
                self._own_buckets[server.back_end] = TokenBucket(0.0, 1.0, now)
                # Starts empty, as other hosts may just have used the whole limit.
                self._fleet_buckets[server.back_end] = TokenBucket(
                    0.0, 1.0, now, True, FLEET_BURST_REQUESTS
                )
            own_per_s = min(server.per_s, MAX_SHARE_FACTOR * share.per_s)
            self._own_buckets[server.back_end].set_rate(own_per_s, now)
            self._fleet_buckets[server.back_end].set_rate(server.per_s, now)
        return share

    def wait_s(self, server: LimitedServer, now: float) -> float:
        """Return the seconds until a send to a server is within this host's share of its limit."""
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
        """Drop the state of servers that no longer have a limit."""
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
