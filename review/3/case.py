"""The operator takes away the last tenant; requests with its key, or with none, go on running."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib"))

from standins import (  # noqa: E402
    BROKEN,
    HELD,
    CannotRunError,
    Client,
    Duties,
    Relay,
    Store,
    Worker,
    beat_on,
    config,
    play,
    route,
)

CONFIG_S = 2.5
CONTACT_S = 3.0
TENANT = {"Name": "hall", "ApiKeys": ["key-a"], "Priority": 1}


def case(record, folder, ends, trouble):
    store, duties = Store(), Duties(record)
    ends.callback(store.stop)
    ends.callback(duties.stop)
    routes = [route("book", "/book/", "orders", "non_idempotent")]
    store.put("op", "config", config(1, routes, ["orders"], [TENANT]))
    worker = Worker("w1", "orders", record)
    ends.callback(worker.stop)
    beat_on(store, [worker])
    relay = Relay("relay-1", folder, store, duties, record)
    ends.callback(relay.end)
    relay.start()
    relay.wait_ready()
    time.sleep(CONTACT_S)
    client = Client(relay, record)
    before = client.send("with-key", "POST", "/book/1")
    wrong = client.send("wrong-key", "POST", "/book/2", key="key-never")
    if before is None or before[0] != 200 or wrong is None or wrong[0] != 401:
        raise CannotRunError("keys are not in force at first")
    # The same as any other change that takes a key away; it was the last one.
    tenants = [] if trouble else [TENANT]
    store.put("op", "config", config(2, routes, ["orders"], tenants))
    record.add(f"operator: version 2 is acknowledged, with Tenants: {tenants}")
    time.sleep(CONFIG_S + 1.0)
    late = {"first-key": "key-a", "never-a-key": "key-never", "no-key": None}
    for number, (request_id, key) in enumerate(late.items(), 3):
        client.send(request_id, "POST", f"/book/{number}", key=key)
    client.close()
    ran = {run.request_id for run in worker.runs}
    held_keys = {key for tenant in tenants for key in tenant["ApiKeys"]}
    broken = [each for each, key in late.items() if each in ran and key not in held_keys]
    record.add(f"run later than ConfigMs after the acknowledgement without a key in it: {broken}")
    return BROKEN if broken else HELD


play(__file__, case)
