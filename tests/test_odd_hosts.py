"""Tests of a gateway's and a coordinator's view of a host list and load reports that hold odd ones."""

import json

import pytest
from expression import Ok
from hypothesis import given
from hypothesis import strategies as st
from odd_rows import odd_addresses
from test_odd_values import VALUES, mutations

from laburnumreel.coordination import Answer, Fleet, LoadReport
from laburnumreel.state import read_hosts
from laburnumreel.transport import HttpLoadReader

HOST = {
    "name": "w1",
    "address": "127.0.0.1:80",
    "zone": "xela-a",
    "region": "xela",
    "service": "orders",
    "kind": "plain",
    "cheap": False,
    "state": "live",
}
REPORT = {
    "at": 1.5,
    "role": "both",
    "models": ["m"],
    "queued_prefill_tokens": 3,
    "decode_streams": 1,
    "max_streams": 8,
    "prefill_tokens_per_s": 100.0,
    "decode_tokens_per_s": 50,
    "kv_free_tokens": 1000,
    "draining": False,
}
# Names are looked up by those who connect; the others are no address in any deployment.
NO_ADDRESSES = {
    label: text
    for label, text in odd_addresses().items()
    if label.startswith("port-")
    or label in ("host-label", "host-surrogate", "host-nul", "host-none")
}


def fleet_of(hosts):
    fleet = Fleet()
    fleet.on_hosts(read_hosts(hosts), now=0.0)
    return fleet


class TestHostList:
    @pytest.mark.parametrize("label", NO_ADDRESSES)
    def test_host_without_an_address_costs_only_itself(self, label):
        """Guards against a service without back ends for one odd address in the list."""
        odd = {**HOST, "name": "odd", "address": NO_ADDRESSES[label]}
        fleet = fleet_of([odd, HOST])
        names = [each.name for each in fleet.candidates("orders", "", now=0.0, cheap=True)]
        assert names == ["w1"] and fleet.addresses("plain") == {"w1": ("127.0.0.1", 80)}

    @given(st.lists(st.one_of(VALUES, mutations(HOST)), max_size=3))
    def test_any_list_gives_hosts_that_routing_can_use(self, odd):
        fleet = fleet_of([*odd, {**HOST, "name": "good"}])
        found = fleet.candidates("orders", "", now=0.0, cheap=True)
        assert "good" in [each.name for each in found]
        for kind in ("plain", "engine"):
            fleet.addresses(kind)
        json.dumps([each.address for each in found]).encode()

    @given(VALUES)
    def test_list_that_is_none_is_a_value_error_or_empty(self, value):
        try:
            assert isinstance(read_hosts(value), list)
        except ValueError as error:
            assert str(error)


class TestLoadReports:
    @given(st.one_of(VALUES, mutations(REPORT)))
    def test_any_report_is_one_that_routing_can_use_or_a_value_error(self, value):
        """Guards against a service whose every request fails for what one engine reports."""
        engine = {**HOST, "name": "e1", "kind": "engine", "service": "quotes"}
        fleet = fleet_of([engine])
        try:
            report = LoadReport.from_value(value)
        except ValueError:
            return
        fleet.on_load("e1", report, now=1.0)
        fleet.on_sent("e1", "r1", 10, now=2.0)
        fleet.candidates("quotes", "m", now=3.0, cheap=True)
        fleet.capacity("quotes", now=3.0, cheap=True, token_gap_s=0.1)
        fleet.on_finished("e1", "r1", now=4.0)

    @given(st.one_of(VALUES, mutations(REPORT)))
    def test_reader_of_an_odd_report_gives_an_error(self, value):
        """Guards against plans that end for what one engine reports."""

        class Link:
            def read(self, address, path):
                return Ok(Answer(200, value, {}))

        found = HttpLoadReader(Link()).read_load(("127.0.0.1", 80))
        assert found.is_ok() or "malformed" in found.error

    def test_usual_report_is_taken(self):
        assert LoadReport.from_value(REPORT).models == ("m",)
