"""Simulates load on engines that report limits, against the decisions of several hosts."""

from collections import defaultdict

from limit_count import CONTACT_S, LimitCount
from relay_fleet import Replay

from laburnumreel.relay._peer_gossip import PEER_TIMEOUT_S
from laburnumreel.relay._requests import SelfReport

# Seconds from a send to the engine's answer, which has its report about itself.
ANSWER_S = 0.06


class LimitedReplay(Replay):
    """A replay in which engines report limits from `named_from` until `named_until`.

    `limits` gives the requests per second by engine. `counts` has the requests that reached each
    engine, except those that hosts sent while they were disturbed or up to `CONTACT_S` later, which
    the platform's rule does not count.
    """

    def __init__(self, seed, limits, named_from=4.0, named_until=float("inf"), **fleet):
        self.counts = {name: LimitCount(per_s) for name, per_s in limits.items()}
        self.named_from, self.named_until = named_from, named_until
        # Indexes of hosts that are partitioned, and of hosts that are paused.
        self.partitioned, self.paused = set(), set()
        self._excused_until = defaultdict(lambda: float("-inf"))
        self._heard_at = defaultdict(dict)
        super().__init__(seed, **fleet)

    def kill(self, number):
        """Kill the process of a host and start another one."""
        host = self.hosts[number] = self._make_host(number)
        self._heard_at[number] = {}
        self.list_engines()
        host.hosts(len(self.hosts), replaces_killed=True)
        self._excused_until[number] = self.clock.now() + CONTACT_S

    def disturb(self, kind, number, seconds):
        """Kill a host, or partition or pause it for some seconds."""
        if kind == "kill":
            self.kill(number)
            return
        disturbed_hosts = self.partitioned if kind == "cut" else self.paused
        disturbed_hosts.add(number)
        self.schedule(self.clock.now() + seconds, self._end_disturbance, disturbed_hosts, number)

    def _end_disturbance(self, disturbed_hosts, number):
        disturbed_hosts.discard(number)
        self._excused_until[number] = self.clock.now() + CONTACT_S

    def _exchange_updates(self):
        now = self.clock.now()
        unreachable = self.partitioned | self.paused
        news = {
            n: self._peer_update(n, host)
            for n, host in enumerate(self.hosts)
            if n not in unreachable
        }
        for n, host in enumerate(self.hosts):
            if n in self.paused:
                continue
            heard = [] if n in self.partitioned else [other for other in news if other != n]
            self._heard_at[n].update(dict.fromkeys(heard, now))
            host.on_peer_updates([news[other] for other in heard])
            for other, at in list(self._heard_at[n].items()):
                if now - at >= PEER_TIMEOUT_S:
                    del self._heard_at[n][other]
                    host.on_peer_silent(f"h{other}")

    def _arrive(self, first_at, retries, prompt=None):
        if len(self.paused) < len(self.hosts):
            super()._arrive(first_at, retries, prompt)

    def _place(self, request, placement_request):
        host = request[0]
        if host not in self.hosts or self.hosts.index(host) in self.paused:
            # The host's process has ended, or is paused for longer than callers wait.
            self.outcomes["failed"] += 1
            return
        super()._place(request, placement_request)

    def on_sent(self, host, name):
        count, now = self.counts.get(name), self.clock.now()
        if count is None:
            return
        number = self.hosts.index(host) if host in self.hosts else None
        is_disturbed = number is None or number in self.partitioned | self.paused
        if not is_disturbed and now >= self._excused_until[number]:
            count.record_arrival(now)
        self.schedule(now + ANSWER_S, self._answer, host, name)

    def _answer(self, host, name):
        now, engine = self.clock.now(), self.engines.get(name)
        if engine is None:
            return
        if self.named_from <= now < self.named_until:
            self.counts[name].record_report(now)
            host.on_self_report(engine.listed, SelfReport(limit_per_s=self.counts[name].per_s))
        elif now >= self.named_until:
            host.on_limit_removed(engine.listed)
