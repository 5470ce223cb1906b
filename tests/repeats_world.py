"""Simulation of several hosts with failing engines, without sockets, threads or real time.

The hosts run the relay's own dispatcher and engine code. The requests that reach the engines are
counted by the deployment's rule.
"""

import itertools
import random
from collections import Counter
from concurrent.futures import Future
from types import SimpleNamespace

from laburnumreel_platform._workers import WorkerProtocol
from relay_fleet import SERVICE, Host
from relay_samples import route
from repeat_count import RetryCounter

from laburnumreel.core import ManualClock
from laburnumreel.core._answer_memory import AnswerMemory
from laburnumreel.relay._back_ends import ListedBackEnd, Role
from laburnumreel.relay._config import RouteKind
from laburnumreel.relay._cost_model import Location
from laburnumreel.relay._engine import EngineRun
from laburnumreel.relay._job import Dependencies, Job, RelayFailedError
from laburnumreel.relay._ports import Listing
from laburnumreel.relay._requests import Prompt, PromptPart, RelayRequest
from laburnumreel.relay._settings import RetrySettings
from laburnumreel.relay._unknown_headers import UnknownHeaders
from laburnumreel.serving import RunningRequest
from laburnumreel.transport import BackEndFailureError

RETRY = RetrySettings(0.2, 60.0, 10.0)
ROUTE = route("/talk/", "quotes", kind=RouteKind.STREAMING, attempts=2, resumable=True, gap_s=0.2)
PROMPT = Prompt("m", (PromptPart("start", 4000), PromptPart("own", 100)), 4100, 20)


class FailureShares:
    """The shares of readings and runs that engines refuse, and of streams that break."""

    def __init__(self):
        self.readings_refused = self.runs_refused = self.streams_broken = 0.0


class EngineExchange:
    """Test double of an exchange with an engine."""

    timeout_s = 1.0
    header_map = {}
    headers = []
    is_only_request = True

    def __init__(self, simulation):
        self._simulation = simulation
        self._pieces = []
        self._breaks = False
        self._headers = {}
        self.complete = False
        self.status = 0

    def send(self, method, target, headers, body, timeout_s, answers_request=None):
        self.write(method, target, headers, body, timeout_s)
        self.read_head(method, timeout_s, answers_request)

    def write(self, method, target, headers, body, timeout_s):
        self._headers = headers

    def read_head(self, method, timeout_s, answers_request=None, one_head=False):
        headers = self._headers
        if method == "DELETE":
            self.status = 200
            return True
        simulation, failure_shares = self._simulation, self._simulation.failure_shares
        only_read = headers.get("Serving-Stage") == "prefill"
        share = failure_shares.readings_refused if only_read else failure_shares.runs_refused
        refused = simulation.rng.random() < share
        now = simulation.clock.now()
        simulation.count.arrived(headers["Request-Id"], now, only_read and not refused)
        echoed = {"Request-Id": headers["Request-Id"], "Response-Signature": "s"}
        self.status = 503 if refused else 200
        if refused:
            echoed["Not-Executed"] = "1"
        elif only_read:
            self._pieces = [b'{"Handle": "h", "Tokens": 4100, "Version": 1}']
        else:
            number = int(headers.get("last-event-id", 0)) + 1
            self._pieces = [f"id: {number}\ndata: token\n\n".encode()]
            self._breaks = simulation.rng.random() < failure_shares.streams_broken
        assert answers_request(self.status, echoed)
        return True

    def read(self):
        if self._pieces:
            return self._pieces.pop(0)
        if self._breaks:
            raise BackEndFailureError("silent", "no byte came", sent=True)
        self.complete = True
        return b""

    def read_whole(self, max_bytes, within_s):
        return b""

    def set_timeout(self, timeout_s):
        pass

    def close(self):
        pass

    discard = abort = close


class RelaySimulation:
    """Hosts, engines, and the count of sends that reached the engines."""

    def __init__(self, seed, hosts, attempts=2):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.failure_shares = FailureShares()
        self.route = ROUTE._replace(attempts=attempts)
        self.count = RetryCounter(RETRY)
        self.outcomes = Counter()
        self.refusals = set()
        self._number = itertools.count()
        self._size = hosts
        self.streams = SimpleNamespace(record=lambda *stream: None)
        self.hosts = [self.start_host(number) for number in range(hosts)]

    # The methods of the connection pool.

    def open(self, address, fresh=False, max_reuse_idle_s=0.0):
        return EngineExchange(self)

    def probe(self, address):
        probe = Future()
        probe.set_result("taken")
        return probe

    def start_host(self, number, knows_host_count=True):
        """Return a host whose process has just started."""
        host = Host(self.clock, Location("z", "r"), {"z": "r"}, RETRY, 2.0, random.Random(number))
        address = ("10.0.0.1", 80)
        roles = {f"p{n}": Role.PREFILL for n in range(6)} | {f"d{n}": Role.DECODE for n in range(6)}
        entries = {
            name: ListedBackEnd(name, "quotes", address, "z", 64, role=role, software="v1")
            for name, role in roles.items()
        }
        host.on_listing(Listing(entries, 1, 0.0, True))
        if knows_host_count:
            host.hosts(self._size)
        return host

    def run(self, seconds, per_s):
        """Simulate clients that send `per_s` requests a second in total to random hosts."""
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            self.clock.advance(self.rng.expovariate(per_s))
            self.ask(self.rng.choice(self.hosts))

    def make_job(self, host):
        """Return the job of a new request at a host."""
        now = self.clock.now()
        name = f"r{next(self._number)}"
        self.count.requested(now)
        headers = (("Request-Id", name),)
        request = RelayRequest(
            name, "POST", "/talk/x", "h", "/talk/x", headers, b"", None, 3.0, PROMPT, None, now
        )
        deps = Dependencies(
            self.clock,
            host,
            self,
            WorkerProtocol(),
            self.rng,
            lambda customer: None,
            AnswerMemory(10**6),
            UnknownHeaders(),
            lambda: 0.0,
            self.streams,
        )
        running = RunningRequest(name, None, now + 3.0, lambda: False)
        return Job(deps, request, self.route, SERVICE, "", 1, running, 1)

    def ask(self, host):
        job = self.make_job(host)
        run = EngineRun(job)
        try:
            run.start()
            for _ in run.remaining_events():
                pass
            self.outcomes["served"] += 1
        except RelayFailedError as error:
            self.outcomes["failed"] += 1
            self.refusals.add(error.refusal.kind)
        finally:
            run.close()
            job.release_permits()
