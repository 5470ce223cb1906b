"""Unit tests of the version of software that a stream goes on at, without sockets."""

import random

import pytest
from laburnumreel_platform._records import decode_back_end
from relay_fleet import Host
from relay_samples import HERE, TRAITS, listed, prompt

from laburnumreel.core import ManualClock
from laburnumreel.relay._assignments import PlacementRequest
from laburnumreel.relay._back_ends import Role
from laburnumreel.relay._crash_evidence import LostRequest
from laburnumreel.relay._fleet_state import RESTART_LISTED_S
from laburnumreel.relay._ports import Listing
from laburnumreel.relay._settings import RetrySettings
from laburnumreel.relay._waiting import WaitingRequest
from laburnumreel.state import ErrorKind, Refusal

LOST = LostRequest("r0", "t0", "d0", ())


def order(now, software="v1", excluded=(), **fields):
    waiting = WaitingRequest("r1", 1, now, now + 1.0, now + 3.0)
    text = prompt(("aa", 2000))
    values = {"engine": TRAITS, "software": software, "excluded": frozenset(excluded), **fields}
    return PlacementRequest(waiting, "orders", text, 100, **values)


class Fleet:
    """A host's dispatcher with listed servers, of which each has a software version and a role."""

    def __init__(self, **servers):
        self.clock = ManualClock()
        self.host = Host(
            self.clock,
            HERE,
            {"zone-a": "region-a"},
            RetrySettings(0.2, 50.0, 10.0),
            2.0,
            random.Random(1),
        )
        self.entries = {
            name: listed(name, role=role, started_at_ms=7, software=software)
            for name, (software, role) in servers.items()
        }
        self.list_servers()

    def list_servers(self):
        self.host.on_listing(Listing(self.entries, 1, 0.0, True))

    def place(self, **fields):
        future = self.host.place(order(self.clock.now(), **fields))
        return future.result() if future.done() else None


class TestPlacement:
    def test_stream_that_has_begun_is_generated_by_its_version_only(self):
        fleet = Fleet(a1=("v1", None), **{f"b{number}": ("v2", None) for number in range(5)})
        chosen = {fleet.place().runner.name for _ in range(5)}
        assert chosen == {"a1"}
        assert len({fleet.place(software=None).runner.name for _ in range(12)}) > 1

    def test_prompt_may_be_read_by_another_version(self):
        fleet = Fleet(a1=("v1", Role.DECODE), b1=("v2", Role.DECODE), p1=("v2", Role.PREFILL))
        for _ in range(5):
            assert fleet.place().runner.name == "a1"

    def test_stream_is_refused_at_once_where_its_version_only_reads(self):
        fleet = Fleet(a1=("v1", Role.PREFILL), b1=("v2", Role.DECODE))
        assert fleet.place().kind is ErrorKind.STREAM_NOT_RESUMABLE

    def test_stream_is_refused_at_once_without_a_server_of_its_version(self):
        refusal = Fleet(b1=("v2", None)).place()
        assert refusal.kind is ErrorKind.STREAM_NOT_RESUMABLE and refusal.retry_after_s is None

    def test_stream_may_come_back_to_a_server_that_is_only_avoided(self):
        fleet = Fleet(a1=("v1", None), b1=("v2", None))
        fleet.host.record_unreachable("a1")
        refusal = fleet.place()
        assert isinstance(refusal, Refusal) and refusal.kind is ErrorKind.NO_BACK_END
        assert refusal.retry_after_s > 0

    def test_stream_may_come_back_where_its_servers_were_only_tried(self):
        fleet = Fleet(a1=("v1", None), b1=("v2", None))
        refusal = fleet.place(excluded=("a1",))
        assert refusal.kind is ErrorKind.NO_BACK_END and refusal.retry_after_s > 0

    def test_unknown_version_is_like_no_other(self):
        fleet = Fleet(a1=("", None), a2=("", None))
        assert fleet.place(software="").kind is ErrorKind.STREAM_NOT_RESUMABLE
        assert fleet.place(software=None).runner.name in ("a1", "a2")


class TestRestartedServer:
    """A server that starts again under its name may do so with other software."""

    def crash(self, fleet):
        fleet.host.record_crash("a1", LOST)

    def test_stream_does_not_go_on_at_an_ended_process_by_an_old_entry(self):
        fleet = Fleet(a1=("v1", None), b1=("v2", None))
        self.crash(fleet)
        assert isinstance(fleet.place(), Refusal)
        fleet.clock.advance(RESTART_LISTED_S)
        assert fleet.place().runner.name == "a1"

    @pytest.mark.parametrize("software, goes_on", [("v1", True), ("v2", False)])
    def test_new_entry_says_where_the_stream_goes_on(self, software, goes_on):
        fleet = Fleet(a1=("v1", None), b1=("v2", None))
        self.crash(fleet)
        restarted = fleet.entries["a1"]._replace(started_at_ms=9, software=software)
        fleet.entries["a1"] = restarted
        fleet.list_servers()
        assert isinstance(fleet.place(), Refusal) != goes_on


@pytest.mark.parametrize("value", [None, 7, "", ["v1"], "x" * 10_000, "\ud800"])
def test_version_that_cannot_be_read_is_unknown(value):
    entry = {"Service": "s", "Address": "10.0.0.1:80", "Zone": "z", "Slots": 4, "State": "ready"}
    assert decode_back_end("w1", {**entry, "Version": value}).software == ""
    assert decode_back_end("w1", {**entry, "Version": "v1.2"}).software == "v1.2"
