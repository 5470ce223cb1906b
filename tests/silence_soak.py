"""A soak with servers that stall and resume, with planned maintenance.

Run it with `python tests/relay_soak.py --faults silence`.
"""

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
from silence_history import (
    GRACE_S,
    ConfigVersion,
    DeadServerStats,
    Finding,
    History,
    check,
    get_dead_server_stats,
)
from silence_report import collect_evidence, format_stats, print_seed
from silence_servers import Server
from silence_stalls import StallDetector

from laburnumreel.relay._settings import RetrySettings

STALL_RANGE_S = (0.4, 1.6)
# Load balancers send new connections to a host for this long after its SIGTERM; open ones stay.
BALANCER_DELAY_S = 2.0
# The entry of a dead server is removed after `DEAD_ENTRY_S`; a draining server serves for `DRAIN_S`.
DEAD_ENTRY_S, DRAIN_S = 3.0, 5.0
SETTLE_S = 1.0
CONFIG_BURST_GAP_S = 0.4
TIMEOUTS_MS, IDLE_MS, GAPS_MS = (3500, 5000, 6500), (2500, 5000, 15000), (100, 250, 400)


class SeedParameters(NamedTuple):
    """The parameters of a run, drawn from its seed."""

    relays: int
    servers: int
    retry: RetrySettings
    callers: int
    has_prefill: bool
    attempts: int

    @classmethod
    def from_seed(cls, rng):
        ratio, slack = rng.choice([(0.0, 0.0), (0.02, 2.0), (0.1, 10.0), (0.3, 40.0)])
        return cls(
            relays=rng.choice([1, 2, 3, 6]),
            servers=rng.choice([1, 2, 3, 4]),
            retry=RetrySettings(ratio, slack, 10.0),
            callers=rng.choice([16, 24, 32]),
            has_prefill=rng.random() < 0.3,
            attempts=rng.choice([1, 2, 2, 3, 3]),
        )


class Soak:
    """One seeded run: relays, servers, callers, and overlapping series of faults and maintenance.

    Callers get it as their `setup`. They read `accepting_relays`, `routes`, `idle_s`,
    `max_timeout_s` and `request_numbers`.
    """

    caller_class = Caller
    server_class = Server

    def __init__(self, seed, seconds, folder, parameters=None):
        self.rng = random.Random(seed)
        self.seed, self.seconds = seed, seconds
        self.parameters = parameters or self.draw_parameters(self.rng)
        self.history = History(self.parameters.retry)
        self.world = World(folder)
        self.faults = Counter()
        self.accepting_relays, self.servers, self._dead_servers = [], [], []
        self.idle_s, self.max_timeout_s = IDLE_MS[-1] / 1000, TIMEOUTS_MS[-1] / 1000
        self.started_at = time.monotonic()
        self.stall_detector = StallDetector()
        self.request_numbers, self._name_numbers, self._version = (
            itertools.count(1),
            itertools.count(1),
            1,
        )
        self._stop, self._lock = threading.Event(), threading.Lock()
        self._background_threads, self._harness_findings = [], []
        self.evidence = {}
        self._moved_routes, self._extra_routes, self._has_second_services = set(), [], True
        self._set_retry(self.parameters.retry)
        self._write_config()

    @property
    def routes(self):
        base = [("safe", "safe"), ("once", "once"), ("ask", "ask"), ("talk", "talk")]
        return [*base, ("talk", "talk"), *((name, "talk") for name in self._extra_routes)]

    @staticmethod
    def draw_parameters(rng):
        return SeedParameters.from_seed(rng)

    def run(self):
        """Run the seed and return its findings."""
        try:
            for service in ("orders", "orders-b", "quotes", "quotes-b"):
                for _ in range(self.parameters.servers):
                    self._add_server(service)
                if self.parameters.has_prefill and service.startswith("quotes"):
                    self._add_server(service, "prefill")
            relays = [self._start_relay() for _ in range(self.parameters.relays)]
            for relay in relays:
                wait_until(relay.is_ready, "a relay is ready", 20)
                self.accepting_relays.append(relay)
            callers = [
                self.caller_class(self, self.history, self.seed, number, self._stop)
                for number in range(self.parameters.callers)
            ]
            self.stall_detector.start()
            for caller in callers:
                caller.start()
            self._inject_faults()
            self._stop.set()
            for caller in callers:
                caller.join(self.max_timeout_s + 5)
            # Leave time for refused requests to run, which they must not.
            time.sleep(SETTLE_S)
            for thread in self._background_threads:
                thread.join(GRACE_S + 15)
            self._record_unreachable()
            findings = self._check()
            # Collect the evidence now: the logs are deleted with the directory of the seed.
            self.evidence = {finding: collect_evidence(self, finding) for finding in findings}
            return findings
        finally:
            self._stop.set()
            self.stall_detector.end()
            self.world.end()

    def _check(self):
        return [*check(self.history), *self._harness_findings, *self._find_unexpected_exits()]

    def _find_unexpected_exits(self):
        for relay in self.world.relays:
            was_stopped = (
                relay.name in self.history.stop_times or relay.name in self.history.kill_times
            )
            if relay.process.poll() is not None and not was_stopped:
                text = f"{relay.name} exited unexpectedly with status {relay.process.returncode}"
                yield Finding("ended", "", text)

    def _inject_faults(self):
        for at, action in sorted(self._plan_faults(), key=lambda planned: planned[0]):
            time.sleep(max(0.0, self._faults_started_at + at - time.monotonic()))
            self.faults[action.__name__.lstrip("_")] += 1
            action()
        time.sleep(max(0.0, self._faults_started_at + self.seconds - time.monotonic()))

    def _plan_faults(self):
        """Return overlapping series of faults and changes as (time, action) pairs."""
        self._faults_started_at = time.monotonic()
        rng, planned = self.rng, []
        series = [
            (self._stand_still, (0.7, 2.0), (1,), 0.0),
            (self._change_config, (0.8, 2.5), (1, 1, 4, 8), CONFIG_BURST_GAP_S),
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
        seconds = self.rng.uniform(*STALL_RANGE_S)
        for server in chosen:
            server.stall(seconds)

    def _change_config(self):
        """Change timeouts, idle timeouts or services of routes, or add or remove routes."""
        how = self.rng.choice(["timeouts", "idle", "move", "add", "remove", "service"])
        if how == "move":
            self._moved_routes ^= {self.rng.choice(["safe", "once", "ask", "talk"])}
            self._has_second_services = True
        elif how == "add":
            self._extra_routes = [*self._extra_routes[-1:], f"more-{next(self._name_numbers)}"]
        elif how == "remove":
            self._extra_routes = self._extra_routes[1:]
        elif how == "service":
            # The second set of services is removed only if no route refers to it.
            self._has_second_services = bool(self._moved_routes)
        self._version += self.rng.randrange(1, 4)
        self._write_config(how)

    def _write_config(self, how=None):
        rng = self.rng
        config_entry = config(
            self._version, [self._make_extra_route(name) for name in self._extra_routes]
        )
        for route in config_entry["Routes"]:
            if route["Name"] in self._moved_routes:
                route["Service"] += "-b"
            route["MaxAttempts"] = self.parameters.attempts
            route["TimeoutMs"] = rng.choice(TIMEOUTS_MS) if how == "timeouts" else TIMEOUTS_MS[1]
            route["GapAimMs"] = rng.choice(GAPS_MS) if how == "timeouts" else GAPS_MS[1]
        if how == "idle":
            config_entry["Limits"]["IdleTimeoutMs"] = rng.choice(IDLE_MS)
        second_services = [
            {**service, "Name": f"{service['Name']}-b"} for service in config_entry["Services"]
        ]
        config_entry["Services"] += second_services if self._has_second_services else []
        self.history.versions.append(
            ConfigVersion(
                time.monotonic(),
                {route["Name"]: route["TimeoutMs"] / 1000 for route in config_entry["Routes"]},
                {route["Name"]: route["MaxAttempts"] for route in config_entry["Routes"]},
                {route["Name"]: frozenset({route["Service"]}) for route in config_entry["Routes"]},
            )
        )
        self.world.store.put("op", "config", config_entry)
        self.idle_s = config_entry["Limits"]["IdleTimeoutMs"] / 1000

    @staticmethod
    def _make_extra_route(name):
        route = {"Name": name, "Prefix": f"/{name}/", "RouteType": "streaming"}
        return {**config()["Routes"][4], **route, "Service": "quotes"}

    def _set_retry(self, retry):
        self.world.extra_settings = (
            f"[retry]\nratio = {retry.ratio}\nslack = {retry.slack}\nwindow_s = {retry.window_s}\n"
            f"[stop]\ngrace_s = {GRACE_S}\n"
        )

    def _reload_settings(self):
        """Change the retry budget, at most to that of the seed, and send SIGHUP to a relay.

        The relay may already be stopping.
        """
        retry = self.parameters.retry
        if self.rng.random() < 0.5:
            retry = retry._replace(ratio=retry.ratio / 2, slack=retry.slack / 2)
        self._set_retry(retry)
        relay = self.rng.choice(self.accepting_relays)
        relay.settings.write_text(relay._settings_text(self.world))
        if relay.process.poll() is None:
            relay.process.send_signal(signal.SIGHUP)

    def _start_relay(self):
        relay = RelayProcess(self.world, f"relay-{next(self._name_numbers)}")
        self.world.relays.append(relay)
        self.stall_detector.watch(relay.name, relay.process.pid)
        return relay

    def _run_in_background(self, action, *arguments):
        def run():
            try:
                action(*arguments)
            except Exception as error:
                self._harness_findings.append(
                    Finding("harness", "", f"{action.__name__}: {error!r}")
                )

        thread = threading.Thread(target=run, daemon=True)
        self._background_threads.append(thread)
        thread.start()

    def _stop_relay(self):
        """Stop a relay gracefully and start another one in its place."""
        relay = self.rng.choice(self.accepting_relays)
        if relay.name in self.history.stop_times or relay.name in self.history.kill_times:
            return
        stop_first = len(self.accepting_relays) > 1 and self.rng.random() < 0.5
        self.history.stop_times[relay.name] = float("inf")
        self._run_in_background(self._replace_relay, relay, self._start_relay(), stop_first)

    def _replace_relay(self, relay, successor, stop_first):
        if not stop_first:
            self._start_accepting(successor)
        self.history.stop_times[relay.name] = time.monotonic()
        relay.process.terminate()
        if stop_first:
            self._start_accepting(successor)
        time.sleep(BALANCER_DELAY_S)
        self._stop_accepting(relay)
        remaining_s = self.history.stop_times[relay.name] + GRACE_S - time.monotonic()
        try:
            relay.process.wait(max(0.0, remaining_s))
        except subprocess.TimeoutExpired:
            self.faults["killed after its grace"] += 1
            relay.process.kill()

    def _start_accepting(self, relay):
        wait_until(relay.is_ready, "a relay is ready", 20)
        with self._lock:
            self.accepting_relays = [*self.accepting_relays, relay]

    def _stop_accepting(self, relay):
        with self._lock:
            self.accepting_relays = [other for other in self.accepting_relays if other is not relay]

    def _kill_relay(self):
        relay = self.rng.choice(self.accepting_relays)
        if len(self.accepting_relays) < 2 or relay.name in self.history.stop_times:
            return
        self.history.kill_times[relay.name] = time.monotonic()
        self._stop_accepting(relay)
        relay.process.kill()
        self._run_in_background(self._start_accepting, self._start_relay())

    def _add_server(self, service, stage=None):
        if stage is None and self.parameters.has_prefill and service.startswith("quotes"):
            stage = "decode"
        name = f"{service}-{next(self._name_numbers)}"
        server = self.server_class(self.world, self.history, name, service, self.seed, stage)
        self.servers.append(server)
        return server

    def _remove_entry(self, server, after_s, should_end):
        """Remove a server's entry after `after_s`; with `should_end`, end it `DRAIN_S` later."""
        time.sleep(after_s)
        self.world.store.put("servers", server.name, None)
        if should_end:
            time.sleep(DRAIN_S)
            server.kill("refused")

    def _choose_live_server(self):
        return self.rng.choice([server for server in self.servers if server.failure_mode is None])

    def _server_dies(self):
        """Kill and replace a server, silent or refusing; its entry stays listed for a time."""
        server = self._choose_live_server()
        self.servers.remove(server)
        self._dead_servers.append(server)
        server.kill(self.rng.choice(["dark", "refused"]))
        self._add_server(server.service, server.entry.get("Stage"))
        self._run_in_background(self._remove_entry, server, DEAD_ENTRY_S, False)

    def _server_is_replaced(self):
        """Replace a server, marked as draining or just delisted; it still serves for a time."""
        server = self._choose_live_server()
        self.servers.remove(server)
        self._add_server(server.service, server.entry.get("Stage"))
        if self.rng.random() < 0.5:
            entry = {**server.entry, "State": "draining", "Sequence": 2}
            self.world.store.put("servers", server.name, entry)
        self._run_in_background(self._remove_entry, server, self.rng.uniform(0.0, 1.0), True)

    def _record_unreachable(self):
        """Record which requests met a dead server that refuses connections, from relay logs."""
        dead_names = {server.name for server in self._dead_servers}
        for relay in self.world.relays:
            for line in relay.find_log_lines("attempt_failed"):
                if line["trouble"] == "unreachable" and line["back_end"] in dead_names:
                    self.history.dead_server_request_ids.add(line["request"])


def run_seed(seed, seconds, parameters=None, keep_dir=None, soak_class=Soak):
    """Run one seed; with findings, copy the host logs to `keep_dir`; return soak and findings."""
    with tempfile.TemporaryDirectory() as folder:
        soak = soak_class(seed, seconds, folder, parameters)
        findings = soak.run()
        keep_logs(folder, seed, findings, keep_dir)
        return soak, findings


def run_seeds(seeds, seconds, keep_dir):
    """Run the seeds, print their results, and return the number of seeds with findings."""
    failed, stats = 0, DeadServerStats(0, [])
    for seed in seeds:
        soak, findings = run_seed(seed, seconds, keep_dir=keep_dir)
        print_seed(soak, findings)
        failed += bool(findings)
        seed_stats = get_dead_server_stats(soak.history)
        stats = DeadServerStats(
            stats.count + seed_stats.count, stats.first_byte_ms + seed_stats.first_byte_ms
        )
    print(format_stats(stats))
    return failed
