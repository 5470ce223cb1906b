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
MIN_SHARING = 3
# Where callers ask these hosts for less than this many times the limit, more hosts share it.
COVERED_TIMES = 2.5
# Bounds for what a peer says that its callers ask.
MIN_ASKED_PER_S, MAX_ASKED_PER_S = 1e-3, 1e6
# A host that hears fewer than this share of the hosts that there are may be cut off from the others,
# whose parts it doesn't know.
MIN_HEARD_SHARE = 0.5


class Sharer(NamedTuple):
    """A host that may have a part, and what its callers ask of the service, in requests a second.

    `near` hosts are those that the server is for; the others only have a part where none is near.
    """

    host: str
    asked_per_s: float
    near: bool = True


def parts_of(back_end: str, per_s: float, hosts: Iterable[Sharer]) -> Mapping[str, float]:
    """Return the requests a second of each host that has a part of a server's limit.

    Hosts without requests have none. Where the others are many, a few of them have a part, the same
    ones on every host, chosen by hash with chances that follow their requests; as many as ask for
    what the server takes.

    >>> parts_of("b1", 1.5, [Sharer("h1", 0.8), Sharer("h2", 0.4), Sharer("h3", 0.0)])
    {'h1': 1.0, 'h2': 0.5}
    """
    asking = [each for each in hosts if each.asked_per_s > 0]
    sharing = [each for each in asking if each.near] or asking
    if len(sharing) > MIN_SHARING + int(per_s):
        sharing = _few(back_end, per_s, sharing)
    total = sum(_weight(each) for each in sharing)
    return {each.host: per_s * _weight(each) / total for each in sharing}


def _few(back_end: str, per_s: float, hosts: list[Sharer]) -> list[Sharer]:
    ordered = sorted(hosts, key=lambda each: _score(back_end, each))
    count = MIN_SHARING + int(per_s)
    asked_per_s = sum(each.asked_per_s for each in ordered[:count])
    while count < len(ordered) and asked_per_s < COVERED_TIMES * per_s:
        asked_per_s += ordered[count].asked_per_s
        count += 1
    return ordered[:count]


def may_be_cut_off(heard: int, hosts: int | None) -> bool:
    """Return whether a host that hears so many of all hosts, itself included, may be cut off.

    `hosts` is None while their number is not known.

    >>> may_be_cut_off(1, None), may_be_cut_off(1, 1), may_be_cut_off(3, 7), may_be_cut_off(4, 7)
    (True, False, True, False)
    """
    return hosts is None or heard < MIN_HEARD_SHARE * hosts


def _weight(sharer: Sharer) -> float:
    # Powers of two, so that parts stay the same while requests come at about the same rate.
    asked_per_s = max(MIN_ASKED_PER_S, min(MAX_ASKED_PER_S, sharer.asked_per_s))
    return 2.0 ** math.ceil(math.log2(asked_per_s))


def _score(back_end: str, sharer: Sharer) -> float:
    """Weighted rendezvous hashing: the lowest scores win, each with a chance by its weight."""
    return -math.log(_fraction(back_end, sharer.host)) / _weight(sharer)


@lru_cache(maxsize=65536)
def _fraction(back_end: str, host: str) -> float:
    digest = hashlib.blake2b(f"{back_end} {host}".encode(), digest_size=8).digest()
    return (int.from_bytes(digest) + 1) / (2**64 + 1)
