"""How hosts divide the requests that a backend server takes from all of them together.

Load patterns that this answers: a server in need that names a limit of a few requests a second to
dozens of hosts, so that equal parts would be a request a minute for each; callers that come to
hosts unevenly; hosts that start, stop or are cut off meanwhile.

Each host works its part out by itself, from what all hosts tell, so that the parts of hosts that
hear one another add up to the limit.
"""

import hashlib
import math
from collections.abc import Iterable, Mapping
from functools import lru_cache
from typing import NamedTuple

# A server's limit is divided among at least this many hosts, and one more for each request a second,
# if callers ask so many. Each may have saved one request up, and the platform allows for about as many.
MIN_SHARING_HOSTS = 3
# Where callers ask these hosts for less than this many times the limit, more hosts share it.
MIN_DEMAND_COVERAGE = 2.5
# Bounds for what a peer says that its callers ask.
MIN_DEMAND_PER_S, MAX_DEMAND_PER_S = 1e-3, 1e6
# A host that hears fewer than this share of the hosts that there are may be cut off from the others,
# whose parts it doesn't know.
MIN_HEARD_SHARE = 0.5


class HostDemand(NamedTuple):
    """A host that may have a part, and what its callers ask of the service, in requests a second.

    `is_near` hosts are those that the server is for; the others only have a part where none is near.
    """

    host: str
    demand_per_s: float
    is_near: bool = True


def limit_shares(back_end: str, per_s: float, hosts: Iterable[HostDemand]) -> Mapping[str, float]:
    """Return the requests a second of each host that has a part of a server's limit.

    Hosts without requests have none. Where the others are many, a few of them have a part, the same
    ones on every host, chosen by hash with chances that follow their requests; as many as ask for
    what the server takes.

    >>> limit_shares("b1", 1.5, [HostDemand("h1", 0.8), HostDemand("h2", 0.4), HostDemand("h3", 0.0)])
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
    """Return whether a host that hears so many of all hosts, itself included, may be cut off.

    `hosts` is None while their number is not known.

    >>> may_be_isolated(1, None), may_be_isolated(1, 1), may_be_isolated(3, 7), may_be_isolated(4, 7)
    (True, False, True, False)
    """
    return hosts is None or live_hosts < MIN_HEARD_SHARE * hosts


def _weight(host_demand: HostDemand) -> float:
    # Powers of two, so that parts stay the same while requests come at about the same rate.
    demand_per_s = max(MIN_DEMAND_PER_S, min(MAX_DEMAND_PER_S, host_demand.demand_per_s))
    return 2.0 ** math.ceil(math.log2(demand_per_s))


def _score(back_end: str, host_demand: HostDemand) -> float:
    """Weighted rendezvous hashing: the lowest scores win, each with a chance by its weight."""
    return -math.log(_hash_fraction(back_end, host_demand.host)) / _weight(host_demand)


@lru_cache(maxsize=65536)
def _hash_fraction(back_end: str, host: str) -> float:
    digest = hashlib.blake2b(f"{back_end} {host}".encode(), digest_size=8).digest()
    return (int.from_bytes(digest) + 1) / (2**64 + 1)
