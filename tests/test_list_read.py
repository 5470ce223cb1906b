"""Tests of reads of the backend servers' table on demand, and of servers that come and go unseen."""

import threading
from concurrent.futures import Future

import pytest
from expression import Error, Ok

from laburnumreel.core import SystemClock
from laburnumreel.relay._back_ends import MAX_UNLISTED_NAMES, ListedBackEnd
from laburnumreel.relay._cost_model import Location
from laburnumreel.relay._fleet_state import FleetState
from laburnumreel.relay._list_read import ListReader
from laburnumreel.relay._ports import Listing
from laburnumreel.state import PlatformError

ENTRY = ListedBackEnd("b1", "orders", ("10.0.0.1", 80), "zone-a", 4, started_at_ms=5, beat=3)


class Table:
    """A feed that answers a call once it is released."""

    def __init__(self, result):
        self.result = result
        self.calls = []
        self.release = threading.Event()
        self.release.set()

    def follow(self, version, wait_s):
        self.calls.append((version, wait_s))
        assert self.release.wait(5)
        return self.result

    def interrupt(self):
        self.release.set()


class Setup:
    def __init__(self, result, version=7):
        self.events = []
        self.table = Table(result)
        self.reader = ListReader(
            self.table, SystemClock(), lambda: version, self._apply, self.events.append
        )
        self.reader.start_daemon()

    def _apply(self, listing):
        self.events.append(listing)
        future = Future()
        future.set_result(None)
        return future

    def reads(self):
        """Return the events after all requests are served."""
        self.reader.stop()
        return self.events


def test_listing_is_applied_before_the_read_is_reported():
    listing = Listing({}, 9, 0.0, False)
    setup = Setup(Ok(listing))
    before = SystemClock().now()
    setup.reader.request()
    applied, read = setup.reads()
    assert applied == listing and read.is_applied and read.sent_at >= before
    assert setup.table.calls == [(7, 0.0)]


def test_requests_during_a_read_are_served_by_one_more():
    """Guards against a read for each of the streams that break off together."""
    setup = Setup(Ok(Listing({}, 9, 0.0, False)))
    setup.table.release.clear()
    for _ in range(20):
        setup.reader.request()
    setup.table.release.set()
    setup.reads()
    assert len(setup.table.calls) <= 2


@pytest.mark.parametrize(
    ("result", "version"),
    [(Error(PlatformError("lost", "silent")), 7), (Ok(Listing({}, 9, 0.0, False)), 0)],
)
def test_failed_read_is_reported(result, version):
    setup = Setup(result, version)
    setup.reader.request()
    (read,) = setup.reads()
    assert not read.is_applied


class Host:
    def __init__(self):
        self.state = FleetState(Location("zone-a", "region-a"), {}, 2.0)
        self.version = 0

    def read(self, entries, complete=False, unreadable=frozenset()):
        """Have the host read rows, and return whether servers may have come and gone unseen."""
        self.version += 1
        versions = dict.fromkeys(entries, self.version)
        listing = Listing(entries, self.version, 0.0, complete, versions, unreadable)
        return self.state.on_listing(listing, now=0.0)


class TestGaps:
    def test_changes_that_are_all_read_leave_no_gap(self):
        host = Host()
        assert not host.read({"b1": ENTRY}, complete=True)
        assert not host.read({"b1": ENTRY._replace(beat=4)})
        assert not host.read({"b1": None})
        # A late writing that was not listed, and its removal.
        assert not host.read({"b1": ENTRY})
        assert not host.read({"b1": None})

    def test_complete_read_after_the_first_is_a_gap(self):
        host = Host()
        assert not host.read({"b1": ENTRY}, complete=True)
        assert host.read({"b1": ENTRY}, complete=True)

    def test_removal_of_a_server_that_was_never_listed_is_a_gap(self):
        host = Host()
        host.read({"b1": ENTRY}, complete=True)
        assert host.read({"b2": None})

    def test_entry_that_can_not_be_read_is_no_gap(self):
        """Guards against a host that never knows the versions, because of one malformed entry."""
        host = Host()
        host.read({"b1": ENTRY}, complete=True)
        odd = {"unreadable": frozenset(["odd"])}
        assert not any(host.read({"odd": None}, **odd) for _ in range(3))

    def test_name_that_comes_and_goes_is_a_gap_once(self):
        host = Host()
        host.read({"b1": ENTRY}, complete=True)
        assert [host.read({"odd": None}) for _ in range(3)] == [True, False, False]
        for number in range(MAX_UNLISTED_NAMES + 5):
            assert host.read({f"odd{number}": None})
        assert len(host.state._back_ends._unlisted_names) == MAX_UNLISTED_NAMES
