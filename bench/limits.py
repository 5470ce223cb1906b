"""Compare policies that divide the limit of one backend server among hosts, by excess and use.

The demand is three times the limit. Each host decides alone, from the last updates of its peers.
After 20 s a third of the hosts is cut off from all peers for 10 s, and a tenth is killed and
restarted. Sends of these hosts during that time and 3 s after it don't count as excess, as in the
platform's rule.
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
DEMAND_FACTOR = 3.0
INTERVAL_S = 0.15
DEMAND_WINDOW_S = 10.0
RUN_S, CALM_START_S, CUT_AT_S, CUT_S = 50.0, 8.0, 20.0, 10.0
CUT_SHARE, KILLED_SHARE = 1 / 3, 0.1
# The platform's rule: in any 4 s at most 1.5 times what the limit allows, plus 5.
WINDOW_S, ALLOWED_FACTOR, ALLOWED_EXTRA_SENDS, RECONNECT_S = 4.0, 1.5, 5.0, 3.0

TEXT = (
    "One server names a limit; `demand` is even, or half of it comes to one host. `worst` is the highest number of sends "
    "in 4 s over what the rule allows (above 1 it is broken), `used` the sends before the cut over the limit "
    "itself, `used, cut` the same while a third of the hosts is cut off from all peers. Goals: worst at most 1, used at least "
    "0.9, used while hosts are cut off at least 0.6."
)


class HostUpdate(NamedTuple):
    """The update that a host sends its peers: its requests per second, its sends to the server."""

    requests_per_s: float
    sends: int


class LimitPolicy(Protocol):
    """How one host decides whether to send to the server."""

    def may_send(self, now: float) -> bool: ...

    def record_send(self, now: float) -> None: ...

    def on_update(self, host: str, boot: int, update: HostUpdate | None, now: float) -> None:
        """Record an update from one run of a host, or, with None, that the host is silent."""

    def on_own_update(self, requests_per_s: float) -> None:
        """Record the demand that this host is about to send to its peers."""


class EqualShares:
    """Each host has an equal share, counted over all hosts or over the reachable ones."""

    def __init__(self, host: str, hosts: int, per_s: float, count_live_hosts: bool = False) -> None:
        self._hosts, self._per_s, self._count_live_hosts = hosts, per_s, count_live_hosts
        self._live_hosts: set[str] = set()
        self._bucket = TokenBucket(per_s / hosts, 1.0, 0.0, empty=True)

    def may_send(self, now: float) -> bool:
        if self._count_live_hosts:
            self._bucket.set_rate(self._per_s / (1 + len(self._live_hosts)), now)
        return self._bucket.wait_s(now) <= 0

    def record_send(self, now: float) -> None:
        self._bucket.charge(1.0, now)

    def on_update(self, host: str, boot: int, update: HostUpdate | None, now: float) -> None:
        self._live_hosts.discard(host) if update is None else self._live_hosts.add(host)

    def on_own_update(self, requests_per_s: float) -> None:
        return


class CountAllSends:
    """Each host counts its own sends and those reported by peers against the whole limit."""

    def __init__(self, host: str, hosts: int, per_s: float) -> None:
        self._bucket = TokenBucket(per_s, 1.0, 0.0, empty=True)
        self._last_sends: dict[tuple[str, int], int] = {}

    def may_send(self, now: float) -> bool:
        return self._bucket.wait_s(now) <= 0

    def record_send(self, now: float) -> None:
        self._bucket.charge(1.0, now)

    def on_update(self, host: str, boot: int, update: HostUpdate | None, now: float) -> None:
        if update is not None:
            self._bucket.charge(update.sends - self._last_sends.get((host, boot), 0), now)
            self._last_sends[host, boot] = update.sends

    def on_own_update(self, requests_per_s: float) -> None:
        return


class RelayPolicy:
    """The policy of the relay (`LimitedSends`): shares in proportion to demand."""

    def __init__(self, host: str, hosts: int, per_s: float) -> None:
        self._sends = LimitedSends(host, "r")
        self._sends.set_hosts(hosts)
        self._server = LimitedServer("server", "s", "r", per_s, {"r"})

    def may_send(self, now: float) -> bool:
        return self._sends.wait_s(self._server, now) <= 0

    def record_send(self, now: float) -> None:
        self._sends.record_send(self._server, now)

    def on_update(self, host: str, boot: int, update: HostUpdate | None, now: float) -> None:
        if update is None:
            self._sends.forget_peer(host)
        else:
            asked, sent = {"s": update.requests_per_s}, {"server": update.sends}
            self._sends.record_peer(host, str(boot), "r", asked, sent, now)

    def on_own_update(self, requests_per_s: float) -> None:
        self._sends.set_demand({"s": requests_per_s})


LIMIT_POLICIES: dict[str, Callable[[str, int, float], LimitPolicy]] = {
    "equal parts": EqualShares,
    "equal parts of hosts heard": lambda host, hosts, per_s: EqualShares(host, hosts, per_s, True),
    "sends of all, as told": CountAllSends,
    "parts by requests": RelayPolicy,
}


class _Fleet:
    """The hosts of one run, and the sends that the server received."""

    def __init__(
        self, create_policy: Callable[[str, int, float], LimitPolicy], hosts: int, per_s: float
    ) -> None:
        self._create_policy, self._per_s = create_policy, per_s
        self.names = [f"h{number}" for number in range(hosts)]
        self.update_interval_s = send_interval_s(INTERVAL_S, hosts - 1, MAX_NEAR_PER_S)
        self.policies = {name: create_policy(name, hosts, per_s) for name in self.names}
        self.sends = dict.fromkeys(self.names, 0)
        self.boots = dict.fromkeys(self.names, 0)
        self.request_times: dict[str, deque[float]] = {name: deque() for name in self.names}
        self.last_heard_at: dict[str, dict[str, float]] = {name: {} for name in self.names}
        self.cut_off: set[str] = set()
        self.excused_until: dict[str, float] = {}
        self.received_at: list[float] = []
        self.counted_at: list[float] = []

    def on_request(self, host: str, now: float) -> None:
        self.request_times[host].append(now)
        if not self.policies[host].may_send(now):
            return
        self.policies[host].record_send(now)
        self.sends[host] += 1
        self.received_at.append(now)
        if host not in self.cut_off and now >= self.excused_until.get(host, 0.0):
            self.counted_at.append(now)

    def kill(self, host: str, now: float) -> None:
        self.policies[host] = self._create_policy(host, len(self.names), self._per_s)
        self.sends[host] = 0
        self.boots[host] += 1
        self.last_heard_at[host].clear()
        self.excused_until[host] = now + RECONNECT_S

    def heal(self, now: float) -> None:
        self.excused_until.update(dict.fromkeys(self.cut_off, now + RECONNECT_S))
        self.cut_off = set()

    def send_update(self, host: str, now: float) -> None:
        request_times = self.request_times[host]
        while request_times and request_times[0] < now - DEMAND_WINDOW_S:
            request_times.popleft()
        update = HostUpdate(len(request_times) / DEMAND_WINDOW_S, self.sends[host])
        self.policies[host].on_own_update(update.requests_per_s)
        for other in self.names:
            if other != host and not {host, other} & self.cut_off:
                self.last_heard_at[other][host] = now
                self.policies[other].on_update(host, self.boots[host], update, now)
        silent_s = peer_timeout_s(self.update_interval_s)
        for other, at in list(self.last_heard_at[host].items()):
            if now - at >= silent_s:
                del self.last_heard_at[host][other]
                self.policies[host].on_update(other, 0, None, now)


def run(seeds: Sequence[int]) -> Report:
    """Compare the policies for each number of hosts."""
    rows = []
    for hosts in HOSTS:
        for name, create_policy in LIMIT_POLICIES.items():
            for per_s in LIMITS:
                for skewed in (False, True):
                    demand = "half to one" if skewed else "even"
                    for seed in seeds:
                        figures = _simulate(create_policy, hosts, per_s, skewed, seed)
                        rows.append((hosts, name, per_s, demand, *figures))
    headers = ("hosts", "way", "limit a second", "demand", "worst", "used", "used, cut")
    return Report(TEXT, [Table("means", headers, average_rows(rows, 4), plot="worst")])


def _simulate(
    create_policy: Callable[[str, int, float], LimitPolicy],
    hosts: int,
    per_s: float,
    skewed: bool,
    seed: int,
) -> tuple[float, float, float]:
    """Return the worst 4 s window over the allowed count, and the use before and during the cut."""
    rng = random.Random(f"{hosts} {per_s} {skewed} {seed}")
    fleet = _Fleet(create_policy, hosts, per_s)
    weights = [float(hosts - 1) if skewed and n == 0 else 1.0 for n in range(hosts)]
    events: list[tuple[float, int, str, str]] = []
    for number, name in enumerate(fleet.names):
        heapq.heappush(events, (rng.random() * fleet.update_interval_s, number, "tell", name))
    heapq.heappush(events, (rng.expovariate(DEMAND_FACTOR * per_s), -1, "ask", ""))
    heapq.heappush(events, (CUT_AT_S, -2, "disturb", ""))
    heapq.heappush(events, (CUT_AT_S + CUT_S, -3, "heal", ""))
    while events:
        now, number, kind, name = heapq.heappop(events)
        if now >= RUN_S:
            break
        if kind == "ask":
            fleet.on_request(rng.choices(fleet.names, weights)[0], now)
            heapq.heappush(events, (now + rng.expovariate(DEMAND_FACTOR * per_s), -1, "ask", ""))
        elif kind == "tell":
            fleet.send_update(name, now)
            heapq.heappush(events, (now + fleet.update_interval_s, number, "tell", name))
        elif kind == "disturb":
            shuffled = rng.sample(fleet.names, hosts)
            fleet.cut_off = set(shuffled[: round(CUT_SHARE * hosts)])
            for host in shuffled[::-1][: max(1, round(KILLED_SHARE * hosts))]:
                fleet.kill(host, now)
        else:
            fleet.heal(now)
    counted_at = [at for at in fleet.counted_at if at >= RECONNECT_S]
    worst = max(
        (bisect_right(counted_at, at + WINDOW_S) - n for n, at in enumerate(counted_at)), default=0
    )
    allowed = ALLOWED_FACTOR * per_s * WINDOW_S + ALLOWED_EXTRA_SENDS
    calm = sum(1 for at in fleet.received_at if CALM_START_S <= at < CUT_AT_S)
    cut = sum(1 for at in fleet.received_at if CUT_AT_S <= at < CUT_AT_S + CUT_S)
    return worst / allowed, calm / (per_s * (CUT_AT_S - CALM_START_S)), cut / (per_s * CUT_S)
