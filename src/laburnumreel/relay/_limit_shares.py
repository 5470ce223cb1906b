"""Divides a backend server's limit on requests per second among the hosts.

An overloaded server may report a limit of a few requests per second to dozens of hosts, so that
with equal shares each could send only one request a minute. Callers may also be spread unevenly
over the hosts, and hosts may start, stop or be partitioned at any time.

Each host computes its share by itself from the updates of all hosts, so that the shares of hosts
that receive one another's updates add up to the limit.
"""

import hashlib
import math
from collections.abc import Iterable, Mapping
from functools import lru_cache
from typing import NamedTuple

# A limit is divided among at least this many hosts with demand, plus one host for each request per
# second of the limit. Each of them may have saved up one request as a burst; the platform tolerates
# about as many.
MIN_SHARING_HOSTS = 3
# More hosts share a limit while the demand at the chosen hosts is below this many times the limit.
MIN_DEMAND_COVERAGE = 2.5
# Bounds for the demand that a peer reports.
MIN_DEMAND_PER_S, MAX_DEMAND_PER_S = 1e-3, 1e6
# A host that receives updates from fewer than this share of all hosts may be partitioned from the
# others, whose shares it does not know.
MIN_HEARD_SHARE = 0.5


class HostDemand(NamedTuple):
    """A host that may get a share, and its callers' demand on the service in requests per second.

    `is_near` hosts are in the server's region, or in a region where the service has no servers. The
    others only get a share if no near host has demand.
    """

    host: str
    demand_per_s: float
    is_near: bool = True


def limit_shares(back_end: str, per_s: float, hosts: Iterable[HostDemand]) -> Mapping[str, float]:
    """Return the share of a server's limit in requests per second, by host.

    Hosts without demand get none. If there are many others, only some get a share, chosen by
    weighted hashing so that every host computes the same choice: hosts with more demand are more
    likely to be chosen, and enough are chosen to use the limit.

    >>> hosts = [HostDemand("h1", 0.8), HostDemand("h2", 0.4), HostDemand("h3", 0.0)]
    >>> limit_shares("b1", 1.5, hosts)
    {'h1': 1.0, 'h2': 0.5}
    """
    asking = [each for each in hosts if each.demand_per_s > 0]
    sharing = [each for each in asking if each.is_near] or asking
    if len(sharing) > MIN_SHARING_HOSTS + int(per_s):
        sharing = _choose_sharing(back_end, per_s, sharing)
    total = sum(_weight(each) for each in sharing)
    return {each.host: per_s * _weight(each) / total for each in sharing}


def _choose_sharing(back_end: str, per_s: float, hosts: list[HostDemand]) -> list[HostDemand]:
    ordered = sorted(hosts, key=lambda each: _score(back_end, each))
    count = MIN_SHARING_HOSTS + int(per_s)
    demand_per_s = sum(each.demand_per_s for each in ordered[:count])
    while count < len(ordered) and demand_per_s < MIN_DEMAND_COVERAGE * per_s:
        demand_per_s += ordered[count].demand_per_s
        count += 1
    return ordered[:count]


def may_be_isolated(live_hosts: int, hosts: int | None) -> bool:
    """Return whether a host that knows `live_hosts` live hosts, itself included, may be partitioned.

    `hosts` is the number of all hosts, or None while it is unknown.

    >>> may_be_isolated(1, None), may_be_isolated(1, 1)
    (True, False)
    >>> may_be_isolated(3, 7), may_be_isolated(4, 7)
    (True, False)
    """
    return hosts is None or live_hosts < MIN_HEARD_SHARE * hosts


def _weight(host_demand: HostDemand) -> float:
    # Rounds up to a power of two, so that shares stay stable while demand varies a little.
    demand_per_s = max(MIN_DEMAND_PER_S, min(MAX_DEMAND_PER_S, host_demand.demand_per_s))
    return 2.0 ** math.ceil(math.log2(demand_per_s))


def _score(back_end: str, host_demand: HostDemand) -> float:
    """Return the score for weighted rendezvous hashing, in which the lowest scores win."""
    return -math.log(_hash_fraction(back_end, host_demand.host)) / _weight(host_demand)


@lru_cache(maxsize=65536)
def _hash_fraction(back_end: str, host: str) -> float:
    digest = hashlib.blake2b(f"{back_end} {host}".encode(), digest_size=8).digest()
    return (int.from_bytes(digest) + 1) / (2**64 + 1)
