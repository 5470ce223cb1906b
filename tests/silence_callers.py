"""Callers of a soak that keep several connections, also idle ones, until their hosts are gone."""

import http.client
import random
import threading
import time

from silence_history import STREAMS, Asked, wanted_body, wanted_stream

CONNECTIONS = 3
# A caller waits this much longer than a final answer may take.
BEYOND_S = 2.0
# Callers use connections that were idle for up to this share of the operator's limit.
IDLE_SHARE = 0.8
# Shares of calls: on a new connection; given up by the caller; after a long idle time.
NEW, LEAVES, IDLES = 0.08, 0.02, 0.03


class Caller(threading.Thread):
    """One caller. `setup` gives relays that take connections, routes, the idle limit, and numbers."""

    def __init__(self, setup, history, seed, number, stop):
        super().__init__(name=f"caller-{number}", daemon=True)
        self._setup, self._history, self._stop_asking = setup, history, stop
        self._rng = random.Random(f"{seed} caller {number}")
        self._seed = seed
        # Kept connections, each with its relay, when it was used last, and how long it may be idle.
        # Some callers only hear of another idle limit with their next answer.
        self._kept = []
        self._hears_late = number % 3 == 0

    def run(self):
        while not self._stop_asking.is_set():
            self._ask_once()
            idle_s = self._rng.uniform(0.0, 0.12)
            if self._rng.random() < IDLES:
                idle_s = min(3.0, IDLE_SHARE * self._setup.idle_s * self._rng.uniform(0.5, 1.0))
            self._stop_asking.wait(idle_s)
        for connection, *_ in self._kept:
            connection.close()

    def _ask_once(self):
        rng, now = self._rng, time.monotonic()
        for old in [kept for kept in self._kept if not self._is_usable(*kept[2:], now)]:
            old[0].close()
            self._kept.remove(old)
        kept = len(self._kept) >= CONNECTIONS or (self._kept and rng.random() > NEW)
        if kept:
            connection, relay, _, _ = self._kept.pop(rng.randrange(len(self._kept)))
        else:
            relay = rng.choice(self._setup.taking)
            connection = http.client.HTTPConnection(relay.host, relay.port, timeout=1.0)
        asked = self._asked(relay.name, bool(kept))
        asked.ended_at, goes_on = self._exchange(connection, asked)
        self._history.asks(asked)
        if goes_on:
            self._kept.append((connection, relay, asked.ended_at, self._setup.idle_s))
        else:
            connection.close()

    def _is_usable(self, used_at, idle_s, now):
        limit_s = idle_s if self._hears_late else self._setup.idle_s
        return now - used_at <= IDLE_SHARE * limit_s

    def _asked(self, relay, kept):
        rng = self._rng
        route, kind = rng.choice(self._setup.routes)
        request_id = f"q{self._seed}-{next(self._setup.ids)}"
        if kind in STREAMS:
            count = rng.randrange(3, 25)
            tail, wanted = f"{count}-{rng.choice([20, 60, 100])}", wanted_stream(count)
        else:
            size = rng.choice([60, 800, 6000])
            tail, wanted = str(size), wanted_body(request_id, size)
        deadline_s = rng.choice([3.0, 4.5, 6.0])
        return Asked(request_id, f"/{route}/{tail}", route, kind, relay, kept, deadline_s, wanted)

    def _exchange(self, connection, asked):
        """Send a request and read its answer; return when it ended, and whether its connection serves again."""
        headers = {"Host": "shop.example", "Request-Id": asked.request_id, "Key": "key-a"}
        headers["Deadline-Ms"] = str(int(1000 * asked.deadline_s))
        if asked.kind in STREAMS:
            headers |= {"Model-Id": "m", "Token-Usage": "900,50", "Prefix-Hash": "aa:800,bb:100"}
        leaves = self._rng.random() < LEAVES
        asked.sent_at = time.monotonic()
        try:
            connection.request("POST", asked.path, b"{}", headers)
        except OSError:
            return time.monotonic(), False
        asked.sent_at = time.monotonic()
        # Deadlines and timeouts are at most this long.
        connection.sock.settimeout(self._setup.longest_s + BEYOND_S)
        answer = None
        asked.end = "closed"
        try:
            answer = connection.getresponse()
            asked.status, asked.end = answer.status, "cut"
            asked.signature = answer.getheader("Response-Signature")
            asked.own = asked.signature is None
            while piece := answer.read1(65536):
                asked.first_at = asked.first_at or time.monotonic()
                asked.body += piece
                if leaves:
                    asked.end = "left"
                    return time.monotonic(), False
        except TimeoutError:
            asked.end = "unanswered"
            return time.monotonic(), False
        except (OSError, http.client.HTTPException):
            return time.monotonic(), False
        if not answer.length:
            asked.end = "whole"
            answer.close()
        return time.monotonic(), asked.end == "whole" and not answer.will_close
