"""Tests of host lists, peer addresses, load reports and platform answers that are malformed."""

import http.client
import json

import pytest
from expression import Ok
from hypothesis import given
from hypothesis import strategies as st
from malformed_rows import MALFORMED_VALUES, MANY_DIGITS, NESTED, malformed_addresses
from test_gateway_broken_streams import resume_stream
from test_malformed_values import VALUES, mutations

from laburnumreel.coordination import Fleet, JsonResponse, LoadReport, format_address, parse_address
from laburnumreel.state import Check, HttpPlatform, read_hosts
from laburnumreel.state._lenient_json import loads_lenient
from laburnumreel.transport import HttpLoadReader
from laburnumreel_standins.caller import MODEL, bearer_headers, call
from laburnumreel_standins.processes import wait_until

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
# Host names are resolved when connecting, so only texts that are never an address are listed.
MALFORMED_ADDRESSES = {
    label: text
    for label, text in malformed_addresses().items()
    if label.startswith("port-")
    or label in ("host-label", "host-surrogate", "host-nul", "host-none")
}


def fleet_of(hosts):
    fleet = Fleet()
    fleet.on_hosts(read_hosts(hosts), now=0.0)
    return fleet


class TestHostList:
    @pytest.mark.parametrize("label", MALFORMED_ADDRESSES)
    def test_host_with_a_malformed_address_affects_only_itself(self, label):
        """Guards against a service that loses all back ends to one malformed address."""
        malformed = {**HOST, "name": "odd", "address": MALFORMED_ADDRESSES[label]}
        fleet = fleet_of([malformed, HOST])
        names = [each.name for each in fleet.candidates("orders", "", now=0.0, cheap=True)]
        assert names == ["w1"] and fleet.addresses("plain") == {"w1": ("127.0.0.1", 80)}

    @given(st.lists(st.one_of(VALUES, mutations(HOST)), max_size=3))
    def test_any_list_gives_hosts_that_routing_can_use(self, malformed):
        fleet = fleet_of([*malformed, {**HOST, "name": "good"}])
        found = fleet.candidates("orders", "", now=0.0, cheap=True)
        assert "good" in [each.name for each in found]
        for kind in ("plain", "engine"):
            fleet.addresses(kind)
        json.dumps([each.address for each in found]).encode()

    @given(VALUES)
    def test_malformed_list_is_a_value_error_or_empty(self, value):
        try:
            assert isinstance(read_hosts(value), list)
        except ValueError as error:
            assert str(error)


class TestPeers:
    @pytest.mark.parametrize("text", [*MALFORMED_ADDRESSES.values(), "", ":", "80"])
    def test_malformed_address_is_rejected(self, text):
        """Guards against unexpected exceptions in calls, such as for an invalid port."""
        assert parse_address(text) is None

    def test_formatted_address_is_parsed(self):
        for address in (("10.0.0.1", 80), ("node-1.example", 65535), ("[::1]", 1)):
            assert parse_address(format_address(address)) == address


class TestLoadReports:
    @given(st.one_of(VALUES, mutations(REPORT)))
    def test_any_report_is_usable_for_routing_or_a_value_error(self, value):
        """Guards against a service whose requests all fail because of one engine's report."""
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
    def test_reader_of_a_malformed_report_returns_an_error(self, value):
        """Guards against plans that fail because of one engine's report."""

        class Link:
            def read(self, address, path):
                return Ok(JsonResponse(200, value, {}))

        found = HttpLoadReader(Link()).read_load(("127.0.0.1", 80))
        assert found.is_ok() or "malformed" in found.error

    def test_valid_report_is_accepted(self):
        assert LoadReport.from_value(REPORT).models == ("m",)


DEEPLY_NESTED = b"[" * 100_000 + b"1" + b"]" * 100_000
# Entries at which a JSON parser fails, so that the entries beside them would be lost too.
UNREADABLE = {
    "deep": DEEPLY_NESTED,
    "deep-field": b'{"name":"odd","state":' + DEEPLY_NESTED + b"}",
    "deep-object": b'{"name":' * 50_000 + b"1" + b"}" * 50_000,
    "nested-twice": b'{"a":' + NESTED + b',"b":' + DEEPLY_NESTED + b',"name":"]}\\""}',
    "digits": b'{"name":"odd","slots":' + MANY_DIGITS + b"}",
    "digits-negative": b"-" + MANY_DIGITS,
    "bytes": b'{"name":"\xff\xfe"}',
    "half-pair": b'{"name":"\xed\xa0\x80"}',
    "control": b'{"name":"a\nb\0"}',
    "nan": b"NaN",
}


@pytest.fixture
def platform(start_scripted_server):
    """Return a client of a platform with one answer to all calls, and the list that sets it."""
    answers = []
    server = start_scripted_server(lambda exchange: exchange.write_answer(*answers))
    return HttpPlatform(server.address), answers


class TestAnswersOfThePlatform:
    """All entries are in one JSON text, so one that stops the parser would lose all of them."""

    @pytest.mark.parametrize("label", UNREADABLE)
    def test_unparsable_entry_affects_only_itself(self, platform, label):
        """Guards against tasks that fail repeatedly or stop following the list."""
        client, answers = platform
        malformed = UNREADABLE[label]
        answers[:] = [b'{"hosts":[' + malformed + b"," + json.dumps(HOST).encode() + b"]}"]
        assert [host.name for host in client.hosts().ok] == ["w1"]
        rows = (
            b'{"key":"a","version":3,"value":'
            + malformed
            + b'},{"key":"b","version":4,"value":{"c":1}}'
        )
        answers[:] = [b'{"more":false,"rows":[' + rows + b"]}"]
        first, second = client.scan("t").ok.rows
        assert (second.value, first.version) == ({"c": 1}, 3) and isinstance(first.value, dict)
        failed = b'{"failed":[{"table":"t","key":"a","version":3,"value":' + malformed + b"}]}"
        answers[:] = [failed, "409 Conflict"]
        error = client.transact([Check("t", "a", 1)], []).error
        assert error.kind == "conflict" and error.rows["t", "a"].version == 3

    @pytest.mark.parametrize("label", ["deep", "deep-object", "no-json", "no-text", "empty"])
    @pytest.mark.parametrize("status", ["200 OK", "409 Conflict"])
    def test_malformed_answer_is_an_error(self, platform, label, status):
        """Guards against tasks that raise although they can handle the error."""
        client, answers = platform
        answers[:] = [MALFORMED_VALUES[label], status]
        for result in (
            client.hosts(),
            client.scan("t"),
            client.read("t", "k"),
            client.transact([], []),
        ):
            assert result.error.kind == "lost"

    @given(VALUES)
    def test_valid_entries_are_parsed_unchanged(self, value):
        encoded = json.dumps(value)
        assert json.dumps(loads_lenient(encoded.encode())) == encoded

    @pytest.mark.processes
    def test_gateway_serves_and_follows_a_list_with_unparsable_entries(
        self, deployment, start_scripted_server
    ):
        servers = [start_scripted_server(resume_stream), start_scripted_server(resume_stream)]
        listed = servers[0].register_with(deployment)

        def platform(exchange):
            if exchange.path == "/hosts":
                valid = [json.dumps({**HOST, **host}).encode() for host in deployment.hosts]
                exchange.write_answer(
                    b'{"hosts":[' + b",".join([*UNREADABLE.values(), *valid]) + b"]}"
                )
            else:
                exchange.write_answer(*forward_read(deployment.platform_address, exchange))

        deployment.configure()
        address = "{}:{}".format(*start_scripted_server(platform).address)
        gateway = deployment.start_gateway(platform=f"address = {address}\n")
        body = {"model": MODEL, "prompt": "x", "max_tokens": 2}

        def served_by(server):
            before = len(server.request_ids)
            reply = call(gateway.caller_address, "POST", "/v1/completions", body, bearer_headers())
            return reply.status == 200 and len(server.request_ids) > before

        assert served_by(servers[0])
        deployment.hosts[:] = [host for host in deployment.hosts if host["name"] != listed]
        servers[1].register_with(deployment)
        wait_until(lambda: served_by(servers[1]), "the gateway to follow the list")
        assert "task_failed" not in gateway.process.output


def forward_read(address, exchange):
    """Forward a read to the platform and return body and status; refuse other calls."""
    if exchange.command != "GET":
        return b"{}", "503 Unavailable"
    connection = http.client.HTTPConnection(*address, timeout=5)
    connection.request("GET", exchange.path)
    answer = connection.getresponse()
    return answer.read(), f"{answer.status} {answer.reason}"
