"""Tests that the repeated sends of all hosts stay within the retry budget (issue 23)."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from repeats_world import RETRY, RelaySimulation

from laburnumreel.relay._retry_budgets import PLANNED_BUDGET_SHARE, FleetRetryBudgets
from laburnumreel.relay._settings import RetrySettings
from laburnumreel.state import ErrorKind

HOSTS = 24
REQUESTS_PER_S = 96.0


@pytest.mark.parametrize("seed", range(3))
def test_retries_stay_within_the_budget_while_copies_are_refused(seed):
    """Guards against a request that is read and run again for one permit after a refused copy."""
    simulation = RelaySimulation(seed, HOSTS)
    simulation.run(12.0, REQUESTS_PER_S)
    simulation.failure_shares.runs_refused = 0.6
    simulation.run(15.0, REQUESTS_PER_S)
    assert simulation.count.worst_excess() <= 0
    assert simulation.outcomes["served"] > simulation.outcomes["failed"]


@pytest.mark.parametrize("seed", range(3))
def test_request_earns_a_budget_share_once(seed):
    """Guards against earning a share for each placement of a request, as after failures."""
    simulation = RelaySimulation(seed, HOSTS)
    simulation.run(12.0, REQUESTS_PER_S)
    simulation.failure_shares.streams_broken = 0.9
    simulation.run(15.0, REQUESTS_PER_S)
    assert simulation.count.worst_excess() <= 0


@pytest.mark.parametrize("seed", range(3))
def test_starting_hosts_do_not_spend_the_budget_again(seed):
    """Guards against a starting process that knows no peer yet and uses the whole fixed part."""
    simulation = RelaySimulation(seed, HOSTS)
    simulation.failure_shares.streams_broken = 0.5
    simulation.run(12.0, REQUESTS_PER_S)
    simulation.hosts = [
        simulation.start_host(number, knows_host_count=False) for number in range(HOSTS)
    ]
    simulation.run(4.0, REQUESTS_PER_S)
    for host in simulation.hosts:
        host.hosts(HOSTS, replaces_killed=True)
    simulation.run(10.0, REQUESTS_PER_S)
    assert simulation.count.worst_excess() <= 0


def test_share_of_a_host_grows_one_window_after_others_left():
    """The sends of a host that left still count within the window."""
    budgets = FleetRetryBudgets(
        RetrySettings(ratio=0.0, slack=40.0, window_s=10.0), started_at=-10.0
    )
    budgets.set_host_count(20, replaces_killed=False, now=0.0)
    budgets.set_host_count(2, replaces_killed=False, now=5.0)
    assert budgets.reserve("s", now=14.9).limit == 40.0 * PLANNED_BUDGET_SHARE / 20
    assert budgets.reserve("s", now=15.1).limit == 40.0 * PLANNED_BUDGET_SHARE / 2


def test_fixed_part_is_not_spent_before_the_host_count_is_known():
    """The list of hosts could not be read yet, so the host knows of no others."""
    budgets = FleetRetryBudgets(RetrySettings(ratio=0.0, slack=40.0, window_s=10.0), started_at=0.0)
    assert not budgets.reserve("s", now=100.0).allowed


def test_new_host_has_its_share_at_once():
    """Guards against a new host that can't retry a single request in its first window."""
    budgets = FleetRetryBudgets(RetrySettings(ratio=0.2, slack=40.0, window_s=10.0), started_at=0.0)
    budgets.set_host_count(1, replaces_killed=False, now=0.1)
    assert budgets.reserve("s", now=0.2).allowed


def test_changed_budget_applies_and_earlier_sends_count():
    """Guards against a changed budget that is logged as applied but ignored until a restart."""
    budgets = FleetRetryBudgets(
        RetrySettings(ratio=0.0, slack=10.0, window_s=10.0), started_at=-10.0
    )
    budgets.set_host_count(1, replaces_killed=False, now=0.0)
    for _ in range(int(10.0 * PLANNED_BUDGET_SHARE)):
        assert budgets.reserve("s", now=1.0).allowed
        budgets.record_retry("s", now=1.0)
    assert not budgets.reserve("s", now=2.0).allowed
    budgets.set_retry(RetrySettings(ratio=0.0, slack=12.5, window_s=5.0))
    assert [budgets.reserve("s", now=2.0).allowed for _ in range(3)] == [True, True, False]
    budgets.release_unused("s", now=2.0)
    assert budgets.reserve("s", now=6.1).spent == 2


shares = st.sampled_from([0.0, 0.1, 0.5, 0.9])
phases = st.lists(
    st.tuples(st.floats(0.5, 8.0), st.sampled_from([10, 60, 160]), shares, shares, shares),
    min_size=2,
    max_size=5,
)


@given(
    seed=st.integers(0, 1000),
    attempts=st.integers(1, 4),
    phases=phases,
    killed=st.sets(st.integers(0, 7)),
)
@settings(max_examples=25)
def test_no_load_and_failures_exceed_the_budget(seed, attempts, phases, killed):
    """Any share of readings, runs and streams may fail, and any hosts may be killed meanwhile."""
    simulation = RelaySimulation(seed, hosts=8, attempts=attempts)
    for number, (seconds, per_s, *failing) in enumerate(phases):
        failure_shares = simulation.failure_shares
        (
            failure_shares.readings_refused,
            failure_shares.runs_refused,
            failure_shares.streams_broken,
        ) = failing
        simulation.run(seconds, per_s)
        if number == 0:
            for host in killed:
                simulation.hosts[host] = simulation.start_host(host, knows_host_count=False)
                simulation.hosts[host].hosts(8, replaces_killed=True)
    assert simulation.count.worst_excess() <= 0
    assert ErrorKind.INTERNAL not in simulation.refusals


def test_permit_for_an_unmade_send_is_released():
    """Guards against a leaked permit: a request gets a permit but then finds no slot."""
    simulation = RelaySimulation(1, hosts=1)
    for _ in range(3 * int(RETRY.slack)):
        job = simulation.make_job(simulation.hosts[0])
        assert job.may_resend_within_budget("refused")
        job.release_permits()


@pytest.mark.parametrize("seed", range(3))
def test_refused_request_is_read_separately_with_the_same_permit(seed):
    """Guards against a reading that uses up the permit of the run, an internal error."""
    simulation = RelaySimulation(seed, hosts=8)
    simulation.run(4.0, 60)
    simulation.failure_shares.readings_refused = 0.3
    simulation.run(6.0, 60)
    simulation.failure_shares.readings_refused, simulation.failure_shares.runs_refused = 0.0, 0.3
    simulation.run(6.0, 60)
    assert ErrorKind.INTERNAL not in simulation.refusals and simulation.outcomes["failed"]
