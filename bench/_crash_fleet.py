"""A simulation of hosts and backend servers that prompt parts crash, for `bench.crash_suspects`."""

import hashlib
import heapq
import random
import time
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Any

from bench._crash_cases import ATTEMPTS, Case, Host, Request, Result, Server, encoded_size
from bench._crash_rules import Rule
from laburnumreel.coordination import BrokenRequest, CrashReport, _crash_suspects
from laburnumreel.relay._peer_gossip import MAX_FAR_PER_S, MAX_NEAR_PER_S, send_interval_s

INTERVAL_S = 0.15
NEAR_DELAY_S, FAR_DELAY_S = 0.002, 0.04
# A host sends at most one urgent update within this time.
URGENT_GAP_S = 0.1
WRITING_S = 1.5
# How long hosts take to find that a broken connection was a crash.
DETECTION_S = (0.02, 0.25)
# Hosts judge this often, and for this long after news of a crash.
JUDGE_INTERVAL_S, JUDGE_FOR_S = 0.05, 0.6
# A request waits this long for a server.
PATIENCE_S = 5.0
CUSTOMERS, SESSIONS_PER_SERVER, DEADLY_SHARE = 12, 10, 0.05
LATE_AFTER_S, BUDGET_CRASHES = 3.0, 5
RUN_AFTER_FIFTH_S, MAX_RUN_S = 8.0, 90.0
BYTES_SAMPLED_HOSTS = 8


class Fleet:
    """One run: requests at hosts that each choose among all servers at random."""

    def __init__(
        self,
        rng: random.Random,
        case: Case,
        rule: Rule,
        hosts: int,
        regions: int,
        servers: int,
        running: int,
        urgent: bool,
    ) -> None:
        self._rng, self._case, self._rule, self._urgent = rng, case, rule, urgent
        self._hosts = [Host(each, each % regions, rule.suspects()) for each in range(hosts)]
        self._near = [
            [peer for peer in self._hosts if peer is not each and peer.region == each.region]
            for each in self._hosts
        ]
        self._far = [
            [peer for peer in self._hosts if peer.region != each.region] for each in self._hosts
        ]
        self._servers = [Server(f"server-{each}") for each in range(servers)]
        answer_s = sum(case.first_byte_s) / 2 + WRITING_S
        self._arrivals_per_s = servers * running / answer_s
        # Hears whole updates as a real host does, to measure its processor time.
        self._probe = rule.suspects()
        self._cpu_s: defaultdict[int, float] = defaultdict(float)
        self._now, self._sequence, self._number = 0.0, 0, 0
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._crash_times: defaultdict[str, list[float]] = defaultdict(list)
        self._sends: defaultdict[str, list[float]] = defaultdict(list)
        self._holders: defaultdict[str, set[int]] = defaultdict(set)
        self._crashes_at_hold: defaultdict[str, list[int]] = defaultdict(list)
        self._crashes = self._sound = self._lost = self._datagrams = 0
        self._urgent_datagrams = self._update_bytes = 0
        self._sampled_bytes = 0.0

    def play(self) -> Result:
        """Play the run and return its figures."""
        with self._rule.applied():
            self._start()
            end = MAX_RUN_S if self._case.deadly else self._case.sound_run_s
            while self._events and self._now < end:
                self._now, _, action, arguments = heapq.heappop(self._events)
                action(*arguments)
                times = [self._crash_times[part] for part in self._case.deadly]
                if times and all(len(each) >= BUDGET_CRASHES for each in times):
                    fifth = max(each[BUDGET_CRASHES - 1] for each in times)
                    end = min(MAX_RUN_S, fifth + RUN_AFTER_FIFTH_S)
        return self._result()

    def _start(self) -> None:
        self._in(0.0, self._arrive)
        for host in self._hosts:
            self._in(self._rng.uniform(0.0, self._interval_s(host, False)), self._gossip, host)
            host.next_far = self._rng.uniform(0.0, self._interval_s(host, True))
        case = self._case
        lost = case.lost_servers or round(case.lost_share * len(self._servers))
        for server in self._rng.sample(self._servers, min(lost, len(self._servers))):
            lost_at = case.lost_from_s + self._rng.uniform(0.0, case.lost_within_s)
            self._in(lost_at, self._crash, server)
        if case.has_crash_loop:
            self._in(case.lost_from_s, self._crash_again)

    def _in(self, delay_s: float, action: Callable[..., None], *arguments: Any) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (self._now + delay_s, self._sequence, action, arguments))

    def _interval_s(self, host: Host, far: bool) -> float:
        if far:
            return send_interval_s(INTERVAL_S, len(self._far[host.number]), MAX_FAR_PER_S)
        return send_interval_s(INTERVAL_S, len(self._near[host.number]), MAX_NEAR_PER_S)

    # Requests and servers

    def _arrive(self) -> None:
        self._in(self._rng.expovariate(self._arrivals_per_s), self._arrive)
        rng, self._number = self._rng, self._number + 1
        kind = int(rng.random() < self._case.second_share)
        session = int(SESSIONS_PER_SERVER * len(self._servers) * rng.random() ** 2)
        parts = [
            self._case.first_parts[kind],
            f"customer-{session % CUSTOMERS}",
            f"session-{session}",
        ]
        marked = [part for part in self._case.deadly if part not in self._case.first_parts]
        if kind and marked and rng.random() < DEADLY_SHARE * len(marked):
            parts.insert(2, rng.choice(marked))
        host = rng.choice(self._hosts)
        request = Request(f"{self._number:016x}", tuple(parts), host, self._now)
        self._sound += not self._deadly_parts(request)
        self._send(request)

    def _deadly_parts(self, request: Request) -> list[str]:
        return [part for part in self._case.deadly if part in request.parts]

    def _send(self, request: Request) -> None:
        held = request.host.suspects.held_part(request.parts, self._now)
        if held and self._is_trial(request):
            request.host.suspects.start_trial(request.parts, request.name, self._now)
            held = None
        up = [each for each in self._servers if each.is_up]
        if held or not request.attempts or self._now - request.at > PATIENCE_S:
            self._lost += not self._deadly_parts(request)
            return
        if not up:
            self._in(0.1, self._send, request)
            return
        server = self._choose(request, up)
        request.attempts -= 1
        request.has_begun = False
        server.requests[request] = request.attempts
        for part in self._deadly_parts(request):
            self._sends[part].append(self._now)
        self._in(
            self._rng.uniform(*self._case.first_byte_s),
            self._begin,
            request,
            server,
            request.attempts,
        )

    def _is_trial(self, request: Request) -> bool:
        """Return whether a request may be tried: a first send at the first host."""
        name = request.name if request.attempts == ATTEMPTS else ""
        host = request.host
        return host.suspects.may_try(request.parts, name, self._now, lambda part: host.number == 0)

    def _choose(self, request: Request, up: list[Server]) -> Server:
        least = self._rule.kept_to_one_from
        strikes = request.host.strikes
        if least and any(strikes[part] >= least for part in request.parts):
            part = max(request.parts, key=lambda each: strikes[each])
            return min(up, key=lambda each: hashlib.blake2b((part + each.name).encode()).digest())
        return self._rng.choice(up)

    def _begin(self, request: Request, server: Server, attempt: int) -> None:
        if server.requests.get(request) != attempt:
            return
        case = self._case
        deadly = self._deadly_parts(request) if self._now >= case.deadly_from_s else []
        for part in deadly:
            self._crash_times[part].append(self._now)
        if deadly or self._now >= case.crashes_on_all_from_s:
            self._crash(server)
            return
        request.has_begun = True
        self._in(WRITING_S, self._finish, request, server, attempt)
        host = request.host
        host.suspects.record_answer(request.parts, self._now)
        if host.number == 0:
            self._timed(self._probe.record_answer, request.parts, self._now)
        for part in request.parts:
            host.answered_at[part] = self._now
            host.strikes.pop(part, None)
            if host.suspected_at.pop(part, None) is not None:
                host.news.append(("answer", part, self._now))
                self._tell_at_once(host)

    def _finish(self, request: Request, server: Server, attempt: int) -> None:
        if server.requests.get(request) == attempt:
            del server.requests[request]

    def _crash_again(self) -> None:
        self._crash(self._servers[0])
        self._in(self._case.return_s + 0.5, self._crash_again)

    def _crash(self, server: Server) -> None:
        if not server.is_up:
            return
        self._crashes += 1
        server.is_up = False
        by_host: defaultdict[Host, list[Request]] = defaultdict(list)
        for request in server.requests:
            by_host[request.host].append(request)
        server.requests.clear()
        for host, requests in by_host.items():
            self._in(self._rng.uniform(*DETECTION_S), self._detect, host, server.name, requests)
        self._in(self._case.return_s, lambda: setattr(server, "is_up", True))

    def _detect(self, host: Host, server: str, requests: list[Request]) -> None:
        for request in requests:
            if not request.has_begun:
                broken = BrokenRequest(request.name, request.parts)
                host.suspects.record_crash(server, broken, self._now)
                if host.number == 0:
                    self._timed(self._probe.record_crash, server, broken, self._now)
                host.news.append(("crash", self._now, server, broken))
                self._suspect(host, request.parts, self._now)
                self._tell_at_once(host)
        for request in requests:
            self._send(request)

    # What hosts know of one another

    def _suspect(self, host: Host, parts: Iterable[str], at: float) -> None:
        for part in parts:
            answered_at = host.answered_at.get(part, float("-inf"))
            if answered_at >= at:
                host.news.append(("answer", part, answered_at))
            elif at > host.suspected_at.get(part, float("-inf")):
                host.strikes[part] += at > host.suspected_at.get(part, float("-inf")) + 0.3
                host.suspected_at[part] = at
        host.unjudged_until = self._now + JUDGE_FOR_S
        if not host.judge_pending:
            host.judge_pending = True
            self._in(JUDGE_INTERVAL_S, self._judge, host)

    def _judge(self, host: Host) -> None:
        held = [each.part for each in host.suspects.hold_guilty(self._now)]
        if host.number == 0:
            self._timed(self._probe.hold_guilty, self._now)
        if held:
            self._note_holds(host, held)
            self._tell_at_once(host)
        host.judge_pending = self._now < host.unjudged_until
        if host.judge_pending:
            self._in(JUDGE_INTERVAL_S, self._judge, host)

    def _note_holds(self, host: Host, parts: Iterable[str]) -> None:
        for part in parts:
            self._holders[part].add(host.number)
            self._crashes_at_hold[part].append(len(self._crash_times.get(part, ())))
        if self._rule.ends_waiting:
            for server in self._servers:
                for request in list(server.requests):
                    is_held = not set(parts).isdisjoint(request.parts)
                    if request.host is host and is_held and not request.has_begun:
                        del server.requests[request]

    def _gossip(self, host: Host) -> None:
        far = self._now >= host.next_far
        if far:
            host.next_far = self._now + self._interval_s(host, True)
        self._in(self._interval_s(host, False), self._gossip, host)
        self._tell(host, far)

    def _tell_at_once(self, host: Host) -> None:
        if self._urgent and not host.urgent_pending:
            host.urgent_pending = True
            self._in(max(0.0, host.last_urgent + URGENT_GAP_S - self._now), self._tell_now, host)

    def _tell_now(self, host: Host) -> None:
        host.last_urgent, host.urgent_pending = self._now, False
        before = self._datagrams
        self._tell(host, True)
        self._urgent_datagrams += self._datagrams - before

    def _tell(self, host: Host, far: bool) -> None:
        now, number = self._now, host.number
        near_peers, far_peers = self._near[number], self._far[number] if far else []
        self._datagrams += len(near_peers) + len(far_peers)
        if number == 0:
            self._timed(self._probe.reports, now)
            self._timed(self._probe.answered_suspects, now)
        state = None
        if host.suspects._crashes and (number < BYTES_SAMPLED_HOSTS or host.region == 0 or far):
            is_heard = any(peer.number == 0 for peer in (*near_peers, *far_peers))
            if number < BYTES_SAMPLED_HOSTS or is_heard:
                suspects = host.suspects
                state = (
                    suspects.reports(now),
                    suspects.answered_suspects(now),
                    suspects.holds(now),
                )
        if state and number < BYTES_SAMPLED_HOSTS:
            size = encoded_size(*state)
            self._update_bytes = max(self._update_bytes, size)
            self._sampled_bytes += size * (len(near_peers) + len(far_peers))
        for delay_s, peers in ((NEAR_DELAY_S, near_peers), (FAR_DELAY_S, far_peers)):
            if peers:
                holds = host.suspects.holds(now)
                self._in(delay_s, self._hear, host, peers, len(host.news), now, holds, state)

    def _hear(
        self,
        sender: Host,
        peers: list[Host],
        until: int,
        sent_at: float,
        holds: dict[str, float],
        state: tuple[Any, ...] | None,
    ) -> None:
        for peer in peers:
            if state and peer.number == 0:
                self._hear_whole(state)
            start = peer.heard[sender.number]
            if start < until:
                peer.heard[sender.number] = until
                self._hear_news(peer, sender.news[start:until], sent_at)
            new = {
                part: each for part, each in holds.items() if peer.number not in self._holders[part]
            }
            if new:
                adopted = peer.suspects.on_peer_holds(new, self._now)
                self._note_holds(peer, adopted)

    def _hear_news(self, peer: Host, news: list[tuple[Any, ...]], sent_at: float) -> None:
        reports: defaultdict[tuple[str, float], list[BrokenRequest]] = defaultdict(list)
        answered = {}
        for kind, *entry in news:
            if kind == "crash" and sent_at - entry[0] < _crash_suspects.REPORT_S:
                reports[entry[1], entry[0]].append(entry[2])
            elif kind == "answer" and sent_at - entry[1] < _crash_suspects.REPORT_S:
                answered[entry[0]] = entry[1]
        for (server, at), requests in reports.items():
            report = CrashReport(server, self._now - at, tuple(requests))
            peer.suspects.on_peer_report(report, self._now)
            self._suspect(peer, {part for each in requests for part in each.parts}, at)
        peer.suspects.record_answers(answered)
        for part, at in answered.items():
            if peer.suspected_at.get(part, float("inf")) <= at:
                del peer.suspected_at[part]
                peer.strikes.pop(part, None)

    def _hear_whole(self, state: tuple[Any, ...]) -> None:
        reports, answered, holds = state
        now = self._now
        for report in reports:
            self._timed(self._probe.on_peer_report, report, now)
        self._timed(self._probe.on_peer_answers, answered, now)
        self._timed(self._probe.on_peer_holds, holds, now)

    def _timed(self, action: Callable[..., Any], *arguments: Any) -> None:
        started = time.thread_time()
        action(*arguments)
        self._cpu_s[int(self._now)] += time.thread_time() - started

    def _result(self) -> Result:
        deadly = self._case.deadly
        late = firsts = lasts = 0.0
        for part in deadly:
            times = self._crash_times[part]
            if len(times) >= BUDGET_CRASHES:
                from_s = times[BUDGET_CRASHES - 1] + LATE_AFTER_S
                late += sum(at > from_s for at in self._sends[part])
            at_hold = self._crashes_at_hold[part]
            firsts += at_hold[0] if at_hold else len(times)
            are_all = len(self._holders[part]) == len(self._hosts)
            lasts += at_hold[-1] if are_all else len(times)
        count = max(1, len(deadly))
        sampled = min(len(self._hosts), BYTES_SAMPLED_HOSTS) / len(self._hosts)
        crashes = max(1, self._crashes)
        held_at_end = {part for host in self._hosts for part in host.suspects.holds(self._now)}
        return Result(
            self._crashes,
            firsts / count,
            lasts / count,
            late / count,
            tuple(
                sorted(part for part in self._holders if part not in deadly and self._holders[part])
            ),
            len(held_at_end.difference(deadly)),
            self._lost / max(1, self._sound),
            max(self._cpu_s.values(), default=0.0),
            self._update_bytes,
            self._sampled_bytes / sampled / crashes,
            self._urgent_datagrams / crashes,
        )
