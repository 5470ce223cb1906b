"""Tests of the engine's time model, cache and orders, with simulated time."""

import hashlib
import json
import time
from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st

from laburnumreel_standins._engine import EngineService
from laburnumreel_standins._engine_model import EngineCapacity, EngineModel, Job
from laburnumreel_standins._engine_orders import EngineOrders
from laburnumreel_standins._http import Request
from laburnumreel_standins._prefix_cache import PrefixCache
from laburnumreel_standins._text import TOKENS_PER_BLOCK, Prompt, output_text

CAPACITY = EngineCapacity(
    prefill_tokens_per_s=1000, decode_tokens_per_s=100, stream_tokens_per_s=50, max_streams=2
)


class EngineHarness:
    """Engine model with its requests.

    `ends` has the end state and time of each request, `first_progress_at` the time of its first
    progress and `tokens` its number of tokens.
    """

    def __init__(self, capacity=CAPACITY):
        self.model = EngineModel(capacity, 0.0)
        self.ends = {}
        self.first_progress_at = {}
        self.tokens = {}

    def submit(self, name, prompt=100, output=10, priority=0, resume=0, prefixes=()):
        def on_progress(progress):
            self.first_progress_at.setdefault(name, self.model.now)
            self.tokens[name] = progress.tokens
            if progress.end:
                self.ends[name] = (progress.end, self.model.now)

        job = Job(name, prompt, prefixes, output, on_progress, priority, resume)
        assert self.model.submit(job)
        return job

    def run_until(self, end_time, step=0.1):
        while self.model.now < end_time:
            self.model.advance(min(end_time, self.model.now + step))


@given(st.lists(st.integers(-3, 3), min_size=3, max_size=8))
def test_queue_is_served_by_priority_then_age(priorities):
    """Guards against an engine that ignores priorities or the order of arrival."""
    harness = EngineHarness(CAPACITY._replace(max_streams=1))
    harness.submit("running")
    for index, priority in enumerate(priorities):
        harness.submit(index, priority=priority)
    harness.run_until(10.0)
    expected = sorted(range(len(priorities)), key=lambda index: (-priorities[index], index))
    assert list(harness.ends) == ["running", *expected]


@given(st.integers(1, 6), st.integers(1, 40))
def test_decode_speed_is_shared_and_bounded(streams, output):
    """Guards against streams that decode faster than the engine or slower than their share."""
    harness = EngineHarness(CAPACITY._replace(max_streams=8, prefill_tokens_per_s=1e9))
    for name in range(streams):
        harness.submit(name, prompt=1, output=output)
    harness.run_until(20.0)
    seconds = (output - 1) / min(50, 100 / streams)
    for end, at in harness.ends.values():
        assert end == "done"
        assert seconds <= at + 0.02 and at <= seconds + 0.05


@given(st.integers(0, 30), st.integers(1, 30))
def test_resumed_request_generates_only_the_missing_tokens(resume, output):
    """Guards against a resumed run that computes or delivers the whole answer again."""
    harness = EngineHarness(CAPACITY._replace(prefill_tokens_per_s=100))
    harness.submit("resumed", prompt=100, output=output, resume=resume)
    harness.run_until(5.0)
    assert harness.tokens["resumed"] == output
    missing = max(0, output - min(resume, output) - 1)
    prefill = (100 + min(resume, output)) / 100
    assert abs(harness.ends["resumed"][1] - prefill - missing / 50) < 0.05


def test_cancel_frees_the_slot_in_the_batch():
    """Guards against a cancelled request that still occupies the batch."""
    harness = EngineHarness(CAPACITY._replace(max_streams=1))
    harness.submit("long", output=10_000)
    waiting = harness.submit("waiting", output=1)
    harness.run_until(0.5)
    assert "waiting" not in harness.first_progress_at
    assert harness.model.cancel("long") == 1
    harness.run_until(1.0)
    assert harness.ends["long"][0] == "cancelled"
    assert harness.ends["waiting"][0] == "done"
    harness.model.cancel_job(waiting)
    assert harness.ends["waiting"][0] == "done"


def test_cached_or_imported_prefix_saves_prefill():
    """Guards against a prefix cache that does not shorten the time to the first token."""
    prompt = Prompt.from_body({"prompt": "x" * 2560, "model": "m"}, chat=False)
    assert prompt.prefixes[1] == hashlib.sha256(b"x" * 512).hexdigest()
    harness = EngineHarness()
    harness.submit("cold", prompt.tokens, 1, prefixes=prompt.prefixes)
    harness.run_until(2.0)
    harness.submit("warm", prompt.tokens, 1, prefixes=prompt.prefixes)
    harness.run_until(4.0)
    assert abs(harness.first_progress_at["cold"] - 0.64) < 0.02
    assert abs(harness.first_progress_at["warm"] - 2.0) < 0.02
    second_harness = EngineHarness()
    second_harness.model.cache.store(prompt.prefixes[-1:], 0.0)
    second_harness.submit("imported", prompt.tokens, 1, prefixes=prompt.prefixes)
    second_harness.run_until(1.0)
    assert second_harness.first_progress_at["imported"] < 0.02


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(1, 4), st.booleans()), max_size=30))
def test_cache_events_match_the_contents_unless_they_report_a_gap(prompts):
    """Guards against missing cache events that are not reported as a gap."""
    cache = PrefixCache(6 * TOKENS_PER_BLOCK)
    reported, after = set(), 0
    for name, length, should_lose in prompts:
        cache.drop_events(2 if should_lose else 0)
        cache.store([f"{name}-{index}" for index in range(length)], 0.0)
        cache.drop_events(0)
        events, after, gap = cache.events_after(after, 0.0)
        if gap:
            reported = set(cache.prefixes)
            continue
        for event in events:
            (reported.add if event.kind == "stored" else reported.discard)(event.prefix)
        assert should_lose or reported == set(cache.prefixes)
        reported = set(cache.prefixes)
    assert cache.tokens <= 6 * TOKENS_PER_BLOCK


ORDERS = st.builds(
    dict,
    order_id=st.sampled_from(["a", "b", "c", "d"]),
    fence=st.integers(1, 4),
    action=st.just("role"),
    arguments=st.builds(dict, role=st.sampled_from(["prefill", "decode"])),
)


@given(st.lists(st.tuples(ORDERS, st.floats(0, 2)), max_size=12), st.booleans())
def test_orders_keep_their_fence_and_history(orders, check):
    """Guards against an engine that forgets orders or does not check fencing numbers.

    Tests of authority would pass on such an engine for the wrong reason.
    """
    engine = EngineOrders(("m",), "both", change_s=1.0)
    engine.fence_check = check
    now, highest, accepted, role = 0.0, 0, {}, "both"
    for body, wait_s in orders:
        now += wait_s
        busy = engine.is_changing_role
        engine.finish_due(now)
        busy = busy and engine.is_changing_role
        state = engine.receive(body, now).state
        if check and body["fence"] < highest:
            assert state == "old_fence"
        elif body["order_id"] in accepted:
            is_same = accepted[body["order_id"]] == body
            assert state in (("running", "done") if is_same else ("order_id_reused",))
        else:
            assert state == ("busy" if busy else "running")
            if not busy:
                accepted[body["order_id"]] = body
                highest = max(highest, body["fence"])
                role = body["arguments"]["role"]
    assert [order.order_id for order in engine.history] == [body["order_id"] for body, _ in orders]
    engine.finish_due(now + 1.0)
    assert engine.role == role


@given(st.text(max_size=40), st.integers(0, 20), st.integers(0, 20))
def test_answers_are_the_same_from_every_position(text, start, tokens):
    """Guards against resumed answers that differ from uninterrupted ones."""
    full_text = output_text(text, start + tokens)
    assert full_text == output_text(text, start) + output_text(text, start + tokens, start)


def test_answer_is_complete_if_the_model_runs_ahead_of_the_request_thread(monkeypatch):
    """Guards against a lost first token.

    The model may produce it before the request thread reads the progress of the job.
    """
    service = EngineService(EngineCapacity(stream_tokens_per_s=5000), ("small",))
    record_run = service._request_log.record_run

    def record_run_late(*arguments):
        time.sleep(0.1)
        return record_run(*arguments)

    monkeypatch.setattr(service._request_log, "record_run", record_run_late)
    body = json.dumps({"model": "small", "prompt": "p", "max_tokens": 5}).encode()
    path = "/v1/completions"
    segments = ("v1", "completions")
    channel = SimpleNamespace(connected=True)
    try:
        for resume in (0, 2):
            headers = {"X-Resume-From": str(resume)}
            answer = service.answer(
                Request("POST", path, path, segments, {}, headers, body, channel)
            )
            text = json.loads(answer.body)["choices"][0]["text"]
            assert text == output_text("p", 5, resume)
        assert service._request_log.describe().popitem()[1]["tokens"] == [3]
    finally:
        service.close()


@given(
    st.lists(
        st.tuples(st.integers(1, 400), st.integers(1, 30), st.floats(0, 0.5), st.booleans()),
        max_size=15,
    ),
    st.floats(0, 2),
)
def test_model_stays_within_its_limits_and_its_reports_lag(jobs, lag_s):
    """Guards against overfull batches, lost requests and load reports newer than the lag."""
    harness = EngineHarness(CAPACITY._replace(kv_tokens=1024, max_queue=100))
    model = harness.model
    model.lag_s = lag_s
    for name, (prompt, output, wait_s, cancel) in enumerate(jobs):
        prefixes = [f"{name % 4}-{index}" for index in range(prompt // TOKENS_PER_BLOCK)]
        harness.submit(name, prompt, output, name % 3, prefixes=prefixes)
        if cancel:
            model.cancel(name)
        harness.run_until(model.now + wait_s, step=0.05)
        report = model.report()
        assert report.decode_streams <= CAPACITY.max_streams
        assert report.kv_free_tokens >= 0 and model.cache.tokens <= 1024
        assert report.queued_prefill_tokens >= 0
        assert model.lagged_report().at <= max(0.0, model.now - lag_s) + 0.06
    harness.run_until(model.now + 60.0)
    assert sorted(harness.ends) == list(range(len(jobs)))
    assert model.running == 0
    for name, (_, output, _, cancel) in enumerate(jobs):
        assert harness.tokens[name] == (0 if cancel else output)


def test_prefill_goes_to_the_highest_priority_in_the_batch():
    """Guards against an urgent request that waits for an earlier long prefill."""
    harness = EngineHarness()
    harness.submit("long", prompt=5000, output=1)
    harness.run_until(0.1)
    harness.submit("urgent", prompt=100, output=1, priority=1)
    harness.run_until(10.0)
    assert list(harness.ends) == ["urgent", "long"]
    assert harness.ends["urgent"][1] < 0.25
