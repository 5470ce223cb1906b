"""A heartbeat that the store performs late lists a worker again that has gone."""

import sys
import threading
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))

from platform_standin import (  # noqa: E402
    HEARTBEAT_S,
    Client,
    Duties,
    Relay,
    Store,
    Worker,
    config,
    plain_service,
    route,
    run_case,
    trouble_is_on,
    wait_until,
    whole_answer,
)

CONTACT_S, DRAIN_S = 3.0, 2.5
WORK_S = 0.1
RELAYS, CLIENTS_PER_RELAY = 2, 6
QUIET_S = 3.0
# While this lasts, the store leaves one in three heartbeats of i-1 unanswered and performs it later.
TROUBLE_S, LOST_EACH, LATE_S = 4.5, 3, 6.0
# The entry of i-1 is removed this long after the trouble, as the store is stable again. The worker
# serves for DrainMs after that and some seconds longer, and exits.
LEAVES_AFTER_S = CONTACT_S + 0.1
SERVES_ON_S = DRAIN_S + 3.2
AFTER_EXIT_S = 2.0
# An entry is removed after three heartbeats of silence.
SILENCE_S = 3 * HEARTBEAT_S


def case(record, scratch, relays):
    store, duties = Store(), Duties()
    routes = [route("orders", "non_idempotent", "orders")]
    store.put("op", "config", config(routes, [plain_service("orders")]))
    arrivals, lock = [], threading.Lock()

    def answer(worker, connection, request):
        with lock:
            arrivals.append((time.monotonic(), worker.name, request.id))
        time.sleep(WORK_S)
        body = f"the order for {request.id}".encode()
        signature = f"{worker.name}.{request.id}"
        connection.sendall(whole_answer(request, 200, "OK", body, signature))

    workers = [Worker(store, f"i-{number}", "orders", answer, slots=6) for number in range(1, 5)]
    leaving = workers[0]
    for number in range(1, RELAYS + 1):
        relays.append(Relay(scratch, number, store.address, duties.address))
    wait_until(lambda: all(relay.is_ready() for relay in relays), "the relays are ready")
    statuses, answers, ended = Counter(), {}, threading.Event()

    def book(relay, name):
        client, number = Client(relay), 0
        while not ended.is_set():
            number += 1
            request_id = f"{name}-{number}"
            status, _, _ = client.ask("POST", "/orders/x", request_id, request_id.encode())
            with lock:
                statuses[status] += 1
                answers[request_id] = status
        client.close()

    threads = [
        threading.Thread(target=book, args=(relay, f"{relay.name}-c{number}"))
        for relay in relays
        for number in range(CLIENTS_PER_RELAY)
    ]
    for thread in threads:
        thread.start()
    time.sleep(QUIET_S)
    trouble, beats = threading.Event(), []

    def delay_s():
        if not trouble.is_set():
            return 0.0
        beats.append(time.monotonic())
        return LATE_S if len(beats) % LOST_EACH == 0 else 0.0

    def on_late_beat(sequence):
        record.write(f"the store performs the heartbeat with Sequence {sequence} of i-1")
        threading.Timer(SILENCE_S, store.put, ("servers", leaving.name, None)).start()

    leaving.beat_delay_s, leaving.on_late_beat = delay_s, on_late_beat
    # The third heartbeat of the trouble then comes near its end.
    last = leaving.sequence
    wait_until(lambda: leaving.sequence > last, "i-1 has written a heartbeat")
    if trouble_is_on():
        record.write("the trouble begins")
        trouble.set()
    time.sleep(TROUBLE_S)
    trouble.clear()
    record.write("the trouble ends")
    time.sleep(LEAVES_AFTER_S)
    gone_at = leaving.leave_unsaid()
    record.write(f"the entry of i-1 is removed; its last Sequence was {leaving.sequence}")
    time.sleep(SERVES_ON_S)
    leaving.end()
    record.write("i-1 exits")
    time.sleep(AFTER_EXIT_S)
    ended.set()
    for thread in threads:
        thread.join()
    mine = [(at, request_id) for at, name, request_id in arrivals if name == leaving.name]
    after = [(at, request_id) for at, request_id in mine if at > gone_at]
    late = [(at, request_id) for at, request_id in mine if at > gone_at + DRAIN_S]
    if after:
        record.write(f"last request at i-1 {after[-1][0] - gone_at:.3f} s after the removal")
    for at, request_id in late:
        record.write(f"DRAIN: {request_id} reached i-1 {at - gone_at:.3f} s after the removal")
    lost = [request_id for _, request_id in late if answers.get(request_id) != 200]
    for request_id in lost:
        record.write(f"lost: {request_id} was answered {answers.get(request_id)}, i-1 had it")
    record.write(
        f"answered {dict(statuses)}, at i-1 {len(mine)}, late {len(late)}, "
        f"of these lost {len(lost)}"
    )
    if not statuses[200]:
        raise RuntimeError("nothing was served")
    return bool(late)


run_case(case, Path(sys.argv[1]), Path(sys.argv[2]))
