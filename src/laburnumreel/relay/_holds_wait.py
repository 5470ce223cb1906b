"""The wait of a host that may not know which parts of prompts its peers hold."""

import random
from collections.abc import Callable, Sequence

from laburnumreel.core import Log
from laburnumreel.relay._assignments import PlacementRequest
from laburnumreel.relay._events import HOLDS_AWAITED, HOLDS_HEARD
from laburnumreel.relay._peer_update import PeerUpdate

# A host that starts or wakes waits at most this long for what a peer knows of crashes and held parts.
FIRST_UPDATE_WAIT_S = 1.0
# A host whose dispatcher did not run for this long was paused, and may have missed holds.
PAUSED_S = 1.0
# A request is not delayed any more when it would be refused for its wait within this time.
MIN_LEFT_S = 0.15

# Log lines use the name of the dispatcher, because this code runs on its thread.
_log = Log("relay.dispatcher")


class HoldsWait:
    """Delays requests with prompt parts until a peer has told which parts are held.

    Begins when the host starts and others are listed, and when it wakes from a pause. `set_ask` sets
    the function that asks peers; its argument comes back in the answers of those that do not wait
    themselves, because updates from before a pause may still be unread after it. Without that
    function, nothing is delayed. Not thread-safe; owned by the dispatcher.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._ask: Callable[[int], None] | None = None
        self._has_listed = False
        self._ran_at: float | None = None
        self._nonce = 0
        # When the wait began and ends; `_until` is None if there is none.
        self._since = 0.0
        self._until: float | None = None

    def set_ask(self, ask: Callable[[int], None]) -> None:
        self._ask = ask

    def on_run(self, has_peers: bool, now: float) -> None:
        """Record that the dispatcher runs, which shows whether it was paused."""
        paused_s = now - self._ran_at if self._ran_at is not None else 0.0
        self._ran_at = now
        if paused_s >= PAUSED_S and has_peers:
            self._begin("paused", now, paused_s=round(paused_s, 2))
        elif self._until is not None and now >= self._until:
            self._end("", now)

    def on_hosts(self, count: int, now: float) -> None:
        """Record the number of listed hosts; the first one shows whether there are others to ask."""
        is_first, self._has_listed = not self._has_listed, True
        if is_first and count > 1:
            self._begin("started", now)

    def on_updates(self, updates: Sequence[PeerUpdate], now: float) -> bool:
        """Record updates that were applied, and return whether the wait has ended."""
        if self._until is None:
            return False
        for update in updates:
            if update.answers_holds == self._nonce:
                self._end(update.sender, now)
                return True
        return False

    def delays(self, order: PlacementRequest, now: float) -> bool:
        """Return whether a request must wait."""
        if self._until is None or not order.parts:
            return False
        return now < min(self._until, order.waiting.expires_at - MIN_LEFT_S)

    def is_waiting(self, now: float) -> bool:
        """Return whether this host may not know what its peers hold."""
        return self.remaining_s(now) > 0

    def remaining_s(self, now: float) -> float:
        """Return for how many more seconds requests may be delayed."""
        return max(0.0, self._until - now) if self._until is not None else 0.0

    def _begin(self, cause: str, now: float, **fields: float) -> None:
        if self._ask is None:
            return
        self._nonce = self._rng.getrandbits(32) + 1
        self._since, self._until = now, now + FIRST_UPDATE_WAIT_S
        _log.info(HOLDS_AWAITED, cause=cause, **fields)
        self._ask(self._nonce)

    def _end(self, peer: str, now: float) -> None:
        self._until = None
        _log.info(HOLDS_HEARD, peer=peer, waited_ms=round(1000 * (now - self._since)))
