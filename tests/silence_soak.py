"""A soak with servers that stand still and go on, beside planned work: `relay_soak.py --faults silence`."""

import itertools
import random
import signal
import subprocess
import tempfile
import threading
import time
from collections import Counter
from typing import NamedTuple

from platform_config import config
from platform_world import RelayProcess, World, wait_until
from relay_soak_parts import keep_logs
from silence_callers import Caller
from silence_history import GRACE_S, Finding, History, Met, Version, check, met_gone
from silence_report import describe, evidence, print_seed
from silence_servers import Server
from silence_stalls import Stalls

from laburnumreel.relay._settings import RetrySettings

STILL_S = (0.4, 1.6)
# Balancers send new connections this long after a host was told to stop; its callers' open ones stay.
NOTICE_S = 2.0
# The entry of a server that is gone is removed after this long; a leaving one serves on for it.
LISTED_S, DRAIN_S = 3.0, 5.0
QUIET_END_S = 1.0
STORM_GAP_S = 0.4
TIMEOUTS_MS, IDLE_MS, GAPS_MS = (3500, 5000, 6500), (2500, 5000, 15000), (100, 250, 400)


class Traits(NamedTuple):
    """What a seed is drawn with."""

    relays: int
    servers: int
    retry: RetrySettings
    callers: int
    split: bool
    attempts: int

    @classmethod
    def from_seed(cls, rng):
        ratio, slack = rng.choice([(0.0, 0.0), (0.02, 2.0), (0.1, 10.0), (0.3, 40.0)])
        return cls(
            relays=rng.choice([1, 2, 3, 6]),
            servers=rng.choice([1, 2, 3, 4]),
            retry=RetrySettings(ratio, slack, 10.0),
            callers=rng.choice([16, 24, 32]),
            split=rng.random() < 0.3,
            attempts=rng.choice([1, 2, 2, 3, 3]),
        )


class Soak:
    """One seed: relays, servers, callers, and series of faults and planned work that overlap.

    It is also what callers know of the set-up: `taking`, `routes`, `idle_s`, `longest_s` and `ids`.
    """

    def __init__(self, seed, seconds, folder, traits=None):
        self.rng = random.Random(seed)
        self.seed, self.seconds = seed, seconds
        self.traits = traits or Traits.from_seed(self.rng)
        self.history = History(self.traits.retry)
        self.world = World(folder)
        self.faults = Counter()
        self.taking, self.servers, self._gone = [], [], []
        self.idle_s, self.longest_s = IDLE_MS[-1] / 1000, TIMEOUTS_MS[-1] / 1000
        self.began = time.monotonic()
        self.stalls = Stalls()
        self.ids, self._names, self._version = itertools.count(1), itertools.count(1), 1
        self._stop, self._lock = threading.Event(), threading.Lock()
        self._later, self._problems = [], []
        self.evidence = {}
        self._moved, self._more, self._b_listed = set(), [], True
        self._set_retry(self.traits.retry)
        self._write_config()

    @property
    def routes(self):
        base = [("safe", "safe"), ("once", "once"), ("ask", "ask"), ("talk", "talk")]
        return [*base, ("talk", "talk"), *((name, "talk") for name in self._more)]

    def run(self):
        """Return the findings of the seed."""
        try:
            for service in ("orders", "orders-b", "quotes", "quotes-b"):
                for _ in range(self.traits.servers):
                    self._add_server(service)
                if self.traits.split and service.startswith("quotes"):
                    self._add_server(service, "prefill")
            relays = [self._start_relay() for _ in range(self.traits.relays)]
            for relay in relays:
                wait_until(relay.is_ready, "a relay is ready", 20)
                self.taking.append(relay)
            callers = [
                Caller(self, self.history, self.seed, number, self._stop)
                for number in range(self.traits.callers)
            ]
            self.stalls.start()
            for caller in callers:
                caller.start()
            self._disturb()
            self._stop.set()
            for caller in callers:
                caller.join(self.longest_s + 5)
            # What was refused must not run later.
            time.sleep(QUIET_END_S)
            for thread in self._later:
                thread.join(GRACE_S + 15)
            self._note_unreachable()
            found = [*check(self.history), *self._problems, *self._ended_by_themselves()]
            # The logs are gone with the seed's folder.
            self.evidence = {finding: evidence(self, finding) for finding in found}
            return found
        finally:
            self._stop.set()
            self.stalls.end()
            self.world.end()

    def _ended_by_themselves(self):
        for relay in self.world.relays:
            told = relay.name in self.history.stops or relay.name in self.history.kills
            if relay.process.poll() is not None and not told:
                text = f"{relay.name} ended by itself with {relay.process.returncode}"
                yield Finding("ended", "", text)

    def _disturb(self):
        for at, action in sorted(self._plan(), key=lambda planned: planned[0]):
            time.sleep(max(0.0, self._faults_began + at - time.monotonic()))
            self.faults[action.__name__.lstrip("_")] += 1
            action()
        time.sleep(max(0.0, self._faults_began + self.seconds - time.monotonic()))

    def _plan(self):
        """Return series of faults and changes with their times, which overlap."""
        self._faults_began = time.monotonic()
        rng, planned = self.rng, []
        series = [
            (self._stand_still, (0.7, 2.0), (1,), 0.0),
            (self._change_config, (0.8, 2.5), (1, 1, 4, 8), STORM_GAP_S),
            (self._reload_settings, (2.0, 5.0), (1, 3), 0.2),
            (self._stop_relay, (2.5, 6.0), (1, 2), 0.6),
            (self._kill_relay, (8.0, 30.0), (1,), 0.0),
            (self._server_dies, (2.0, 6.0), (1, 2), 0.5),
            (self._server_is_replaced, (2.0, 6.0), (1, 2), 0.5),
        ]
        for action, pauses_s, counts, gap_s in series:
            at = rng.uniform(0.5, pauses_s[1])
            while at < self.seconds:
                count = rng.choice(counts)
                planned += [(at + gap_s * number, action) for number in range(count)]
                at += gap_s * count + rng.uniform(*pauses_s)
        return planned

    def _stand_still(self):
        service = self.rng.choice(["orders", "quotes", "quotes"])
        of_service = [server for server in self.servers if server.service.startswith(service)]
        scope = self.rng.choice(["one", "most", "all"])
        if scope == "one":
            chosen = [self.rng.choice(of_service)]
        elif scope == "most":
            chosen = [server for server in of_service if self.rng.random() < 0.9]
        else:
            chosen = self.servers
        seconds = self.rng.uniform(*STILL_S)
        for server in chosen:
            server.stand_still(seconds)

    def _change_config(self):
        """Change timeouts, idle times, or where routes go; add and remove routes and services."""
        how = self.rng.choice(["timeouts", "idle", "move", "add", "remove", "service"])
        if how == "move":
            self._moved ^= {self.rng.choice(["safe", "once", "ask", "talk"])}
            self._b_listed = True
        elif how == "add":
            self._more = [*self._more[-1:], f"more-{next(self._names)}"]
        elif how == "remove":
            self._more = self._more[1:]
        elif how == "service":
            # A service that no route names any more is removed.
            self._b_listed = bool(self._moved)
        self._version += self.rng.randrange(1, 4)
        self._write_config(how)

    def _write_config(self, how=None):
        rng = self.rng
        text = config(self._version, [self._more_route(name) for name in self._more])
        for route in text["Routes"]:
            if route["Name"] in self._moved:
                route["Service"] += "-b"
            route["MaxAttempts"] = self.traits.attempts
            route["TimeoutMs"] = rng.choice(TIMEOUTS_MS) if how == "timeouts" else TIMEOUTS_MS[1]
            route["GapAimMs"] = rng.choice(GAPS_MS) if how == "timeouts" else GAPS_MS[1]
        if how == "idle":
            text["Limits"]["IdleTimeoutMs"] = rng.choice(IDLE_MS)
        others = [{**service, "Name": f"{service['Name']}-b"} for service in text["Services"]]
        text["Services"] += others if self._b_listed else []
        self.history.versions.append(
            Version(
                time.monotonic(),
                {route["Name"]: route["TimeoutMs"] / 1000 for route in text["Routes"]},
                {route["Name"]: route["MaxAttempts"] for route in text["Routes"]},
                {route["Name"]: frozenset({route["Service"]}) for route in text["Routes"]},
            )
        )
        self.world.store.put("op", "config", text)
        self.idle_s = text["Limits"]["IdleTimeoutMs"] / 1000

    @staticmethod
    def _more_route(name):
        route = {"Name": name, "Prefix": f"/{name}/", "RouteType": "streaming"}
        return {**config()["Routes"][4], **route, "Service": "quotes"}

    def _set_retry(self, retry):
        self.world.extra_settings = (
            f"[retry]\nratio = {retry.ratio}\nslack = {retry.slack}\nwindow_s = {retry.window_s}\n"
            f"[stop]\ngrace_s = {GRACE_S}\n"
        )

    def _reload_settings(self):
        """Change the budget within what the seed allows, and tell a relay, which may be stopping."""
        retry = self.traits.retry
        if self.rng.random() < 0.5:
            retry = retry._replace(ratio=retry.ratio / 2, slack=retry.slack / 2)
        self._set_retry(retry)
        relay = self.rng.choice(self.taking)
        relay.settings.write_text(relay._text(self.world))
        if relay.process.poll() is None:
            relay.process.send_signal(signal.SIGHUP)

    def _start_relay(self):
        relay = RelayProcess(self.world, f"relay-{next(self._names)}")
        self.world.relays.append(relay)
        self.stalls.watch(relay.name, relay.process.pid)
        return relay

    def _in_background(self, action, *arguments):
        def run():
            try:
                action(*arguments)
            except Exception as error:
                self._problems.append(Finding("harness", "", f"{action.__name__}: {error!r}"))

        thread = threading.Thread(target=run, daemon=True)
        self._later.append(thread)
        thread.start()

    def _stop_relay(self):
        """Stop a relay as planned, with another one in its place."""
        relay = self.rng.choice(self.taking)
        if relay.name in self.history.stops or relay.name in self.history.kills:
            return
        at_once = len(self.taking) > 1 and self.rng.random() < 0.5
        self.history.stops[relay.name] = float("inf")
        self._in_background(self._roll, relay, self._start_relay(), at_once)

    def _roll(self, relay, successor, at_once):
        if not at_once:
            self._take(successor)
        self.history.stops[relay.name] = time.monotonic()
        relay.process.terminate()
        if at_once:
            self._take(successor)
        time.sleep(NOTICE_S)
        self._take_no_more(relay)
        left_s = self.history.stops[relay.name] + GRACE_S - time.monotonic()
        try:
            relay.process.wait(max(0.0, left_s))
        except subprocess.TimeoutExpired:
            self.faults["killed after its grace"] += 1
            relay.process.kill()

    def _take(self, relay):
        wait_until(relay.is_ready, "a relay is ready", 20)
        with self._lock:
            self.taking = [*self.taking, relay]

    def _take_no_more(self, relay):
        with self._lock:
            self.taking = [taking for taking in self.taking if taking is not relay]

    def _kill_relay(self):
        relay = self.rng.choice(self.taking)
        if len(self.taking) < 2 or relay.name in self.history.stops:
            return
        self.history.kills[relay.name] = time.monotonic()
        self._take_no_more(relay)
        relay.process.kill()
        self._in_background(self._take, self._start_relay())

    def _add_server(self, service, stage=None):
        if stage is None and self.traits.split and service.startswith("quotes"):
            stage = "decode"
        name = f"{service}-{next(self._names)}"
        server = Server(self.world, self.history, name, service, self.seed, stage)
        self.servers.append(server)
        return server

    def _leave(self, server, after_s, ends):
        """Remove a server's entry after a time, and end the server where it still runs."""
        time.sleep(after_s)
        self.world.store.put("servers", server.name, None)
        if ends:
            time.sleep(DRAIN_S)
            server.die("refused")

    def _takes_part(self):
        return self.rng.choice([server for server in self.servers if server.gone is None])

    def _server_dies(self):
        """Let a server be gone, silent or refusing; its entry stays for a time beside its successor's."""
        server = self._takes_part()
        self.servers.remove(server)
        self._gone.append(server)
        server.die(self.rng.choice(["dark", "refused"]))
        self._add_server(server.service, server.entry.get("Stage"))
        self._in_background(self._leave, server, LISTED_S, False)

    def _server_is_replaced(self):
        """Let a server say that it leaves, or just lose its entry, and serve on for a time."""
        server = self._takes_part()
        self.servers.remove(server)
        self._add_server(server.service, server.entry.get("Stage"))
        if self.rng.random() < 0.5:
            entry = {**server.entry, "State": "draining", "Sequence": 2}
            self.world.store.put("servers", server.name, entry)
        self._in_background(self._leave, server, self.rng.uniform(0.0, 1.0), True)

    def _note_unreachable(self):
        """Take from the relays' logs which requests met a server that refuses connections."""
        gone = {server.name for server in self._gone}
        for relay in self.world.relays:
            for line in relay.find_log_lines("attempt_failed"):
                if line["trouble"] == "unreachable" and line["back_end"] in gone:
                    self.history.met_gone.add(line["request"])


def run_seed(seed, seconds, traits=None, keep=None):
    """Run one seed and return its soak and findings; the hosts' logs are kept where there are some."""
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, seconds, folder, traits)
        found = soak.run()
        keep_logs(folder, seed, found, keep)
        return soak, found


def run_seeds(seeds, seconds, keep):
    """Run and print seeds, and return how many have findings."""
    failed, met = 0, Met(0, [])
    for seed in seeds:
        soak, found = run_seed(seed, seconds, keep=keep)
        print_seed(soak, found)
        failed += bool(found)
        more = met_gone(soak.history)
        met = Met(met.count + more.count, met.first_ms + more.first_ms)
    print(describe(met))
    return failed
