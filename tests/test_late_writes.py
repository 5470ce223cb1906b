"""Tests of writes that the store performs late, after newer ones or after the entry was removed."""

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st
from platform_world import wait_until
from relay_caller import Caller
from test_relay_peers import make_update

from laburnumreel.relay._back_ends import (
    MAX_HEARTBEATS_TO_CONFIRM,
    BackEndList,
    ListedBackEnd,
)
from laburnumreel.relay._cost_model import Location
from laburnumreel.relay._ended_starts import (
    MAX_REMEMBERED_STARTS,
    MIN_REMEMBERED_S,
    EndedStarts,
    Writing,
)
from laburnumreel.relay._fleet_state import FleetState
from laburnumreel.relay._peer_update import EndedBeat
from laburnumreel.relay._poll_schedule import READER_POLL_S
from laburnumreel.relay._ports import Listing
from laburnumreel.state import pack_version

# The platform's `HeartbeatMs` and `DrainMs`.
HEARTBEAT_S, DRAIN_S = 1.2, 2.5
START_MS = 1_800_000_000_000
ENTRY = ListedBackEnd(
    "b1", "orders", ("10.0.0.1", 80), "zone-a", 4, started_at_ms=START_MS, beat=11
)


class Host:
    """What one host knows of a table with one entry, with the versions of a store that counts."""

    def __init__(self):
        self.state = FleetState(Location("zone-a", "region-a"), {}, 2.0)
        self.version = 0

    def read(self, entry, now=0.0, complete=False, era=0):
        """Have the host read the row as it was just written, or None for its removal."""
        self.version += 1
        version = pack_version(era, self.version)
        entries = {} if entry is None and complete else {"b1": entry}
        listing = Listing(entries, version, 0.0, complete, dict.fromkeys(entries, version))
        self.state.on_listing(listing, now)

    def hear(self, peer, now=0.0):
        """Have the host get an update from another one."""
        told = peer.state.local_state(cross_region=False, now=now)
        self.state.on_peer_update(make_update("peer", 1, **told._asdict()), now)

    def usable(self, now=0.0):
        return [each.beat for each in self.state._back_ends.usable("orders", now)]


@pytest.fixture
def host():
    host = Host()
    host.read(ENTRY, complete=True)
    return host


class TestOneStart:
    @pytest.mark.parametrize("late_beat", [8, 11])
    def test_late_heartbeat_does_not_list_a_removed_server(self, host, late_beat):
        """Guards against requests to a server whose entry was removed before a late heartbeat.

        It got new requests until its process ended (issue 61, review/10).
        """
        host.read(None)
        host.read(ENTRY._replace(beat=late_beat))
        assert host.usable() == []
        # A complete read, as after a broken connection.
        host.read(ENTRY._replace(beat=late_beat), complete=True)
        assert host.usable() == []

    @pytest.mark.parametrize("complete", [True, False])
    def test_server_that_lives_returns_with_its_next_writing(self, host, complete):
        """Guards against a server that gets no work though it lives.

        The store does not change an entry whose beat alone changes, so there is no second writing.
        """
        host.read(None, complete=complete)
        for _ in range(2):
            host.read(ENTRY._replace(beat=12))
            assert host.usable() == [12]

    def test_server_that_lapsed_with_the_store_returns_with_one_writing(self, host):
        host.state.on_directory_link("lost", 1.0)
        host.state.on_directory_link("back", 3.0)
        host.read(None, now=3.0, complete=True)
        assert host.usable(5.5) == []
        host.read(ENTRY, now=5.6)
        assert host.usable(5.6) == []
        host.read(ENTRY._replace(beat=12), now=5.7)
        assert host.usable(5.7) == [12]

    @pytest.mark.parametrize("complete", [True, False])
    def test_entry_that_could_not_be_read_returns_with_one_writing(self, host, complete):
        host.version += 1
        listing = Listing({"b1": None}, host.version, 0.0, complete, {}, frozenset(["b1"]))
        host.state.on_listing(listing, now=0.0)
        assert host.usable() == []
        host.read(ENTRY._replace(beat=8))
        assert host.usable() == []
        host.read(ENTRY._replace(beat=12))
        assert host.usable() == [12]

    def test_late_heartbeat_does_not_keep_an_entry_that_lapsed(self, host):
        """An equal beat is the same writing, performed once more."""
        host.state.on_directory_link("lost", 1.0)
        host.state.on_directory_link("back", 3.0)
        host.read(None, now=3.0, complete=True)
        for beat in (8, 11):
            host.read(ENTRY._replace(beat=beat), now=3.1)
        assert host.usable(3.2) and host.usable(5.3) == []

    def test_late_ready_does_not_replace_draining(self, host):
        host.read(ENTRY._replace(beat=12, draining=True))
        host.read(ENTRY)
        host.read(ENTRY._replace(beat=12))
        assert host.usable() == []

    def test_server_whose_removal_may_be_hidden_has_to_write_again(self, host):
        """The removal and a late heartbeat were performed between two reads of this host."""
        host.read(ENTRY._replace(beat=8), now=10.0)
        confirm_s = MAX_HEARTBEATS_TO_CONFIRM * HEARTBEAT_S
        assert host.usable(10.0 + confirm_s - 0.01) == [11]
        host.read(ENTRY._replace(beat=9), now=10.0 + confirm_s)
        assert host.usable(10.0 + confirm_s) == []
        host.read(ENTRY._replace(beat=12), now=12.0)
        assert host.usable(20.0) == [12]
        # A reader polls in time for the rest of the drain time.
        assert 1.25 * READER_POLL_S + confirm_s < DRAIN_S

    def test_older_copy_of_the_store_hides_no_removal(self, host):
        host.read(ENTRY._replace(beat=8), now=10.0, complete=True, era=1)
        assert host.usable(20.0) == [11]

    def test_outage_hides_no_removal(self, host):
        host.read(ENTRY._replace(beat=8), now=10.0)
        host.state.on_directory_link("lost", 10.5)
        assert host.usable(20.0) == [11]


class TestOrderOfReads:
    """Two tasks of a host read the table; what was read first may be applied last."""

    @pytest.mark.parametrize("complete", [True, False])
    def test_read_from_before_removes_no_later_entry(self, host, complete):
        later = ENTRY._replace(started_at_ms=START_MS + 5000, beat=1)
        host.read(None)
        host.read(later)
        entries = {} if complete else {"b1": None}
        versions = dict.fromkeys(entries, host.version - 1)
        host.state.on_listing(Listing(entries, host.version - 1, 0.0, complete, versions), now=0.0)
        assert host.usable() == [1]

    def test_read_from_before_hides_no_removal(self, host):
        host.read(ENTRY._replace(beat=12), now=10.0)
        stale = Listing({"b1": ENTRY}, host.version - 1, 0.0, False, {"b1": host.version - 1})
        host.state.on_listing(stale, now=10.0)
        assert host.usable(20.0) == [12]


class TestStarts:
    @pytest.mark.parametrize("late_beat", [8, 11, 12, 13])
    def test_late_heartbeat_of_an_earlier_start_replaces_no_later_one(self, host, late_beat):
        later = ENTRY._replace(started_at_ms=START_MS + 5000, beat=1, software="v2")
        host.read(later)
        host.read(ENTRY._replace(beat=late_beat))
        assert host.usable() == [1]
        host.read(None)
        host.read(ENTRY._replace(beat=late_beat))
        assert host.usable() == []

    def test_start_replaced_by_a_late_heartbeat_is_back_with_its_next_one(self, host):
        """The host started after the end of the earlier start, and knows nothing of it."""
        host.read(ENTRY._replace(started_at_ms=START_MS - 5000, beat=40))
        host.read(ENTRY._replace(beat=12))
        assert host.usable() == [12]
        # One more of the earlier start may be of a server whose clock was set back.
        host.read(ENTRY._replace(started_at_ms=START_MS - 5000, beat=41))
        host.read(ENTRY._replace(beat=13))
        assert host.usable() == [13]

    def test_start_after_a_clock_step_is_listed_though_it_has_been_replaced(self, host):
        again = ENTRY._replace(started_at_ms=START_MS - 5000, beat=1)
        host.read(again)
        assert host.usable() == [1]
        # The last heartbeat of the ended start, by the clock the later one.
        host.read(ENTRY._replace(beat=12))
        host.read(again._replace(beat=2))
        host.read(again._replace(beat=3))
        assert host.usable() == [3]

    def test_server_without_a_start_time_returns_with_a_newer_version(self):
        host = Host()
        entry = ENTRY._replace(started_at_ms=0, beat=0)
        host.read(entry, complete=True)
        host.read(None)
        host.read(entry)
        assert host.usable() == [0]


class TestPeers:
    def test_host_that_has_not_seen_the_removal_learns_of_it(self, host):
        """Guards against a host that starts after a late heartbeat of a removed server."""
        host.read(None)
        late = ENTRY._replace(beat=8)
        host.read(late)
        started = Host()
        started.read(late, complete=True)
        assert started.usable() == [8]
        # Longer than a removed entry is reported by its name.
        started.hear(host, now=100.0)
        assert started.usable(100.0) == []
        started.read(ENTRY._replace(beat=11), now=200.0, complete=True)
        assert started.usable(200.0) == []

    def test_report_before_the_first_read_counts(self, host):
        host.read(None)
        host.read(ENTRY._replace(beat=8))
        started = Host()
        started.hear(host, now=100.0)
        started.read(ENTRY._replace(beat=8), now=200.0, complete=True)
        assert started.usable(200.0) == []

    def test_report_ends_no_newer_writing_and_no_other_start(self, host):
        host.read(None)
        host.read(ENTRY._replace(beat=8))
        for entry in (
            ENTRY._replace(beat=12),
            ENTRY._replace(started_at_ms=START_MS - 5000, beat=1),
        ):
            other = Host()
            other.read(entry, complete=True)
            other.hear(host, now=100.0)
            assert other.usable(200.0) == [entry.beat]

    @pytest.mark.parametrize("step_ms", [-5000, 5000])
    def test_report_of_another_start_keeps_no_server_out(self, host, step_ms):
        host.read(None)
        ended = {"b1": EndedBeat(START_MS + step_ms, 40)}
        host.state.on_peer_update(make_update("peer", 1, ended_starts=ended), now=0.0)
        host.read(ENTRY._replace(beat=12))
        assert host.usable() == [12]

    def test_peer_that_is_wrong_costs_one_heartbeat(self, host):
        update = make_update("peer", 1, ended_starts={"b1": EndedBeat(START_MS, 11)})
        host.state.on_peer_update(update, now=0.0)
        assert host.usable() == []
        host.read(ENTRY._replace(beat=12))
        assert host.usable() == [12]

    def test_server_that_lives_is_not_reported(self, host):
        host.read(ENTRY._replace(beat=8))
        assert not host.state.local_state(False, 0.0).ended_starts
        host.read(None)
        assert not host.state.local_state(False, 0.0).ended_starts
        host.read(ENTRY._replace(beat=12))
        assert not host.state.local_state(False, 0.0).ended_starts


class TestMemory:
    def test_recent_ends_are_remembered_whatever_their_number(self):
        ended = EndedStarts()
        names = [f"b{number}" for number in range(3 * MAX_REMEMBERED_STARTS)]
        for name in names:
            ended.add(name, Writing(START_MS, 5, 1), has_lapsed=False, now=0.0)
        assert len(ended) == len(names)
        ended.add("last", Writing(START_MS, 5, 1), has_lapsed=False, now=MIN_REMEMBERED_S)
        assert len(ended) == MAX_REMEMBERED_STARTS
        assert ended.get("b0", START_MS) is None and ended.get(names[-1], START_MS) is not None


@st.composite
def histories(draw):
    """Draw what a store performs for one server over some starts: writings and removals, in order.

    Each start writes its beats; some are performed late, once or twice, after newer ones, removals
    and later starts.
    """
    steps = []
    for number in range(draw(st.integers(1, 3))):
        start = START_MS + 10_000 * number
        last = draw(st.integers(1, 5))
        steps += [(start, beat) for beat in range(1, last + 1)]
        if draw(st.booleans()):
            steps.append(None)
        late = draw(st.lists(st.integers(1, last + 1), max_size=3, unique=True))
        steps += [(start, beat, draw(st.integers(0, 12))) for beat in late]
    performed = []
    for index, step in enumerate(steps):
        delay = step[2] if step is not None and len(step) == 3 else 0
        performed.append((index + delay + (0.5 if delay else 0), step and step[:2]))
    return [step for _, step in sorted(performed, key=lambda each: each[0])]


class TestHistories:
    @given(histories(), st.lists(st.booleans(), min_size=40, max_size=40), st.data())
    def test_start_that_ended_is_not_listed_by_what_it_wrote_before(self, steps, reads, data):
        back_ends = BackEndList(return_grace_s=2.0)
        read_beats, ended = {}, set()
        for version, (step, is_read) in enumerate(zip(steps, reads, strict=False), 1):
            row = step
            if not is_read:
                continue
            if row is None:
                back_ends.drop("b1", now=0.0)
                ended |= read_beats.keys()
            else:
                start, beat = row
                entry = ENTRY._replace(started_at_ms=start, beat=beat)
                is_listed = back_ends.put(entry, 0.0, version)
                is_newer = beat > read_beats.get(start, 0)
                assert not is_listed or is_newer or start not in ended
                if is_listed:
                    ended = (ended | read_beats.keys()) - {start}
                    read_beats[start] = max(beat, read_beats.get(start, 0))
            usable = back_ends.usable("orders", 0.0)
            assert not {each.started_at_ms for each in usable} & ended
        # The last start, or a new one, is listed with its next writing.
        last = max((step[0] for step in steps if step is not None), default=START_MS)
        start = data.draw(st.sampled_from([last, last + 10_000]))
        back_ends.put(ENTRY._replace(started_at_ms=start, beat=100), 0.0, 1000)
        assert [each.beat for each in back_ends.usable("orders", 0.0)] == [100]


@pytest.mark.processes
def test_relays_send_nothing_to_a_removed_server_after_a_late_heartbeat(world):
    """Two relays read the removal; a third starts while the late heartbeat stands in the store."""
    for name in ("w1", "w2"):
        world.worker(name, Sequence=11)
    relays = [world.launch_relay(f"relay-{number}") for number in range(2)]
    for relay in relays:
        wait_until(relay.is_ready, "the relay is ready", 60.0)
    world.store.put("servers", "w1", None)
    for relay in relays:
        wait_until(lambda relay=relay: relay.find_log_lines("back_end_gone"), "the removal is read")
    world.store.put("servers", "w1", world.workers["w1"].entry("orders", Sequence=8))
    for relay in relays:
        wait_until(
            lambda relay=relay: relay.find_log_lines("back_end_ignored"), "the late write is read"
        )
    relays.append(world.launch_relay("relay-2"))
    wait_until(relays[-1].is_ready, "the third relay is ready", 60.0)
    # Longer than peers keep a name that was removed.
    end = time.monotonic() + 4.0
    while time.monotonic() < end:
        for relay in relays:
            assert Caller(relay).ask("/once/x")[0] == 200
        time.sleep(0.1)
    assert not world.workers["w1"].requests("POST")
    listed = [line["back_end"] for line in relays[0].find_log_lines("back_end_listed")]
    assert listed.count("w1") == 1
