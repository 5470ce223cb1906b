"""A soak with planned work only, in series that overlap, and with pauses of relays.

Run it with `python tests/planned_soak.py --first 1 --seeds 20 --seconds 15`. Findings of kind
"paused" are requests at a relay that was paused itself; they are reported apart.
"""

import argparse
import base64
import itertools
import json
import signal
import sys
import time
from collections import Counter

from planned_callers import PlannedCaller
from planned_servers import RoleServer
from platform_config import config
from silence_history import RESPONSE_MARGIN_S, ConfigVersion, Finding
from silence_report import print_seed
from silence_soak import DRAIN_S, IDLE_MS, TIMEOUTS_MS, SeedParameters, Soak, run_seed

from laburnumreel.relay._settings import RetrySettings

STALL_RANGE_S, PAUSE_RANGE_S, STORE_AWAY_RANGE_S = (1.0, 1.5), (0.05, 0.9), (0.3, 1.5)
# A starved relay runs for the first time and stands still for the second one, again and again.
PULSE_S, PULSES = (0.02, 0.06), 20
# Time after a pause within which its effects on a request count as those of the pause.
PAUSE_EFFECT_S = 1.0
SIGNAL_BURST = 20
MANY_ROUTES, KV_TOKENS = 60, (9000, 100_000)
# Fields of all routes, and of the limits, that a configuration changes, with their values.
ROUTE_CHANGES = {
    "timeouts": ("TimeoutMs", TIMEOUTS_MS),
    "attempts": ("MaxAttempts", (1, 2, 3)),
    "gap": ("GapAimMs", (100, 250, 400)),
    "objective": ("TargetLatencyMs", (200, 600)),
}
LIMIT_CHANGES = {
    "idle": ("IdleTimeoutMs", IDLE_MS),
    "body": ("MaxBodyBytes", (1000, 65536, 1 << 20)),
    "header": ("MaxHeaderBytes", (4096, 16384)),
}
# Log events that no planned work may cause.
UNEXPECTED_EVENTS = ("relay_request_failed", "http_server_problem", "task_failed", "caller_cut")


class PlannedSoak(Soak):
    """One seeded run of planned work; `pauses` holds name, begin and end of relays' pauses.

    With `has_twins`, some callers send two requests with one id at once.
    """

    caller_class = PlannedCaller
    server_class = RoleServer
    has_twins = False

    def __init__(self, seed, seconds, folder, parameters=None):
        self.pauses, self.twin_ids = [], set()
        self._limits, self._route_changes, self._has_engine_b = {}, {}, True
        self._engine_changes, self._health_path, self._keys = {}, "/health", ("key-a",)
        self._split_routes, self._many_routes = {}, []
        self._grace_s, self._text_changes = 8, {}
        super().__init__(seed, seconds, folder, parameters)

    @staticmethod
    def draw_parameters(rng):
        ratio, slack = rng.choice([(0.0, 0.0), (0.02, 2.0), (0.1, 10.0), (0.3, 40.0)])
        return SeedParameters(
            relays=rng.choice([3, 4, 5]),
            servers=rng.choice([1, 2, 3, 5]),
            retry=RetrySettings(ratio, slack, 10.0),
            callers=rng.choice([10, 16, 24]),
            has_prefill=rng.random() < 0.5,
            attempts=rng.choice([1, 2, 2, 3, 3]),
        )

    def _plan_faults(self):
        self._faults_started_at = time.monotonic()
        rng, planned = self.rng, []
        series = [
            (self._stand_still, (0.8, 2.5), (1,), 0.0),
            (self._change_config, (0.5, 2.0), (1, 1, 4, 8), 0.3),
            (self._change_settings, (1.0, 3.0), (1, 3), 0.2),
            (self._stop_relay, (2.0, 6.0), (1, 2, 3), 0.1),
            (self._server_is_replaced, (2.0, 6.0), (1, 2), 0.3),
            (self._server_drains_and_returns, (2.0, 5.0), (1, 2), 0.3),
            (self._server_restarts, (3.0, 8.0), (1,), 0.0),
            (self._service_leaves_and_returns, (4.0, 12.0), (1,), 0.0),
            (self._pause_relay, (1.5, 5.0), (1, 2), 0.3),
            (self._starve_relay, (4.0, 10.0), (1,), 0.0),
            (self._store_goes_away, (4.0, 12.0), (1,), 0.0),
            (self._store_is_restored, (5.0, 15.0), (1,), 0.0),
        ]
        for action, pauses_s, counts, gap_s in series:
            at = rng.uniform(0.3, pauses_s[1])
            while at < self.seconds:
                count = rng.choice(counts)
                planned += [(at + gap_s * number, action) for number in range(count)]
                at += gap_s * count + rng.uniform(*pauses_s)
        return planned

    def _stand_still(self):
        service = self.rng.choice(["orders", "quotes", "quotes-b"])
        share, seconds = self.rng.choice([0.3, 0.9, 1.0]), self.rng.uniform(*STALL_RANGE_S)
        for server in self.servers:
            if server.service.startswith(service) and self.rng.random() < share:
                server.stall(seconds)

    def _change_config(self):
        if self.world.store.down:
            return
        rng = self.rng
        route = rng.choice(["safe", "once", "ask", "talk"])
        how = rng.choice(
            [*ROUTE_CHANGES, *LIMIT_CHANGES, "move", "add", "remove", "service", "split", "keys"]
            + ["health", "engine", "kind", "many"]
        )
        self.faults[f"config {how}"] += 1
        if how in ROUTE_CHANGES:
            field, values = ROUTE_CHANGES[how]
            self._route_changes[field] = rng.choice(values)
        elif how in LIMIT_CHANGES:
            field, values = LIMIT_CHANGES[how]
            self._limits[field] = rng.choice(values)
        elif how == "move":
            self._moved_routes ^= {route}
            self._has_second_services = True
        elif how == "add":
            self._extra_routes = [*self._extra_routes[-1:], f"more-{next(self._name_numbers)}"]
        elif how == "remove":
            self._extra_routes = self._extra_routes[1:]
        elif how == "service":
            self._has_second_services = bool(self._moved_routes or self._split_routes)
        elif how == "split":
            weight = rng.choice([0, 10, 50, 90])
            self._split_routes = {**self._split_routes, route: weight} if weight else {}
            self._has_second_services = True
        elif how == "keys":
            self._keys = rng.choice([("key-a",), ("key-b", "key-a"), ("key-a", "key-c")])
        elif how == "health":
            self._health_path = rng.choice(["/health", "/up"])
        elif how == "engine":
            self._engine_changes = {"Slots": rng.choice([2, 8]), "KvTokens": rng.choice(KV_TOKENS)}
        elif how == "kind":
            self._has_engine_b = not self._has_engine_b
        elif how == "many":
            self._many_routes = [] if self._many_routes else [f"n{n}" for n in range(MANY_ROUTES)]
        self._version += rng.randrange(1, 4)
        self._write_config()

    def _write_config(self, how=None):
        extra_routes = [*self._extra_routes, *self._many_routes]
        entry = config(self._version, map(self._make_extra_route, extra_routes), self._keys)
        defaults = {"TimeoutMs": TIMEOUTS_MS[1], "MaxAttempts": self.parameters.attempts}
        services = {}
        for route in entry["Routes"]:
            name, first = route["Name"], route["Service"]
            route |= {**defaults, **self._route_changes}
            if name in self._moved_routes:
                route["Service"] = f"{first}-b"
            services[name] = {route["Service"]}
            weight = self._split_routes.get(name)
            if weight and self._has_second_services:
                shares = ((first, 100 - weight), (f"{first}-b", weight))
                route["TrafficSplit"] = [{"Service": each, "Weight": n} for each, n in shares]
                services[name] = {each for each, _ in shares}
        entry["Limits"] |= self._limits
        if self._has_second_services:
            entry["Services"] += [
                {**each, "Name": f"{each['Name']}-b"} for each in entry["Services"]
            ]
        for service in entry["Services"]:
            service["HealthPath"] = self._health_path
            if "Engine" in service:
                service["Engine"] = {**service["Engine"], **self._engine_changes}
            if service["Name"] == "quotes-b" and not self._has_engine_b:
                del service["Engine"]
        self.history.versions.append(
            ConfigVersion(
                time.monotonic(),
                {route["Name"]: route["TimeoutMs"] / 1000 for route in entry["Routes"]},
                {route["Name"]: route["MaxAttempts"] for route in entry["Routes"]},
                {name: frozenset(each) for name, each in services.items()},
            )
        )
        self.world.store.put("op", "config", entry)
        self.idle_s = entry["Limits"]["IdleTimeoutMs"] / 1000

    def _change_settings(self):
        """Change the settings file of one or all relays, with or without a signal."""
        rng, retry = self.rng, self.parameters.retry
        if rng.random() < 0.5:
            retry = retry._replace(ratio=retry.ratio / 2, slack=retry.slack / 2)
        self._set_retry(retry)
        level, window_s, grace_s = (
            rng.choice(["debug", "info"]),
            rng.choice([1, 2]),
            rng.choice([8, 9]),
        )
        relays = rng.choice([[rng.choice(self.accepting_relays)], self.accepting_relays])
        signals = rng.choice([0, 0, 1, 1, SIGNAL_BURST])
        for relay in relays:
            text = relay._settings_text(self.world).replace("level = debug", f"level = {level}")
            text = text.replace("window_s = 1\n", f"window_s = {window_s}\n")
            relay.settings.write_text(text.replace("grace_s = 8.0", f"grace_s = {grace_s}"))
            for _ in range(signals):
                relay.process.send_signal(signal.SIGHUP)

    def _server_drains_and_returns(self):
        server = self._choose_live_server()
        self._run_in_background(self._relist, [server], self.rng.uniform(0.5, 3.0), "draining")

    def _service_leaves_and_returns(self):
        """Remove the entries of all servers of a service for a while; they go on to serve."""
        service = self.rng.choice(["orders", "quotes"])
        servers = [server for server in self.servers if server.service == service]
        self._run_in_background(self._relist, servers, self.rng.uniform(0.2, 1.5), None)

    def _relist(self, servers, after_s, state):
        for server in servers:
            away = state and {**server.entry, "State": state, "Sequence": 2}
            self.world.store.put("servers", server.name, away)
        time.sleep(after_s)
        for server in servers:
            if server in self.servers:
                server.entry = {**server.entry, "Sequence": server.entry["Sequence"] + 2}
                self.world.store.put("servers", server.name, server.entry)

    def _server_restarts(self):
        """Drain a server and start another one under its id."""
        old = self._choose_live_server()
        self.servers.remove(old)
        self.world.store.put("servers", old.name, {**old.entry, "State": "draining", "Sequence": 9})
        self._run_in_background(self._start_again, old, self.rng.uniform(0.0, 1.5))

    def _start_under_id_of(self, old):
        stage = old.entry.get("Stage")
        new = RoleServer(self.world, self.history, old.name, old.service, self.seed, stage)
        new.entry = {**new.entry, "born": old.entry["born"] + 1}
        self.world.store.put("servers", new.name, new.entry)
        self.servers.append(new)

    def _start_again(self, old, after_s):
        time.sleep(after_s)
        self._start_under_id_of(old)
        time.sleep(DRAIN_S)
        old.kill("refused")

    def _pause_relay(self):
        relay, seconds = self.rng.choice(self.accepting_relays), self.rng.uniform(*PAUSE_RANGE_S)
        self._run_in_background(self._pause, relay, 1, 0.0, seconds)

    def _starve_relay(self):
        relay = self.rng.choice(self.accepting_relays)
        self._run_in_background(self._pause, relay, PULSES, *PULSE_S)

    def _pause(self, relay, count, run_s, stop_s):
        begin = time.monotonic()
        for _ in range(count):
            time.sleep(run_s)
            if relay.process.poll() is not None:
                break
            relay.process.send_signal(signal.SIGSTOP)
            time.sleep(stop_s)
            relay.process.send_signal(signal.SIGCONT)
        self.pauses.append((relay.name, begin, time.monotonic()))

    def _store_goes_away(self):
        seconds = self.rng.uniform(*STORE_AWAY_RANGE_S)
        self.world.store.down = True
        self._run_in_background(self._bring_store_back, seconds)

    def _bring_store_back(self, after_s):
        time.sleep(after_s)
        self.world.store.down = False

    def _store_is_restored(self):
        snapshot = self.world.store.snapshot()
        self._run_in_background(self._restore_store, snapshot, self.rng.uniform(0.3, 2.5))

    def _restore_store(self, snapshot, after_s):
        """Restore a copy; the operator and the servers write their rows again."""
        time.sleep(after_s)
        store, writers = self.world.store, ("op", "servers")
        with store.changed:
            newest = dict(store.rows)
            store.restore(snapshot)
            for table, key in [row for row in store.rows if row[0] in writers]:
                if (table, key) not in newest:
                    store.put(table, key, None)
            for (table, key), row in newest.items():
                if table in writers:
                    store.put(table, key, base64.b64decode(row["Value"]))

    def _check(self):
        findings = [*super()._check(), *self._find_late(), *self._find_unexpected_events()]
        findings += self._find_ignored_stops()
        self.faults["orders of a stage"] += sum(server.orders for server in self.servers)
        records = {record.request_id: record for record in self.history.requests}
        return [
            self._mark_paused(each, records.get(each.request_id))
            for each in findings
            # Which of two requests with one id has run, or was repeated, can't be told.
            if each.request_id not in self.twin_ids or each.kind != "promise"
            if not self.twin_ids or each.kind != "budget"
        ]

    def _find_late(self):
        """Find requests that ended too long after their own or their route's time."""
        for record in self.history.requests:
            limit_s = min(record.deadline_s, max(self.history.timeouts_s(record)))
            took_s = record.ended_at - record.sent_at
            if record.end not in ("unsent", "left") and took_s > limit_s + RESPONSE_MARGIN_S:
                text = (
                    f"ended {took_s:.3f} s after it was sent, as {record.end}; {limit_s} s allowed"
                )
                yield Finding("late", record.request_id, text)

    def _find_ignored_stops(self):
        for relay in self.world.relays:
            was_stopped = relay.name in self.history.stop_times
            if was_stopped and not relay.find_log_lines("relay_stopping"):
                yield Finding("ignored", "", f"{relay.name} ignored SIGTERM")

    def _find_unexpected_events(self):
        lines = itertools.chain.from_iterable(
            ((relay.name, line) for line in relay.find_log_lines(name))
            for relay in self.world.relays
            for name in UNEXPECTED_EVENTS
        )
        for name, line in lines:
            # A stream whose server broke off ends with this line of waitress.
            if "Exception while serving" not in line.get("detail", "") and line.get("requests", 1):
                yield Finding("log", "", f"{name} {json.dumps(line)[:1500]}")

    def _mark_paused(self, finding, record):
        """Report what happened at a paused relay apart, unless a pause excuses nothing."""
        if record is None or finding.kind in ("twice", "promise", "body", "attempts"):
            return finding
        for name, begin, end in self.pauses:
            overlaps = record.sent_at - PAUSE_EFFECT_S < end and begin < record.ended_at
            if name == record.relay and overlaps:
                return finding._replace(kind="paused", text=f"{finding.kind}: {finding.text}")
        return finding


def run_soak(soak_class, description):
    """Run the seeds that the command line names, and exit with 1 if one has findings."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--keep", help="directory for the host logs of seeds with findings")
    parser.add_argument("--twins", action="store_true", help="send some requests twice at once")
    options = parser.parse_args()
    soak_class.has_twins = options.twins
    kinds, failed = Counter(), 0
    for seed in range(options.first, options.first + options.seeds):
        soak, findings = run_seed(seed, options.seconds, None, options.keep, soak_class)
        print_seed(soak, findings)
        kinds.update(finding.kind for finding in findings)
        failed += any(finding.kind != "paused" for finding in findings)
    print(f"{options.seeds} seeds, {failed} with findings: {dict(kinds)}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    run_soak(PlannedSoak, __doc__)
