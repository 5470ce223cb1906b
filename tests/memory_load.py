"""Many clients of a relay whose backend servers send answers without end, and its peak memory."""

import contextlib
import http.client
import threading
from pathlib import Path

from platform_answers import begin_stream, echo
from platform_config import ROUTE, config
from relay_caller import PROMPT_HEADERS, Caller

PIECE = 64 * 1024 * b"x"
# Pieces that a server sends at most; only a relay without a limit reads so many.
MAX_PIECES = 6400
SERVERS = 3
CLIENTS = 160
SOUND_BODY = 20 * 1024 * b"s"


def endless_body(handler, status=200):
    """Send a body until the caller closes the connection."""
    handler.close_connection = True
    handler.send_response_only(status)
    for name, value in (*echo(handler), ("Response-Signature", "s")):
        handler.send_header(name, value)
    handler.send_header("Content-Length", "99999999999")
    handler.end_headers()
    for _ in range(MAX_PIECES):
        handler.wfile.write(PIECE)


def endless_failure(handler):
    """Send the body of a failure until the caller closes the connection."""
    endless_body(handler, 500)


def endless_event(handler):
    """Send an event that consists of one line without end."""
    handler.close_connection = True
    begin_stream(handler)
    handler.wfile.write(b"100000000\r\nid: 1\ndata: ")
    for _ in range(MAX_PIECES):
        handler.wfile.write(PIECE)


def keep_slow(handler):
    """Send 100 KB of a larger body, and nothing more for longer than any caller waits."""
    handler.close_connection = True
    handler.send_response_only(200)
    for name, value in (*echo(handler), ("Response-Signature", "s"), ("Content-Length", "900000")):
        handler.send_header(name, value)
    handler.end_headers()
    handler.wfile.write(100_000 * b"x")
    handler.wfile.flush()
    handler.connection.settimeout(10)
    with contextlib.suppress(OSError):
        handler.connection.recv(1)


def send_large(body):
    """Return a handler that answers with a body."""

    def answer(handler):
        signature = f"s.{handler.headers.get('Request-Id')}"
        handler.respond(200, body, [*echo(handler), ("Response-Signature", signature)])

    return answer


# What the servers send, by the route that the clients use, and the service.
LOADS = {
    "plain": ("/safe/x", "orders", endless_body, {}),
    "not idempotent": ("/once/x", "orders", endless_body, {}),
    "failures": ("/safe/x", "orders", endless_failure, {}),
    "one event": ("/ask/x", "quotes", endless_event, PROMPT_HEADERS),
    "failures of engines": ("/ask/x", "quotes", endless_failure, PROMPT_HEADERS),
}


def configure(world):
    """Add a sound service, and routes that are not cut on a busy machine."""
    times = {"TimeoutMs": 15000, "TargetLatencyMs": 15000}
    routes = [
        {"Name": "sound", "Prefix": "/sound/", "RouteType": "idempotent", "Service": "sound"},
        {"Name": "long", "Prefix": "/long/", "RouteType": "non_idempotent", "Service": "orders"},
        {"Name": "twice", "Prefix": "/twice/", "RouteType": "idempotent", "Service": "orders"},
    ]
    long_routes = [{**ROUTE, **times, **route} for route in routes]
    long_routes[2]["TargetLatencyMs"] = 300
    body = config(extra_routes=long_routes)
    body["Services"].append({"Name": "sound", "HealthPath": "/health", "MaxConnections": 50})
    world.store.put("op", "config", body)


def peak_bytes(relay):
    """Return the largest resident set of a relay process so far."""
    status = Path(f"/proc/{relay.process.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) * 1024


def play(world, form, clients=CLIENTS):
    """Let many clients call servers that send without end, and one client a sound server.

    Returns the relay, its peak memory before and after, the clients' outcomes and those of the
    sound client: status and whether the body was whole.
    """
    path, service, answer, headers = LOADS[form]
    configure(world)
    stage = {"Stage": "decode"} if service == "quotes" else {}
    for number in range(SERVERS):
        world.worker(f"w{number}", service, answer, Slots=64, **stage)
    world.worker("good", "sound", send_large(SOUND_BODY), Slots=64)
    relay = world.start_relay()
    assert Caller(relay).ask("/sound/x", Deadline_Ms="15000")[2] == SOUND_BODY
    before, outcomes, sound = peak_bytes(relay), [], []
    ended = threading.Event()

    def call():
        try:
            outcomes.append(Caller(relay, 15.0).ask(path, **headers)[0])
        except (OSError, http.client.HTTPException) as error:
            outcomes.append(repr(error))

    def call_sound():
        while not ended.is_set():
            try:
                status, _, got = Caller(relay, 15.0).ask("/sound/x", Deadline_Ms="15000")
                sound.append((status, got == SOUND_BODY))
            except (OSError, http.client.HTTPException) as error:
                sound.append((repr(error), False))
            ended.wait(0.02)

    threads = [threading.Thread(target=call) for _ in range(clients)]
    sound_thread = threading.Thread(target=call_sound)
    for thread in (sound_thread, *threads):
        thread.start()
    for thread in threads:
        thread.join()
    ended.set()
    sound_thread.join()
    return relay, before, peak_bytes(relay), outcomes, sound
