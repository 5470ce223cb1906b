"""Hosts whose connections to the store have gone silent send requests to a worker that has gone."""

import sys
import threading
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))

from platform_standin import (  # noqa: E402
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
# The worker's entry is removed this long after the connections have gone silent. It serves for
# DrainMs after that and a little longer, and exits.
LEAVES_AFTER_S = 0.3
SERVES_ON_S = DRAIN_S + 1.0
AFTER_EXIT_S = 4.0


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
    for number in range(1, RELAYS + 1):
        relays.append(Relay(scratch, number, store.address, duties.address))
    wait_until(lambda: all(relay.is_ready() for relay in relays), "the relays are ready")
    statuses, answers, ended = Counter(), {}, threading.Event()

    def ask(relay, name):
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
        threading.Thread(target=ask, args=(relay, f"{relay.name}-c{number}"))
        for relay in relays
        for number in range(CLIENTS_PER_RELAY)
    ]
    for thread in threads:
        thread.start()
    time.sleep(QUIET_S)
    silent_at = time.monotonic()
    if trouble_is_on():
        record.write("the open connections to the store go silent")
        store.silence_connections()
    time.sleep(LEAVES_AFTER_S)
    gone_at = workers[0].leave_unsaid()
    record.write("the entry of i-1 is removed")
    time.sleep(SERVES_ON_S)
    workers[0].end()
    record.write("i-1 exits")
    time.sleep(AFTER_EXIT_S)
    ended.set()
    for thread in threads:
        thread.join()
    late_from = gone_at + DRAIN_S
    if trouble_is_on():
        late_from = max(late_from, silent_at + CONTACT_S)
    mine = [(at, request_id) for at, name, request_id in arrivals if name == "i-1"]
    after = [(at, request_id) for at, request_id in mine if at > gone_at]
    late = [(at, request_id) for at, request_id in mine if at > late_from]
    if after:
        record.write(f"last request at i-1 {after[-1][0] - gone_at:.3f} s after the removal")
    for at, request_id in late:
        record.write(
            f"DRAIN: {request_id} reached i-1 {at - gone_at:.3f} s after the removal, "
            f"{at - silent_at:.3f} s after the connections went silent"
        )
    lost = [request_id for _, request_id in late if answers.get(request_id) != 200]
    for request_id in lost:
        record.write(f"lost: {request_id} was answered {answers.get(request_id)}, i-1 had it")
    record.write(
        f"answered {dict(statuses)}, at i-1 {len(mine)}, late {len(late)}, of these lost {len(lost)}"
    )
    if not statuses[200]:
        raise RuntimeError("nothing was served")
    return bool(late)


run_case(case, Path(sys.argv[1]), Path(sys.argv[2]))
