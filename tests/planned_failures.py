"""A soak with changes that overlap, beside services whose servers all fall silent or crash.

Run it with `python tests/planned_failures.py --first 1 --seeds 20 --seconds 12`. It plays the planned
work of `planned_soak.py` too.
"""

import time

from planned_callers import PlannedCaller
from planned_soak import PlannedSoak, run_soak

SILENCE_RANGE_S, CRASH_RANGE_S = (0.5, 2.5), (0.2, 1.5)
# Gaps between changes, well within the time in which one comes into force on all relays.
CHANGE_GAP_S, CHANGES = (0.05, 0.5), (2, 3, 5)
# Each relay learns of a change after its own delay.
FEED_DELAYS_S = (0.0, 0.0, 0.2, 0.6, 1.2)
# How long the second services of a stage get requests before they are dropped.
USE_BEFORE_DROP_S = (0.8, 2.0)
# Streams that broke off within this time of a drop are reported apart.
DROP_EFFECT_S = 3.0
ROUTES_BY_SERVICE = {"orders": {"safe", "once"}, "quotes": {"ask", "talk"}}


class DistinctCaller(PlannedCaller):
    """A caller no two of whose requests are alike: those that crash servers are held back."""

    def _new_record(self, relay, is_reused):
        record = super()._new_record(relay, is_reused)
        route, _, rest = record.path[1:].partition("/")
        record.path = f"/{route}/{record.request_id}/{rest}"
        return record


class FailuresSoak(PlannedSoak):
    """Planned work beside failures of whole services."""

    caller_class = DistinctCaller

    def __init__(self, *arguments, **options):
        self._drop_times = []
        super().__init__(*arguments, **options)
        self.world.store.feed_delay_s = lambda table: (
            self.rng.choice(FEED_DELAYS_S) if table == "op" else 0.0
        )

    def _plan_faults(self):
        planned, rng = super()._plan_faults(), self.rng
        series = [
            (self._service_is_silent, (1.5, 4.0)),
            (self._service_crashes, (3.0, 7.0)),
            (self._change_in_series, (1.0, 3.0)),
            (self._service_is_dropped, (3.0, 6.0)),
        ]
        for action, pauses_s in series:
            at = rng.uniform(0.5, pauses_s[1])
            while at < self.seconds:
                planned.append((at, action))
                at += rng.uniform(*pauses_s)
        return planned

    def _list_servers(self, service):
        return [each for each in self.servers if each.service == service]

    def _service_is_silent(self):
        """All servers of a service and of its second one stand still, as behind a cut."""
        service, seconds = self.rng.choice(["orders", "quotes"]), self.rng.uniform(*SILENCE_RANGE_S)
        for server in self._list_servers(service) + self._list_servers(f"{service}-b"):
            server.stall(seconds)
        self._run_in_background(self._change_soon)

    def _service_crashes(self):
        """All servers of a service crash and start again, each at a new address."""
        service = self.rng.choice(["orders", "quotes", "quotes-b"])
        self._crash(self._list_servers(service))
        self._run_in_background(self._change_soon)

    def _crash(self, servers):
        for server in servers:
            self.servers.remove(server)
            self._dead_servers.append(server)
            server.kill("refused")
            self._run_in_background(self._return, server, self.rng.uniform(*CRASH_RANGE_S))

    def _return(self, old, after_s):
        time.sleep(after_s)
        self._start_under_id_of(old)

    def _change_soon(self):
        time.sleep(self.rng.uniform(0.0, 0.4))
        self._change_config()

    def _change_in_series(self):
        self._run_in_background(self._change_some_times, self.rng.choice(CHANGES))

    def _change_some_times(self, count):
        for _ in range(count):
            self._change_config()
            time.sleep(self.rng.uniform(*CHANGE_GAP_S))

    def _service_is_dropped(self):
        """Move the routes of a service to its second one, which fails and is dropped."""
        service = self.rng.choice(["orders", "quotes", "quotes"])
        self._run_in_background(self._use_and_drop, service)

    def _use_and_drop(self, service):
        routes, rng = ROUTES_BY_SERVICE[service], self.rng
        self._moved_routes |= routes
        self._has_second_services = True
        self._write_next_version()
        time.sleep(rng.uniform(*USE_BEFORE_DROP_S))
        servers = self._list_servers(f"{service}-b")
        how, count = rng.choice(["crash", "silence"]), rng.randint(1, max(1, len(servers)))
        drops_first = rng.random() < 0.5
        if drops_first:
            self._drop_second_services()
        if how == "crash":
            self._crash(servers[:count])
        else:
            for server in servers[:count]:
                server.stall(rng.uniform(*SILENCE_RANGE_S))
        time.sleep(rng.uniform(0.0, 0.4))
        if not drops_first:
            self._drop_second_services()

    def _drop_second_services(self):
        self._moved_routes, self._split_routes = set(), {}
        self._has_second_services = False
        self._drop_times.append(time.monotonic())
        self._write_next_version()

    def _change_config(self):
        with self._lock:
            super()._change_config()

    def _write_next_version(self):
        with self._lock:
            self._version += 1
            self._write_config()

    def _check(self):
        self._count_broken_streams()
        return super()._check()

    def _count_broken_streams(self):
        """Count resumable streams whose server broke off, beside a drop and at other times."""
        for record in self.history.requests:
            broken = [
                send.ended_at
                for send in self.history.find_sends(record)
                if send.end == "broke" and send.ran_at is not None
            ]
            if record.kind != "talk" or not broken or record.status != 200:
                continue
            is_beside = any(abs(broken[0] - at) < DROP_EFFECT_S for at in self._drop_times)
            place = "beside a drop" if is_beside else "elsewhere"
            outcome = "resumed" if record.end == "whole" else "cut"
            self.faults[f"broken stream {outcome} {place}"] += 1


if __name__ == "__main__":
    run_soak(FailuresSoak, __doc__)
