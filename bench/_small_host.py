"""One relay host with stand-ins for its peers, engines and callers.

Everything runs on one thread and a manual clock, so that the processor time of each call can be
measured. The datagrams are real and sent over loopback.
"""

import cProfile
import heapq
import itertools
import random
import socket
import time
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import Future
from contextlib import contextmanager
from types import SimpleNamespace
from typing import Any, NamedTuple

from expression import Ok

from laburnumreel.core import ManualClock
from laburnumreel.relay import _peer_gossip
from laburnumreel.relay._assignments import Assignment, PlacementRequest
from laburnumreel.relay._back_ends import ListedBackEnd, Role
from laburnumreel.relay._config import EngineTraits
from laburnumreel.relay._cost_model import Location
from laburnumreel.relay._dispatcher import TICK_S, Dispatcher
from laburnumreel.relay._feed_follower import FeedFollower
from laburnumreel.relay._members import Member, StoreZero
from laburnumreel.relay._membership import TICK_S as MEMBERSHIP_TICK_S
from laburnumreel.relay._membership import Membership
from laburnumreel.relay._peer_update import PeerUpdate, encode_update
from laburnumreel.relay._peer_update_handler import MAX_SENT_FIXED_WINDOWS, PeerUpdateHandler
from laburnumreel.relay._ports import Listing
from laburnumreel.relay._requests import Prompt, PromptPart
from laburnumreel.relay._settings import RetrySettings
from laburnumreel.relay._true_time import TrueTime
from laburnumreel.relay._usage_counters import UsageCounters
from laburnumreel.relay._waiting import WaitingRequest
from laburnumreel.relay._work import Work
from laburnumreel.state import Refusal, StoreEra
from laburnumreel_standins.processes import fresh_host

REGIONS = 3
UPDATE_INTERVAL_S, POLL_INTERVAL_S, STEP_S = 0.15, 1.0, 0.02
REQUESTS_PER_S = 9.0
PREFIXES, PREFIX_TOKENS, OWN_TOKENS, BODY_BYTES = 150, 6000, 2000, 17_000
# Number of engines that receive prompts with the same prefix.
ENGINES_PER_PREFIX = 4
READ_S, GENERATE_S, OBJECTIVE_S, MAX_WAIT_S = 0.1, 1.5, 1.0, 4.0
# Requests in flight of each peer, and the work of one request at an engine.
REQUESTS_PER_PEER, WORK_PER_REQUEST = 14, Work(1, 0, 1, 9000)
TRAITS = EngineTraits(64, 1_200_000, 18_432, 3.6e11, 5.0, 3.0)
SERVICE, ZONES = "quotes", {f"zone-{n}": f"region-{n}" for n in range(REGIONS)}


class Load(NamedTuple):
    """The load: requests per second, whether one engine leaves and another is unreachable, and
    the constant work that a peer reports at each engine."""

    name: str
    requests_per_s: float = REQUESTS_PER_S
    has_faults: bool = False
    work_per_engine: Work = Work()


class Meter:
    """Processor time by kind of call, nested calls excluded, and the number of calls."""

    def __init__(self, profile: cProfile.Profile | None = None) -> None:
        self.ns: Counter[str] = Counter()
        self.calls: Counter[str] = Counter()
        self._profile = profile
        self._stack: list[str] = []
        self._started_at = 0

    @contextmanager
    def __call__(self, kind: str) -> Iterator[None]:
        self._stop()
        self._stack.append(kind)
        self.calls[kind] += 1
        self._start()
        try:
            yield
        finally:
            self._stop()
            self._stack.pop()
            self._start()

    def _stop(self) -> None:
        if self._stack:
            if self._profile is not None:
                self._profile.disable()
            self.ns[self._stack[-1]] += time.thread_time_ns() - self._started_at

    def clear(self, profile: cProfile.Profile | None = None) -> None:
        """Reset all counters."""
        self.ns.clear()
        self.calls.clear()
        self._profile = profile

    def _start(self) -> None:
        if self._stack:
            self._started_at = time.thread_time_ns()
            if self._profile is not None:
                self._profile.enable()


class MeteredDispatcher(Dispatcher):
    """A dispatcher that handles each message synchronously."""

    meter = Meter()

    def _try_place(self, *arguments: Any) -> int:
        with self.meter("placement try"):
            return super()._try_place(*arguments)

    def tell(self, message: Any) -> None:
        kind = message if isinstance(message, str) else type(message).__name__
        with self.meter(f"dispatcher {kind}"):
            self.handle(message)

    def ask(self, message: Any) -> Future:
        answer: Future = Future()
        kind = message if isinstance(message, str) else type(message).__name__
        with self.meter(f"dispatcher {kind}"):
            answer.set_result(self.handle(message))
        return answer


class _FakePeer:
    """A stand-in for a peer, which sends updates from its own socket."""

    def __init__(self, number: int, rng: random.Random) -> None:
        self.name, self.zone = f"host-{number}", f"zone-{number % REGIONS}"
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.address = self.socket.getsockname()
        self.work: list[str] = []
        self.sequence = 0
        self.due_at = rng.random()
        self._rng = rng

    def build_update(
        self, engines: Sequence[str], load: Load, interval_s: float, window: int
    ) -> PeerUpdate:
        rng, kept = self._rng, {}
        if load.requests_per_s:
            while len(self.work) < REQUESTS_PER_PEER:
                self.work.append(rng.choice(engines))
            for _ in range(max(1, round(load.requests_per_s * interval_s))):
                prefix = rng.randrange(PREFIXES)
                self.work.pop(0)
                self.work.append(
                    engines[(prefix + rng.randrange(ENGINES_PER_PREFIX)) % len(engines)]
                )
                kept[self.work[-1]] = (f"start-{prefix}",)
        self.sequence += 1
        work = {
            name: WORK_PER_REQUEST.plus_times(WORK_PER_REQUEST, each - 1)
            for name, each in Counter(self.work).items()
        }
        if self.name == "host-1" and load.work_per_engine != Work():
            work = dict.fromkeys(engines, load.work_per_engine)
        return PeerUpdate(
            sender=self.name,
            boot="boot",
            zone=self.zone,
            sequence=self.sequence,
            config_version=1,
            stopping=False,
            work=work,
            avoided={engines[1]: 1.0} if load.has_faults and rng.random() < 0.2 else {},
            held_back={},
            crashes={},
            leaving={engines[0]: 1} if load.has_faults else {},
            usage={},
            kept=kept,
            duty_fence=0,
            listing_version=0,
            usage_window=window,
            listing_seen=self.sequence,
            fixed=tuple(range(window - MAX_SENT_FIXED_WINDOWS, window)),
        )


class _FakeMembers:
    """A membership table that answers synchronously."""

    def __init__(self, members: Sequence[Member]) -> None:
        self._members = list(members)

    def list(self) -> Any:
        return Ok(self._members)

    def join(self, member: Member) -> Any:
        return Ok(1)

    def store_zero(self) -> Any:
        return Ok(StoreZero(0.0, 1))


class SmallHost:
    """A relay host in a deployment of `hosts` hosts and `engines` engines, under a load."""

    def __init__(
        self,
        hosts: int,
        engines: int,
        load: Load,
        seed: int,
        meter: Meter,
        dispatcher_type: type[MeteredDispatcher] = MeteredDispatcher,
    ) -> None:
        self.meter, self.load = meter, load
        self.rng = random.Random(f"{hosts} {engines} {load.name} {seed}")
        self.clock = ManualClock()
        self.counts: Counter[str] = Counter()
        self._hosts = hosts
        location = Location("zone-0", "region-0")
        self.engines = [
            ListedBackEnd(
                f"engine-{n}",
                SERVICE,
                ("10.0.0.1", 80),
                f"zone-{n % REGIONS}",
                64,
                role=Role.PREFILL if n // REGIONS % 2 else Role.DECODE,
                started_at_ms=1,
            )
            for n in range(engines)
        ]
        self._names = [each.name for each in self.engines]
        retry = RetrySettings(0.2, 50.0, 10.0)
        self.dispatcher = dispatcher_type(
            self.clock, location, ZONES, retry, 2.2, random.Random(seed), host="me"
        )
        self.dispatcher.meter = meter
        feeds = [
            FeedFollower(name, None, self.clock, random.Random(seed), lambda *_: None)
            for name in ("configuration", "back_ends")
        ]
        era, true_time, usage_counters = StoreEra(), TrueTime(self.clock), UsageCounters(5.0)
        self.update_handler = PeerUpdateHandler(
            SimpleNamespace(name="me", zone=location.zone),
            "boot",
            self.clock,
            true_time,
            usage_counters,
            self.dispatcher,
            *feeds,
            lambda: SimpleNamespace(version=1),
            lambda: 0,
            lambda: False,
            era,
        )
        self._window = lambda: usage_counters.window(true_time.now())
        self._address = (fresh_host(), 8004)
        self.peers = _peer_gossip.PeerGossip(
            self._address,
            self.clock,
            UPDATE_INTERVAL_S,
            self._with_meter("own news", self.update_handler.build_update),
            lambda: 0,
            self.update_handler.build_usage,
            lambda zone: ZONES[zone] != location.region,
            self._with_meter("taken by exchange", self.update_handler.on_updates),
            self.update_handler.on_peer_silent,
        )
        self.fake_peers = [_FakePeer(n, self.rng) for n in range(1, hosts)]
        members = [Member("me", self._address, "boot")]
        members += [Member(each.name, each.address, "boot") for each in self.fake_peers]
        self.membership = Membership(
            members[0],
            _FakeMembers(members),
            self.peers,
            true_time,
            self.clock,
            lambda count, readers: self.dispatcher.hosts(count),
        )
        self._events: list[Any] = []
        self._sequence = itertools.count()
        self._renew_entries()
        for every_s, call in (
            (STEP_S, self._exchange_updates),
            (TICK_S, self._with_meter("dispatcher tick", self.dispatcher.tick)),
            (MEMBERSHIP_TICK_S, self._with_meter("membership tick", self.membership.tick)),
            (POLL_INTERVAL_S, self._renew_entries),
        ):
            self._repeat(every_s, call)
        if load.requests_per_s:
            self._schedule_at(0.0, self._on_arrival)

    def run(self, seconds: float) -> None:
        """Run the simulation for some seconds."""
        until = self.clock.now() + seconds
        while self._events and self._events[0][0] <= until:
            when, _, call = heapq.heappop(self._events)
            self.clock.advance(max(0.0, when - self.clock.now()))
            call()

    def close(self) -> None:
        """Close the sockets."""
        for each in self.fake_peers:
            each.socket.close()
        self.peers.close()

    def _schedule_at(self, when: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._sequence), call))

    def _repeat(self, every_s: float, call: Callable[[], None]) -> None:
        def repeat() -> None:
            call()
            self._schedule_at(self.clock.now() + every_s, repeat)

        self._schedule_at(self.clock.now() + every_s, repeat)

    def _with_meter(self, kind: str, call: Callable) -> Callable:
        def metered(*arguments: Any) -> Any:
            with self.meter(kind):
                return call(*arguments)

        return metered

    def _exchange_updates(self) -> None:
        now = self.clock.now()
        if now >= self.peers._next_send:
            with self.meter("news sent"):
                self.peers.tick()
        due = [each for each in self.fake_peers if each.due_at <= now]
        for each in due:
            is_near = ZONES[each.zone] == "region-0"
            max_per_s = _peer_gossip.MAX_NEAR_PER_S if is_near else _peer_gossip.MAX_FAR_PER_S
            peers = self._hosts // REGIONS if is_near else self._hosts - self._hosts // REGIONS
            interval_s = _peer_gossip.send_interval_s(UPDATE_INTERVAL_S, peers, max_per_s)
            each.due_at = now + interval_s
            update = each.build_update(self._names, self.load, interval_s, self._window())
            each.socket.sendto(encode_update(update), self._address)
            self.counts["datagrams"] += 1
        if due:
            with self.meter("news taken"):
                self.peers.tick()

    def _renew_entries(self) -> None:
        """Pass renewed entries of all engines to the dispatcher."""
        self.engines = [each._replace(beat=each.beat + 1) for each in self.engines]
        entries = {each.name: each for each in self.engines}
        self.dispatcher.on_listing(Listing(entries, 1, 0.0, self.clock.now() == 0.0))

    def _on_arrival(self) -> None:
        now = self.clock.now()
        self._schedule_at(now + self.rng.expovariate(self.load.requests_per_s), self._on_arrival)
        number = self.rng.randrange(PREFIXES)
        parts = (PromptPart(f"start-{number}", PREFIX_TOKENS), PromptPart(f"own {now}", OWN_TOKENS))
        prompt = Prompt("m", parts, PREFIX_TOKENS + OWN_TOKENS, 100)
        waiting = WaitingRequest(
            f"r{next(self._sequence)}", 1, now, now + OBJECTIVE_S, now + MAX_WAIT_S
        )
        self.counts["requests"] += 1
        self.dispatcher.remaining_quarantine_s(waiting.request_id)
        self._place(PlacementRequest(waiting, SERVICE, prompt, BODY_BYTES, engine=TRAITS))

    def _place(self, request: PlacementRequest) -> None:
        future = self.dispatcher.place(request)
        future.add_done_callback(
            lambda done: self._schedule_at(
                self.clock.now(), lambda: self._on_placed(request, done.result())
            )
        )

    def _on_placed(self, request: PlacementRequest, outcome: Assignment | Refusal) -> None:
        now = self.clock.now()
        if isinstance(outcome, Refusal):
            self.counts["refused"] += 1
        elif outcome.reader is not None:
            self._schedule_at(now + READ_S, lambda: self._on_prompt_read(request, outcome))
        else:
            self.counts["run"] += 1
            self._schedule_at(now + GENERATE_S, lambda: self._on_answered(outcome))

    def _on_prompt_read(self, request: PlacementRequest, assignment: Assignment) -> None:
        self.dispatcher.on_prompt_read(assignment, request.prompt, 1000 * READ_S)
        started_request, zone = request.waiting._replace(is_started=True), assignment.reader.zone
        self._place(request._replace(waiting=started_request, copy_zone=zone, was_placed=True))

    def _on_answered(self, assignment: Assignment) -> None:
        name = assignment.runner.name
        if any(assignment.read_work):
            self.dispatcher.on_stream_started(name, assignment.read_work)
        self.dispatcher.record_outcome(name, False)
        self.dispatcher.on_work_ended(name, assignment.run_work, SERVICE)
