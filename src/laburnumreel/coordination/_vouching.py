"""How old this process' knowledge of each gateway's withdrawals is, at first hand or through others."""

import hashlib
import math
import struct
from collections.abc import Iterable

from laburnumreel.coordination._messages import Address, address_text

AGE_UNIT_S = 0.02
# An age that says: none, or older than `cut_off_s`.
NO_AGE = 65535
AGE_BYTES = 2
GATEWAYS_DIGEST_BYTES = 8


class Vouching:
    """For each gateway B a time on our clock: we hold all withdrawals that B acknowledged before.

    Times come from answers to our own calls. An answer that is in sync and was composed after our
    call at t vouches for the answerer up to t. Its ages vouch for other gateways up to t less the
    age, which is never later than the answerer's own time for them.
    """

    def __init__(self, gateways: Iterable[Address], own: Address, cut_off_s: float) -> None:
        ordered = sorted(set(gateways))
        self._index = {address_text(address): place for place, address in enumerate(ordered)}
        self._own = self._index.get(address_text(own))
        self._cut_off_s = cut_off_s
        text = ",".join(self._index)
        self._digest = hashlib.sha256(text.encode()).digest()[:GATEWAYS_DIGEST_BYTES]
        # Its length never changes: other threads read it while the exchange's task writes.
        self._vouched_at = [float("-inf")] * len(ordered)
        self._started_at = float("inf")

    @property
    def gateways_digest(self) -> bytes:
        return self._digest

    @property
    def ages_bytes(self) -> int:
        """The size of encoded ages."""
        return AGE_BYTES * len(self._vouched_at)

    def vouched_at(self, address: Address) -> float:
        """Return the time up to which we hold what a gateway acknowledged."""
        return self._vouched_at[self._index[address_text(address)]]

    def heard(self, now: float) -> int:
        """Return the number of other gateways that are vouched for within `cut_off_s`."""
        oldest = now - self._cut_off_s
        return sum(at >= oldest for at in self._vouched_at)

    def is_majority(self, count: int) -> bool:
        return 2 * count > len(self._vouched_at)

    def heard_majority_since_start(self, now: float) -> bool:
        """Return whether a majority, this one not counted, is vouched for lately and since the start.

        An earlier time, which only ages can give, may precede withdrawals that this process
        acknowledged and then lost in its restart.
        """
        oldest = max(self._started_at, now - self._cut_off_s)
        return self.is_majority(sum(at >= oldest for at in self._vouched_at))

    def on_answer(self, address: str, sent_at: float, ages: bytes, gateways_digest: bytes) -> None:
        """Take an answer that is in sync, to a call sent at `sent_at`."""
        # Every call was sent after the start, so the earliest is a bound from above.
        self._started_at = min(self._started_at, sent_at)
        place = self._index.get(address)
        if place is not None:
            self._raise(place, sent_at)
        if gateways_digest != self._digest or len(ages) != self.ages_bytes:
            return
        for place, age in enumerate(struct.unpack(f">{len(self._vouched_at)}H", ages)):
            if age != NO_AGE:
                self._raise(place, sent_at - age * AGE_UNIT_S)

    def ages(self, now: float) -> bytes:
        """Return how old each time is, rounded up, in sorted address order."""
        ages = [self._age(now - at) for at in self._vouched_at]
        if self._own is not None:
            ages[self._own] = 0
        return struct.pack(f">{len(ages)}H", *ages)

    def _age(self, age_s: float) -> int:
        if age_s > self._cut_off_s:
            return NO_AGE
        # One unit more than needed covers the rounding of floating point numbers.
        return min(max(0, math.floor(age_s / AGE_UNIT_S) + 1), NO_AGE)

    def _raise(self, place: int, at: float) -> None:
        if place != self._own and at > self._vouched_at[place]:
            self._vouched_at[place] = at
