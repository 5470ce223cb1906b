"""Tests of the load generator."""

import json

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from laburnumreel_standins._summary import RequestRecord, meets_objectives, percentile
from laburnumreel_standins._trace import Flood, MeanLengths, TracePlan, make_trace
from laburnumreel_standins.load import load
from laburnumreel_standins.processes import Process, free_port, fresh_host


@settings(max_examples=25)
@given(st.integers(0, 1000), st.floats(1, 20))
def test_trace_follows_its_plan(seed, lengths_change_at):
    """Guards against a trace whose lengths or flood differ from the options."""
    flood = Flood("b", 5.0, 5.0, 20.0)
    plan = TracePlan(
        20.0, 10.0, ("a", "b"), MeanLengths(10, 50), MeanLengths(1000, 5), lengths_change_at, flood
    )
    trace = make_trace(plan, seed)
    assert trace == make_trace(plan, seed)
    assert [arrival.number for arrival in trace] == list(range(len(trace)))
    assert all(0 <= one.at <= two.at < 20.0 for one, two in zip(trace, trace[1:], strict=False))
    assert all(arrival.prompt_tokens <= 40 for arrival in trace if arrival.at < lengths_change_at)
    assert all(arrival.output_tokens <= 20 for arrival in trace if arrival.at >= lengths_change_at)
    without_flood = make_trace(plan._replace(flood=None), seed)
    assert len(trace) - len(without_flood) > 50
    assert len({arrival.prompt for arrival in trace}) == len(trace)


@given(st.lists(st.floats(0, 100), min_size=1, max_size=50), st.floats(0.01, 1))
def test_percentile_covers_its_fraction(values, fraction):
    """Guards against an off-by-one error in the tail percentiles of the summary."""
    found = percentile(values, fraction)
    assert sum(value <= found for value in values) >= fraction * len(values) - 1e-9
    assert sum(value < found for value in values) < fraction * len(values)


def test_objectives_need_a_complete_and_fast_answer():
    """Guards against a goodput that includes failed or slow requests."""
    good = RequestRecord(0, "r", "a", 1, 1, 0.0, 0.0, 0.31, 0.032, 1.0, 1, 200, "", "")
    assert meets_objectives(good)
    assert not meets_objectives(good._replace(error="incomplete"))
    assert not meets_objectives(good._replace(first_s=0.32))
    assert not meets_objectives(good._replace(gap_p95_s=0.04))


@pytest.mark.processes
@pytest.mark.parametrize("kind", ["--chat", "--completions"])
def test_load_checks_each_answer_of_an_engine(tmp_path, kind):
    """Guards against a generator that counts truncated or refused answers as complete."""
    host = fresh_host()
    port = free_port(host)
    process = Process(
        "laburnumreel_standins.main", "engine", "--listen", f"{host}:{port}", "--max-queue", "1"
    )
    out = tmp_path / "records.jsonl"
    arguments = ["--target", f"{host}:{port}", "--seconds", "1", "--rate", "20", "--out", str(out)]
    arguments += ["--output-tokens", "5", kind]
    try:
        process.wait_until_listening(host, port)
        result = CliRunner().invoke(load, arguments)
    finally:
        process.end()
    assert result.exit_code == 0, result.output
    records = [RequestRecord(**json.loads(line)) for line in out.read_text().splitlines()]
    assert len(records) > 5
    assert all(record.error == "" for record in records), result.output
    assert all(record.tokens == record.output_tokens for record in records)
    result = CliRunner().invoke(load, arguments)
    assert {RequestRecord(**json.loads(line)).error for line in out.read_text().splitlines()} == {
        "connect"
    }
