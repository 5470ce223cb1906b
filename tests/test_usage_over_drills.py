"""Tests that a window's counts are reported once, whatever a restored store has forgotten."""

import http.client
import random
import threading
import time
from collections import defaultdict

import pytest
from platform_world import wait_until
from relay_caller import Caller
from usage_drills import END_S, FAULTS, DrillStore, DrillWorld, HostStore, no_loss, play, two_drills

from laburnumreel.core import ManualClock
from laburnumreel.relay._earlier_eras import (
    ERA_TABLE,
    MAX_TIME_DIFFERENCE_S,
    START_KEY,
    EarlierEras,
)
from laburnumreel.relay._true_time import TrueTime
from laburnumreel.state import Authority, StoreEra, first_fence

SEEDS = range(1, 26)
ANY_MOMENT = pytest.mark.parametrize("at_report", [True, False])


class TestSimulatedHosts:
    """Guards against a second report of a window with other counts (issue 67, review/13).

    The row of a reported window was lost, and its holder was the only one with all counts.
    """

    @ANY_MOMENT
    @pytest.mark.parametrize("fault", FAULTS.values(), ids=FAULTS)
    def test_window_has_the_same_counts_in_all_reports(self, fault, at_report):
        findings = [each for seed in SEEDS for each in play(seed, fault, 1.0, at_report).findings]
        assert not findings

    @ANY_MOMENT
    @pytest.mark.parametrize("fault", [no_loss, two_drills])
    def test_no_window_is_left_out_if_no_host_is_lost(self, fault, at_report):
        left_out = [play(seed, fault, 1.0, at_report).unreported() for seed in SEEDS]
        assert left_out == [[]] * len(SEEDS)

    @pytest.mark.parametrize("away_s", [0.25, 5.0])
    def test_restore_after_a_short_or_long_outage(self, away_s):
        for fault in FAULTS.values():
            assert not [each for seed in SEEDS[:8] for each in play(seed, fault, away_s).findings]

    def test_without_the_check_the_oracle_finds_the_fault(self, monkeypatch):
        monkeypatch.setattr(EarlierEras, "may_have_fixed", lambda self, fixable_at: False)
        assert any(play(seed, FAULTS["kill_holder"]).findings for seed in SEEDS)

    def test_reports_go_on_after_a_restore(self):
        for seed in SEEDS[:8]:
            world = play(seed, FAULTS["kill_holder_and_replace_others"])
            newest = world.live[0].counters.window(world.clock.wall())
            assert max(world.reports) >= newest - 2

    def test_store_without_a_restore_gets_no_further_calls(self):
        """Deployments without drills pay for no row about the store's era."""
        world = DrillWorld(seed=1)
        world.run(END_S)
        assert world.reports and (ERA_TABLE, START_KEY) not in world.store.rows


class Eras:
    """One host's view of the store's eras, on a clock that the test sets."""

    def __init__(self, store, clock, time_off_s=0.0):
        self.era = StoreEra(clock)
        self.platform = HostStore(store, self.era)
        self.true_time = TrueTime(clock)
        self.true_time.record_store_time(clock.now(), clock.now(), clock.now())
        self.true_time.set_store_zero(clock.wall() - clock.now() + time_off_s)
        self.eras = EarlierEras(self.platform, clock, self.true_time, lambda: self.era.sighting)

    def hold(self, era, end):
        """Hold the lease until `end`, as its first holder in an era."""
        authority = Authority("relay_duties", first_fence(era), 1, end)
        self.eras.record_authority(authority)
        return authority


class TestEarlierEras:
    def setup_method(self):
        self.store, self.clock = DrillStore(), ManualClock(now=100.0)
        self.store.keep_copy(100.0)

    def restore(self):
        self.store.restore(self.clock.now())

    def test_nothing_is_older_than_the_first_era(self):
        host = Eras(self.store, self.clock)
        assert host.eras.learn_start(host.hold(0, 103.0))
        assert not host.eras.may_have_fixed(0.0) and self.store.calls == 0

    def test_window_from_after_the_restore_can_be_fixed(self):
        self.restore()
        host = Eras(self.store, self.clock)
        host.era.advance_to(1)
        assert host.eras.learn_start(host.hold(1, 103.0))
        start = self.clock.wall()
        assert host.eras.may_have_fixed(start + MAX_TIME_DIFFERENCE_S)
        assert not host.eras.may_have_fixed(start + MAX_TIME_DIFFERENCE_S + 0.01)

    def test_later_holder_uses_the_stored_start(self):
        """A process that begins after the restore would otherwise leave out later windows too."""
        self.restore()
        first, start = Eras(self.store, self.clock), self.clock.wall()
        first.era.advance_to(1)
        assert first.eras.learn_start(first.hold(1, 103.0))
        self.clock.advance(30.0)
        second = Eras(self.store, self.clock)
        second.era.advance_to(1)
        assert second.eras.learn_start(second.hold(1, 133.0))
        assert second.eras.may_have_fixed(start)
        assert not second.eras.may_have_fixed(start + 1.0)

    @pytest.mark.parametrize(
        "value", [{}, {"era": 1}, {"era": 1, "start_s": -4}, {"era": 0, "start_s": 5}, {"era": "x"}]
    )
    def test_row_of_another_era_or_malformed_row_is_replaced(self, value):
        """A start that is too early would let a reported window be fixed again."""
        self.store.rows[ERA_TABLE, START_KEY] = value, 1
        self.store.keep_copy(100.0)
        self.restore()
        host = Eras(self.store, self.clock)
        host.era.advance_to(1)
        assert host.eras.learn_start(host.hold(1, 103.0))
        assert host.eras.may_have_fixed(self.clock.wall())
        assert self.store.rows[ERA_TABLE, START_KEY][0]["start_s"] == round(self.clock.wall(), 3)

    def test_start_is_unknown_while_the_store_is_away_or_time_is_not_agreed(self):
        self.restore()
        host = Eras(self.store, self.clock)
        host.era.advance_to(1)
        self.store.is_away = True
        assert not host.eras.learn_start(host.hold(1, 103.0))
        self.store.is_away = False
        unagreed = EarlierEras(
            host.platform, self.clock, TrueTime(self.clock), lambda: host.era.sighting
        )
        assert not unagreed.learn_start(host.hold(1, 103.0))
        assert host.eras.learn_start(host.hold(1, 103.0))

    def test_holder_over_the_restore_knows_its_own_windows(self):
        host = Eras(self.store, self.clock)
        held_since = self.clock.wall()
        host.hold(0, end=110.0)
        self.clock.advance(8.0)
        self.restore()
        host.era.advance_to(1)
        assert host.eras.learn_start(host.hold(1, 113.0))
        assert not host.eras.may_have_fixed(held_since + MAX_TIME_DIFFERENCE_S)
        assert host.eras.may_have_fixed(held_since + MAX_TIME_DIFFERENCE_S - 0.01)

    def test_holder_whose_lease_ended_before_the_restore_does_not(self):
        """Another host may have taken over and fixed windows before the store went away."""
        host = Eras(self.store, self.clock)
        held_since = self.clock.wall()
        host.hold(0, end=103.0)
        self.clock.advance(8.0)
        self.restore()
        host.era.advance_to(1)
        assert host.eras.learn_start(host.hold(1, 113.0))
        assert host.eras.may_have_fixed(held_since + MAX_TIME_DIFFERENCE_S)

    def test_holder_after_another_one_in_the_new_era_knows_less_of_the_next_one(self):
        """Its successor fixed windows in the era between, whose rows the next restore may lose."""
        host = Eras(self.store, self.clock)
        host.hold(0, end=110.0)
        self.clock.advance(8.0)
        self.restore()
        host.era.advance_to(1)
        self.clock.advance(10.0)
        returned_at = self.clock.wall()
        # Another host held the first fencing number of the era.
        host.eras.record_authority(Authority("relay_duties", first_fence(1) + 1, 9, 125.0))
        self.restore()
        host.era.advance_to(2)
        assert host.eras.learn_start(host.hold(2, 128.0))
        assert host.eras.may_have_fixed(returned_at - 2.0)

    def test_tenure_before_another_holder_does_not_count(self):
        host = Eras(self.store, self.clock)
        held_since = self.clock.wall()
        host.hold(0, end=103.0)
        self.clock.advance(8.0)
        host.eras.record_authority(Authority("relay_duties", 7, 5, 114.0))
        self.restore()
        host.era.advance_to(1)
        assert host.eras.learn_start(host.hold(1, 117.0))
        assert host.eras.may_have_fixed(held_since + 7.0)
        assert not host.eras.may_have_fixed(held_since + 8.0 + MAX_TIME_DIFFERENCE_S)


# From a restore until a successor has decided on all earlier windows: the lease's term with its
# margins, and the time in which a new holder waits for counts.
TAKE_OVER_S = 8.0


@pytest.mark.processes
class TestRelays:
    def test_successor_does_not_report_a_window_that_the_store_forgot(self, world):
        """Guards against two reports of a window after its holder was killed (issue 67)."""
        worker = world.worker("w1", Slots=16)
        world.send_usage_to_holder_only()
        relays = [world.start_relay(name) for name in ("relay-1", "relay-2")]
        snapshot = world.store.snapshot()
        stop = threading.Event()
        callers = [threading.Thread(target=call_until, args=(relay, stop)) for relay in relays]
        for caller in callers:
            caller.start()
        try:
            wait_until(lambda: len(world.duties.calls) > 2, "usage is reported", 40)
            holder_name = world.duties.calls[-1][1]["Lease-Holder"]
            holder = next(relay for relay in relays if relay.name == holder_name)
            holder.process.kill()
            world.store.restore(snapshot)
            world.store.put("servers", "w1", worker.entry("orders", Slots=16, Sequence=9))
            decided = int(time.time() + TAKE_OVER_S)
            wait_until(
                lambda: any(body["WindowId"] > decided for _, _, body in list(world.duties.calls)),
                "a window from after the restore is reported by the successor",
                60,
            )
        finally:
            stop.set()
            for caller in callers:
                caller.join(20)
        counts = defaultdict(list)
        for _, _, body in world.duties.calls:
            if body["Counts"] not in counts[body["WindowId"]]:
                counts[body["WindowId"]].append(body["Counts"])
        assert not {window: each for window, each in counts.items() if len(each) > 1}


def call_until(relay, stop):
    rng, caller = random.Random(relay.name), Caller(relay)
    while not stop.is_set():
        try:
            caller.ask("/safe/x")
        except (OSError, http.client.HTTPException):
            # The relay was killed.
            caller.connection.close()
        time.sleep(rng.uniform(0.01, 0.05))
