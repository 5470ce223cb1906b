"""Tests that requests keep the servers of a service that a change drops while they run."""

import threading

import pytest
from platform_answers import begin_stream, chunk, close_unanswered, event, send_whole, stream
from platform_config import config
from platform_world import WAIT_S, wait_until
from relay_caller import PROMPT_HEADERS, Caller

pytestmark = pytest.mark.processes

ROUTE_TIMEOUT_MS = 20_000
COUNT = 5
# A server that stays silent does so for longer than the route's time.
SILENT_S = 30.0


def make_config(version, has_service=True):
    """Return a configuration whose routes go to the services, or to others that replace them."""
    entry = config(version)
    for part in [*entry["Routes"], *entry["Services"]]:
        key = "Service" if "Service" in part else "Name"
        part[key] += "" if has_service else "-b"
    entry["Routes"] = [{**route, "TimeoutMs": ROUTE_TIMEOUT_MS} for route in entry["Routes"]]
    return entry


class FailingServer:
    """Server behaviour that breaks off or falls silent once a test says so, in its first request."""

    def __init__(self, stays_silent):
        self.has_begun, self.may_fail = threading.Event(), threading.Event()
        self._stays_silent = stays_silent
        self._ended = threading.Event()

    def answer(self, handler):
        is_plain = handler.path.startswith("/safe/")
        if not is_plain and not handler.path.startswith("/talk/"):
            send_whole(handler)
            return
        if self.has_begun.is_set():
            (send_whole if is_plain else stream(COUNT))(handler)
            return
        if not is_plain:
            begin_stream(handler)
            chunk(handler, event(1))
        self.has_begun.set()
        self.may_fail.wait(WAIT_S)
        if self._stays_silent:
            self._ended.wait(SILENT_S)
        close_unanswered(handler)

    def end(self):
        self._ended.set()


@pytest.fixture(params=[False, True], ids=["breaks-off", "silent"])
def failing(world, request):
    """Two servers of each service share a behaviour: the first one that is asked fails."""
    server = FailingServer(request.param)
    for name, service in (("w1", "orders"), ("w2", "orders"), ("q1", "quotes"), ("q2", "quotes")):
        world.worker(name, service, server.answer)
    world.store.put("op", "config", make_config(2))
    yield server
    server.end()


def use(world, relay, *entries):
    """Write configurations one right after the other; wait until the last one is in force."""
    for entry in entries:
        world.store.put("op", "config", entry)
    version = entries[-1]["Version"]
    wait_until(
        lambda: any(
            line["version"] == version for line in relay.find_log_lines("relay_configured")
        ),
        f"version {version} is in force",
    )


@pytest.mark.parametrize("returns", [False, True], ids=["dropped", "returns"])
@pytest.mark.parametrize(
    ("path", "headers", "body"),
    [
        ("/safe/1", {}, b"done"),
        ("/talk/1", PROMPT_HEADERS, b"".join(event(number) for number in range(1, COUNT + 1))),
    ],
    ids=["plain", "stream"],
)
def test_request_finds_its_second_server_though_its_service_is_dropped(
    world, failing, path, headers, body, returns
):
    relay = world.start_relay()
    use(world, relay, make_config(2))
    caller, answers = Caller(relay, timeout_s=30.0), []
    headers = {**headers, "Deadline_Ms": str(ROUTE_TIMEOUT_MS)}
    thread = threading.Thread(target=lambda: answers.append(caller.ask(path, **headers)))
    thread.start()
    try:
        assert failing.has_begun.wait(WAIT_S)
        use(world, relay, make_config(3, has_service=False))
        if returns:
            use(world, relay, make_config(4, has_service=True), make_config(5, has_service=False))
    finally:
        failing.may_fail.set()
        thread.join()
    assert [(status, received) for status, _, received in answers] == [(200, body)]
