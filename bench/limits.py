"""Ways to divide the limit of one backend server among hosts, by excess and by use.

The hosts ask for three times what the server takes. Each way decides alone at each host, from what
the others told with their last news. After 20 s a third of the hosts hears nobody for 10 s and a
tenth is killed and starts again; what these send then, and for 3 s more, does not count as excess, as
the platform's rule has it.
"""

import heapq
import random
from bisect import bisect_right
from collections import deque
from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

from bench._report import Report, Table, average_rows
from laburnumreel.coordination import TokenBucket
from laburnumreel.relay._limited_sends import LimitedSends, LimitedServer
from laburnumreel.relay._peer_gossip import MAX_NEAR_PER_S, peer_timeout_s, send_interval_s

HOSTS = (3, 7, 63, 195, 300)
LIMITS = (1.0, 5.0)
DEMAND_TIMES = 3.0
INTERVAL_S = 0.15
ASKED_S = 10.0
RUN_S, CALM_FROM_S, CUT_AT_S, CUT_S = 50.0, 8.0, 20.0, 10.0
CUT_SHARE, KILLED_SHARE = 1 / 3, 0.1
# The platform's rule: in any 4 s one and a half times what the limit allows, and 5 more.
WINDOW_S, FACTOR, EXTRA, CONTACT_S = 4.0, 1.5, 5.0, 3.0

TEXT = (
    "One server names a limit; `demand` is even, or half of it comes to one host. `worst` is the most that the server "
    "got in 4 s against what the rule allows (above 1 it is broken), `used` what it got in calm seconds against the "
    "limit itself, `used, cut` the same while a third of the hosts hears nobody. Goals: worst at most 1, used at least "
    "0.9, used while hosts are cut off at least 0.6."
)


class News(NamedTuple):
    """What a host tells the others: its requests a second, and its sends to the server."""

    asked_per_s: float
    sends: int


class Way(Protocol):
    """How one host decides about its sends to the server."""

    def may_send(self, now: float) -> bool: ...

    def sent(self, now: float) -> None: ...

    def heard(self, host: str, boot: int, news: News | None, now: float) -> None:
        """Take the news of a start of a host, or that it is silent."""

    def telling(self, asked_per_s: float) -> None:
        """Take what this host is about to tell."""


class EqualParts:
    """Each host has the same part: of all hosts, or of those that it hears."""

    def __init__(self, host: str, hosts: int, per_s: float, by_heard: bool = False) -> None:
        self._hosts, self._per_s, self._by_heard = hosts, per_s, by_heard
        self._heard: set[str] = set()
        self._bucket = TokenBucket(per_s / hosts, 1.0, 0.0, empty=True)

    def may_send(self, now: float) -> bool:
        if self._by_heard:
            self._bucket.set_rate(self._per_s / (1 + len(self._heard)), now)
        return self._bucket.wait_s(now) <= 0

    def sent(self, now: float) -> None:
        self._bucket.charge(1.0, now)

    def heard(self, host: str, boot: int, news: News | None, now: float) -> None:
        self._heard.discard(host) if news is None else self._heard.add(host)

    def telling(self, asked_per_s: float) -> None:
        return


class CountedSends:
    """Each host counts its own sends and those that the others told, and sends while there is room."""

    def __init__(self, host: str, hosts: int, per_s: float) -> None:
        self._bucket = TokenBucket(per_s, 1.0, 0.0, empty=True)
        self._told: dict[tuple[str, int], int] = {}

    def may_send(self, now: float) -> bool:
        return self._bucket.wait_s(now) <= 0

    def sent(self, now: float) -> None:
        self._bucket.charge(1.0, now)

    def heard(self, host: str, boot: int, news: News | None, now: float) -> None:
        if news is not None:
            self._bucket.charge(news.sends - self._told.get((host, boot), 0), now)
            self._told[host, boot] = news.sends

    def telling(self, asked_per_s: float) -> None:
        return


class PartsByRequests:
    """The relay's own decisions."""

    def __init__(self, host: str, hosts: int, per_s: float) -> None:
        self._sends = LimitedSends(host, "r")
        self._sends.set_hosts(hosts)
        self._server = LimitedServer("server", "s", "r", per_s, {"r"})

    def may_send(self, now: float) -> bool:
        return self._sends.wait_s(self._server, now) <= 0

    def sent(self, now: float) -> None:
        self._sends.record_send(self._server, now)

    def heard(self, host: str, boot: int, news: News | None, now: float) -> None:
        if news is None:
            self._sends.forget_peer(host)
        else:
            asked, sent = {"s": news.asked_per_s}, {"server": news.sends}
            self._sends.record_peer(host, str(boot), "r", asked, sent, now)

    def telling(self, asked_per_s: float) -> None:
        self._sends.set_demand({"s": asked_per_s})


WAYS: dict[str, Callable[[str, int, float], Way]] = {
    "equal parts": EqualParts,
    "equal parts of hosts heard": lambda host, hosts, per_s: EqualParts(host, hosts, per_s, True),
    "sends of all, as told": CountedSends,
    "parts by requests": PartsByRequests,
}


class _Fleet:
    """The hosts of one run, and what the server got from those that count."""

    def __init__(self, way: Callable[[str, int, float], Way], hosts: int, per_s: float) -> None:
        self._make, self._per_s = way, per_s
        self.names = [f"h{number}" for number in range(hosts)]
        self.between_s = send_interval_s(INTERVAL_S, hosts - 1, MAX_NEAR_PER_S)
        self.ways = {name: way(name, hosts, per_s) for name in self.names}
        self.sends = dict.fromkeys(self.names, 0)
        self.boots = dict.fromkeys(self.names, 0)
        self.asked: dict[str, deque[float]] = {name: deque() for name in self.names}
        self.heard_at: dict[str, dict[str, float]] = {name: {} for name in self.names}
        self.cut: set[str] = set()
        self.excused: dict[str, float] = {}
        self.got: list[float] = []
        self.counted: list[float] = []

    def ask(self, host: str, now: float) -> None:
        self.asked[host].append(now)
        if not self.ways[host].may_send(now):
            return
        self.ways[host].sent(now)
        self.sends[host] += 1
        self.got.append(now)
        if host not in self.cut and now >= self.excused.get(host, 0.0):
            self.counted.append(now)

    def kill(self, host: str, now: float) -> None:
        self.ways[host] = self._make(host, len(self.names), self._per_s)
        self.sends[host] = 0
        self.boots[host] += 1
        self.heard_at[host].clear()
        self.excused[host] = now + CONTACT_S

    def heal(self, now: float) -> None:
        self.excused.update(dict.fromkeys(self.cut, now + CONTACT_S))
        self.cut = set()

    def tell(self, host: str, now: float) -> None:
        asked = self.asked[host]
        while asked and asked[0] < now - ASKED_S:
            asked.popleft()
        news = News(len(asked) / ASKED_S, self.sends[host])
        self.ways[host].telling(news.asked_per_s)
        for other in self.names:
            if other != host and not {host, other} & self.cut:
                self.heard_at[other][host] = now
                self.ways[other].heard(host, self.boots[host], news, now)
        silent_s = peer_timeout_s(self.between_s)
        for other, at in list(self.heard_at[host].items()):
            if now - at >= silent_s:
                del self.heard_at[host][other]
                self.ways[host].heard(other, 0, None, now)


def run(seeds: Sequence[int]) -> Report:
    """Compare the ways for each number of hosts."""
    rows = []
    for hosts in HOSTS:
        for name, way in WAYS.items():
            for per_s in LIMITS:
                for skewed in (False, True):
                    demand = "half to one" if skewed else "even"
                    for seed in seeds:
                        figures = _play(way, hosts, per_s, skewed, seed)
                        rows.append((hosts, name, per_s, demand, *figures))
    headers = ("hosts", "way", "limit a second", "demand", "worst", "used", "used, cut")
    return Report(TEXT, [Table("means", headers, average_rows(rows, 4), plot="worst")])


def _play(
    way: Callable[[str, int, float], Way], hosts: int, per_s: float, skewed: bool, seed: int
) -> tuple[float, float, float]:
    """Return the worst window against the rule, and the use while calm and while hosts are cut off."""
    rng = random.Random(f"{hosts} {per_s} {skewed} {seed}")
    fleet = _Fleet(way, hosts, per_s)
    weights = [float(hosts - 1) if skewed and n == 0 else 1.0 for n in range(hosts)]
    events: list[tuple[float, int, str, str]] = []
    for number, name in enumerate(fleet.names):
        heapq.heappush(events, (rng.random() * fleet.between_s, number, "tell", name))
    heapq.heappush(events, (rng.expovariate(DEMAND_TIMES * per_s), -1, "ask", ""))
    heapq.heappush(events, (CUT_AT_S, -2, "disturb", ""))
    heapq.heappush(events, (CUT_AT_S + CUT_S, -3, "heal", ""))
    while events:
        now, number, kind, name = heapq.heappop(events)
        if now >= RUN_S:
            break
        if kind == "ask":
            fleet.ask(rng.choices(fleet.names, weights)[0], now)
            heapq.heappush(events, (now + rng.expovariate(DEMAND_TIMES * per_s), -1, "ask", ""))
        elif kind == "tell":
            fleet.tell(name, now)
            heapq.heappush(events, (now + fleet.between_s, number, "tell", name))
        elif kind == "disturb":
            shuffled = rng.sample(fleet.names, hosts)
            fleet.cut = set(shuffled[: round(CUT_SHARE * hosts)])
            for host in shuffled[::-1][: max(1, round(KILLED_SHARE * hosts))]:
                fleet.kill(host, now)
        else:
            fleet.heal(now)
    counted = [at for at in fleet.counted if at >= CONTACT_S]
    worst = max(
        (bisect_right(counted, at + WINDOW_S) - n for n, at in enumerate(counted)), default=0
    )
    allowed = FACTOR * per_s * WINDOW_S + EXTRA
    calm = sum(1 for at in fleet.got if CALM_FROM_S <= at < CUT_AT_S)
    cut = sum(1 for at in fleet.got if CUT_AT_S <= at < CUT_AT_S + CUT_S)
    return worst / allowed, calm / (per_s * (CUT_AT_S - CALM_FROM_S)), cut / (per_s * CUT_S)
