"""Callers for a soak that pool connections, also idle ones, until their hosts are gone."""

import http.client
import random
import threading
import time

from silence_history import STREAM_KINDS, RequestRecord, make_body, make_stream

MAX_CONNECTIONS = 3
# A caller waits this much longer than a final response may take.
RESPONSE_MARGIN_S = 2.0
# Callers reuse connections that were idle for up to this share of the configured idle timeout.
IDLE_TIMEOUT_SHARE = 0.8
# Shares of requests: on a new connection; abandoned by the caller; followed by a long idle time.
NEW_CONNECTION_SHARE, ABANDON_SHARE, LONG_IDLE_SHARE = 0.08, 0.02, 0.03


class Caller(threading.Thread):
    """One caller; `setup` provides accepting relays, routes, idle timeout and request IDs."""

    def __init__(self, setup, history, seed, number, stop):
        super().__init__(name=f"caller-{number}", daemon=True)
        self._setup, self._history, self._stop_event = setup, history, stop
        self._rng = random.Random(f"{seed} caller {number}")
        self._seed = seed
        # Pooled connections as (connection, relay, last use, idle timeout at that time).
        # Every third caller learns of a new idle timeout only with its next response.
        self._pool = []
        self._has_stale_idle_timeout = number % 3 == 0

    def run(self):
        while not self._stop_event.is_set():
            self._send_next()
            idle_s = self._rng.uniform(0.0, 0.12)
            if self._rng.random() < LONG_IDLE_SHARE:
                idle_s = min(
                    3.0, IDLE_TIMEOUT_SHARE * self._setup.idle_s * self._rng.uniform(0.5, 1.0)
                )
            self._stop_event.wait(idle_s)
        for connection, *_ in self._pool:
            connection.close()

    def _send_next(self):
        rng, now = self._rng, time.monotonic()
        for old in [pooled for pooled in self._pool if not self._is_usable(*pooled[2:], now)]:
            old[0].close()
            self._pool.remove(old)
        is_reused = len(self._pool) >= MAX_CONNECTIONS or (
            self._pool and rng.random() > NEW_CONNECTION_SHARE
        )
        if is_reused:
            connection, relay, _, _ = self._pool.pop(rng.randrange(len(self._pool)))
        else:
            relay = rng.choice(self._setup.accepting_relays)
            connection = http.client.HTTPConnection(relay.host, relay.port, timeout=1.0)
        record = self._new_record(relay.name, bool(is_reused))
        record.ended_at, is_reusable = self._exchange(connection, record)
        self._history.record_request(record)
        if is_reusable:
            self._pool.append((connection, relay, record.ended_at, self._setup.idle_s))
        else:
            connection.close()

    def _is_usable(self, used_at, idle_s, now):
        limit_s = idle_s if self._has_stale_idle_timeout else self._setup.idle_s
        return now - used_at <= IDLE_TIMEOUT_SHARE * limit_s

    def _new_record(self, relay, is_reused):
        rng = self._rng
        route, kind = rng.choice(self._setup.routes)
        request_id = f"q{self._seed}-{next(self._setup.request_numbers)}"
        if kind in STREAM_KINDS:
            count = rng.randrange(3, 25)
            path_end, expected_body = f"{count}-{rng.choice([20, 60, 100])}", make_stream(count)
        else:
            size = rng.choice([60, 800, 6000])
            path_end, expected_body = str(size), make_body(request_id, size)
        deadline_s = rng.choice([3.0, 4.5, 6.0])
        return RequestRecord(
            request_id,
            f"/{route}/{path_end}",
            route,
            kind,
            relay,
            is_reused,
            deadline_s,
            expected_body,
        )

    def _send_request(self, connection, record, headers):
        connection.request("POST", record.path, b"{}", headers)

    @staticmethod
    def _make_headers(record):
        headers = {"Host": "shop.example", "Request-Id": record.request_id, "Key": "key-a"}
        headers["Deadline-Ms"] = str(int(1000 * record.deadline_s))
        if record.kind in STREAM_KINDS:
            headers |= {"Model-Id": "m", "Token-Usage": "900,50", "Prefix-Hash": "aa:800,bb:100"}
        return headers

    def _exchange(self, connection, record):
        """Send a request and read its response; return its end time and if its connection lasts."""
        headers = self._make_headers(record)
        should_abandon = self._rng.random() < ABANDON_SHARE
        record.sent_at = time.monotonic()
        try:
            self._send_request(connection, record, headers)
        except OSError:
            return time.monotonic(), False
        record.sent_at = time.monotonic()
        # `max_timeout_s` is the longest deadline or route timeout in use.
        connection.sock.settimeout(self._setup.max_timeout_s + RESPONSE_MARGIN_S)
        return self._read_response(connection.getresponse, record, should_abandon)

    @staticmethod
    def _read_response(get_response, record, should_abandon=False):
        record.end = "closed"
        try:
            answer = get_response()
            record.status, record.end = answer.status, "cut"
            record.signature = answer.getheader("Response-Signature")
            record.is_from_relay = record.signature is None
            while piece := answer.read1(65536):
                record.first_byte_at = record.first_byte_at or time.monotonic()
                record.body += piece
                if should_abandon:
                    record.end = "left"
                    return time.monotonic(), False
        except TimeoutError:
            record.end = "unanswered"
            return time.monotonic(), False
        except (OSError, http.client.HTTPException):
            return time.monotonic(), False
        if not answer.length:
            record.end = "whole"
            answer.close()
        return time.monotonic(), record.end == "whole" and not answer.will_close
