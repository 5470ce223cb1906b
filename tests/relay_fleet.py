"""Simulates load on several hosts and engines, without sockets, threads or real time.

The hosts run the product's dispatcher. Prefill engines read prompts one after the other and cache
the most recently used prefixes. Decode engines generate in a fixed time and read half as fast.
"""

import heapq
import itertools
import random
from collections import Counter, OrderedDict
from concurrent.futures import Future

from laburnumreel.core import ManualClock
from laburnumreel.relay._assignments import PlacementRequest
from laburnumreel.relay._back_ends import ListedBackEnd, Role
from laburnumreel.relay._config import EngineTraits, RelayService
from laburnumreel.relay._cost_model import Location
from laburnumreel.relay._dispatcher import Dispatcher
from laburnumreel.relay._peer_update import PeerUpdate
from laburnumreel.relay._ports import Listing
from laburnumreel.relay._requests import Prompt, PromptPart
from laburnumreel.relay._settings import RetrySettings
from laburnumreel.relay._waiting import WaitingRequest
from laburnumreel.state import Refusal

TRAITS = EngineTraits(64, 1_200_000, 18_432, 3.6e11, 5.0, 3.0)
SERVICE = RelayService("quotes", 360, TRAITS)
READ_MS, GENERATE_S = 0.0033, 0.012
OBJECTIVE_S, PATIENCE_S = 0.25, 2.0
UPDATE_INTERVAL_S, TICK_S = 0.15, 0.05
# A client waits at most this share of its remaining time before it retries.
MAX_RETRY_SHARE = 1 / 3


class Host(Dispatcher):
    """A dispatcher that handles its messages synchronously."""

    def tell(self, message):
        self.handle(message)

    def ask(self, message):
        answer = Future()
        answer.set_result(self.handle(message))
        return answer


class Engine:
    def __init__(self, name, role, slower=1.0):
        self.listed = ListedBackEnd(name, "quotes", ("10.0.0.1", 80), "z", 64, role=role)
        self.read_ms = READ_MS * slower * (1 if role is Role.PREFILL else 2)
        self.free_at = 0.0
        self.kept = OrderedDict()

    def read(self, prompt, now):
        """Queue a prompt and return the time at which it is read."""
        unread, known = prompt.input_tokens, True
        for part in prompt.parts:
            known = known and part.name in self.kept
            unread -= part.tokens if known else 0
            self.kept[part.name] = part.tokens
            self.kept.move_to_end(part.name)
        while sum(self.kept.values()) > TRAITS.kv_tokens:
            self.kept.popitem(last=False)
        self.free_at = max(self.free_at, now) + unread * self.read_ms / 1000
        return self.free_at


class Replay:
    """A simulation of one load on a fleet.

    `outcomes` counts requests by `on_time`, `late`, `refused` and `failed`.
    """

    def __init__(
        self, seed, host_type=Host, hosts=4, readers=3, generators=2, slow=None, weights=None
    ):
        self.rng = random.Random(seed)
        # The relative number of clients of each host, if it is not equal.
        self.weights = weights
        self.clock = ManualClock()
        self.engines = {
            name: Engine(name, role, 4.0 if name == slow else 1.0)
            for name, role in [(f"p{n}", Role.PREFILL) for n in range(readers)]
            + [(f"d{n}", Role.DECODE) for n in range(generators)]
        }
        retry = RetrySettings(0.2, 50.0, 10.0)
        self._make_host = lambda n: host_type(
            self.clock,
            Location("z", "r"),
            {"z": "r"},
            retry,
            2.0,
            random.Random(seed + n),
            host=f"h{n}",
        )
        self.hosts = [self._make_host(n) for n in range(hosts)]
        for host in self.hosts:
            host.hosts(hosts)
        self.prefixes = [PromptPart(f"s{n}", self.rng.randrange(4000, 8600)) for n in range(150)]
        self.outcomes = Counter()
        self._events, self._number = [], itertools.count()
        self.list_engines()

    def list_engines(self):
        entries = {name: engine.listed for name, engine in self.engines.items()}
        for host in self.hosts:
            host.on_listing(Listing(entries, 1, 0.0, True))

    def remove_engine(self, name):
        del self.engines[name]
        self.list_engines()

    def schedule(self, when, call, *arguments):
        heapq.heappush(self._events, (when, next(self._number), call, arguments))

    def run(self, rate, seconds, lose=None):
        """Simulate `rate(now)` requests per second for some seconds and return the outcomes.

        `remove_engine` is an engine and the time at which it is removed.
        """
        now = 0.0
        while now < seconds:
            now += self.rng.expovariate(rate(now))
            self.schedule(now, self._arrive, now, 1)
        for step in range(round((seconds + PATIENCE_S) / TICK_S)):
            self.schedule(step * TICK_S, self._tick, step)
        if lose is not None:
            self.schedule(lose[1], self.remove_engine, lose[0])
        while self._events:
            when, _, call, arguments = heapq.heappop(self._events)
            self.clock.advance(max(0.0, when - self.clock.now()))
            call(*arguments)
        return self.outcomes

    def _tick(self, step):
        if step % round(UPDATE_INTERVAL_S / TICK_S) == 0:
            self._exchange_updates()
        for host in self.hosts:
            host.tick()

    def _exchange_updates(self):
        updates = [self._peer_update(n, host) for n, host in enumerate(self.hosts)]
        for n, host in enumerate(self.hosts):
            host.on_peer_updates([each for other, each in enumerate(updates) if other != n])

    def _peer_update(self, number, host):
        beliefs = host.local_state(False).result()
        return PeerUpdate(
            f"h{number}",
            "boot",
            "z",
            0,
            1,
            False,
            usage={},
            duty_fence=0,
            listing_version=1,
            **beliefs._asdict(),
        )

    def _arrive(self, first_at, retries, prompt=None):
        now = self.clock.now()
        if prompt is None:
            unshared = PromptPart(f"own{now}", int(self.rng.expovariate(1 / 2800)) + 100)
            prefix = self.rng.choice(self.prefixes)
            prompt = Prompt("m", (prefix, unshared), prefix.tokens + unshared.tokens, 2)
        waiting = WaitingRequest(
            f"r{next(self._number)}", 1, now, now + OBJECTIVE_S, first_at + PATIENCE_S - 0.03
        )
        host = (
            self.rng.choices(self.hosts, self.weights)[0]
            if self.weights
            else self.rng.choice(self.hosts)
        )
        request = (host, waiting, prompt, first_at, retries)
        self._place(request, PlacementRequest(waiting, "quotes", prompt, 17_000, engine=TRAITS))

    def _place(self, request, placement_request):
        future = request[0].place(placement_request)
        # Schedule the callback: it must not call the dispatcher while that handles a message.
        future.add_done_callback(
            lambda done: self.schedule(self.clock.now(), self._on_placed, request, done.result())
        )

    def _on_placed(self, request, outcome):
        host, waiting, prompt, first_at, retries = request
        now = self.clock.now()
        if isinstance(outcome, Refusal):
            left_s = first_at + PATIENCE_S - now
            if retries and left_s > 0.1:
                again_s = min(outcome.retry_after_s, MAX_RETRY_SHARE * left_s)
                self.schedule(now + again_s, self._arrive, first_at, retries - 1, prompt)
            else:
                self.outcomes["refused"] += 1
        elif outcome.reader is not None:
            self.on_sent(host, outcome.reader.name)
            read_at = self._read(outcome.reader.name, prompt)
            self.schedule(read_at, self._on_read, request, outcome, 1000 * (read_at - now))
        else:
            self.on_sent(host, outcome.runner.name)
            unread = any(outcome.read_work)
            begins_at = self._read(outcome.runner.name, prompt) if unread else now
            self.schedule(begins_at + GENERATE_S, self._on_answered, request, outcome)

    def on_sent(self, host, name):
        """Called when a host sends a request to an engine; overridden in subclasses."""

    def _read(self, name, prompt):
        engine = self.engines.get(name)
        return self.clock.now() + 0.3 if engine is None else engine.read(prompt, self.clock.now())

    def _on_read(self, request, assignment, took_ms):
        host, waiting, prompt, *_ = request
        host.on_prompt_read(assignment, prompt, took_ms)
        begun = waiting._replace(is_started=True)
        self._place(
            request, PlacementRequest(begun, "quotes", prompt, 17_000, copy_zone="z", engine=TRAITS)
        )

    def _on_answered(self, request, assignment):
        host, _, _, first_at, _ = request
        if any(assignment.read_work):
            host.on_stream_started(assignment.runner.name, assignment.read_work)
        host.on_work_ended(assignment.runner.name, assignment.run_work, "quotes")
        took_s = self.clock.now() - first_at
        outcome = "late" if took_s <= PATIENCE_S else "failed"
        self.outcomes["on_time" if took_s <= OBJECTIVE_S else outcome] += 1


def weighted_success_share(outcomes):
    """Return the share of requests that were answered, where a late answer counts half."""
    return (outcomes["on_time"] + outcomes["late"] / 2) / max(1, sum(outcomes.values()))
