"""Property tests of decoders with malformed values, and of the code that uses their results."""

import contextlib
import http.client
import json
import socket

import pytest
from expression import Ok
from hypothesis import given
from hypothesis import strategies as st
from laburnumreel_platform._callers import _parse_prompt as parse_prompt
from laburnumreel_platform._records import decode_back_end, decode_config
from laburnumreel_platform._store import StoreTables, TableFeed
from laburnumreel_platform._workers import WorkerProtocol
from malformed_rows import (
    ENTRY,
    MALFORMED_NAMES,
    MALFORMED_VALUES,
    malformed_addresses,
    malformed_entries,
    row,
)
from platform_config import config
from structlog.testing import capture_logs
from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.transport.TTransport import TMemoryBuffer

from laburnumreel.core import ManualClock
from laburnumreel.protocol.gen.relay import ttypes
from laburnumreel.relay._back_ends import ListedBackEnd
from laburnumreel.relay._capacity import wanted_counts
from laburnumreel.relay._config import (
    EngineTraits,
    RelayConfig,
    RelayService,
    RouteTable,
    Scaling,
    pick_share,
)
from laburnumreel.relay._cost_model import Candidate, Location, PlacementCosts
from laburnumreel.relay._fleet_state import FleetState
from laburnumreel.relay._limit_shares import HostDemand, limit_shares
from laburnumreel.relay._peer_update import PeerUpdate, decode_update, encode_update
from laburnumreel.relay._placement import EnginePlacement, choose_plain
from laburnumreel.relay._ports import Listing
from laburnumreel.relay._requests import MAX_TOKENS, Prompt, PromptPart
from laburnumreel.relay._roles import wanted_change
from laburnumreel.relay._server_limits import LimitReport
from laburnumreel.relay._usage_counters import UsageCounters
from laburnumreel.relay._work import Work
from laburnumreel.state import Fields, MalformedRowLog, StoreEra
from laburnumreel.transport import CallAnswer

LOCATION = Location("zone-a", "region-a")
TRAITS = EngineTraits(8, 100_000, 1000, 1e9, 5.0, 3.0)
# Texts with lone surrogates and control characters, which JSON can contain.
TEXTS = st.text(st.characters(), max_size=12)
MALFORMED_TEXTS = st.one_of(
    TEXTS,
    st.sampled_from(
        [*malformed_addresses().values(), *MALFORMED_NAMES, "", "ready", "decode", "10.0.0.1:80"]
    ),
    st.integers(-10, 10**6).map(lambda port: f"10.0.0.1:{port}"),
    st.tuples(TEXTS, TEXTS).map(":".join),
)
NUMBERS = st.one_of(
    st.integers(),
    st.floats(),
    st.sampled_from([0, 1, 2**31, 2**53, 2**63, 10**30, 10**400, -1, True, 1e308]),
)
LEAVES = st.one_of(st.none(), st.booleans(), NUMBERS, MALFORMED_TEXTS)
VALUES = st.recursive(
    LEAVES,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(MALFORMED_TEXTS, inner, max_size=3)
    ),
    max_leaves=8,
)


def replace_at(value, path, new):
    """Return a copy of a JSON value with the item at `path` replaced by `new`."""
    if not path:
        return new
    copy = value.copy()
    copy[path[0]] = replace_at(copy[path[0]], path[1:], new)
    return copy


def item_paths(value, at=()):
    """Return the paths to all items of a JSON value, including the value itself."""
    items = (
        value.items()
        if isinstance(value, dict)
        else enumerate(value) if isinstance(value, list) else ()
    )
    return [at, *(path for key, item in items for path in item_paths(item, (*at, key)))]


def mutations(value):
    """Return a strategy of copies of `value` with one to three items replaced by any values."""
    one = st.tuples(st.sampled_from(item_paths(value)), VALUES)

    def apply(changes):
        found = value
        for path, new in changes:
            if path in item_paths(found):
                found = replace_at(found, path, new)
        return found

    return st.lists(one, min_size=1, max_size=3).map(apply)


def encode_json(value):
    return json.dumps(value).encode()


ROW_VALUES = st.one_of(
    mutations(ENTRY).map(encode_json),
    mutations({**ENTRY, "Stage": "decode", "Spot": True}).map(encode_json),
    VALUES.map(encode_json),
    st.binary(max_size=40),
    st.sampled_from([*MALFORMED_VALUES.values(), *malformed_entries().values()]),
)
KEYS = st.one_of(st.just("w1"), TEXTS, st.sampled_from(MALFORMED_NAMES))


class StubStore:
    """A stub of the store's client that returns one page of rows."""

    def __init__(self, rows, **fields):
        self.body = {"Rows": rows, "Truncated": False, "Ver": 9, "NowMs": 5, **fields}

    def read(self, path, wait_s=0.0, repeat_path=None):
        return Ok(CallAnswer(200, self.body, {"Store-Era": "0"}))


def read_listing(rows, decode=decode_back_end, **fields):
    feed = TableFeed(StubStore(rows, **fields), "servers", decode, StoreEra())
    return feed.read()


def assert_usable(entry):
    """Assert that all code that uses a decoded entry accepts it."""
    assert isinstance(entry, ListedBackEnd)
    # A socket accepts the address without name resolution.
    assert socket.inet_aton(entry.address[0]) and 1 <= entry.address[1] <= 65535
    # The machine may have no route to the address; callers handle the OSError of that.
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender, contextlib.suppress(OSError):
        sender.connect(entry.address)
    assert entry.name.encode("latin-1").decode("latin-1").strip() == entry.name
    update = PeerUpdate(
        "host-1", "boot", entry.zone, 1, 1, False,
        work={entry.name: Work(1, 2, 3, 4)}, avoided={entry.name: 1.0}, held_back={}, crashes={},
        leaving={entry.name: entry.started_at_ms}, usage={}, kept={entry.name: ("aa",)},
        duty_fence=1, listing_version=1, gone=(entry.name,),
        limits={entry.name: LimitReport(entry.started_at_ms, 1.5, 0.1)}, asked={entry.service: 1.0},
    )  # fmt: skip
    assert decode_update(encode_update(update)).ok == update
    fleet_state = FleetState(LOCATION, {"zone-a": "region-a"}, 2.0)
    fleet_state.on_listing(Listing({entry.name: entry}, 1, 0.0, True), now=0.0)
    view = fleet_state.view({}, now=0.0)
    prompt = Prompt("m", (PromptPart("aa", 10), PromptPart("bb", 5)), 15, 5)
    for work in (Work(), Work(3, 10**9, 2, 10**9)):
        for listed in view.back_ends:
            candidate = Candidate(listed, "region-a", work, 0.1, 0, 0.01, 5.0)
            choose_plain([candidate], LOCATION, 1000, PlacementCosts())
            EnginePlacement(LOCATION).choose(prompt, 1000, TRAITS, [candidate])
    scaling = Scaling(1, 4, 1.0, 0.2, {})
    service = RelayService(entry.service, 50, None, scaling)
    wanted_counts(service, scaling, {entry.zone: 1}, {})
    wanted_change(view.back_ends, view.work, 0.5)
    limit_shares(entry.name, 1.5, [HostDemand("host-1", 1.0), HostDemand("host-2", 2.0)])
    json.dumps(entry._asdict())


class TestEntries:
    @given(KEYS, ROW_VALUES)
    def test_any_row_gives_a_usable_entry_or_none(self, key, value):
        """Guards against an entry that makes requests, peer updates or the list feed fail."""
        listing = read_listing([row("good", encode_json(ENTRY)), row(key, value)]).ok
        assert listing.entries["good"] is not None or key == "good"
        entry = listing.entries[key]
        if entry is not None:
            assert_usable(entry)

    @given(st.lists(st.one_of(VALUES, st.builds(row, KEYS, ROW_VALUES, NUMBERS)), max_size=3))
    def test_malformed_row_affects_only_itself(self, malformed):
        listing = read_listing([*malformed, row("good", encode_json(ENTRY))]).ok
        assert listing.entries["good"].name == "good"

    @pytest.mark.parametrize("encoded", [None, 7, "=", "\u2603", "AA", [], {}])
    def test_invalid_base64_affects_only_its_row(self, encoded):
        malformed = {**row("odd", b""), "Value": encoded}
        listing = read_listing([malformed, row("good", encode_json(ENTRY))]).ok
        assert listing.entries["odd"] is None and listing.entries["good"] is not None

    @pytest.mark.parametrize("label", malformed_entries())
    def test_malformed_entry_is_skipped_and_logged_with_its_problem(self, label):
        with capture_logs() as lines:
            assert read_listing([row("odd", malformed_entries()[label])]).ok.entries == {
                "odd": None
            }
        (line,) = lines
        assert (line["name"], line["table"], line["key"]) == ("record_unreadable", "servers", "odd")
        assert 0 < len(line["problem"]) <= 200

    @pytest.mark.parametrize("name", MALFORMED_NAMES)
    def test_entry_with_a_name_unfit_for_headers_is_skipped(self, name):
        assert read_listing([row(name, encode_json(ENTRY))]).ok.entries == {name: None}

    @pytest.mark.parametrize("missing", ["born", "Sequence", "Version", "ColdRemainingMs"])
    def test_optional_field_of_an_entry_may_be_missing(self, missing):
        entry = {name: value for name, value in ENTRY.items() if name != missing}
        assert decode_back_end("w1", entry).slots == 4

    @given(VALUES, VALUES, VALUES)
    def test_malformed_answer_is_an_error(self, rows, number, now_ms):
        result = read_listing(rows, Ver=number, NowMs=now_ms)
        assert result.is_ok() or result.error.kind == "lost"


class TestConfiguration:
    @given(mutations(config()))
    def test_any_configuration_gives_a_routable_one_or_none(self, value):
        found = read_listing([row("config", encode_json(value))], decode_config).ok.entries[
            "config"
        ]
        if found is None:
            return
        assert isinstance(found, RelayConfig)
        table = RouteTable(found)
        for route in found.routes:
            table.route(route.host, route.prefix + "x")
            pick_share(route.shares, 0.5)
            round(1000 * (route.timeout_s + route.objective_s + route.gap_s))
        for service in found.services.values():
            if service.engine is not None:
                prompt = Prompt("m", (PromptPart("aa", 10),), 10, 5)
                decoder = decode_back_end("w1", {**ENTRY, "Stage": "decode"})
                candidate = Candidate(decoder, "region-a", Work(), read_ms=0.01)
                EnginePlacement(LOCATION).choose(prompt, 10, service.engine, [candidate])

    @given(
        st.one_of(
            VALUES.map(encode_json),
            st.binary(max_size=40),
            st.sampled_from([*MALFORMED_VALUES.values()]),
        )
    )
    def test_any_other_row_affects_only_itself(self, value):
        rows = [row("config", encode_json(config())), row("other", value)]
        listing = read_listing(rows, decode_config).ok
        assert listing.entries["config"].version == 1 and listing.entries["other"] is None


class TestOwnRows:
    @given(KEYS, ROW_VALUES)
    def test_any_row_of_an_own_table_is_an_object(self, key, value):
        rows = [row("good", b'{"a":1}', 2), row(key, value, 3)]
        found = StoreTables(StubStore(rows), StoreEra()).scan("t").ok.rows
        assert [item.key for item in found] == ["good", key]
        assert all(isinstance(item.value, dict) for item in found)
        assert found[1].version == 3

    def test_row_is_logged_once_per_version_and_rate_limited_per_problem(self):
        clock = ManualClock(now=100.0)
        lines = []

        class Lines:
            def warning(self, event, **fields):
                lines.append(fields["problem"])

        row_log = MalformedRowLog(Lines(), clock.now)
        for version, problem, after_s in ((1, "a", 0), (1, "a", 60), (2, "a", 1), (3, "b", 0)):
            clock.advance(after_s)
            row_log.log_once("t", "k", version, problem)
        assert lines == ["a", "a", "b"]
        row_log.log_once("t", "k", 4, "b")
        clock.advance(11)
        row_log.log_once("t", "k", 5, "b" * 10**6)
        assert len(lines) == 4 and len(lines[3]) <= 200

    @given(VALUES, MALFORMED_TEXTS)
    def test_any_field_is_parsed_or_raises_value_error(self, value, name):
        readers = ("text", "integer", "flag", "address", "fields", "objects", "text_list")
        for reader in readers:
            try:
                getattr(Fields({name: value}), reader)(name)
            except ValueError as error:
                assert len(str(error)) < 1000 and str(error).isprintable()


class TestPromptCopies:
    @given(
        st.one_of(
            mutations({"Handle": "h1", "Tokens": 10, "Version": 1}).map(encode_json),
            VALUES.map(encode_json),
            st.binary(max_size=40),
            st.sampled_from([*MALFORMED_VALUES.values(), b'{"Handle":"h","Tokens":1e999}']),
        )
    )
    def test_any_answer_gives_a_usable_prompt_copy_or_an_error(self, body):
        """Guards against a request without a response when an engine returns an unusable copy."""
        found = WorkerProtocol().prompt_copy(("10.0.0.1", 80), body)
        if found.is_error():
            assert isinstance(found.error, str)
            return
        copy = found.ok
        method, path = WorkerProtocol().release_request(copy)
        connection = http.client.HTTPConnection("10.0.0.1")
        connection.putrequest(method, path)
        connection.putheader("Kv-Source", f"10.0.0.1:80/{copy.handle}")
        assert 0 <= copy.tokens <= MAX_TOKENS


class TestCallers:
    @given(st.one_of(st.text(max_size=20), st.tuples(NUMBERS, NUMBERS).map("{0[0]},{0[1]}".format)))
    def test_token_counts_of_a_caller_fit_into_peer_updates(self, tokens):
        """Guards against a host that cannot encode peer updates because of one caller's headers."""
        for usage, parts in ((tokens, "aa:5"), ("10,5", f"aa:{tokens.partition(',')[0]}")):
            prompt = parse_prompt({"token-usage": usage, "prefix-hash": parts})
            if prompt is None:
                continue
            encode_update(
                UPDATE._replace(
                    work={
                        "e1": Work(
                            1,
                            prompt.input_tokens,
                            1,
                            prompt.input_tokens + prompt.max_output_tokens,
                        )
                    }
                )
            )
            assert all(0 <= part.tokens <= MAX_TOKENS for part in prompt.parts)
            assert prompt.input_tokens >= 0 and prompt.max_output_tokens >= 0


UPDATE = PeerUpdate("h", "b", "z", 1, 1, False, {}, {}, {}, {}, {}, {}, {}, 0, 0)
# Any fields of the struct, with values that no host sends.
MALFORMED_STRUCTS = st.fixed_dictionaries(
    {},
    optional={
        name: st.sampled_from([None, 0, -1, 2**31 - 1, 2**63 - 1, "a", "", [], {}, True, 1.5])
        for name in ("sender", "boot", "zone", "sequence", "config_version", "stopping", "work",
                     "avoided", "held_back", "crashes", "leaving", "usage", "kept", "duty_fence",
                     "listing_version", "usage_window", "ended", "gone", "fixed", "limits", "asked")
    },
)  # fmt: skip


def encode_struct(struct):
    buffer = TMemoryBuffer()
    struct.write(TCompactProtocol(buffer))
    return buffer.getvalue()


def valid_struct():
    struct = ttypes.News()
    struct.read(TCompactProtocol(TMemoryBuffer(encode_update(UPDATE))))
    return struct


class TestPeerUpdates:
    @given(MALFORMED_STRUCTS)
    def test_datagram_with_a_malformed_field_is_rejected_or_usable(self, fields):
        """Guards against a host that receives no peer updates any more after one datagram."""
        struct = valid_struct()
        for name, value in fields.items():
            setattr(struct, name, value)
        try:
            sent = encode_struct(struct)
        except Exception:
            # The encoder of a host cannot write such a struct either.
            return
        assert_update_is_usable(sent)

    @given(st.binary(max_size=60))
    def test_any_bytes_are_a_usable_update_or_an_error(self, sent):
        assert_update_is_usable(sent)

    @given(st.sampled_from(["back_end", "requests", "reading_tokens", "streams", "kv_tokens"]))
    def test_work_without_a_field_is_an_error(self, name):
        struct = valid_struct()
        struct.work = [ttypes.Work("e1", 1, 2, 3, 4)]
        setattr(struct.work[0], name, None)
        assert decode_update(encode_struct(struct)).is_error()

    @pytest.mark.parametrize("name", ["sender", "boot", "zone", "sequence", "config_version"])
    def test_update_without_its_sender_fields_is_an_error(self, name):
        struct = valid_struct()
        setattr(struct, name, None)
        assert decode_update(encode_struct(struct)).is_error()

    def test_counts_without_a_window_are_an_error(self):
        struct = valid_struct()
        struct.usage = [ttypes.WindowCounts(None, {"a": 1})]
        assert decode_update(encode_struct(struct)).is_error()
        struct.usage = [ttypes.WindowCounts(1, None)]
        assert decode_update(encode_struct(struct)).is_error()


def assert_update_is_usable(sent):
    found = decode_update(sent)
    if found.is_error():
        assert isinstance(found.error, str)
        return
    update = found.ok
    assert decode_update(encode_update(update)).is_ok()
    fleet_state = FleetState(LOCATION, {"zone-a": "region-a"}, 2.0)
    fleet_state.on_peer_update(update, now=0.0)
    fleet_state.local_state(False, now=0.1)
    counters = UsageCounters(5.0)
    for window, counts in update.usage.items():
        counters.record_peer_counts(update.sender, update.boot, window, counts)
        counters.total_counts(window)
    counters.mark_fixed(*update.fixed)
    counters.ended_counts_since(0)
    counters.forget_before(3)
