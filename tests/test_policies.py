"""Property tests of fleet, routing, admission, prompt digests and the retry budget."""

import random
from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from laburnumreel.coordination import (
    Admission,
    Admitted,
    Fleet,
    LoadReport,
    Offer,
    Queued,
    Refused,
    RetryBudget,
    Router,
    RoutingRequest,
    prompt_prefixes,
)
from laburnumreel.state import ErrorKind, Host

SLOTS = 3
CUSTOMERS = ["hall-a", "hall-b", "hall-c"]


def make_limits(requests_per_s=0.0, tokens_per_s=0.0, weight=1.0):
    return SimpleNamespace(weight=weight, requests_per_s=requests_per_s, tokens_per_s=tokens_per_s)


def make_host(name, zone="xela-a", cheap=False, state="live", kind="engine"):
    return Host(name, "127.0.0.1:9000", zone, zone[:-2], "chat", kind, cheap, state)


def make_report(at=0.0, queued=0, streams=0, draining=False):
    return LoadReport(at, "both", ("m",), queued, streams, 8, 8000, 1000, 10**6, draining)


def make_request(tokens=100, text=""):
    return RoutingRequest(
        "r", "chat", "c", "m", tokens, max(len(text), 1), 50, prompt_prefixes(text), 0
    )


class AdmissionMachine(RuleBasedStateMachine):
    """Runs offers, ends, cancellations and clock steps in any order."""

    def __init__(self):
        super().__init__()
        self.admission = Admission(random.Random(1))
        self.admission.configure({}, {}, {}, {"chat": SLOTS})
        self.now, self.count = 0.0, 0
        self.running, self.queued, self.deadlines = set(), set(), {}

    def admit(self, ids):
        for each in ids:
            assert each in self.queued
            self.queued.remove(each)
            self.running.add(each)

    @rule(customer=st.sampled_from(CUSTOMERS), tokens=st.integers(1, 500), in_s=st.floats(0.1, 9))
    def offer(self, customer, tokens, in_s):
        self.count += 1
        name = f"r{self.count}"
        offer = Offer(name, "chat", customer, tokens, self.now + in_s)
        decision = self.admission.offer(offer, self.now)
        if isinstance(decision, Admitted):
            self.running.add(name)
        elif isinstance(decision, Queued):
            self.queued.add(name)
            self.deadlines[name] = offer.deadline
        else:
            assert decision.refusal.retry_after_s >= 1

    @precondition(lambda self: self.running)
    @rule(tokens=st.integers(0, 900), data=st.data())
    def finish(self, tokens, data):
        name = data.draw(st.sampled_from(sorted(self.running)))
        self.running.remove(name)
        self.admit(self.admission.finish(name, tokens, self.now))
        assert self.admission.finish(name, tokens, self.now) == []

    @precondition(lambda self: self.running or self.queued)
    @rule(data=st.data())
    def cancel(self, data):
        name = data.draw(st.sampled_from(sorted(self.running | self.queued)))
        self.running.discard(name)
        self.queued.discard(name)
        self.admit(self.admission.cancel(name, self.now))

    @rule(step=st.floats(0, 5))
    def expire(self, step):
        self.now += step
        admitted, expired = self.admission.expire(self.now)
        for name, refusal in expired:
            self.queued.remove(name)
            assert refusal.kind is ErrorKind.DEADLINE_UNMEETABLE
        self.admit(admitted)
        assert all(self.deadlines[name] > self.now for name in self.queued)

    @invariant()
    def bounded_and_work_conserving(self):
        """Check that no slot is free while requests wait, and that no more than the slots run."""
        assert len(self.running) <= SLOTS
        assert len(self.running) == SLOTS or not self.queued
        assert self.admission.running == len(self.running)
        assert self.admission.waiting == len(self.queued)


TestAdmission = AdmissionMachine.TestCase


@given(
    weights=st.lists(st.sampled_from([0.5, 1.0, 2.0, 4.0]), min_size=2, max_size=4),
    sizes=st.lists(st.integers(1, 400), min_size=2, max_size=4),
)
def test_backlogged_customers_receive_service_by_weight(weights, sizes):
    """Guards against starvation and against an advantage of small or large requests."""
    names = [f"c{number}" for number in range(min(len(weights), len(sizes)))]
    customers = {name: make_limits(weight=w) for name, w in zip(names, weights, strict=False)}
    size = dict(zip(names, sizes, strict=False))
    admission = Admission(random.Random(1))
    admission.configure({}, customers, {}, {"chat": 1})
    owner, received, running = {}, dict.fromkeys(names, 0.0), []
    for turn in range(300):
        for name in names:
            for slot in range(2):
                request = f"{turn}-{name}-{slot}"
                offer = Offer(request, "chat", name, size[name], 1e9)
                decision = admission.offer(offer, 0.0)
                owner[request] = name
                running += [request] if isinstance(decision, Admitted) else []
        request = running.pop()
        received[owner[request]] += size[owner[request]] / customers[owner[request]].weight
        running += admission.finish(request, size[owner[request]], 0.0)
    largest = max(size[name] / customers[name].weight for name in names)
    assert max(received.values()) - min(received.values()) <= 2 * largest


@given(
    rate=st.integers(1, 20),
    gateways=st.integers(1, 4),
    delay=st.integers(1, 10),
    seed=st.integers(0, 99),
)
def test_rate_limits_hold_over_all_gateways_within_the_documented_error(
    rate, gateways, delay, seed
):
    """Guards against a customer that exceeds its rate by sending to several gateways."""
    rng = random.Random(seed)
    nodes = [Admission(random.Random(seed)) for _ in range(gateways)]
    for node in nodes:
        node.configure({}, {"hall-a": make_limits(requests_per_s=rate)}, {}, {"chat": 10**6})
    passed, step_s, steps = 0, 0.1, 200
    for step in range(steps):
        now = step * step_s
        for number in range(40):
            node = rng.choice(nodes)
            offer = Offer(f"{step}-{number}", "chat", "hall-a", 1, 1e9)
            passed += isinstance(node.offer(offer, now), Admitted)
        if step % delay == 0:
            peer_updates = [node.pop_received() for node in nodes]
            for index, node in enumerate(nodes):
                for other, received in enumerate(peer_updates):
                    if other != index:
                        node.on_peer_received(str(other), received, now)
    delay_s = delay * step_s
    assert passed <= rate * steps * step_s + gateways * (rate * (1 + delay_s) + 1)


def test_idle_customers_hold_no_state():
    """Guards against memory that grows with all 36,000 customers ever seen."""
    admission = Admission(random.Random(1))
    customers = {f"c{number}": make_limits(2.0, 100.0) for number in range(2000)}
    admission.configure({}, customers, {}, {"chat": 1})
    for number, name in enumerate(customers):
        admission.offer(Offer(name, "chat", name, 50, 1e9), number / 1000)
        admission.finish(name, 500, number / 1000)
    for second in range(3, 40):
        admission.expire(float(second))
    assert admission.tracked_customers == 0


def test_request_that_cannot_meet_its_deadline_is_refused_with_retry_time():
    """Guards against queueing a request that cannot meet its deadline."""
    admission = Admission(random.Random(1))
    admission.configure({}, {}, {}, {"chat": 1})
    admission.offer(Offer("r0", "chat", "a", 100, 99), 0.0)
    for number in range(1, 9):
        assert isinstance(admission.offer(Offer(f"r{number}", "chat", "a", 100, 99), 0.0), Queued)
    admission.finish("r0", 100, 2.0)
    too_late = admission.offer(Offer("late", "chat", "a", 100, 12.0), 2.0)
    assert isinstance(too_late, Refused)
    assert too_late.refusal.kind is ErrorKind.DEADLINE_UNMEETABLE
    # 7 queued requests and this one take 2 s each: 16 s, but the deadline is in 10 s.
    assert 6 <= too_late.refusal.retry_after_s <= 6 * 1.25
    assert isinstance(admission.offer(Offer("other", "chat", "b", 100, 12.0), 2.0), Queued)


@given(st.lists(st.tuples(st.sampled_from(["ok", "retry"]), st.floats(0, 2)), max_size=200))
def test_retries_stay_within_the_budget(steps):
    """Guards against retry storms: no window has more than the share plus the minimum."""
    budget = RetryBudget(0.2, 2)
    now, successes, taken = 0.0, [], []
    for kind, step in steps:
        now += step
        if kind == "ok":
            budget.deposit(now)
            successes.append(now)
        elif budget.acquire(now):
            taken.append(now)
            recent = sum(at > now - 10 for at in taken)
            assert recent <= 2 + 0.2 * sum(at > now - 10.6 for at in successes) + 1e-9


@given(
    hosts=st.lists(
        st.tuples(
            st.sampled_from(["xela-a", "antigua-a"]),
            st.booleans(),
            st.sampled_from(["live", "leaving"]),
            st.booleans(),
        ),
        max_size=6,
    ),
    drained=st.sampled_from(["xela-a", "w0", "none"]),
    cheap=st.booleans(),
    failed=st.sampled_from(["w1", "none"]),
)
def test_unusable_back_ends_are_no_candidates(hosts, drained, cheap, failed):
    """Guards against sending to leaving, drained, failed, excluded or forbidden cheap back ends."""
    fleet = Fleet()
    fleet.on_hosts([make_host(f"w{n}", z, c, s) for n, (z, c, s, _) in enumerate(hosts)], 0.0)
    for number, (*_, draining) in enumerate(hosts):
        fleet.on_load(f"w{number}", make_report(draining=draining), 0.0)
    fleet.on_drain(drained, "notice", 10.0)
    fleet.on_failed(failed, 1.0)
    names = {each.name for each in fleet.candidates("chat", "m", 1.1, cheap, exclude=["w2"])}
    assert names == {
        f"w{number}"
        for number, (zone, is_cheap, state, draining) in enumerate(hosts)
        if state == "live"
        and not draining
        and (cheap or not is_cheap)
        and drained not in (zone, f"w{number}")
        and f"w{number}" not in (failed, "w2")
    }


sends = st.lists(st.tuples(st.floats(0, 1), st.integers(1, 5000)), max_size=20)


@given(sends=sends, after=st.floats(0, 2), peers=st.integers(0, 500))
def test_late_reports_are_corrected_by_local_and_peer_sends(sends, after, peers):
    """Guards against herding: sends not yet included in a report must count exactly once."""
    fleet = Fleet(gateways=3)
    fleet.on_hosts([make_host("w0")], 100.0)
    fleet.on_load("w0", make_report(at=50.0, queued=800), 100.0)
    now = 100.0
    for number, (step, tokens) in enumerate(sends):
        now += step
        fleet.on_sent("w0", str(number), tokens, now)
    now += after
    fleet.on_peer_work("peer", {"w0": (2, peers)}, now)
    (candidate,) = fleet.candidates("chat", "m", now, False)
    total = sum(tokens for _, tokens in sends)
    assert candidate.decode_streams + candidate.unreported_requests == len(sends) + 2
    assert (
        candidate.queued_prefill_tokens + candidate.unreported_prefill_tokens <= 800 + total + peers
    )
    assert candidate.queued_prefill_tokens + candidate.unreported_prefill_tokens - peers >= (
        800 + total - 8000 * (now - 98.0) - 2
    )
    shown = make_report(at=60.0 + (now - 100.0), queued=800, streams=len(sends) + 5)
    fleet.on_load("w0", shown, now + 10)
    (candidate,) = fleet.candidates("chat", "m", now + 10, False)
    assert (candidate.unreported_requests, candidate.unreported_prefill_tokens) == (0, 0)
    assert candidate.decode_streams == len(sends) + 5
    assert all(tokens == 0 for _, tokens in fleet.local_work().values())


@given(sends=sends, peers=st.lists(st.integers(0, 500), max_size=3), data=st.data())
def test_exact_counts_replace_reports_while_all_gateways_report(sends, peers, data):
    """Guards against decisions on old reports while the gateways have newer counts."""
    fleet = Fleet(gateways=1 + len(peers))
    fleet.on_hosts([make_host("w0")], 0.0)
    fleet.on_load("w0", make_report(queued=9999, streams=7), 0.0)
    for number, tokens in enumerate(peers):
        fleet.on_peer_work(str(number), {"w0": (1, tokens)}, 1.0)
    remaining = {}
    for number, (_, tokens) in enumerate(sends):
        fleet.on_sent("w0", str(number), tokens, 1.0)
        remaining[str(number)] = tokens
    for number in data.draw(st.sets(st.sampled_from(sorted(remaining)))) if remaining else ():
        fleet.on_first_token("w0", number, 1.0)
        remaining[number] = 0
    (candidate,) = fleet.candidates("chat", "m", 1.0, False)
    assert candidate.decode_streams + candidate.unreported_requests == len(sends) + len(peers)
    if any(tokens == 0 for tokens in remaining.values()):
        assert candidate.queued_prefill_tokens == 0
        assert candidate.unreported_prefill_tokens == sum(remaining.values()) + sum(peers)
    for number in remaining:
        fleet.on_finished("w0", number, 1.0)
    assert fleet.local_work() == {}


@given(st.text(max_size=1500), st.text(max_size=300), st.text(max_size=300))
def test_equal_prefixes_have_equal_digests(prefix, one, other):
    """Guards against assumed cache hits for prompts that differ."""
    first, second = prompt_prefixes(prefix + one), prompt_prefixes(prefix + other)
    same = len(prefix.encode()) // 256
    assert first[:same] == second[:same]
    assert len(first) == len((prefix + one).encode()) // 256
    for block, (left, right) in enumerate(zip(first, second, strict=False)):
        ends = (block + 1) * 256
        equal = (prefix + one).encode()[:ends] == (prefix + other).encode()[:ends]
        assert (left == right) == equal


@given(st.integers(0, 20000), st.integers(0, 20000), st.integers(0, 2), st.booleans())
def test_router_picks_the_lowest_cost_and_prefers_a_cached_prefix(
    near_queue, far_queue, cached_at, is_tie
):
    """Guards against a choice that does not have the lowest cost."""
    text = "x" * 2000
    fleet = Fleet()
    fleet.on_hosts([make_host("w0"), make_host("w1", "antigua-a")], 0.0)
    fleet.on_load("w0", make_report(queued=near_queue), 0.0)
    fleet.on_load("w1", make_report(queued=near_queue if is_tie else far_queue), 0.0)
    if cached_at:
        fleet.on_cache_events(f"w{cached_at - 1}", prompt_prefixes(text), (), False)
    router = Router("xela-a", "xela", random.Random(1))
    candidates = fleet.candidates("chat", "m", 0.0, False)
    choice = router.choose(make_request(500, text), candidates)
    assert choice.cost_ms == min(router.cost(make_request(500, text), each) for each in candidates)
    if is_tie and cached_at != 2:
        assert choice.back_end.name == "w0"
    assert choice.prefill_tokens == (500 if f"w{cached_at - 1}" != choice.back_end.name else 52)
