"""Servers for a soak of planned work that change their stage when they are ordered to."""

import json
import threading
import time

from platform_answers import echo
from platform_config import ENGINE
from silence_servers import Server


class RoleServer(Server):
    """An engine that finishes what runs, refuses new requests for `SwitchS`, and is back then."""

    def __init__(self, world, *arguments):
        self._world = world
        self._switched_at = 0.0
        # The number of orders that the engine has accepted.
        self.orders = 0
        super().__init__(world, *arguments)

    def _answer(self, handler):
        if handler.path == "/v1/order" and self.entry.get("Stage"):
            body = next(seen[3] for seen in reversed(self.worker.seen) if seen[1] == handler.path)
            self._switched_at = time.monotonic() + ENGINE["SwitchS"]
            self.orders += 1
            stage = json.loads(body).get("Stage")
            threading.Timer(ENGINE["SwitchS"], self._show_stage, (stage,)).start()
            handler.respond(202)
        elif time.monotonic() < self._switched_at and not handler.path.startswith("/v1/"):
            request_id, now = handler.headers["Request-Id"], time.monotonic()
            is_prefill = handler.headers.get("Serving-Stage") == "prefill"
            send = self._history.record_arrival(
                request_id, self.name, self.service, is_prefill, now
            )
            send.end, send.ended_at = "whole", now
            handler.respond(503, headers=[("Not-Executed", "1"), *echo(handler)])
        else:
            super()._answer(handler)

    def _show_stage(self, stage):
        sequence = self.entry["Sequence"] + 1
        self.entry = {**self.entry, "Stage": stage, "Sequence": sequence}
        listed = self._world.store.value("servers", self.name)
        if listed is not None and listed["State"] == "ready":
            self._world.store.put("servers", self.name, self.entry)
