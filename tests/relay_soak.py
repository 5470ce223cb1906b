"""A randomized soak test of real relay processes with injected external faults.

`python tests/relay_soak.py --seeds 50` runs fifty seeds and prints the faults and findings of
each. The checks use only what callers, workers and the platform's duties interface observed.
"""

import argparse
import http.client
import itertools
import random
import signal
import sys
import tempfile
import threading
import time
from collections import Counter

import silence_soak
from limit_count import WINDOW_S, LimitCount
from platform_config import config
from platform_world import RelayProcess, World, wait_until
from relay_soak_parts import (
    EXPECTED_STREAM,
    RETRY,
    Observations,
    Proxy,
    keep_logs,
    make_plain_answer,
    make_stream_answer,
)

# Faults end within 2 s, and a host has reconnected to the store 3 s after that.
STALE_VIEW_S = 5.0
SETTLE_S = 3.0
HEARTBEAT_S = 1.2
# How long a usage report is awaited; a new holder sends one after its lease's term and its wait for
# counts.
REPORT_WAIT_S = 10.0
# How long callers wait for a relay where some are stopped: not until they have all left the others.
STOPPED_RELAY_S = 1.0


class Soak:
    """One seeded run: relays, workers behind proxies, callers, and overlapping faults."""

    def __init__(self, seed, seconds, folder, faults, relays=2):
        self.possible_faults = faults
        self.relay_count = relays
        self.loses_readers = lose_readers in faults
        self.loses_reporter = lose_reporter in faults
        self.rng = random.Random(seed)
        self.seed, self.seconds = seed, seconds
        self.world = World(folder)
        self.world.extra_settings = f"[retry]\nratio = {RETRY.ratio}\nslack = {RETRY.slack}\n"
        self.observations = Observations()
        self.store_proxy = Proxy(self.world.store.address)
        self.proxies = {}
        self.relays = []
        self.relay_numbers = itertools.count(1)
        self.faults = []
        self.stop = threading.Event()
        self.version = 1
        self.request_numbers = itertools.count(1)
        # IDs of requests that must run at most once, and of those refused as not executed.
        self.at_most_once_ids, self.refused_ids = [], []

    def run(self):
        """Run the seed and return its findings."""
        try:
            for name, service, stage in (
                ("w1", "orders", None),
                ("w2", "orders", None),
                ("p1", "quotes", "prefill"),
                ("d1", "quotes", "decode"),
                ("d2", "quotes", "decode"),
            ):
                self._add_worker(name, service, stage)
            if self.loses_reporter:
                self.world.send_usage_to_holder_only()
            for _ in range(self.relay_count):
                self._add_relay()
            for relay in self.relays:
                wait_until(relay.is_ready, "a relay is ready", 15)
            callers = [threading.Thread(target=self._run_caller, args=(n,)) for n in range(6)]
            for caller in callers:
                caller.start()
            if self.loses_readers:
                threading.Thread(target=self._renew_entries, daemon=True).start()
            self._inject_faults()
            self.stop.set()
            for caller in callers:
                caller.join(20)
            time.sleep(SETTLE_S)
            self._check_invariants()
        finally:
            self.stop.set()
            for proxy in (self.store_proxy, *self.proxies.values()):
                proxy.end()
            for relay in self.world.relays:
                if relay.process.poll() is None:
                    relay.process.send_signal(signal.SIGCONT)
            self.world.end()
        return self.observations.findings

    def _add_worker(self, name, service, stage):
        rng = random.Random(f"{self.seed} {name}")
        make = make_plain_answer if service == "orders" else make_stream_answer
        fields = {"Stage": stage} if stage else {}
        worker = self.world.worker(name, service, make(self.observations, name, rng), **fields)
        proxy = self.proxies[name] = Proxy(worker.address)
        worker.listed_entry = worker.entry(service, Address=proxy.address, **fields)
        self.world.store.put("servers", name, worker.listed_entry)

    def _renew_entries(self):
        """Renew the workers' entries as workers do; without this, hosts count on no reader."""
        while not self.stop.wait(HEARTBEAT_S):
            for name, worker in self.world.workers.items():
                sequence = worker.listed_entry["Sequence"] + 1
                worker.listed_entry = {**worker.listed_entry, "Sequence": sequence}
                self.world.store.put("servers", name, worker.listed_entry)

    def _add_relay(self):
        name = f"relay-{next(self.relay_numbers)}"
        direct_address, self.world.store.address = (
            self.world.store.address,
            self.store_proxy.address,
        )
        try:
            relay = RelayProcess(self.world, name)
        finally:
            self.world.store.address = direct_address
        self.world.relays.append(relay)
        self.relays.append(relay)

    def _run_caller(self, number):
        rng = random.Random(f"{self.seed} caller {number}")
        connection, target = None, None
        while not self.stop.is_set():
            if connection is None or rng.random() < 0.2:
                target = rng.choice(self.relays)
                has_stopped = self.loses_readers or self.loses_reporter
                timeout_s = STOPPED_RELAY_S if has_stopped else 6
                connection = http.client.HTTPConnection(target.host, target.port, timeout=timeout_s)
            path = rng.choice(["/safe/", "/once/", "/once/", "/ask/", "/talk/"])
            request_id = f"q{self.seed}-{next(self.request_numbers)}"
            if not self._send_request(connection, path, request_id):
                connection.close()
                connection = None
            time.sleep(rng.uniform(0.0, 0.05))

    def _send_request(self, connection, path, request_id):
        headers = {"Host": "shop.example", "Request-Id": request_id, "Key": "key-a"}
        headers["Deadline-Ms"] = "3000"
        if path in ("/ask/", "/talk/"):
            headers |= {"Model-Id": "m", "Token-Usage": "900,50", "Prefix-Hash": "aa:800,bb:100"}
        service = "quotes" if path in ("/ask/", "/talk/") else "orders"
        self.observations.repeats[service].requested(time.monotonic())
        try:
            connection.request("POST", path + "x", b"{}", headers)
            answer = connection.getresponse()
            body = answer.read()
        except (OSError, http.client.HTTPException):
            # No response, so no promise; `_check_invariants` still counts its executions.
            self.observations.outcomes["cut"] += 1
            self._record_request(path, request_id, None)
            return False
        self.observations.outcomes[str(answer.status)] += 1
        if answer.status == 200:
            expected_body = (
                EXPECTED_STREAM if path in ("/ask/", "/talk/") else f"for {request_id}".encode()
            )
            if body != expected_body:
                self.observations.add_finding(f"{path} {request_id}: unexpected body {body[:80]!r}")
            if answer.getheader("Response-Signature") != f"s.{request_id}":
                self.observations.add_finding(
                    f"{path} {request_id}: signature belongs to another response"
                )
        elif answer.status in (400, 401, 403, 404, 500):
            self.observations.add_finding(
                f"{path} {request_id}: {answer.status} for a valid request"
            )
        self._record_request(path, request_id, answer.status)
        return not answer.will_close

    def _record_request(self, path, request_id, status):
        with self.observations.lock:
            self.observations.outcomes[path] += 1
        if status in (429, 503) and path in ("/once/", "/ask/"):
            self.refused_ids.append(request_id)
        if path in ("/once/", "/ask/"):
            self.at_most_once_ids.append(request_id)

    def _inject_faults(self):
        end = time.monotonic() + self.seconds
        pending_heals = []
        while time.monotonic() < end:
            for at, heal in list(pending_heals):
                if time.monotonic() >= at:
                    heal()
                    pending_heals.remove((at, heal))
            if self.rng.random() < 0.5:
                fault = self.rng.choice(self.possible_faults)
                heal = fault(self)
                self.faults.append(fault.__name__.lstrip("_"))
                if heal is not None:
                    duration_s = FAULT_DURATIONS_S.get(fault) or self.rng.uniform(0.3, 2.0)
                    pending_heals.append((time.monotonic() + duration_s, heal))
            time.sleep(self.rng.uniform(0.1, 0.6))
        for _, heal in pending_heals:
            heal()

    def _check_invariants(self):
        observations = self.observations
        for request_id in self.at_most_once_ids:
            if observations.runs[request_id] > 1:
                observations.add_finding(f"{request_id} ran {observations.runs[request_id]} times")
        for request_id in self.refused_ids:
            if observations.runs[request_id]:
                observations.add_finding(f"{request_id} was refused as not executed, but ran")
        for request_id, worker in observations.late_runs:
            observations.add_finding(
                f"{request_id} ran at {worker} after the worker began draining"
            )
        for name, count in observations.limits:
            if count.worst_excess() > 0:
                worst = f"{count.worst()} of {count.allowed:g} in {WINDOW_S:g} s"
                observations.add_finding(
                    f"{name} received {worst} with a limit of {count.per_s:g} a second"
                )
        for service, count in observations.repeats.items():
            if count.worst_excess() > 0:
                excess = count.worst_excess()
                observations.add_finding(
                    f"{service}: {excess:.1f} repeated sends beyond the retry budget"
                )
        counts_by_window, max_token = {}, 0
        for path, headers, body in self.world.duties.calls:
            token = int(headers["Fencing-Token"])
            if token < max_token:
                observations.add_finding(f"fencing token {token} after {max_token}")
            max_token = max(max_token, token)
            if path == "/usage":
                first_counts = counts_by_window.setdefault(body["WindowId"], body["Counts"])
                if first_counts != body["Counts"]:
                    observations.add_finding(
                        f"window {body['WindowId']} reported twice with other counts"
                    )
        if not observations.outcomes["200"]:
            observations.add_finding("nothing was served")


def kill_relay(soak):
    relay = soak.rng.choice(soak.relays)
    relay.process.kill()
    relay.process.wait()
    soak.relays.remove(relay)
    soak._add_relay()


def stop_relay(soak):
    relay = soak.rng.choice(soak.relays)
    soak.relays.remove(relay)
    soak._add_relay()
    relay.process.terminate()


def lose_readers(soak):
    """Kill or stop the hosts that read the table of workers for the others, as a worker drains.

    The others must still learn of it in time, so their views do not count as stale.
    """
    ranked = soak.relays[0].find_log_lines("directory_ranked")
    readers = [relay for relay in soak.relays if ranked and relay.name in ranked[-1]["first"]]
    if len(soak.relays) < soak.relay_count or not readers:
        return None
    soak.relays = [relay for relay in soak.relays if relay not in readers]
    how = soak.rng.choice([signal.SIGKILL, signal.SIGSTOP])
    for relay in readers:
        relay.process.send_signal(how)
    return_worker = worker_leaves(soak)

    def heal():
        for relay in readers:
            relay.process.kill()
            relay.process.wait()
            soak._add_relay()
        if return_worker is not None:
            return_worker()

    return heal


def lose_reporter(soak):
    """Lose the host that has just reported usage, and restore the store from before the report.

    The others, of which some are stopped as planned at times, must not report the window again with
    other counts.
    """
    calls = soak.world.duties.calls
    snapshot, reported = soak.world.store.snapshot(), len(calls)
    deadline = time.monotonic() + REPORT_WAIT_S
    while len(calls) == reported:
        if time.monotonic() > deadline:
            return None
        time.sleep(0.01)
    holder = calls[-1][1]["Lease-Holder"]
    reporter = next((relay for relay in soak.relays if relay.name == holder), None)
    if reporter is None or len(soak.relays) < soak.relay_count:
        return None
    how = soak.rng.choice([signal.SIGKILL, signal.SIGKILL, signal.SIGSTOP])
    reporter.process.send_signal(how)
    soak.relays.remove(reporter)
    _mark_views_stale(soak)
    _restore(soak, snapshot)
    if soak.rng.random() < 0.4:
        stop_relay(soak)

    def heal():
        if how == signal.SIGSTOP and soak.rng.random() < 0.5:
            reporter.process.send_signal(signal.SIGCONT)
            soak.relays.append(reporter)
            return
        reporter.process.kill()
        reporter.process.wait()
        soak._add_relay()

    return heal


def _mark_views_stale(soak):
    soak.observations.views_stale_until = time.monotonic() + STALE_VIEW_S


def pause_relay(soak):
    _mark_views_stale(soak)
    relay = soak.rng.choice(soak.relays)
    if relay.process.poll() is None:
        relay.process.send_signal(signal.SIGSTOP)
    return lambda: relay.process.poll() is None and relay.process.send_signal(signal.SIGCONT)


def store_down(soak):
    _mark_views_stale(soak)
    soak.world.store.down = True
    return lambda: setattr(soak.world.store, "down", False)


def store_cut(soak):
    _mark_views_stale(soak)
    soak.store_proxy.mode = soak.rng.choice(["silent", "reset", "slow", "deaf"])
    return lambda: setattr(soak.store_proxy, "mode", "pass")


def store_history(soak):
    soak.world.store.history_gone = True


def worker_cut(soak):
    proxy = soak.rng.choice(list(soak.proxies.values()))
    proxy.mode = soak.rng.choice(["silent", "reset", "slow", "deaf"])
    return lambda: setattr(proxy, "mode", "pass")


def worker_leaves(soak):
    """Mark a worker as draining for longer than hosts may still send new requests to it."""
    name = soak.rng.choice(["w1", "d1"])
    worker = soak.world.workers[name]
    draining_sequence = worker.listed_entry["Sequence"] + 1
    worker.listed_entry = {
        **worker.listed_entry,
        "State": "draining",
        "Sequence": draining_sequence,
    }
    if soak.world.store.down or soak.store_proxy.mode != "pass":
        return None
    soak.world.store.put("servers", name, worker.listed_entry)
    soak.observations.draining_since[name] = time.monotonic()

    def heal():
        ready_sequence = worker.listed_entry["Sequence"] + 1
        worker.listed_entry = {**worker.listed_entry, "State": "ready", "Sequence": ready_sequence}
        soak.observations.draining_since.pop(name, None)
        soak.world.store.put("servers", name, worker.listed_entry)

    return heal


def store_drill(soak):
    """Copy the store now and restore it from that copy when the fault ends."""
    _mark_views_stale(soak)
    snapshot = soak.world.store.snapshot()

    return lambda: _restore(soak, snapshot)


def _restore(soak, snapshot):
    """Restore a copy of the store; the operator and the workers write their entries again."""
    soak.world.store.restore(snapshot)
    soak.world.store.put("op", "config", config(soak.version))
    for name, worker in soak.world.workers.items():
        worker.listed_entry = {
            **worker.listed_entry,
            "Sequence": worker.listed_entry["Sequence"] + 1,
        }
        soak.world.store.put("servers", name, worker.listed_entry)


def worker_names_limit(soak):
    """Announce a rate limit of a worker for longer than hosts may take to apply it."""
    name = soak.rng.choice(["w1", "p1", "d1"])
    worker = soak.world.workers[name]
    if worker.limit is not None:
        return None
    worker.limit = LimitCount(soak.rng.choice([0.0, 0.5, 1.2, 4.0]))
    soak.observations.limits.append((name, worker.limit))
    return lambda: setattr(worker, "limit", None)


def change_config(soak):
    soak.version += soak.rng.randrange(1, 4)
    soak.world.store.put("op", "config", config(soak.version))


# Durations of faults that last longer; all others last up to 2 s.
FAULT_DURATIONS_S = {
    worker_leaves: 4.0,
    worker_names_limit: 10.0,
    lose_readers: 3.6,
    lose_reporter: 6.0,
}

FAULTS = (
    kill_relay,
    stop_relay,
    pause_relay,
    store_down,
    store_cut,
    store_history,
    worker_cut,
    worker_cut,
    worker_leaves,
    change_config,
)


# Adds restores of the store. A separate set, so that the seeds of plain runs draw the same faults
# as before.
FAULTS_WITH_STORE_RESTORES = (*FAULTS, store_drill, store_drill, store_drill)
# Rate limits, combined only with faults during which every host must still apply them.
FAULTS_WITH_RATE_LIMITS = (
    worker_names_limit,
    worker_names_limit,
    worker_names_limit,
    store_down,
    store_cut,
    store_history,
    worker_cut,
    worker_leaves,
    change_config,
)
# Loss of the hosts that others count on. Each start of a host makes the others read the table, so
# no others are killed or stopped, and a worker drains just then.
FAULTS_WITH_LOST_READERS = (lose_readers, lose_readers, change_config)
# Loss of the host that reports usage beside restores of the store, where it alone has all counts.
FAULTS_WITH_LOST_REPORTERS = (lose_reporter, lose_reporter, store_drill, change_config)
FAULT_SETS = {
    "plain": FAULTS,
    "drills": FAULTS_WITH_STORE_RESTORES,
    "limits": FAULTS_WITH_RATE_LIMITS,
    "readers": FAULTS_WITH_LOST_READERS,
    "reports": FAULTS_WITH_LOST_REPORTERS,
}
# Hosts of a run, 2 if not given.
RELAYS = {FAULTS_WITH_LOST_READERS: 4, FAULTS_WITH_LOST_REPORTERS: 4}


def run_seed(seed, seconds, faults=FAULTS, keep_dir=None):
    """Run one seed; with findings, copy the host logs to `keep_dir`; return soak and findings."""
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, seconds, folder, faults, RELAYS.get(faults, 2))
        findings = soak.run()
        keep_logs(folder, seed, findings, keep_dir)
        return soak, findings


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--faults", choices=(*FAULT_SETS, "silence"), default="plain")
    parser.add_argument("--keep", help="directory for the host logs of seeds with findings")
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.seeds)
    if options.faults == "silence":
        failed = silence_soak.run_seeds(seeds, options.seconds, options.keep)
    else:
        failed = run_seeds(seeds, options)
    print(f"{options.seeds} seeds, {failed} with findings")
    sys.exit(1 if failed else 0)


def run_seeds(seeds, options):
    """Run the seeds, print their results, and return the number of seeds with findings."""
    failed = 0
    for seed in seeds:
        soak, findings = run_seed(seed, options.seconds, FAULT_SETS[options.faults], options.keep)
        failed += bool(findings)
        repeats = {name: len(count.repeats) for name, count in soak.observations.repeats.items()}
        outcomes, faults = dict(soak.observations.outcomes), dict(Counter(soak.faults))
        print(f"seed {seed}: {outcomes} repeats {repeats} faults {faults}")
        for finding in findings:
            print(f"  FOUND {finding}")
    return failed


if __name__ == "__main__":
    main()
