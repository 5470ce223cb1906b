"""Tests of a store that is restored from an older copy, which starts a new era."""

import time

import pytest
from expression import Ok
from hypothesis import given
from hypothesis import strategies as st
from laburnumreel_platform._records import decode_back_end
from laburnumreel_platform._store import StoreTables, TableFeed
from malformed_rows import row
from platform_config import config
from platform_world import HOST, Store, wait_until
from relay_caller import Caller
from test_malformed_values import KEYS, NUMBERS, ROW_VALUES, VALUES, StubStore

from laburnumreel.relay._back_ends import BackEndList, ListedBackEnd
from laburnumreel.relay._cost_model import Location
from laburnumreel.relay._fleet_state import FleetState
from laburnumreel.relay._ports import Listing
from laburnumreel.state import Check, StoreEra, Write, era_of_version, pack_version
from laburnumreel.transport import CallAnswer, JsonCalls

KEY = "k"


@pytest.fixture
def store():
    running = Store()
    yield running
    running.end()


@pytest.fixture
def era():
    return StoreEra()


def calls_to(store):
    return JsonCalls((HOST, int(store.address.rpartition(":")[2])), 1.0)


@pytest.fixture
def tables(store, era):
    return StoreTables(calls_to(store), era)


def write(tables, value, version=0):
    return tables.transact([Check("t", KEY, version)], [Write("t", KEY, {"value": value})])


class TestTables:
    def test_reused_version_conflicts_with_the_one_read(self, store, tables):
        """Guards against overwriting a row that another host wrote under the same version."""
        snapshot = store.snapshot()
        version = write(tables, "ours").ok
        store.restore(snapshot)
        store.put("t", KEY, {"value": "another's"})
        assert store.rows["t", KEY]["Ver"] == version
        # The answer makes the new era known.
        assert tables.read("t", "other").is_ok()
        assert write(tables, "ours again", version).error.kind == "conflict"
        assert store.value("t", KEY) == {"value": "another's"}

    def test_write_in_a_new_era_has_unknown_outcome(self, store, tables):
        snapshot = store.snapshot()
        version = write(tables, "ours").ok
        store.restore(snapshot)
        assert write(tables, "next", version).error.kind == "lost"

    def test_answer_of_an_earlier_era_is_discarded(self, store, tables, era):
        assert write(tables, "ours").is_ok()
        era.advance_to(1)
        assert tables.read("t", KEY).error.kind == "lost"
        store.restore(store.snapshot())
        found = tables.read("t", KEY).ok
        assert found.value == {"value": "ours"} and era_of_version(found.version) == 1


class TestFeed:
    def entry(self, name, beat):
        return {
            "Service": "orders",
            "Address": "10.0.0.1:80",
            "Zone": "zone-a",
            "Version": "v1",
            "Slots": 4,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": beat,
            "born": 1_800_000_000_000,
        }

    def test_feed_does_not_continue_from_a_version_of_another_era(self, store, era):
        feed = TableFeed(calls_to(store), "servers", decode_back_end, era)
        store.put("servers", "w1", self.entry("w1", 1))
        snapshot = store.snapshot()
        store.put("servers", "w2", self.entry("w2", 1))
        listing = feed.read().ok
        store.restore(snapshot)
        # The version is used again, for another entry.
        store.put("servers", "w3", self.entry("w3", 1))
        assert feed.follow(listing.version, 0.0).error.kind == "history_gone"
        assert sorted(feed.read().ok.entries) == ["w1", "w3"]

    def test_version_ahead_of_the_store_requires_a_complete_read(self, store, era):
        feed = TableFeed(calls_to(store), "servers", decode_back_end, era)
        store.put("servers", "w1", self.entry("w1", 1))
        listing = feed.read().ok
        store.version = 0
        assert feed.follow(listing.version, 0.0).error.kind == "history_gone"

    def test_removed_entry_does_not_return_with_an_older_copy(self):
        """Guards against requests to a backend server that was removed before the restore."""
        back_ends = BackEndList(return_grace_s=2.0)
        entry = ListedBackEnd(
            "b1", "orders", ("10.0.0.1", 80), "zone-a", 4, started_at_ms=5, beat=3
        )
        back_ends.put(entry, now=0.0)
        back_ends.drop("b1", now=0.0)
        back_ends.replace([entry._replace(beat=2)], now=1.0)
        assert not back_ends.usable("orders", now=1.0)
        back_ends.put(entry._replace(beat=4), now=1.0)
        assert back_ends.usable("orders", now=1.0)

    @pytest.mark.parametrize("step_ms", [-2400, 2400])
    def test_entry_after_a_clock_step_is_listed(self, step_ms):
        """Guards against a server that is ignored since its clock was set back (issue 48, review/5).

        It restarted under its name with a lower start time, and got requests while it drained.
        """
        state = FleetState(Location("zone-a", "region-a"), {}, 2.0)
        entry = ListedBackEnd(
            "b1", "orders", ("10.0.0.1", 80), "zone-a", 4, started_at_ms=9000, beat=30
        )
        again = entry._replace(started_at_ms=9000 + step_ms, beat=1)
        list_entry(state, 10, entry, complete=True)
        list_entry(state, 11, again)
        assert usable(state) == [again]
        list_entry(state, 12, again._replace(beat=2, draining=True))
        assert not usable(state)
        list_entry(state, 13, None)
        list_entry(state, 14, again._replace(started_at_ms=again.started_at_ms + step_ms))
        assert usable(state)

    @pytest.mark.parametrize("step_ms", [-2400, 2400])
    def test_copy_of_a_restored_store_replaces_no_newer_entry(self, step_ms):
        """A copy lists older writings with higher versions; what is written since is newer."""
        state = FleetState(Location("zone-a", "region-a"), {}, 2.0)
        entry = ListedBackEnd(
            "b1", "orders", ("10.0.0.1", 80), "zone-a", 4, started_at_ms=9000, beat=30
        )
        draining = entry._replace(draining=True, beat=31)
        list_entry(state, pack_version(0, 40), draining, complete=True)
        list_entry(state, pack_version(1, 20), entry, complete=True)
        assert not usable(state)
        # A complete read again, as after a broken connection.
        list_entry(state, pack_version(1, 20), entry, complete=True)
        assert not usable(state)
        again = entry._replace(started_at_ms=9000 + step_ms, beat=1)
        list_entry(state, pack_version(1, 21), again)
        assert usable(state) == [again]

    def test_entry_whose_address_was_reused_returns_with_its_next_writing(self):
        state = FleetState(Location("zone-a", "region-a"), {}, 2.0)
        entry = ListedBackEnd("b1", "orders", ("10.0.0.1", 80), "zone-a", 4)
        list_entry(state, 10, entry, complete=True)
        state.on_address_reused("b1", now=0.0)
        list_entry(state, 10, entry, complete=True)
        assert not usable(state)
        list_entry(state, 11, entry)
        assert usable(state)


def list_entry(state, version, entry, complete=False):
    """Have a host read one entry, or its removal, at a version of the store."""
    listing = Listing({"b1": entry}, version, 0.0, complete, {"b1": version})
    state.on_listing(listing, now=0.0)


def usable(state):
    return list(state._back_ends.usable("orders", now=0.0))


@pytest.mark.processes
class TestRelays:
    def test_relay_keeps_serving_under_a_higher_fence(self, world):
        worker = world.worker("w1")
        relay = world.start_relay()
        snapshot = world.store.snapshot()
        caller = Caller(relay)
        assert caller.ask("/safe/x")[0] == 200
        wait_until(lambda: world.duties.calls, "usage is reported", 15)
        before = {call[2]["WindowId"]: call[2]["Counts"] for call in list(world.duties.calls)}
        world.store.restore(snapshot)
        world.store.put("servers", "w1", worker.entry("orders", Sequence=9))
        wait_until(lambda: relay.find_log_lines("store_era_entered"), "the new era is known", 10)

        def usage_calls():
            return [call for call in list(world.duties.calls) if call[0] == "/usage"]

        def fence(call):
            return int({k.lower(): v for k, v in call[1].items()}["fencing-token"])

        # Six seconds, and longer until the new era has a report, as the machine may be busy.
        least, most = time.monotonic() + 6.0, time.monotonic() + 30.0
        while time.monotonic() < least or fence(usage_calls()[-1]) >> 32 == 0:
            assert time.monotonic() < most, "no report under a fence of the new era"
            assert caller.ask("/safe/x")[0] == 200
            time.sleep(0.1)
        calls = usage_calls()
        fences = [fence(call) for call in calls]
        assert fences == sorted(fences) and fences[-1] >> 32 == 1 and fences[0] >> 32 == 0
        for _, _, body in calls:
            # A window always has the same counts, in the new era too.
            assert before.setdefault(body["WindowId"], body["Counts"]) == body["Counts"]
        assert world.store.value("relay_hosts", "relay-1") is not None

    def test_configuration_is_never_downgraded(self, world):
        """A removed key stays removed, also on a host that starts with the restored store."""
        world.worker("w1")
        first = world.start_relay("relay-1")
        snapshot = world.store.snapshot()
        newer = config(version=900, keys=("key-b",))
        world.store.put("op", "config", newer)
        wait_until(lambda: Caller(first).ask("/safe/x")[0] == 401, "the key is removed")
        world.store.restore(snapshot)
        wait_until(lambda: first.find_log_lines("store_era_entered"), "the era is known", 10)
        assert Caller(first).ask("/safe/x")[0] == 401
        second = world.launch_relay("relay-2")
        end = time.monotonic() + 2.5
        while time.monotonic() < end:
            assert not second.is_ready()
            time.sleep(0.05)
        assert Caller(second).ask("/safe/x")[0] in (401, 503)
        world.store.put("op", "config", newer)
        wait_until(second.is_ready, "the newer configuration is back", 10)
        assert Caller(second).ask("/safe/x")[0] == 401


class ConflictingCalls(StubStore):
    """A double of the store's calls that answers each change with a version conflict."""

    def change(self, path, body):
        return Ok(CallAnswer(412, self.body, {"Store-Era": "0"}))


class TestConflicts:
    @given(
        st.one_of(VALUES, st.lists(st.one_of(VALUES, st.builds(row, KEYS, ROW_VALUES, NUMBERS))))
    )
    def test_conflict_with_any_rows_is_a_conflict(self, odd):
        """Guards against losing the lease or a duty through invalid rows in a conflict answer."""
        rows = [*odd, row("good", b'{"a":1}', 2)] if isinstance(odd, list) else odd
        checks = [Check("servers", "good", 1), Check("t", "k", 1)]
        error = StoreTables(ConflictingCalls(rows), StoreEra()).transact(checks, []).error
        assert error.kind == "conflict" and error.rows["t", "k"] is None
        if isinstance(odd, list):
            assert error.rows["servers", "good"].value == {"a": 1}
