"""When a host asks its peers for what they hold, and how often."""

from collections.abc import Iterable

from laburnumreel.relay._holds_wait import FIRST_UPDATE_WAIT_S
from laburnumreel.relay._peer_update import PeerUpdate

# How many peers are asked at once for what is held, how many of them are in another region if there
# is one, and how often others are asked until one answers. Hosts of a region may be paused together.
MAX_ASKED_PEERS = 5
MAX_ASKED_FAR_PEERS = 2
ASK_INTERVAL_S = 0.25
# A host that has heard no peer for this long, or for `UNHEARD_INTERVALS` of the shortest interval
# between updates where these are longer, asks until it hears one: its contact may be back long
# before the next regular update.
UNHEARD_S = 1.0
UNHEARD_INTERVALS = 3.0


class HoldsQuery:
    """The request for holds that a host sends to some peers until one answers.

    It is sent because the dispatcher asked for it, or because no peer was heard for long. Owned by
    the task that exchanges updates.
    """

    def __init__(self, interval_s: float, now: float) -> None:
        self._unheard_s = max(UNHEARD_S, UNHEARD_INTERVALS * interval_s)
        self._heard_at = now
        # The number of the request that is not answered yet, or 0, and when it is given up.
        self._number, self._until = 0, 0.0
        self._next_at = 0.0

    def start(self, number: int, now: float) -> None:
        """Have peers asked from now on; `number` comes back in their answers."""
        self._number, self._until, self._next_at = number, now + FIRST_UPDATE_WAIT_S, now

    def due_at(self, now: float) -> float:
        """Return when peers are to be asked next."""
        if self._number and now < self._until:
            return self._next_at
        return max(self._next_at, self._heard_at + self._unheard_s)

    def on_asked(self, sequence: int, now: float) -> int:
        """Record that peers are asked now, and return the number to ask with.

        Nobody waits for the answer of a host that has heard no peer, so that any number will do.
        """
        self._next_at = now + ASK_INTERVAL_S
        return self._number or sequence

    def on_updates(self, updates: Iterable[PeerUpdate], now: float) -> None:
        """Record that peers were heard, and whether one has answered."""
        self._heard_at = now
        if any(update.answers_holds == self._number for update in updates):
            self._number = 0
