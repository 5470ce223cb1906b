"""Tests of the load generator."""

import json

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st
from support import Process, free_port, fresh_host

from laburnumreel_standins._summary import Record, is_good, percentile
from laburnumreel_standins._trace import Flood, Mix, TracePlan, make_trace
from laburnumreel_standins.load import load


@settings(max_examples=25)
@given(st.integers(0, 1000), st.floats(1, 20))
def test_trace_keeps_its_plan(seed, swing_at):
    """Guards against experiments whose mix or flood is not what their options say."""
    flood = Flood("b", 5.0, 5.0, 20.0)
    plan = TracePlan(20.0, 10.0, ("a", "b"), Mix(10, 50), Mix(1000, 5), swing_at, flood)
    trace = make_trace(plan, seed)
    assert trace == make_trace(plan, seed)
    assert [arrival.number for arrival in trace] == list(range(len(trace)))
    assert all(0 <= one.at <= two.at < 20.0 for one, two in zip(trace, trace[1:], strict=False))
    assert all(arrival.prompt_tokens <= 40 for arrival in trace if arrival.at < swing_at)
    assert all(arrival.output_tokens <= 20 for arrival in trace if arrival.at >= swing_at)
    calm = make_trace(plan._replace(flood=None), seed)
    assert len(trace) - len(calm) > 50
    assert len({arrival.prompt for arrival in trace}) == len(trace)


@given(st.lists(st.floats(0, 100), min_size=1, max_size=50), st.floats(0.01, 1))
def test_percentile_covers_its_share(values, share):
    """Guards against a summary that is off by one in the tail."""
    found = percentile(values, share)
    assert sum(value <= found for value in values) >= share * len(values) - 1e-9
    assert sum(value < found for value in values) < share * len(values)


def test_good_needs_a_complete_and_fast_answer():
    """Guards against goodput that counts failed or slow requests."""
    good = Record(0, "r", "a", 1, 1, 0.0, 0.0, 0.31, 0.032, 1.0, 1, 200, "", "")
    assert is_good(good)
    assert not is_good(good._replace(error="incomplete"))
    assert not is_good(good._replace(first_s=0.32))
    assert not is_good(good._replace(gap_p95_s=0.04))


@pytest.mark.processes
@pytest.mark.parametrize("kind", ["--chat", "--completions"])
def test_load_checks_each_answer_of_an_engine(tmp_path, kind):
    """Guards against a generator that counts cut or refused answers as done."""
    host = fresh_host()
    port = free_port(host)
    process = Process(
        "laburnumreel_standins.main", "engine", "--listen", f"{host}:{port}", "--max-queue", "1"
    )
    out = tmp_path / "records.jsonl"
    arguments = ["--target", f"{host}:{port}", "--seconds", "1", "--rate", "20", "--out", str(out)]
    arguments += ["--output-tokens", "5", kind]
    try:
        process.listening(host, port)
        result = CliRunner().invoke(load, arguments)
    finally:
        process.end()
    assert result.exit_code == 0, result.output
    records = [Record(**json.loads(line)) for line in out.read_text().splitlines()]
    assert len(records) > 5
    assert all(record.error == "" for record in records), result.output
    assert all(record.tokens == record.output_tokens for record in records)
    result = CliRunner().invoke(load, arguments)
    assert {Record(**json.loads(line)).error for line in out.read_text().splitlines()} == {
        "connect"
    }
