"""Tests of kept connections to the store that go silent while new ones work."""

import threading
import time
from functools import partial

import pytest
from platform_config import config
from platform_world import HOST, Store, wait_until
from relay_caller import Caller

from laburnumreel.relay._poll_schedule import MAX_AGE_SHARE
from laburnumreel.transport import CallRateLimiter, JsonCalls, KeptConnections
from laburnumreel.transport._json_calls import KEPT_PATIENCE_S

# The platform's `DrainMs` and `ContactMs`, and the timeout of calls to its store.
DRAIN_S, CONTACT_S, TIMEOUT_S = 2.5, 3.0, 1.0
GET = "/v1/rows-get?Table=op&part="


def feed_path(wait_s, table="op"):
    return f"/v1/rows-feed?Table={table}&after=0&WaitMs={int(1000 * wait_s)}"


@pytest.fixture
def store():
    running = Store()
    yield running
    running.hung = False
    running.end()


@pytest.fixture
def connect(store):
    """Return a function that makes calls to the store, whose kept connections belong together."""
    address = (HOST, int(store.address.rpartition(":")[2]))
    return partial(JsonCalls, address, TIMEOUT_S, kept=KeptConnections())


class TestJsonCalls:
    def test_silent_connection_is_no_failure_of_the_store(self, store, connect):
        """Guards against a store that is taken for away because a kept connection is silent."""
        calls = connect()
        assert calls.read(GET).is_ok()
        store.silence_connections()
        assert calls.read(GET).is_ok()

    def test_call_that_waits_on_a_silent_connection_is_repeated_without_the_wait(
        self, store, connect
    ):
        calls = connect()
        assert calls.read(GET).is_ok()
        store.silence_connections()
        # The repeated call would time out if it waited, too.
        long_path = feed_path(10 * TIMEOUT_S)
        assert calls.read(long_path, 0.1, feed_path(0.0)).is_ok()
        assert store.calls == ["/v1/rows-get", "/v1/rows-feed", "/v1/rows-feed"]

    def test_first_call_of_a_connection_that_waits_is_repeated(self, store, connect):
        calls, answers = connect(), []
        read = partial(calls.read, feed_path(0.5), 0.5, feed_path(0.0))
        reading = threading.Thread(target=lambda: answers.append(read()))
        reading.start()
        wait_until(lambda: store.calls, "the call to wait at the store")
        store.silence_connections()
        reading.join()
        assert answers[0].is_ok() and store.calls == ["/v1/rows-feed"] * 2

    @pytest.mark.parametrize("first_table", ["op", "servers"])
    def test_silence_of_one_connection_renews_those_of_all(self, store, connect, first_table):
        """A call that waits for a rare change would find the silence by itself much later."""
        waiting, idle, first = connect(), connect(), connect()
        for calls in (waiting, idle, first):
            assert calls.read(GET).is_ok()
        answers = []
        read = partial(waiting.read, feed_path(60.0), 60.0, feed_path(0.0))
        thread = threading.Thread(target=lambda: answers.append(read()))
        thread.start()
        wait_until(lambda: "/v1/rows-feed" in store.calls, "the call to wait at the store")
        store.silence_connections()
        assert first.read(feed_path(0.0, first_table)).is_ok()
        thread.join(timeout=30.0)
        assert not thread.is_alive() and answers[0].is_ok()
        before = len(store.calls)
        assert idle.read(GET).is_ok() and len(store.calls) == before + 1

    @pytest.mark.parametrize("has_kept", [True, False])
    def test_store_that_answers_on_no_connection_fails(self, store, connect, has_kept):
        calls = connect()
        if has_kept:
            assert calls.read(GET).is_ok()
        store.hung = True
        assert calls.read(GET).error.kind == "lost"

    def test_slow_store_gets_each_call_once(self, store, connect):
        """Guards against a store that gets twice the calls while it is slow."""
        calls = connect()
        assert calls.read(GET).is_ok()
        store.feed_delay_s = lambda table: 1.5 * KEPT_PATIENCE_S
        store.put("op", "config", {})
        outcomes = [calls.read(feed_path(0.0)).is_ok() for _ in range(4)]
        # The first is repeated, and not believed since the new connection is as slow.
        assert outcomes == [False, True, True, True]
        assert store.calls.count("/v1/rows-feed") == 5

    def test_repeated_call_is_counted(self, store, connect):
        limiter = CallRateLimiter(5.0, 1.0, clock=lambda: 0.0, sleep=lambda seconds: None)
        calls = connect(limiter)
        assert calls.read(GET).is_ok()
        store.silence_connections()
        assert calls.read(GET).is_ok()
        # Three of the four permits of a second are used.
        assert [limiter.acquire("read") for _ in range(4)] == [True, True, True, False]

    def test_interrupted_call_is_not_repeated(self, store, connect):
        calls, answers = connect(), []
        assert calls.read(GET).is_ok()
        read = partial(calls.read, feed_path(60.0), 60.0, feed_path(0.0))
        thread = threading.Thread(target=lambda: answers.append(read()))
        thread.start()
        wait_until(lambda: "/v1/rows-feed" in store.calls, "the call to wait at the store")
        calls.interrupt()
        thread.join()
        assert answers[0].is_error() and store.calls.count("/v1/rows-feed") == 1


def test_silence_is_noticed_in_time():
    """A host waits until its view is too old, then takes the connection for silent."""
    assert min(DRAIN_S, CONTACT_S) > MAX_AGE_SHARE * DRAIN_S + KEPT_PATIENCE_S
    assert KEPT_PATIENCE_S < TIMEOUT_S


@pytest.mark.processes
@pytest.mark.parametrize("relays", [1, 3])
@pytest.mark.parametrize("silences", [1, 2])
def test_removed_server_gets_nothing_after_connections_go_silent(world, relays, silences):
    """Guards against relays that take their own dead connections for a store that is away.

    They kept a removed entry for 2.2 s from the next answer on, and its server got requests until
    its process ended (issue 61, review/9).
    """
    for name in ("w1", "w2"):
        world.worker(name)
    started = [world.launch_relay(f"relay-{number}") for number in range(relays)]
    for relay in started:
        wait_until(relay.is_ready, "the relay is ready", 60.0)
    for _ in range(silences):
        world.store.silence_connections()
        time.sleep(0.3)
    world.store.put("servers", "w1", None)
    for relay in started:
        wait_until(lambda relay=relay: relay.find_log_lines("back_end_gone"), "it is gone", 20.0)
    before = len(world.workers["w1"].requests("POST"))
    for relay in started:
        assert not relay.find_log_lines("directory_lost")
        assert [Caller(relay).ask("/once/x")[0] for _ in range(4)] == [200] * 4
    assert len(world.workers["w1"].requests("POST")) == before


@pytest.mark.processes
@pytest.mark.parametrize("table", [None, "op"])
def test_withdrawn_key_is_refused_after_connections_go_silent(world, table):
    """With `table`, only the connections for the configuration are silent, at one of two hosts."""
    world.worker("w1")
    first = world.start_relay("relay-1")
    if table:
        world.store.silence_connections(table)
    second = world.start_relay("relay-2")
    if not table:
        world.store.silence_connections()
    world.store.put("op", "config", config(version=900, keys=("key-b",)))
    for relay in (first, second):
        wait_until(
            lambda relay=relay: Caller(relay).ask("/safe/x")[0] == 401, "the key is refused", 20.0
        )


@pytest.mark.processes
@pytest.mark.parametrize(
    ("how", "outage_s"), [("down", 1.0), ("down", 3.0), ("down", 6.0), ("hung", 3.0), ("hung", 6.0)]
)
def test_servers_that_lapse_in_an_outage_are_kept(world, how, outage_s):
    """What is believed of silent connections must not make an outage pass unnoticed."""
    for name in ("w1", "w2"):
        world.worker(name)
    relays = [world.launch_relay(f"relay-{number}") for number in range(2)]
    for relay in relays:
        wait_until(relay.is_ready, "the relay is ready", 60.0)
    time.sleep(1.0)
    statuses, has_ended = [], threading.Event()

    def ask(relay):
        while not has_ended.wait(0.02):
            statuses.append(Caller(relay).ask("/once/x")[0])

    threads = [threading.Thread(target=ask, args=(relay,)) for relay in relays]
    for thread in threads:
        thread.start()
    setattr(world.store, how, True)
    with world.store.changed:
        world.store.changed.notify_all()
    time.sleep(outage_s)
    for relay in relays:
        assert relay.find_log_lines("directory_lost")
    for name in world.workers:
        world.store.put("servers", name, None)
    setattr(world.store, how, False)
    time.sleep(1.0)
    for name, worker in world.workers.items():
        world.store.put("servers", name, worker.entry("orders", Sequence=2))
    time.sleep(2.0)
    has_ended.set()
    for thread in threads:
        thread.join()
    assert set(statuses) == {200}
