"""Tests of the usage reports of the lease holder."""

from types import SimpleNamespace

from expression import Ok

from laburnumreel.coordination import JsonResponse
from laburnumreel.relay._duties import SEAL_DELAY_S, SETTLE_S, WAIT_SHARE, Duties
from laburnumreel.relay._peer_update_handler import RECENT_USAGE_WINDOWS
from laburnumreel.relay._ports import DutyCall
from laburnumreel.relay._settings import UsageSettings, load_relay_settings
from laburnumreel.relay._usage_counters import MAX_ENDED_COUNTS, UsageCounters
from laburnumreel.state import Authority

LATE_S = 10.0
PEERS = ("h1", "h2")


class Holder:
    """A host that holds the lease, with a time of day that the test sets."""

    def __init__(self, started_at=0.0):
        self.time_of_day = started_at
        self.counters = UsageCounters(window_s=5.0)
        self.reports = {}
        self.held = True
        authority = Authority("relay_duties", 3, 9, 1e9)
        rows = {}

        def transact(checks, writes):
            rows[writes[0].key] = writes[0].value
            return Ok(1)

        def post(authority, address, path, body, headers):
            self.reports[body["window"]] = body["counts"]
            return Ok(JsonResponse(200, {}))

        clock = SimpleNamespace(now=lambda: self.time_of_day)
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
            self.counters,
            SimpleNamespace(read=lambda window: Ok(0)),
            UsageSettings(5.0, LATE_S),
            lambda: PEERS,
        )

    def receive_counts(self, peer, counts):
        """Record a peer's counts as its update would."""
        for window, each in counts.items():
            self.counters.record_peer_counts(peer, "boot", window, each)
        window = self.counters.window(self.time_of_day)
        self.counters.mark_reported(peer, window - RECENT_USAGE_WINDOWS + 1, window)

    def run_until(self, end):
        while self.time_of_day < end:
            self.time_of_day += 0.25
            self.duties.tick()


def test_window_is_reported_when_all_hosts_have_sent_counts():
    holder = Holder()
    holder.time_of_day = 101.0
    holder.counters.record_request("a", holder.time_of_day)
    holder.receive_counts("h1", {20: {"a": 2}})
    holder.run_until(104.75)
    holder.time_of_day = 105.5
    holder.receive_counts("h1", {20: {"a": 3}})
    holder.receive_counts("h2", {20: {"a": 4}})
    holder.run_until(105 + SEAL_DELAY_S + 0.5)
    assert holder.reports == {20: {"a": 8}}


def test_partitioned_holder_waits_for_missed_counts():
    """A holder that was partitioned must wait for the counts that it missed.

    A holder could not reach the store during a window, so its peers sent it no counts for five
    seconds. It got the lease again and reported at once, with 231 of 1,534 requests missing.
    """
    holder = Holder()
    holder.time_of_day = 101.0
    for peer in PEERS:
        holder.receive_counts(peer, {20: {"a": 1}})
    holder.held = False
    holder.run_until(108.0)
    holder.held = True
    holder.run_until(109.0)
    assert holder.reports == {}
    for peer in PEERS:
        holder.receive_counts(peer, {20: {"a": 10}, 21: {"a": 1}})
    holder.run_until(109.5)
    assert holder.reports == {20: {"a": 20}}


def test_late_successor_reports_late_but_correctly():
    """A late successor must wait for counts although its report is late.

    The store refused the holder. Its successor got the lease 6.9 s after the end of a window and
    reported at once, with 259 of 331 requests missing.
    """
    holder = Holder()
    holder.time_of_day, holder.held = 101.0, False
    holder.counters.record_request("a", holder.time_of_day)
    holder.run_until(105 + 6.9)
    holder.held = True
    holder.run_until(105 + 8.0)
    assert holder.reports == {}
    for peer in PEERS:
        holder.receive_counts(peer, {20: {"a": 10}})
    holder.run_until(105 + 8.5)
    assert holder.reports == {20: {"a": 21}}


def test_new_holder_reports_counts_of_ended_processes():
    """The counts of processes that ended before the holder started must be reported.

    After a rolling restart, a host that had just started got the lease. It reported a window
    without 112 of 186 requests, which were those of the ended processes.
    """
    ended_counters, peer_counters, holder = UsageCounters(5.0), UsageCounters(5.0), Holder()
    ended_counters.record_request("a", 101.0)
    for window, counts in ended_counters.own_counts_since(0).items():
        peer_counters.record_peer_counts("h3", "old", window, counts)
    peer_counters.mark_running("h3", "new")
    holder.time_of_day = 106.0
    for told in peer_counters.ended_counts_since(15):
        holder.counters.record_peer_counts(*told.process, told.window, told.counts)
    for peer in PEERS:
        holder.receive_counts(peer, {20: {"a": 10}})
    holder.run_until(105 + SEAL_DELAY_S + 0.5)
    assert holder.reports == {20: {"a": 21}}


def test_new_holder_waits_for_earlier_windows():
    """With up to a dozen hosts, each sends its last two windows to all others.

    A process that starts at the beginning of a window therefore gets the window before the last
    from some hosts and not from others.
    """
    holder = Holder()
    holder.held = False
    holder.time_of_day = 109.9
    holder.receive_counts("h1", {20: {"a": 10}, 21: {"a": 1}})
    holder.time_of_day = 110.1
    holder.receive_counts("h2", {21: {"a": 1}, 22: {"a": 1}})
    holder.receive_counts("h1", {21: {"a": 1}, 22: {"a": 1}})
    holder.held = True
    holder.run_until(110.6)
    assert holder.reports == {}
    for peer in PEERS:
        holder.receive_counts(peer, {20: {"a": 10}, 21: {"a": 1}, 22: {"a": 1}})
    holder.run_until(113.5)
    assert holder.reports == {20: {"a": 20}, 21: {"a": 2}}


def test_holder_waits_for_windows_missed_before_it_held_the_lease():
    holder = Holder()
    holder.held = False
    holder.time_of_day = 101.0
    for peer in PEERS:
        holder.receive_counts(peer, {20: {"a": 1}})
    # A partition for more than two windows.
    holder.time_of_day = 110.1
    for peer in PEERS:
        holder.receive_counts(peer, {21: {"a": 5}, 22: {"a": 1}})
    holder.time_of_day, holder.held = 111.0, True
    holder.run_until(111.5)
    assert 20 not in holder.reports
    for peer in PEERS:
        holder.receive_counts(peer, {20: {"a": 10}, 21: {"a": 5}, 22: {"a": 1}})
    holder.run_until(114.0)
    assert holder.reports == {20: {"a": 20}, 21: {"a": 10}}


def test_counts_of_ended_processes_are_bounded_newest_first():
    counters = UsageCounters(5.0)
    for window in (20, 21):
        counts = {f"customer-{number}": 1 for number in range(MAX_ENDED_COUNTS)}
        counters.record_peer_counts("h1", "old", window, counts)
    assert [each.window for each in counters.ended_counts_since(0)] == [21]
    counters.mark_running("h1", "old")
    assert counters.ended_counts_since(0) == ()


def test_host_without_counts_delays_a_report_but_not_past_the_limit():
    holder = Holder()
    holder.time_of_day = 101.0
    holder.receive_counts("h1", {20: {"a": 1}})
    holder.time_of_day = 106.0
    holder.receive_counts("h1", {20: {"a": 1}})
    holder.run_until(105 + WAIT_SHARE * LATE_S - 0.5)
    assert holder.reports == {}
    holder.run_until(105 + LATE_S - 1)
    assert holder.reports == {20: {"a": 1}}


def test_retry_slack_may_be_fractional(tmp_path):
    """A deployment set the budget's slack to 39.52 retries, and none of its hosts started."""
    settings = tmp_path / "relay.ini"
    settings.write_text(
        "[host]\nname = a\nzone = z\nregion = r\n"
        "[listen]\ncallers = 127.0.0.1:1\nreadiness = 127.0.0.1:2\nadmin = 127.0.0.1:3\n"
        "peers = 127.0.0.1:4\n[store]\naddress = 127.0.0.1:5\nwrites_per_s = 62.5\n"
        "reads_per_s = 312.5\n[duties]\naddress = 127.0.0.1:6\n[retry]\nslack = 39.523809523809526\n"
    )
    loaded = load_relay_settings(settings)
    assert loaded.is_ok() and loaded.ok.retry.slack == 39.523809523809526


def test_holder_that_started_after_a_window_waits_for_counts_of_ended_processes():
    """Running hosts tell their own counts to all others, but those of ended ones only on demand.

    A holder that had started three seconds after a window's end had heard from each running host.
    It reported 51 of 282 requests, 0.2 s after it got the lease.
    """
    holder = Holder(started_at=108.0)
    holder.held, holder.time_of_day = False, 108.0
    for peer in PEERS:
        holder.receive_counts(peer, {20: {"a": 10}, 21: {"a": 1}})
    holder.run_until(111.0)
    holder.held = True
    holder.run_until(112.0)
    assert holder.reports == {}
    holder.counters.record_peer_counts("h3", "old", 20, {"a": 40})
    holder.run_until(111.0 + SETTLE_S + 0.5)
    assert holder.reports == {20: {"a": 60}}
