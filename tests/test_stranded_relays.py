"""Tests of relays that lose their links to all servers while callers, store and peers reach them."""

import contextlib
import http.client
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import cut_links
import pytest
from cut_links import FORMS, CutLink, CutLinks
from platform_world import wait_until
from relay_caller import PROMPT_HEADERS, Caller

pytestmark = pytest.mark.processes

# The time from which callers of a cut relay are to be served as those of the others.
CONTACT_S = 3.0
CALLS = 24
PATHS = {"/safe/x": {}, "/once/x": {}, "/talk/x": PROMPT_HEADERS}


@pytest.fixture
def cut_relays(world):
    """Start three relays, of which `count` can be cut off from all servers, and return all."""
    links = []

    def start(count):
        for number in range(4):
            world.worker(f"w{number}", "orders")
            world.worker(f"d{number}", "quotes")
        links.extend(CutLinks(world, f"relay-{number}") for number in range(count))
        relays = [world.start_relay(f"relay-{number}") for number in range(3)]
        for relay in relays:
            wait_until(lambda relay=relay: heard_peers(relay) == 2, "all peers are heard")
            assert call_all(relay) == {200: len(PATHS)}
        return relays, links

    yield start
    for each in links:
        each.end()


def heard_peers(relay):
    return len({line["peer"] for line in relay.find_log_lines("relay_peer_heard")})


def call(relay, path, headers):
    """Return the status of a first try, or the name of its error."""
    caller = Caller(relay, timeout_s=4.0)
    try:
        status, _, body = caller.ask(path, Deadline_Ms="2000", **headers)
        return status if status != 200 or body else "empty"
    except (OSError, http.client.HTTPException) as error:
        return type(error).__name__
    finally:
        caller.connection.close()


def call_all(relay, rounds=1):
    """Return how often each status came, over all kinds of requests."""
    outcomes = Counter()
    for _ in range(rounds):
        outcomes.update(call(relay, path, headers) for path, headers in PATHS.items())
    return outcomes


def call_for(relay, seconds, callers=6):
    """Call a relay with several callers at a time, more than it has idle connections."""
    until = time.monotonic() + seconds

    def call_until():
        outcomes = Counter()
        while time.monotonic() < until:
            outcomes.update(call_all(relay))
        return outcomes

    with ThreadPoolExecutor(callers) as executor:
        found = [executor.submit(call_until) for _ in range(callers)]
        return sum((each.result() for each in found), Counter())


@pytest.mark.parametrize("form", FORMS)
class TestCutRelays:
    def test_callers_of_the_other_relays_are_served_as_without_the_cut(self, cut_relays, form):
        """Guards against a relay that takes all servers for gone, and has its peers avoid them."""
        relays, (links,) = cut_relays(1)
        links.cut(form)
        with ThreadPoolExecutor(2) as executor:
            executor.submit(call_for, relays[0], CONTACT_S)
            outcomes = executor.submit(call_for, relays[1], CONTACT_S, callers=1).result()
        assert set(outcomes) == {200}, outcomes

    def test_callers_of_a_cut_relay_are_served_as_those_of_the_others(self, cut_relays, form):
        relays, (links,) = cut_relays(1)
        links.cut(form)
        call_for(relays[0], CONTACT_S)
        outcomes = call_all(relays[0], CALLS // len(PATHS))
        assert outcomes[200] == outcomes.total(), outcomes

    def test_callers_are_served_where_one_relay_alone_has_its_links(self, cut_relays, form):
        relays, links = cut_relays(2)
        for each in links:
            each.cut(form)
        for relay in relays[:2]:
            call_for(relay, CONTACT_S / 2)
        for relay in relays:
            outcomes = call_all(relay, CALLS // len(PATHS))
            assert outcomes[200] == outcomes.total(), outcomes

    def test_relay_serves_by_itself_after_the_cut(self, cut_relays, form):
        relays, (links,) = cut_relays(1)
        links.cut(form)
        call_for(relays[0], CONTACT_S)
        links.heal()
        call_for(relays[0], CONTACT_S)
        for relay in relays[1:]:
            relay.process.kill()
        outcomes = call_all(relays[0], CALLS // len(PATHS))
        assert outcomes[200] == outcomes.total(), outcomes


def test_two_reads_of_the_store_at_once_use_one_link(world, monkeypatch):
    """Guards against a link that no test can cut, since another one took its place.

    A relay that was cut off from all servers still reached two of them.
    """
    made = []

    class SlowLink(CutLink):
        def __init__(self, target):
            time.sleep(0.2)
            made.append(self)
            super().__init__(target)

    monkeypatch.setattr(cut_links, "CutLink", SlowLink)
    world.worker("w0", "orders")
    links = CutLinks(world, "relay-0")
    row = {**world.store.rows["servers", "w0"]}
    with ThreadPoolExecutor(2) as executor:
        read = [executor.submit(links._view_row, row) for _ in range(2)]
    assert len(made) == 1 and read[0].result() == read[1].result()
    links.end()


def test_request_is_refused_at_once_where_all_relays_are_cut(cut_relays):
    relays, links = cut_relays(3)
    for each in links:
        each.cut("reset")
    for relay in relays:
        call_for(relay, 1.0)
    for relay in relays:
        caller = Caller(relay)
        with contextlib.closing(caller.connection):
            began_at = time.monotonic()
            status, headers, _ = caller.ask("/once/x")
            assert (status, headers["x-run-state"]) == (503, "not-run")
            assert float(headers["retry-after"]) > 0
            assert time.monotonic() - began_at < 1.5
