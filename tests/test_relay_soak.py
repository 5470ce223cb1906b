"""Short seeded runs of the soak, and tests that its checks detect injected violations."""

from types import SimpleNamespace

import pytest
from limit_count import LimitCount
from relay_soak import (
    FAULTS_WITH_LOST_READERS,
    FAULTS_WITH_LOST_REPORTERS,
    FAULTS_WITH_RATE_LIMITS,
    FAULTS_WITH_STORE_RESTORES,
    RETRY,
    Observations,
    Soak,
    run_seed,
)


def find_violations(
    runs=(), once=(), refused=(), late=(), calls=(), served=1, repeats=0, limited=0
):
    """Return the findings of the soak for a synthetic history."""
    observations = Observations()
    count = LimitCount(1.0)
    count.record_report(0.0)
    for number in range(limited):
        count.record_arrival(5.0 + number / 100)
    observations.limits.append(("w1", count))
    for number in range(2 * repeats):
        observations.repeats["orders"].arrived(f"q{number // 2}", at=1.0)
    for request_id in runs:
        observations.record_run(request_id, "w1")
    observations.late_runs = list(late)
    observations.outcomes["200"] = served
    duties = SimpleNamespace(calls=list(calls))
    soak = SimpleNamespace(
        observations=observations,
        at_most_once_ids=list(once),
        refused_ids=list(refused),
        world=SimpleNamespace(duties=duties),
    )
    Soak._check_invariants(soak)
    return observations.findings


def make_usage_report(fence, window, count):
    return "/usage", {"Fencing-Token": str(fence)}, {"WindowId": window, "Counts": {"a": count}}


@pytest.mark.parametrize(
    "history",
    [
        {"runs": ["q1", "q1"], "once": ["q1"]},
        {"runs": ["q1"], "refused": ["q1"]},
        {"late": [("q1", "w1")]},
        {"calls": [make_usage_report(2, 7, 3), make_usage_report(1, 8, 3)]},
        {"calls": [make_usage_report(1, 7, 3), make_usage_report(2, 7, 4)]},
        {"served": 0},
        {"repeats": int(RETRY.slack) + 1},
        {"limited": 12},
    ],
)
def test_each_planted_fault_is_found(history):
    assert find_violations(**history)


def test_sound_history_has_no_finding():
    calls = [make_usage_report(1, 7, 3), make_usage_report(1, 7, 3), make_usage_report(2, 8, 1)]
    repeats = int(RETRY.slack)
    assert not find_violations(
        ["q1", "q2"], ["q1", "q3"], ["q3"], calls=calls, repeats=repeats, limited=11
    )


@pytest.mark.processes
@pytest.mark.parametrize("seed", [3])
def test_seeded_run_has_no_finding(seed):
    soak, findings = run_seed(seed, seconds=6.0)
    assert not findings, soak.faults
    assert soak.observations.outcomes["200"] > 50


@pytest.mark.processes
def test_seeded_run_with_drills_of_the_store_has_no_finding():
    soak, findings = run_seed(903, seconds=6.0, faults=FAULTS_WITH_STORE_RESTORES)
    assert not findings, soak.faults
    assert "store_drill" in soak.faults and soak.observations.outcomes["200"] > 50


@pytest.mark.processes
def test_seeded_run_with_limits_of_workers_has_no_finding():
    soak, findings = run_seed(1, seconds=16.0, faults=FAULTS_WITH_RATE_LIMITS)
    assert not findings, soak.faults
    assert any(count.named_at is not None for _, count in soak.observations.limits)


@pytest.mark.processes
def test_seeded_run_with_lost_readers_has_no_finding():
    soak, findings = run_seed(4701, seconds=16.0, faults=FAULTS_WITH_LOST_READERS)
    assert not findings, soak.faults
    assert "lose_readers" in soak.faults


@pytest.mark.processes
def test_seeded_run_with_lost_reporters_has_no_finding():
    """Guards against a second report of a window with other counts (issue 67)."""
    soak, findings = run_seed(6702, seconds=16.0, faults=FAULTS_WITH_LOST_REPORTERS)
    assert not findings, soak.faults
    assert "lose_reporter" in soak.faults and soak.world.duties.calls
