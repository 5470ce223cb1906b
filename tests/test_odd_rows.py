"""Tests of relay processes among odd rows of other writers."""

import time

import pytest
from odd_rows import ENTRY, GARBAGE, ODD_NAMES, odd_entries
from platform_answers import echo, stream
from platform_config import config
from platform_world import wait_until
from relay_caller import PROMPT, Caller

pytestmark = pytest.mark.processes

# Long enough for some looks at the table, and for several news between hosts.
WHILE_S = 1.5
LAST_ENTRY = "last"
NOT_A_TEXT = {"a": [1e308]}


def write_odd_entries(world):
    """Write entries that name nobody, and return their keys."""
    odd = odd_entries()
    for label, value in odd.items():
        world.store.put("servers", label, value)
    for name in ODD_NAMES:
        world.store.put("servers", name, {**ENTRY})
    world.store.put("servers", LAST_ENTRY, b"[]")
    return {*odd, *ODD_NAMES, LAST_ENTRY}


def told_of(relay):
    return {line["key"] for line in relay.logged("record_unreadable")}


def served_by(world, relay, seconds=WHILE_S):
    """Ask for some time, and return the statuses and the workers that got requests."""
    before = {name: len(worker.seen) for name, worker in world.workers.items()}
    statuses, caller, end = set(), Caller(relay), time.monotonic() + seconds
    while time.monotonic() < end:
        statuses.add(caller.ask("/safe/x")[0])
        statuses.add(caller.ask("/once/x")[0])
        statuses.add(caller.ask("/talk/x", **PROMPT)[0])
        time.sleep(0.02)
    used = {name for name, worker in world.workers.items() if len(worker.seen) > before[name]}
    return statuses, used


def follows_the_list(world, relay):
    """Assert that a worker that comes gets requests and one that goes gets none."""
    world.worker("w2")
    world.store.put("servers", "w1", None)
    wait_until(lambda: served_by(world, relay, 0.2)[1] == {"w2", "e1"}, "the list is followed")
    assert served_by(world, relay) == ({200}, {"w2", "e1"})


class TestEntries:
    def test_odd_entries_among_those_of_workers_stop_no_relay(self, world):
        """Guards against relays that end, or stop following the list, for one odd entry."""
        world.worker("w1")
        world.worker("e1", "quotes")
        relay, other = world.relay(), world.relay("relay-2")
        odd = write_odd_entries(world)
        wait_until(lambda: LAST_ENTRY in told_of(relay), "the entries are read")
        assert served_by(world, relay) == ({200}, {"w1", "e1"})
        follows_the_list(world, relay)
        assert relay.process.poll() is None and not relay.logged("task_failed")
        assert not relay.logged("relay_peer_silent") and not other.logged("relay_peer_silent")
        assert told_of(relay) == odd

    def test_relay_that_starts_among_odd_entries_serves(self, world):
        odd = write_odd_entries(world)
        world.worker("w1")
        world.worker("e1", "quotes")
        relay = world.relay()
        assert served_by(world, relay) == ({200}, {"w1", "e1"})
        follows_the_list(world, relay)
        assert relay.process.poll() is None and not relay.logged("task_failed")
        assert told_of(relay) == odd

    def test_odd_entry_is_logged_once_for_each_time_it_was_written(self, world):
        """Guards against a line each second for a row that stays as it is."""
        world.worker("w1")
        relay = world.relay()
        world.store.put("servers", "odd", b"[]")
        wait_until(lambda: relay.logged("record_unreadable"), "it is logged")
        reads = len(relay.logged("directory_reread"))
        world.store.history_gone = True
        world.store.put("servers", "w2", {**ENTRY, "State": "draining"})
        wait_until(lambda: len(relay.logged("directory_reread")) > reads, "all is read again")
        time.sleep(WHILE_S)
        assert len(relay.logged("record_unreadable")) == 1
        world.store.put("servers", "odd", b"{")
        wait_until(lambda: len(relay.logged("record_unreadable")) == 2, "it is logged again")

    def test_worker_whose_entry_becomes_odd_gets_nothing_until_it_is_right_again(self, world):
        worker = world.worker("w1")
        world.worker("w2")
        relay = world.relay()
        world.store.put("servers", "w1", worker.entry("orders", Address="127.0.0.1:65536"))
        wait_until(lambda: told_of(relay) == {"w1"}, "the entry is logged")
        caller = Caller(relay)
        before = len(worker.seen)
        assert {caller.ask("/safe/x")[0] for _ in range(10)} == {200}
        assert len(worker.seen) == before
        world.store.put("servers", "w1", worker.entry("orders", Sequence=2))
        wait_until(
            lambda: caller.ask("/safe/x")[0] == 200 and len(worker.seen) > before, "it is used"
        )


class TestConfiguration:
    def test_odd_rows_beside_the_configuration_stop_nothing(self, world):
        world.worker("w1")
        for label, value in GARBAGE.items():
            world.store.put("op", label, value)
        relay = world.relay()
        for label, value in GARBAGE.items():
            world.store.put("op", f"later-{label}", value)
        for value in GARBAGE.values():
            world.store.put("op", "config", value)
        world.store.put("op", "config", {**config(5), "Routes": [{"Name": NOT_A_TEXT}]})
        world.store.put("op", "config", config(9, keys=("key-b",)))
        caller = Caller(relay)
        wait_until(lambda: caller.ask("/safe/x", key="key-b")[0] == 200, "it is in force")
        assert not relay.logged("task_failed") and not relay.logged("directory_lost")


class TestCallersAndEngines:
    @pytest.mark.parametrize(
        "body",
        [
            GARBAGE["deep"],
            b'{"Handle":"h","Tokens":1e999}',
            b'{"Handle":"h\\r\\nX: 1","Tokens":10}',
            b'{"Handle":"a b/c","Tokens":10}',
        ],
        ids=["deep", "infinite", "line-break", "blank"],
    )
    def test_request_is_served_though_an_engine_names_no_copy_that_can_be_used(self, world, body):
        """Guards against a request that ends without an answer for what an engine says of its copy."""

        def odd_copy(handler):
            handler.respond(200, body, echo(handler))

        world.worker("reader", "quotes", odd_copy, Stage="prefill")
        world.worker("generator", "quotes", Stage="decode")
        relay = world.relay()
        statuses = {Caller(relay).ask("/talk/x", **PROMPT)[0] for _ in range(3)}
        assert statuses == {200} and not relay.logged("request_failed")

    @pytest.mark.parametrize("tokens", [10**30, -(10**30)], ids=["huge", "negative"])
    def test_host_tells_its_peers_of_its_work_whatever_tokens_a_caller_names(self, world, tokens):
        """Guards against a host that tells nothing while one caller's request is in work."""
        world.worker("e1", "quotes", stream(count=8, gap_s=0.2))
        relay, other = world.relay(), world.relay("relay-2")
        wait_until(lambda: other.logged("relay_peer_heard"), "the hosts hear each other")
        odd = {"Model_Id": "m", "Token_Usage": f"{tokens},50", "Prefix_Hash": f"aa:{tokens},bb:5"}
        assert Caller(relay).ask("/talk/x", **odd)[0] == 200
        assert not relay.logged("task_failed") and not other.logged("relay_peer_silent")
