"""Tests of usage with a state machine of gateways that count it and coordinators that report it."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from oracle_checks import assert_oracle_fails
from structlog.testing import capture_logs
from usage_world import CUSTOMERS, USAGE_SETTINGS, SealingCoordinator, SimulatedGateway, UsageWorld

from laburnumreel.coordination import UsageFlusher, UsageSealer
from laburnumreel.state import USAGE_FORMAT_KEY, WINDOW_TABLE, Row, WindowState, Write

NUMBERS = st.integers(0, 1)
PAUSE_POINTS = st.sampled_from(["call", "connect", "write", "answer"])
FAULTS = st.sampled_from(
    [
        {},
        {"down": True},
        {"delay_s": 0.2},
        {"delay_s": 0.7},
        {"delay_after_s": 0.7},
        {"lose_answers": 2},
        {"lose_requests": 1},
    ]
)


class UsageMachine(RuleBasedStateMachine):
    """Guards against usage counted twice or lost, and windows reported with different figures."""

    coordinator_type = SealingCoordinator
    gateway_type = SimulatedGateway

    @initialize()
    def start(self):
        self.cluster = UsageWorld(self.coordinator_type, self.gateway_type)
        self.cluster.run(1.0)

    @rule(seconds=st.sampled_from([0.3, 2.0, 7.0]))
    def run(self, seconds):
        self.cluster.run(seconds)

    @rule(
        number=NUMBERS,
        customer=st.sampled_from(CUSTOMERS),
        count=st.integers(1, 3),
        # How far the time of the count lies behind the clock.
        behind_s=st.sampled_from([0.0, 0.0, 0.0, 40.0, 20_000.0]),
    )
    def count(self, number, customer, count, behind_s):
        gateway = self.cluster.other_processes[number]
        for _ in range(count if gateway is not None else 0):
            gateway.count(customer, behind_s)

    @rule(
        gateway=st.booleans(),
        number=NUMBERS,
        pause_point=PAUSE_POINTS,
        seconds=st.sampled_from([1, 8, None]),
    )
    def pause_or_kill(self, gateway, number, pause_point, seconds):
        process = (self.cluster.other_processes if gateway else self.cluster.coordinators)[number]
        if process is not None:
            process.pause = (pause_point, seconds)

    @rule(gateway=st.booleans(), number=NUMBERS)
    def restart(self, gateway, number):
        (self.cluster.restart_gateway if gateway else self.cluster.restart)(number)

    @rule(gateways=st.sets(NUMBERS), coordinators=st.sets(NUMBERS))
    def stop_together(self, gateways, coordinators):
        self.cluster.stop_all(sorted(gateways), sorted(coordinators))

    @rule(gateway=st.booleans(), number=NUMBERS, faults=FAULTS)
    def fault_store(self, gateway, number, faults):
        process = (self.cluster.other_processes if gateway else self.cluster.coordinators)[number]
        if process is not None:
            clean = {"down": False, "delay_s": 0.0, "delay_after_s": 0.0}
            process.platform.faults.change({**clean, **faults})

    @rule(number=NUMBERS, requests=st.integers(0, 1), answers=st.integers(0, 2))
    def fault_reports(self, number, requests, answers):
        process = self.cluster.coordinators[number]
        if process is not None:
            process.lost_requests, process.lost_answers = requests, answers

    @invariant()
    def no_violations(self):
        if hasattr(self, "cluster"):
            assert not self.cluster.violations, self.cluster.violations[0]

    def teardown(self):
        if hasattr(self, "cluster"):
            self.cluster.heal()
            self.no_violations()
            self.cluster.check_totals()


class CoordinatorWithoutTimer(SealingCoordinator):
    """Injected fault: a process keeps running after its lease has expired."""

    timer_enabled = False


class SlowSealer(UsageSealer):
    """A sealer that pauses between reading the deltas and writing their sums."""

    def _write_state(self, authority, window_shard, version, state, figures):
        if figures and state is WindowState.SEALED:
            self._platform._process.sleep(1.0)
        return super()._write_state(authority, window_shard, version, state, figures)


class EarlySummingSealer(SlowSealer):
    """Injected fault: sums are computed while the window still accepts deltas."""

    def _write_state(self, authority, window_shard, version, state, figures):
        if state is WindowState.CLOSING:
            return self._seal(authority, window_shard, Row(window_shard.key, {}, 0))
        return super()._write_state(authority, window_shard, version, state, figures)


def run_with_slow_flushes(sealer):
    """Count usage on two gateways for which the store is down most of the time."""
    coordinator = type("Coordinator", (SealingCoordinator,), {"sealer_type": sealer})
    cluster = UsageWorld(coordinator)
    for step in range(300):
        for number, gateway in enumerate(cluster.other_processes):
            gateway.count(CUSTOMERS[step % 3])
            gateway.platform.faults.change({"down": (step + 7 * number) % 16 < 12})
        cluster.run(0.3)
    cluster.heal()
    return cluster


class RepeatingFlush(UsageFlusher):
    """Injected fault: a flush whose response was lost is sent again as a new batch."""

    def flush(self):
        super().flush()
        batch = self._deltas.batch
        if batch is not None:
            self._deltas.on_rejected(batch, [])


class RepeatingGateway(SimulatedGateway):
    flush_type = RepeatingFlush


class RepeatingMachine(UsageMachine):
    gateway_type = RepeatingGateway


TestUsage = UsageMachine.TestCase
TestUsage.settings = settings(stateful_step_count=25)


@pytest.mark.parametrize("coordinator", [SealingCoordinator, CoordinatorWithoutTimer])
def test_report_of_a_coordinator_paused_past_its_lease(coordinator):
    """Guards against a report after that of a successor, and an oracle that misses it."""
    cluster = UsageWorld(coordinator)
    cluster.run(4.0)
    for customer in CUSTOMERS:
        cluster.other_processes[0].count(customer)
    holder = next(
        process for process in cluster.coordinators if "usage" in process.authorities.names
    )
    holder.pause = ("write", 12.0)
    cluster.run(10.0)
    assert holder.pause is None and len(cluster.reports) == len(CUSTOMERS)
    assert bool(cluster.violations) == (coordinator is CoordinatorWithoutTimer)


def test_counts_that_come_while_a_window_is_sealed_are_late_and_not_lost():
    """Guards against counts lost between summing and sealing, and an oracle that misses them."""
    cluster = run_with_slow_flushes(SlowSealer)
    cluster.check_totals()
    assert any(figures["late_requests"] for figures in cluster.reports.values())
    with pytest.raises(AssertionError):
        run_with_slow_flushes(EarlySummingSealer).check_totals()


class ForgetfulGateway(SimulatedGateway):
    """Injected fault: a gateway that stops without a flush."""

    def stop(self):
        self.flush.handle = self.flush.flush = lambda *_: True
        super().stop()


class ForgetfulMachine(UsageMachine):
    gateway_type = ForgetfulGateway


def test_oracle_catches_a_stop_without_a_flush():
    """Guards against an oracle that misses usage lost by a planned stop."""
    assert_oracle_fails(ForgetfulMachine)


def test_oracle_catches_a_flush_sent_twice():
    """Guards against an oracle that misses usage counted twice."""
    assert_oracle_fails(RepeatingMachine)


@pytest.mark.parametrize("change", [{"shards": 3}, {"window_s": 7}])
def test_processes_with_other_settings_write_no_usage(change):
    """Guards against usage stored in two formats, also if the format changes at run time."""
    cluster = UsageWorld()
    cluster.run(2.0)
    ours = {"window_s": USAGE_SETTINGS.window_s, "shards": USAGE_SETTINGS.shards}
    assert cluster.state.read(WINDOW_TABLE, USAGE_FORMAT_KEY).value == ours
    cluster.state.transact([], [Write(WINDOW_TABLE, USAGE_FORMAT_KEY, {**ours, **change})])
    before = cluster.state.scan("usage_delta"), cluster.state.scan(WINDOW_TABLE)
    cluster.other_processes[0].count(CUSTOMERS[0])
    cluster.run(20.0)
    assert (cluster.state.scan("usage_delta"), cluster.state.scan(WINDOW_TABLE)) == before
    assert cluster.other_processes[0].flush.has_format_mismatch
    cluster.state.transact([], [Write(WINDOW_TABLE, USAGE_FORMAT_KEY, ours)])
    cluster.heal()
    assert not cluster.other_processes[0].flush.has_format_mismatch
    cluster.check_totals()


class LongRetentionGateway(SimulatedGateway):
    """Injected fault: a gateway that expects deltas to be kept longer than they are."""

    retention_s = 1e6


@pytest.mark.parametrize("gateway", [SimulatedGateway, LongRetentionGateway])
def test_old_deltas_are_deleted_and_a_late_repeat_does_not_count_again(gateway):
    """Guards against a delta table that grows forever, and usage counted again once deleted."""
    cluster = UsageWorld(gateway_type=gateway)
    cluster.run(4.0)
    for customer in CUSTOMERS:
        cluster.other_processes[0].count(customer)
    cluster.other_processes[0].platform.faults.change({"lose_answers": 100})
    cluster.run(1.0)
    assert cluster.state.scan("usage_delta").rows
    cluster.other_processes[0].platform.faults.change({"lose_answers": 0, "down": True})
    cluster.run(90.0)
    assert not cluster.state.scan("usage_delta").rows
    assert {customer for customer, _ in cluster.reports} == set(CUSTOMERS)
    assert any(row.value.get("figures") for row in cluster.state.scan(WINDOW_TABLE).rows)
    cluster.heal()
    if gateway is SimulatedGateway:
        cluster.check_totals()
        assert sum(cluster.lost["low"].values()) == len(CUSTOMERS)
    else:
        with pytest.raises(AssertionError):
            cluster.check_totals()


def test_a_far_too_old_delta_holds_up_no_window():
    """Guards against visiting all windows since the delta of a gateway with a wrong clock."""
    cluster = UsageWorld()
    cluster.run(20.0)
    windows = len(cluster.state.scan(WINDOW_TABLE).rows)
    for behind_s in (20_000.0, 10_000.0, 0.0):
        cluster.other_processes[0].count(CUSTOMERS[0], behind_s)
    cluster.run(20.0)
    cluster.check_totals()
    # Four windows pass in this time, and one more may be open at each end.
    added = len(cluster.state.scan(WINDOW_TABLE).rows) - windows
    assert added <= USAGE_SETTINGS.shards * (2 + 6)
    cluster.run(10.0)
    assert len(cluster.state.scan(WINDOW_TABLE).rows) - windows - added <= USAGE_SETTINGS.shards * 3


@pytest.mark.parametrize("faults", [{}, {"lose_answers": 1}, {"lose_requests": 1}])
def test_stop_stores_what_was_counted_after_the_last_flush(faults):
    """Guards against the loss of requests that end while the process stops."""
    cluster = UsageWorld()
    cluster.run(2.0)
    gateway = cluster.other_processes[0]
    for _ in range(2):
        gateway.count(CUSTOMERS[0])
        gateway.flush.flush()
    gateway.platform.faults.change(faults)
    gateway.count(CUSTOMERS[0])
    gateway.flush.close()
    cluster.restart_gateway(0)
    cluster.heal()
    cluster.check_totals()
    assert cluster.lost["low"][CUSTOMERS[0]] == 0


def test_stop_without_the_store_logs_the_usage_that_is_lost():
    """Guards against usage that is lost without a trace."""
    cluster = UsageWorld()
    cluster.run(2.0)
    gateway = cluster.other_processes[0]
    gateway.platform.faults.change({"down": True})
    for _ in range(3):
        gateway.count(CUSTOMERS[0])
    with capture_logs() as lines:
        gateway.flush.close()
    lost = [line["requests"] for line in lines if line.get("name") == "usage_lost"]
    assert lost == [3]
