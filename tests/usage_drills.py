"""Simulated relays that report usage from a store that is restored from older copies of itself.

Counts go to the holder of the duties alone, as in deployments of more than a dozen hosts.

`python tests/usage_drills.py --seeds 500` plays seeds and prints what was found and how many windows
were not reported; `--fault NAME` plays one fault beside each restore.
"""

import argparse
import random
import sys
from collections import Counter, defaultdict
from types import SimpleNamespace

from expression import Error, Ok

from laburnumreel.coordination import AuthorityRegistry, JsonResponse, LeaseManager
from laburnumreel.core import ManualClock
from laburnumreel.relay._duties import DUTY_LEASE, Duties, NoProcessTimer
from laburnumreel.relay._peer_update_handler import HISTORY_USAGE_WINDOWS
from laburnumreel.relay._ports import DutyCall
from laburnumreel.relay._settings import UsageSettings
from laburnumreel.relay._true_time import TrueTime
from laburnumreel.relay._usage_counters import Process, UsageCounters
from laburnumreel.relay._usage_store import UsageStore
from laburnumreel.state import (
    Lease,
    LeaseSettings,
    Page,
    PlatformError,
    Row,
    StoreEra,
    commit_number_of,
    era_of_version,
    pack_version,
)

STEP_S = 0.25
WINDOW_S, LATE_S = 5.0, 10.0
LEASE = LeaseSettings(3.0, 0.3)
# Copies are this far apart. The store is restored from the oldest one that is kept.
COPY_INTERVAL_S = 0.5
COPY_AGE_S = 4.0
# How long peers take to send the holder their counts, and to hear which windows are fixed.
UPDATE_STEPS = 3
FIRST_DRILL_S, LAST_DRILL_S = 24.0, 34.0
END_S = 80.0


class DrillStore:
    """The rows of a store, which may be away and come back from an older copy."""

    def __init__(self):
        self.rows, self.commit, self.era, self.is_away = {}, 0, 0, False
        self.calls = 0
        self._copies = []

    def keep_copy(self, now):
        self._copies = [copy for copy in self._copies if copy[0] >= now - COPY_AGE_S]
        self._copies.append((now, dict(self.rows), self.commit))

    def restore(self, now):
        """Come back from the oldest copy, in a new era."""
        _, self.rows, self.commit = self._copies[0]
        self._copies = []
        self.keep_copy(now)
        self.rows = dict(self.rows)
        self.era += 1
        self.is_away = False


class HostStore:
    """A host's client of the store, which rejects versions of another era than the one it knows."""

    def __init__(self, store, era):
        self._store, self._era = store, era

    def read(self, table, key):
        return self._call(lambda: self._row(table, key))

    def scan(self, table, prefix="", after="", limit=500):
        return self._call(
            lambda: Page(
                [
                    self._row(table, key)
                    for name, key in sorted(self._store.rows)
                    if name == table and key.startswith(prefix) and key > after
                ],
                False,
                None,
            )
        )

    def transact(self, checks, writes):
        known_era = self._era.current
        if any(check.version and era_of_version(check.version) != known_era for check in checks):
            return Error(PlatformError("conflict", "a row was read in another era"))
        result = self._call(lambda: self._apply(checks, writes))
        if result.is_ok() and self._era.current != known_era:
            return Error(PlatformError("lost", "the store was restored"))
        return result.bind(lambda outcome: outcome)

    def _call(self, answer):
        self._store.calls += 1
        if self._store.is_away:
            return Error(PlatformError("unreachable", "the store is away"))
        self._era.advance_to(self._store.era)
        return Ok(answer())

    def _row(self, table, key):
        found = self._store.rows.get((table, key))
        return found and Row(key, found[0], pack_version(self._era.current, found[1]))

    def _apply(self, checks, writes):
        found = {(check.table, check.key): self._row(check.table, check.key) for check in checks}
        for check in checks:
            row = found[check.table, check.key]
            if commit_number_of(row.version if row else 0) != commit_number_of(check.version):
                return Error(PlatformError("conflict", "another version", found))
        self._store.commit += 1
        for write in writes:
            self._store.rows[write.table, write.key] = write.value, self._store.commit
        return Ok(pack_version(self._era.current, self._store.commit))


class SimulatedHost:
    """One process of a host: its lease, duties and counts."""

    def __init__(self, world, name):
        self.world, self.name, self.is_paused = world, name, False
        self.boot = f"{name}-{next(world.boots)}"
        self.steps = world.rng.randrange(UPDATE_STEPS)
        clock = world.clock
        self.era = StoreEra(clock)
        self.counters = UsageCounters(WINDOW_S)
        platform = HostStore(world.store, self.era)
        self.true_time = TrueTime(clock)
        self.true_time.record_store_time(clock.now(), clock.now(), clock.now())
        self.true_time.set_store_zero(clock.wall() - clock.now())
        authorities = AuthorityRegistry(clock)
        self.known_fence = 0
        self._leases = LeaseManager(
            platform,
            authorities,
            NoProcessTimer(),
            clock,
            [Lease(DUTY_LEASE, name, self.boot, *LEASE)],
            LEASE,
            world.rng,
            release_on_close=False,
            era=lambda: self.era.current,
            known_fence=lambda: self.known_fence,
        )
        self.duties = Duties(
            platform,
            authorities,
            SimpleNamespace(post=self._post),
            SimpleNamespace(
                usage=lambda authority, window, counts: DutyCall("/", {}, (window, counts))
            ),
            lambda: ("10.0.0.9", 80),
            clock,
            self.true_time,
            self.counters,
            UsageStore(platform, Process(name, self.boot), self.counters, lambda: self.era.current),
            UsageSettings(WINDOW_S, LATE_S),
            lambda: [host.name for host in world.live if host is not self],
            sighting=lambda: self.era.sighting,
        )

    @property
    def is_holder(self):
        return self.duties.fence > 0

    def step(self):
        self.steps += 1
        self.counters.record_request(self.world.rng.choice("ab"), self.true_time.now())
        self._leases.step()
        self.duties.tick()
        if self.steps % UPDATE_STEPS == 0:
            for peer in self.world.live:
                if peer is not self and not peer.is_paused:
                    self._update(peer)

    def _update(self, peer):
        peer.era.advance_to(self.era.current)
        peer.counters.mark_fixed(*self.counters.fixed())
        peer.counters.mark_running(self.name, self.boot)
        peer.known_fence = max(peer.known_fence, self.duties.fence)
        if peer.is_holder:
            window = self.counters.window(self.true_time.now())
            oldest = window - HISTORY_USAGE_WINDOWS + 1
            for number, counts in self.counters.own_counts_since(oldest).items():
                peer.counters.record_peer_counts(self.name, self.boot, number, counts)
            peer.counters.mark_reported(self.name, oldest, window)

    def stop(self):
        """Write the counts to the store, as a planned stop does."""
        self.duties.close()

    def _post(self, authority, address, path, body, headers):
        self.world.receive(self, authority.fence, *body)
        return Ok(JsonResponse(200, {}))


class DrillWorld:
    """Hosts on one clock, the store, and the reports that the platform accepted.

    `on_report` is called with the host and the window of each report. `findings` has the windows
    that were reported with different counts, and the fencing numbers that did not grow or that two
    hosts used.
    """

    def __init__(self, seed=0, hosts=4):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.store = DrillStore()
        self.boots = iter(range(10**6))
        self.reports = defaultdict(list)
        self.on_report = lambda host, window: None
        self.findings = []
        # The highest fencing number of a report, and who sent it.
        self._highest = 0, None
        self._pending = []
        self.live = []
        for number in range(hosts):
            self.start(f"h{number}")

    @property
    def holder(self):
        return next((host for host in self.live if host.is_holder), None)

    def start(self, name):
        self.live.append(SimulatedHost(self, name))

    def kill(self, host):
        self.live.remove(host)
        for peer in self.live:
            peer.counters.mark_silent(host.name)

    def replace(self, host):
        """Stop a host as planned and start it again."""
        host.stop()
        self.kill(host)
        self.start(host.name)

    def drill(self, away_s):
        """Take the store away and restore it from a copy after `away_s` seconds."""
        self.store.is_away = True
        self.after(away_s, lambda: self.store.restore(self.clock.now()))

    def after(self, seconds, action):
        self._pending.append((self.clock.now() + seconds, action))

    def receive(self, host, fence, window, counts):
        highest, holder = self._highest
        if fence < highest or (fence == highest and holder is not host):
            self.findings.append(f"fence {fence} by {host.boot} after {highest} by {holder.boot}")
        self._highest = max(fence, highest), host
        reports = self.reports[window]
        if reports and counts not in reports:
            self.findings.append(f"window {window}: {reports[0]}, then {counts} by {host.boot}")
        reports.append(dict(counts))
        self.on_report(host, window)

    def run(self, seconds):
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            self.clock.advance(STEP_S)
            now = self.clock.now()
            due = [action for at, action in self._pending if at <= now]
            self._pending = [each for each in self._pending if each[0] > now]
            for action in due:
                action()
            if not self.store.is_away and now % COPY_INTERVAL_S < STEP_S:
                self.store.keep_copy(now)
            for host in self.rng.sample(self.live, len(self.live)):
                if host in self.live and not host.is_paused:
                    host.step()

    def unreported(self):
        """Return the ended windows between the first and the last report that were left out."""
        return [
            window
            for window in range(min(self.reports), max(self.reports))
            if window not in self.reports
        ]


def kill_holder(world, host):
    world.kill(host)
    world.after(3.5, lambda: world.start(host.name))


def pause_holder(world, host):
    host.is_paused = True
    world.after(world.rng.choice([2.0, 8.0]), lambda: setattr(host, "is_paused", False))


def kill_holder_and_successor(world, host):
    kill_holder(world, host)

    def kill_successor(successor, window):
        world.on_report = lambda host, window: None
        kill_holder(world, successor)

    world.on_report = kill_successor


def kill_holder_and_replace_others(world, host):
    """Other hosts stop as planned after the restore, so that no process has seen the old era."""
    kill_holder(world, host)
    others = list(world.live)

    def replace_others():
        for other in others:
            if other in world.live:
                world.replace(other)

    world.after(3.0, replace_others)


def replace_all(world, host):
    """Restart all hosts as planned, one after the other, around the restore."""
    for number, other in enumerate(world.rng.sample(world.live, len(world.live))):
        world.after(0.5 + number, lambda other=other: world.replace(other))


def kill_all(world, host):
    for other in list(world.live):
        kill_holder(world, other)


def kill_holder_before_two_drills(world, host):
    kill_holder(world, host)
    world.after(world.rng.choice([2.0, 5.0, 9.0]), lambda: world.drill(1.0))


def return_after_successor_before_second_drill(world, host):
    """The holder stands still, and takes over again from its successor, whose rows are then lost."""
    host.is_paused = True

    def lose_successor(successor, window):
        world.on_report = lose_row
        kill_holder(world, successor)
        host.is_paused = False
        for other in world.live:
            other.is_paused = other is not host

    def lose_row(returned, window):
        world.on_report = lambda host, window: None
        for other in world.live:
            other.is_paused = False
        world.drill(0.5)

    world.on_report = lose_successor


def two_drills(world, host):
    world.after(world.rng.choice([2.0, 5.0, 9.0]), lambda: world.drill(1.0))


def no_loss(world, host):
    """Lose no host."""


FAULTS = {
    fault.__name__: fault
    for fault in (
        kill_holder,
        pause_holder,
        kill_holder_and_successor,
        kill_holder_and_replace_others,
        replace_all,
        kill_all,
        kill_holder_before_two_drills,
        return_after_successor_before_second_drill,
        two_drills,
        no_loss,
    )
}


def play(seed, fault, away_s=1.0, at_report=True):
    """Play a restore of the store beside a fault and return the world.

    The restore begins right after a report was accepted, or at any other time.
    """
    world = DrillWorld(seed)
    is_done = False

    def strike(host, window):
        nonlocal is_done
        if is_done or world.clock.now() < FIRST_DRILL_S:
            return
        is_done = True
        world.on_report = lambda host, window: None
        world.drill(away_s)
        fault(world, host)

    if at_report:
        world.on_report = strike
    else:
        at = world.rng.uniform(FIRST_DRILL_S, LAST_DRILL_S)
        world.after(at, lambda: strike(world.holder or world.live[0], None))
    world.run(END_S)
    assert is_done, "no report came"
    return world


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--away", type=float, default=1.0, help="seconds without the store")
    parser.add_argument("--fault", choices=FAULTS, action="append")
    options = parser.parse_args()
    failed = 0
    for name in options.fault or FAULTS:
        for at_report in (True, False):
            left_out, broken = Counter(), []
            for seed in range(options.first, options.first + options.seeds):
                world = play(seed, FAULTS[name], options.away, at_report)
                left_out[len(world.unreported())] += 1
                broken += [f"seed {seed}: {finding}" for finding in world.findings[:1]]
            failed += len(broken)
            when = "at a report" if at_report else "at any time"
            print(f"{name}, {when}: left out {dict(sorted(left_out.items()))}", flush=True)
            for finding in broken[:3]:
                print(f"  FOUND in {len(broken)} seeds: {finding}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
