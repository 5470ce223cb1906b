"""Process tests of relays with malformed rows in tables that other programs write."""

import time

import pytest
from malformed_rows import ENTRY, MALFORMED_NAMES, MALFORMED_VALUES, malformed_entries
from platform_answers import echo, stream
from platform_config import config
from platform_world import wait_until
from relay_caller import PROMPT_HEADERS, Caller

pytestmark = pytest.mark.processes

# Covers several reads of the table and several peer updates between hosts.
OBSERVATION_S = 1.5
LAST_ENTRY = "last"
NON_TEXT = {"a": [1e308]}


def write_malformed_entries(world):
    """Write malformed entries and return their keys."""
    malformed = malformed_entries()
    for label, value in malformed.items():
        world.store.put("servers", label, value)
    for name in MALFORMED_NAMES:
        world.store.put("servers", name, {**ENTRY})
    world.store.put("servers", LAST_ENTRY, b"[]")
    return {*malformed, *MALFORMED_NAMES, LAST_ENTRY}


def logged_keys(relay):
    return {line["key"] for line in relay.find_log_lines("record_unreadable")}


def send_requests(world, relay, seconds=OBSERVATION_S):
    """Send requests for some seconds; return the statuses and the servers that got requests."""
    before = {name: len(worker.seen) for name, worker in world.workers.items()}
    statuses, caller, end = set(), Caller(relay), time.monotonic() + seconds
    while time.monotonic() < end:
        statuses.add(caller.ask("/safe/x")[0])
        statuses.add(caller.ask("/once/x")[0])
        statuses.add(caller.ask("/talk/x", **PROMPT_HEADERS)[0])
        time.sleep(0.02)
    used = {name for name, worker in world.workers.items() if len(worker.seen) > before[name]}
    return statuses, used


def assert_follows_list(world, relay):
    """Assert that an added server gets requests and a removed one gets none."""
    world.worker("w2")
    world.store.put("servers", "w1", None)
    wait_until(
        lambda: send_requests(world, relay, 0.2)[1] == {"w2", "e1"}, "requests follow the list"
    )
    assert send_requests(world, relay) == ({200}, {"w2", "e1"})


class TestEntries:
    def test_malformed_entries_do_not_stop_relays(self, world):
        """Guards against relays that exit or stop following the list at a malformed entry."""
        world.worker("w1")
        world.worker("e1", "quotes")
        relay, other = world.start_relay(), world.start_relay("relay-2")
        malformed = write_malformed_entries(world)
        wait_until(lambda: LAST_ENTRY in logged_keys(relay), "the entries are read")
        assert send_requests(world, relay) == ({200}, {"w1", "e1"})
        assert_follows_list(world, relay)
        assert relay.process.poll() is None and not relay.find_log_lines("task_failed")
        assert not relay.find_log_lines("relay_peer_silent") and not other.find_log_lines(
            "relay_peer_silent"
        )
        assert logged_keys(relay) == malformed

    def test_relay_serves_when_started_with_malformed_entries(self, world):
        malformed = write_malformed_entries(world)
        world.worker("w1")
        world.worker("e1", "quotes")
        relay = world.start_relay()
        assert send_requests(world, relay) == ({200}, {"w1", "e1"})
        assert_follows_list(world, relay)
        assert relay.process.poll() is None and not relay.find_log_lines("task_failed")
        assert logged_keys(relay) == malformed

    def test_malformed_entry_is_logged_once_per_write(self, world):
        """Guards against a log line per read for an unchanged malformed row."""
        world.worker("w1")
        relay = world.start_relay()
        world.store.put("servers", "odd", b"[]")
        wait_until(lambda: relay.find_log_lines("record_unreadable"), "the entry is logged")
        reads = len(relay.find_log_lines("directory_reread"))
        world.store.history_gone = True
        world.store.put("servers", "w2", {**ENTRY, "State": "draining"})
        wait_until(
            lambda: len(relay.find_log_lines("directory_reread")) > reads,
            "the whole table is read again",
        )
        time.sleep(OBSERVATION_S)
        assert len(relay.find_log_lines("record_unreadable")) == 1
        world.store.put("servers", "odd", b"{")
        wait_until(
            lambda: len(relay.find_log_lines("record_unreadable")) == 2, "the new value is logged"
        )

    def test_worker_with_a_malformed_entry_gets_no_requests_until_repaired(self, world):
        worker = world.worker("w1")
        world.worker("w2")
        relay = world.start_relay()
        world.store.put("servers", "w1", worker.entry("orders", Address="127.0.0.1:65536"))
        wait_until(lambda: logged_keys(relay) == {"w1"}, "the entry is logged")
        caller = Caller(relay)
        before = len(worker.seen)
        assert {caller.ask("/safe/x")[0] for _ in range(10)} == {200}
        assert len(worker.seen) == before
        world.store.put("servers", "w1", worker.entry("orders", Sequence=2))
        wait_until(
            lambda: caller.ask("/safe/x")[0] == 200 and len(worker.seen) > before,
            "the repaired entry is used",
        )


class TestConfiguration:
    def test_malformed_rows_do_not_block_configuration(self, world):
        world.worker("w1")
        for label, value in MALFORMED_VALUES.items():
            world.store.put("op", label, value)
        relay = world.start_relay()
        for label, value in MALFORMED_VALUES.items():
            world.store.put("op", f"later-{label}", value)
        for value in MALFORMED_VALUES.values():
            world.store.put("op", "config", value)
        world.store.put("op", "config", {**config(5), "Routes": [{"Name": NON_TEXT}]})
        world.store.put("op", "config", config(9, keys=("key-b",)))
        caller = Caller(relay)
        wait_until(
            lambda: caller.ask("/safe/x", key="key-b")[0] == 200,
            "the new configuration is in force",
        )
        assert not relay.find_log_lines("task_failed") and not relay.find_log_lines(
            "directory_lost"
        )


class TestCallersAndEngines:
    @pytest.mark.parametrize(
        "body",
        [
            MALFORMED_VALUES["deep"],
            b'{"Handle":"h","Tokens":1e999}',
            b'{"Handle":"h\\r\\nX: 1","Tokens":10}',
            b'{"Handle":"a b/c","Tokens":10}',
        ],
        ids=["deep", "infinite", "line-break", "blank"],
    )
    def test_request_is_served_when_an_engine_returns_an_unusable_copy(self, world, body):
        """Guards against a request without a response when an engine returns an unusable copy."""

        def malformed_copy(handler):
            handler.respond(200, body, echo(handler))

        world.worker("reader", "quotes", malformed_copy, Stage="prefill")
        world.worker("generator", "quotes", Stage="decode")
        relay = world.start_relay()
        statuses = {Caller(relay).ask("/talk/x", **PROMPT_HEADERS)[0] for _ in range(3)}
        assert statuses == {200} and not relay.find_log_lines("request_failed")

    @pytest.mark.parametrize("tokens", [10**30, -(10**30)], ids=["huge", "negative"])
    def test_peer_updates_survive_any_token_count_from_a_caller(self, world, tokens):
        """Guards against a host that sends no peer updates while such a request is running."""
        world.worker("e1", "quotes", stream(count=8, gap_s=0.2))
        relay, other = world.start_relay(), world.start_relay("relay-2")
        wait_until(
            lambda: other.find_log_lines("relay_peer_heard"), "the hosts receive peer updates"
        )
        malformed = {
            "Model_Id": "m",
            "Token_Usage": f"{tokens},50",
            "Prefix_Hash": f"aa:{tokens},bb:5",
        }
        assert Caller(relay).ask("/talk/x", **malformed)[0] == 200
        assert not relay.find_log_lines("task_failed") and not other.find_log_lines(
            "relay_peer_silent"
        )
