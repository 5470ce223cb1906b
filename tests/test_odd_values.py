"""Properties of decoders over values that another writer may leave, and of all that comes after them."""

import contextlib
import http.client
import json
import socket

import pytest
from expression import Ok
from hypothesis import given
from hypothesis import strategies as st
from laburnumreel_platform._callers import _prompt as prompt_of
from laburnumreel_platform._records import decode_back_end, decode_config
from laburnumreel_platform._store import StoreTables, TableFeed
from laburnumreel_platform._workers import Workers
from odd_rows import ENTRY, GARBAGE, ODD_NAMES, odd_addresses, odd_entries, row
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
from laburnumreel.state import Fields, OddRows, StoreEra
from laburnumreel.transport import CallAnswer

HERE = Location("zone-a", "region-a")
TRAITS = EngineTraits(8, 100_000, 1000, 1e9, 5.0, 3.0)
# Texts with half surrogate pairs and control characters, which JSON can hold.
TEXTS = st.text(st.characters(), max_size=12)
ODD_TEXTS = st.one_of(
    TEXTS,
    st.sampled_from([*odd_addresses().values(), *ODD_NAMES, "", "ready", "decode", "10.0.0.1:80"]),
    st.integers(-10, 10**6).map(lambda port: f"10.0.0.1:{port}"),
    st.tuples(TEXTS, TEXTS).map(":".join),
)
NUMBERS = st.one_of(
    st.integers(),
    st.floats(),
    st.sampled_from([0, 1, 2**31, 2**53, 2**63, 10**30, 10**400, -1, True, 1e308]),
)
LEAVES = st.one_of(st.none(), st.booleans(), NUMBERS, ODD_TEXTS)
VALUES = st.recursive(
    LEAVES,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(ODD_TEXTS, inner, max_size=3)
    ),
    max_leaves=8,
)


def changed(value, path, new):
    """Return a copy of a JSON value with one item at a path replaced."""
    if not path:
        return new
    copy = value.copy()
    copy[path[0]] = changed(copy[path[0]], path[1:], new)
    return copy


def paths(value, at=()):
    """Return the ways to all items of a JSON value, itself included."""
    items = (
        value.items()
        if isinstance(value, dict)
        else enumerate(value) if isinstance(value, list) else ()
    )
    return [at, *(path for key, each in items for path in paths(each, (*at, key)))]


def mutations(value):
    """Return values that differ from one in one to three places, each by anything."""
    one = st.tuples(st.sampled_from(paths(value)), VALUES)

    def apply(changes):
        found = value
        for path, new in changes:
            if path in paths(found):
                found = changed(found, path, new)
        return found

    return st.lists(one, min_size=1, max_size=3).map(apply)


def raw(value):
    return json.dumps(value).encode()


ROW_VALUES = st.one_of(
    mutations(ENTRY).map(raw),
    mutations({**ENTRY, "Stage": "decode", "Spot": True}).map(raw),
    VALUES.map(raw),
    st.binary(max_size=40),
    st.sampled_from([*GARBAGE.values(), *odd_entries().values()]),
)
KEYS = st.one_of(st.just("w1"), TEXTS, st.sampled_from(ODD_NAMES))


class Answers:
    """Stands for calls to the store: answers with one page of rows."""

    def __init__(self, rows, **fields):
        self.body = {"Rows": rows, "Truncated": False, "Ver": 9, "NowMs": 5, **fields}

    def read(self, path, wait_s=0.0):
        return Ok(CallAnswer(200, self.body, {"Store-Era": "0"}))


def listing_of(rows, decode=decode_back_end, **fields):
    feed = TableFeed(Answers(rows, **fields), "servers", decode, StoreEra())
    return feed.read()


def assert_usable(entry):
    """Assert that an entry passes all that comes after the decoder."""
    assert isinstance(entry, ListedBackEnd)
    # A socket takes it, without a question to the name service.
    assert socket.inet_aton(entry.address[0]) and 1 <= entry.address[1] <= 65535
    # The machine may have no way there; that is told in the way that callers expect.
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender, contextlib.suppress(OSError):
        sender.connect(entry.address)
    assert entry.name.encode("latin-1").decode("latin-1").strip() == entry.name
    news = PeerUpdate(
        "host-1", "boot", entry.zone, 1, 1, False,
        work={entry.name: Work(1, 2, 3, 4)}, avoided={entry.name: 1.0}, held_back={}, crashes={},
        leaving={entry.name: entry.started_at_ms}, usage={}, kept={entry.name: ("aa",)},
        duty_fence=1, listing_version=1, gone=(entry.name,),
        limits={entry.name: LimitReport(entry.started_at_ms, 1.5, 0.1)}, asked={entry.service: 1.0},
    )  # fmt: skip
    assert decode_update(encode_update(news)).ok == news
    fleet_state = FleetState(HERE, {"zone-a": "region-a"}, 2.0)
    fleet_state.on_listing(Listing({entry.name: entry}, 1, 0.0, True), now=0.0)
    view = fleet_state.view({}, now=0.0)
    prompt = Prompt("m", (PromptPart("aa", 10), PromptPart("bb", 5)), 15, 5)
    for work in (Work(), Work(3, 10**9, 2, 10**9)):
        for listed in view.back_ends:
            candidate = Candidate(listed, "region-a", work, 0.1, 0, 0.01, 5.0)
            choose_plain([candidate], HERE, 1000, PlacementCosts())
            EnginePlacement(HERE).choose(prompt, 1000, TRAITS, [candidate])
    scaling = Scaling(1, 4, 1.0, 0.2, {})
    service = RelayService(entry.service, 50, None, scaling)
    wanted_counts(service, scaling, {entry.zone: 1}, {})
    wanted_change(view.back_ends, view.work, 0.5)
    limit_shares(entry.name, 1.5, [HostDemand("host-1", 1.0), HostDemand("host-2", 2.0)])
    json.dumps(entry._asdict())


class TestEntries:
    @given(KEYS, ROW_VALUES)
    def test_any_row_gives_an_entry_that_all_later_code_can_use_or_none(self, key, value):
        """Guards against one odd entry that ends requests, news or the following of the list."""
        listing = listing_of([row("good", raw(ENTRY)), row(key, value)]).ok
        assert listing.entries["good"] is not None or key == "good"
        entry = listing.entries[key]
        if entry is not None:
            assert_usable(entry)

    @given(st.lists(st.one_of(VALUES, st.builds(row, KEYS, ROW_VALUES, NUMBERS)), max_size=3))
    def test_row_that_is_none_costs_only_itself(self, odd):
        listing = listing_of([*odd, row("good", raw(ENTRY))]).ok
        assert listing.entries["good"].name == "good"

    @pytest.mark.parametrize("encoded", [None, 7, "=", "\u2603", "AA", [], {}])
    def test_value_that_is_no_base64_costs_only_its_row(self, encoded):
        odd = {**row("odd", b""), "Value": encoded}
        listing = listing_of([odd, row("good", raw(ENTRY))]).ok
        assert listing.entries["odd"] is None and listing.entries["good"] is not None

    @pytest.mark.parametrize("label", odd_entries())
    def test_odd_entry_names_nobody_and_its_line_says_why(self, label):
        with capture_logs() as lines:
            assert listing_of([row("odd", odd_entries()[label])]).ok.entries == {"odd": None}
        (line,) = lines
        assert (line["name"], line["table"], line["key"]) == ("record_unreadable", "servers", "odd")
        assert 0 < len(line["problem"]) <= 200

    @pytest.mark.parametrize("name", ODD_NAMES)
    def test_name_that_no_header_can_hold_names_nobody(self, name):
        assert listing_of([row(name, raw(ENTRY))]).ok.entries == {name: None}

    @pytest.mark.parametrize("missing", ["born", "Sequence", "Version", "ColdRemainingMs"])
    def test_field_that_an_entry_need_not_have_may_be_missing(self, missing):
        entry = {name: value for name, value in ENTRY.items() if name != missing}
        assert decode_back_end("w1", entry).slots == 4

    @given(VALUES, VALUES, VALUES)
    def test_answer_that_is_odd_itself_is_an_error(self, rows, number, now_ms):
        result = listing_of(rows, Ver=number, NowMs=now_ms)
        assert result.is_ok() or result.error.kind == "lost"


class TestConfiguration:
    @given(mutations(config()))
    def test_any_configuration_gives_one_that_routes_or_none(self, value):
        found = listing_of([row("config", raw(value))], decode_config).ok.entries["config"]
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
                EnginePlacement(HERE).choose(prompt, 10, service.engine, [candidate])

    @given(st.one_of(VALUES.map(raw), st.binary(max_size=40), st.sampled_from([*GARBAGE.values()])))
    def test_any_row_beside_it_costs_only_itself(self, value):
        rows = [row("config", raw(config())), row("other", value)]
        listing = listing_of(rows, decode_config).ok
        assert listing.entries["config"].version == 1 and listing.entries["other"] is None


class TestOwnRows:
    @given(KEYS, ROW_VALUES)
    def test_any_row_of_an_own_table_is_an_object_perhaps_an_empty_one(self, key, value):
        rows = [row("good", b'{"a":1}', 2), row(key, value, 3)]
        found = StoreTables(Answers(rows), StoreEra()).scan("t").ok.rows
        assert [each.key for each in found] == ["good", key]
        assert all(isinstance(each.value, dict) for each in found)
        assert found[1].version == 3

    def test_row_is_logged_once_a_version_and_seldom_for_the_same_fault(self):
        clock = ManualClock(now=100.0)
        lines = []

        class Lines:
            def warning(self, event, **fields):
                lines.append(fields["problem"])

        odd = OddRows(Lines(), clock.now)
        for version, problem, after_s in ((1, "a", 0), (1, "a", 60), (2, "a", 1), (3, "b", 0)):
            clock.advance(after_s)
            odd.tell("t", "k", version, problem)
        assert lines == ["a", "a", "b"]
        odd.tell("t", "k", 4, "b")
        clock.advance(11)
        odd.tell("t", "k", 5, "b" * 10**6)
        assert len(lines) == 4 and len(lines[3]) <= 200

    @given(VALUES, ODD_TEXTS)
    def test_any_field_is_read_or_a_value_error(self, value, name):
        readers = ("text", "whole", "flag", "address", "fields", "each", "texts")
        for reader in readers:
            try:
                getattr(Fields({name: value}), reader)(name)
            except ValueError as error:
                assert len(str(error)) < 1000 and str(error).isprintable()


class TestPromptCopies:
    @given(
        st.one_of(
            mutations({"Handle": "h1", "Tokens": 10, "Version": 1}).map(raw),
            VALUES.map(raw),
            st.binary(max_size=40),
            st.sampled_from([*GARBAGE.values(), b'{"Handle":"h","Tokens":1e999}']),
        )
    )
    def test_any_answer_names_a_copy_that_can_be_taken_and_freed_or_none(self, body):
        """Guards against a request that ends without an answer for what an engine says of its copy."""
        found = Workers().prompt_copy(("10.0.0.1", 80), body)
        if found.is_error():
            assert isinstance(found.error, str)
            return
        copy = found.ok
        method, path = Workers().release_request(copy)
        connection = http.client.HTTPConnection("10.0.0.1")
        connection.putrequest(method, path)
        connection.putheader("Kv-Source", f"10.0.0.1:80/{copy.handle}")
        assert 0 <= copy.tokens <= MAX_TOKENS


class TestCallers:
    @given(st.one_of(st.text(max_size=20), st.tuples(NUMBERS, NUMBERS).map("{0[0]},{0[1]}".format)))
    def test_tokens_that_a_caller_names_fit_into_news(self, tokens):
        """Guards against a host that tells its peers nothing for what one caller says of its prompt."""
        for usage, parts in ((tokens, "aa:5"), ("10,5", f"aa:{tokens.partition(',')[0]}")):
            prompt = prompt_of({"token-usage": usage, "prefix-hash": parts})
            if prompt is None:
                continue
            encode_update(
                NEWS._replace(
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


NEWS = PeerUpdate("h", "b", "z", 1, 1, False, {}, {}, {}, {}, {}, {}, {}, 0, 0)
# Every field by its number, with values that no host sends.
ODD_STRUCTS = st.fixed_dictionaries(
    {},
    optional={
        name: st.sampled_from([None, 0, -1, 2**31 - 1, 2**63 - 1, "a", "", [], {}, True, 1.5])
        for name in ("sender", "boot", "zone", "sequence", "config_version", "stopping", "work",
                     "avoided", "held_back", "crashes", "leaving", "usage", "kept", "duty_fence",
                     "listing_version", "usage_window", "ended", "gone", "fixed", "limits", "asked")
    },
)  # fmt: skip


def datagram(struct):
    buffer = TMemoryBuffer()
    struct.write(TCompactProtocol(buffer))
    return buffer.getvalue()


def whole_struct():
    struct = ttypes.News()
    struct.read(TCompactProtocol(TMemoryBuffer(encode_update(NEWS))))
    return struct


class TestNews:
    @given(ODD_STRUCTS)
    def test_datagram_without_a_field_is_none(self, fields):
        """Guards against a host that hears no peer any more after one datagram."""
        struct = whole_struct()
        for name, value in fields.items():
            setattr(struct, name, value)
        try:
            sent = datagram(struct)
        except Exception:
            # The encoder of a host can't write it either.
            return
        assert_news_is_usable(sent)

    @given(st.binary(max_size=60))
    def test_any_bytes_are_news_or_none(self, sent):
        assert_news_is_usable(sent)

    @given(st.sampled_from(["back_end", "requests", "reading_tokens", "streams", "kv_tokens"]))
    def test_work_without_a_field_is_none(self, name):
        struct = whole_struct()
        struct.work = [ttypes.Work("e1", 1, 2, 3, 4)]
        setattr(struct.work[0], name, None)
        assert decode_update(datagram(struct)).is_error()

    @pytest.mark.parametrize("name", ["sender", "boot", "zone", "sequence", "config_version"])
    def test_news_that_does_not_say_who_sent_it_is_none(self, name):
        struct = whole_struct()
        setattr(struct, name, None)
        assert decode_update(datagram(struct)).is_error()

    def test_counts_without_a_window_are_none(self):
        struct = whole_struct()
        struct.usage = [ttypes.WindowCounts(None, {"a": 1})]
        assert decode_update(datagram(struct)).is_error()
        struct.usage = [ttypes.WindowCounts(1, None)]
        assert decode_update(datagram(struct)).is_error()


def assert_news_is_usable(sent):
    found = decode_update(sent)
    if found.is_error():
        assert isinstance(found.error, str)
        return
    news = found.ok
    assert decode_update(encode_update(news)).is_ok()
    fleet_state = FleetState(HERE, {"zone-a": "region-a"}, 2.0)
    fleet_state.on_peer_update(news, now=0.0)
    fleet_state.local_state(False, now=0.1)
    counters = UsageCounters(5.0)
    for window, counts in news.usage.items():
        counters.record_peer_counts(news.sender, news.boot, window, counts)
        counters.total_counts(window)
    counters.mark_fixed(*news.fixed)
    counters.ended_counts_since(0)
    counters.forget_before(3)
