"""Process tests of relays with malformed rows in the product's own tables."""

import base64
import time

import pytest
from malformed_rows import MALFORMED_VALUES, malformed_addresses
from platform_config import ENGINE, config
from platform_world import wait_until
from relay_caller import Caller

pytestmark = pytest.mark.processes

# Covers several peer updates between hosts.
OBSERVATION_S = 1.5


class TestHosts:
    def test_malformed_host_rows_do_not_isolate_hosts(self, world):
        """Guards against a host without peers because one address in the list is malformed."""
        world.worker("w1")
        for label, value in MALFORMED_VALUES.items():
            world.store.put("relay_hosts", label, value)
        for label, address in malformed_addresses().items():
            world.store.put("relay_hosts", f"a-{label}", {"address": address, "boot": "b"})
        relays = [world.start_relay(), world.start_relay("relay-2")]
        for relay in relays:
            wait_until(
                lambda relay=relay: relay.find_log_lines("relay_peer_heard"),
                "peer updates are received",
            )
        time.sleep(OBSERVATION_S)
        for relay in relays:
            assert not relay.find_log_lines("task_failed") and not relay.find_log_lines(
                "relay_peer_silent"
            )


class TestTime:
    @pytest.mark.parametrize("label", ["deep", "list", "text", "missing", "huge", "nan"])
    def test_malformed_time_row_is_rewritten(self, world, label):
        """Guards against hosts that never agree on the time of day and report no usage."""
        malformed = {
            "text": {"unix_s": "noon"},
            "missing": {"other": 1},
            "huge": {"unix_s": 10**400},
            "nan": b'{"unix_s":NaN}',
        }
        world.store.put("relay_time", "store_zero", malformed.get(label) or MALFORMED_VALUES[label])
        world.worker("w1")
        relays = [world.start_relay(), world.start_relay("relay-2")]
        for relay in relays:
            wait_until(
                lambda relay=relay: relay.find_log_lines("true_time_agreed"), "the time is agreed"
            )
            assert Caller(relay).ask("/safe/x")[0] == 200
        wait_until(lambda: world.duties.calls, "usage is reported", 15)
        assert not any(relay.find_log_lines("task_failed") for relay in relays)
        assert abs(world.store.value("relay_time", "store_zero")["unix_s"] - store_zero()) < 60


def store_zero():
    return time.time() - time.monotonic()


class TestLease:
    @pytest.mark.parametrize(
        "value",
        [
            MALFORMED_VALUES["deep"],
            MALFORMED_VALUES["list"],
            {"holder": "relay-9"},
            {"holder": "relay-9", "boot": "b", "fence": 10**30, "term_s": 1.0},
            {"holder": "relay-9", "boot": "b", "fence": 2**40, "term_s": 1.0},
            {"holder": "relay-9", "boot": "b", "fence": "7", "term_s": 1.0},
            {"holder": "relay-9", "boot": "b", "fence": 7, "term_s": "1"},
            {"holder": "relay-9", "boot": "b", "fence": 7, "term_s": 1e308},
            {"holder": ["x"], "boot": None, "fence": True, "term_s": -1},
        ],
        ids=["deep", "list", "fields", "huge", "era", "text", "term-text", "term-huge", "all"],
    )
    def test_malformed_lease_row_is_waited_out(self, world, value):
        """Guards against a fleet in which no host can acquire the duties lease any more."""
        world.store.put("lease", "relay_duties", value)
        world.worker("w1")
        relays = [world.start_relay(), world.start_relay("relay-2")]
        # The usage of windows that end before a host holds the lease may be dropped.
        caller, end = Caller(relays[0]), time.monotonic() + 20
        while not world.duties.calls and time.monotonic() < end:
            assert caller.ask("/safe/x")[0] == 200
            time.sleep(0.2)
        assert world.duties.calls, "usage is reported"
        fences = [call[1]["Fencing-Token"] for call in list(world.duties.calls)]
        has_valid_fence = isinstance(value, dict) and value.get("fence") == 7
        assert set(fences) == ({"8"} if has_valid_fence else {"1"})
        for relay in relays:
            assert len(relay.find_log_lines("record_unreadable")) == 1
            assert not relay.find_log_lines("task_failed") and not relay.find_log_lines(
                "relay_peer_silent"
            )


class TestCapacity:
    @pytest.mark.parametrize(
        "value",
        [
            MALFORMED_VALUES["nested"],
            {"dedicated": {"zone-a": "many"}},
            {"dedicated": {"zone-a": 10**30}},
            {"dedicated": 7},
        ],
        ids=["nested", "text", "huge", "number"],
    )
    def test_malformed_capacity_row_is_rebuilt_without_blocking_other_duties(self, world, value):
        """Guards against orders based on a malformed row, and duties that fail on reading it."""
        service = {
            "Name": "quotes",
            "MaxConnections": 50,
            "Engine": ENGINE,
            "Scaling": {"Min": 1, "Max": 4, "BootS": 1.0, "ZonePrices": {"zone-a": 1.0}},
        }
        plain = config()["Services"][0]
        world.store.put("op", "config", {**config(2), "Services": [plain, service]})
        world.store.put("relay_capacity", "quotes", value)
        world.worker("w1")
        world.worker("e1", "quotes")
        relay = world.start_relay()
        expected = {"dedicated": {"zone-a": 1}}
        wait_until(
            lambda: b"zone-a" in raw_value(world, "relay_capacity", "quotes")
            and world.store.value("relay_capacity", "quotes") == expected,
            "the counted capacity is written",
            25,
        )
        assert not relay.find_log_lines("task_failed")
        orders = [call[2]["DesiredCount"] for call in world.duties.calls if call[0] == "/scaling"]
        assert all(count <= 4 for count in orders)


def raw_value(world, table, key):
    return base64.b64decode(world.store.rows[table, key]["Value"])


class TestWindows:
    @pytest.mark.parametrize(
        "value",
        [MALFORMED_VALUES["deep"], {"counts": [1]}, {"counts": {"hall-a": "3"}}, {}],
        ids=["deep", "list", "text", "missing"],
    )
    def test_malformed_window_row_is_skipped_and_later_windows_are_reported(self, world, value):
        """Guards against duties that stop permanently at the malformed row of one window."""
        world.worker("w1")
        now = int(time.time())
        malformed = range(now, now + 10)
        for window in malformed:
            world.store.put("relay_windows", f"{window:016d}", value)
            world.store.put("relay_usage", f"{window:016d}/odd", value)
        relay = world.start_relay()
        caller, end = Caller(relay), time.monotonic() + 20
        while time.monotonic() < end and not world.duties.calls:
            assert caller.ask("/safe/x")[0] == 200
            time.sleep(0.2)
        windows = [call[2]["WindowId"] for call in world.duties.calls if call[0] == "/usage"]
        assert windows and not set(windows) & set(malformed)
        assert not relay.find_log_lines("task_failed")
