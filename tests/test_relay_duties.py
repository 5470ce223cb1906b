"""Tests of the reports of usage by the holder of the lease."""

from types import SimpleNamespace

from expression import Ok

from laburnumreel.coordination import Answer
from laburnumreel.relay._duties import SEAL_DELAY_S, WAIT_SHARE, Duties
from laburnumreel.relay._exchange import USAGE_WINDOWS
from laburnumreel.relay._ports import DutyCall
from laburnumreel.relay._settings import UsageSettings, load_relay_settings
from laburnumreel.relay._usage import MAX_ENDED_COUNTS, UsageBook
from laburnumreel.state import Authority

LATE_S = 10.0
PEERS = ("h1", "h2")


class Holder:
    """A host that holds the lease, at a time of day that a test sets."""

    def __init__(self):
        self.at = 0.0
        self.book = UsageBook(window_s=5.0)
        self.reports = {}
        self.held = True
        authority = Authority("relay_duties", 3, 9, 1e9)
        rows = {}

        def transact(checks, writes):
            rows[writes[0].key] = writes[0].value
            return Ok(1)

        def post(authority, address, path, body, headers):
            self.reports[body["window"]] = body["counts"]
            return Ok(Answer(200, {}))

        clock = SimpleNamespace(now=lambda: self.at)
        self.duties = Duties(
            SimpleNamespace(read=lambda table, key: Ok(None), transact=transact),
            SimpleNamespace(current=lambda lease: authority if self.held else None),
            SimpleNamespace(post=post),
            SimpleNamespace(
                usage=lambda authority, window, counts: DutyCall(
                    "/", {}, {"window": window, "counts": dict(counts)}
                )
            ),
            lambda: ("10.0.0.9", 80),
            clock,
            clock,
            self.book,
            UsageSettings(5.0, LATE_S),
            lambda: PEERS,
        )

    def tell(self, peer, counts):
        """Take a peer's counts as its news brings them."""
        for window, each in counts.items():
            self.book.peer(peer, "boot", window, each)
        window = self.book.window(self.at)
        self.book.told(peer, window - USAGE_WINDOWS + 1, window)

    def until(self, end):
        while self.at < end:
            self.at += 0.25
            self.duties.tick()


def test_window_is_reported_when_all_hosts_have_told_its_counts():
    holder = Holder()
    holder.at = 101.0
    holder.book.began("a", holder.at)
    holder.tell("h1", {20: {"a": 2}})
    holder.until(104.75)
    holder.at = 105.5
    holder.tell("h1", {20: {"a": 3}})
    holder.tell("h2", {20: {"a": 4}})
    holder.until(105 + SEAL_DELAY_S + 0.5)
    assert holder.reports == {20: {"a": 8}}


def test_holder_that_was_cut_off_waits_for_what_it_was_not_told():
    """A holder was cut off from the store in a window, so its peers told it nothing for five
    seconds. It held the lease again and reported at once: 231 of 1,534 requests were missing."""
    holder = Holder()
    holder.at = 101.0
    for peer in PEERS:
        holder.tell(peer, {20: {"a": 1}})
    holder.held = False
    holder.until(108.0)
    holder.held = True
    holder.until(109.0)
    assert holder.reports == {}
    for peer in PEERS:
        holder.tell(peer, {20: {"a": 10}, 21: {"a": 1}})
    holder.until(109.5)
    assert holder.reports == {20: {"a": 20}}


def test_successor_that_comes_late_reports_late_but_right():
    """The store refused the holder; its successor held the lease 6.9 s after a window's end and
    reported at once what it knew: 259 of 331 requests were missing."""
    holder = Holder()
    holder.at, holder.held = 101.0, False
    holder.book.began("a", holder.at)
    holder.until(105 + 6.9)
    holder.held = True
    holder.until(105 + 8.0)
    assert holder.reports == {}
    for peer in PEERS:
        holder.tell(peer, {20: {"a": 10}})
    holder.until(105 + 8.5)
    assert holder.reports == {20: {"a": 21}}


def test_holder_that_began_after_others_ended_reports_their_counts():
    """After a rolling stop the lease fell to a host that had just begun, and a window was reported
    without 112 of 186 requests: those of the processes that had ended before."""
    ended, witness, holder = UsageBook(5.0), UsageBook(5.0), Holder()
    ended.began("a", 101.0)
    for window, counts in ended.own_since(0).items():
        witness.peer("h3", "old", window, counts)
    witness.runs("h3", "new")
    holder.at = 106.0
    for told in witness.ended_since(15):
        holder.book.peer(*told.process, told.window, told.counts)
    for peer in PEERS:
        holder.tell(peer, {20: {"a": 10}})
    holder.until(105 + SEAL_DELAY_S + 0.5)
    assert holder.reports == {20: {"a": 21}}


def test_holder_that_has_just_begun_waits_for_windows_from_before():
    """Up to a dozen hosts tell all others their last two windows, so that a process which begins at a
    window's start hears of the one before the last from some hosts and not from others."""
    holder = Holder()
    holder.held = False
    holder.at = 109.9
    holder.tell("h1", {20: {"a": 10}, 21: {"a": 1}})
    holder.at = 110.1
    holder.tell("h2", {21: {"a": 1}, 22: {"a": 1}})
    holder.tell("h1", {21: {"a": 1}, 22: {"a": 1}})
    holder.held = True
    holder.until(110.6)
    assert holder.reports == {}
    for peer in PEERS:
        holder.tell(peer, {20: {"a": 10}, 21: {"a": 1}, 22: {"a": 1}})
    holder.until(113.5)
    assert holder.reports == {20: {"a": 20}, 21: {"a": 2}}


def test_holder_waits_for_windows_that_it_did_not_hear_of_while_it_was_none():
    holder = Holder()
    holder.held = False
    holder.at = 101.0
    for peer in PEERS:
        holder.tell(peer, {20: {"a": 1}})
    # A cut for two windows and more.
    holder.at = 110.1
    for peer in PEERS:
        holder.tell(peer, {21: {"a": 5}, 22: {"a": 1}})
    holder.at, holder.held = 111.0, True
    holder.until(111.5)
    assert 20 not in holder.reports
    for peer in PEERS:
        holder.tell(peer, {20: {"a": 10}, 21: {"a": 5}, 22: {"a": 1}})
    holder.until(114.0)
    assert holder.reports == {20: {"a": 20}, 21: {"a": 10}}


def test_counts_of_ended_processes_are_bounded_and_the_newest_come_first():
    book = UsageBook(5.0)
    for window in (20, 21):
        counts = {f"customer-{number}": 1 for number in range(MAX_ENDED_COUNTS)}
        book.peer("h1", "old", window, counts)
    assert [each.window for each in book.ended_since(0)] == [21]
    book.runs("h1", "old")
    assert book.ended_since(0) == ()


def test_host_that_never_tells_delays_a_report_but_never_makes_it_late():
    holder = Holder()
    holder.at = 101.0
    holder.tell("h1", {20: {"a": 1}})
    holder.at = 106.0
    holder.tell("h1", {20: {"a": 1}})
    holder.until(105 + WAIT_SHARE * LATE_S - 0.5)
    assert holder.reports == {}
    holder.until(105 + LATE_S - 1)
    assert holder.reports == {20: {"a": 1}}


def test_budget_of_a_deployment_need_not_be_a_whole_number(tmp_path):
    """A deployment published a budget of 39.52 repeated sends, and no host of it started."""
    settings = tmp_path / "relay.ini"
    settings.write_text(
        "[host]\nname = a\nzone = z\nregion = r\n"
        "[listen]\ncallers = 127.0.0.1:1\nreadiness = 127.0.0.1:2\nadmin = 127.0.0.1:3\n"
        "peers = 127.0.0.1:4\n[store]\naddress = 127.0.0.1:5\nwrites_per_s = 62.5\n"
        "reads_per_s = 312.5\n[duties]\naddress = 127.0.0.1:6\n[retry]\nslack = 39.523809523809526\n"
    )
    loaded = load_relay_settings(settings)
    assert loaded.is_ok() and loaded.ok.retry.slack == 39.523809523809526
