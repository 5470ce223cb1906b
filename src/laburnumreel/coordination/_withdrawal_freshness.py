"""How old this process' knowledge of each gateway's withdrawals is, at first hand or through others."""

import hashlib
import math
import struct
from collections.abc import Iterable

from laburnumreel.coordination._messages import Address, format_address

AGE_UNIT_S = 0.02
# An age that says: none, or older than `cut_off_s`.
UNKNOWN_AGE = 65535
AGE_BYTES = 2
GATEWAYS_DIGEST_BYTES = 8


class WithdrawalFreshness:
    """For each gateway B a time on our clock: we hold all withdrawals that B acknowledged before.

    Times come from answers to our own calls. An answer that is in sync and was composed after our
    call at t vouches for the answerer up to t. Its ages vouch for other gateways up to t less the
    age, which is never later than the answerer's own time for them.
    """

    def __init__(self, gateways: Iterable[Address], own: Address, cut_off_s: float) -> None:
        ordered = sorted(set(gateways))
        self._index_by_address = {
            format_address(address): index for index, address in enumerate(ordered)
        }
        self._own_index = self._index_by_address.get(format_address(own))
        self._cut_off_s = cut_off_s
        text = ",".join(self._index_by_address)
        self._digest = hashlib.sha256(text.encode()).digest()[:GATEWAYS_DIGEST_BYTES]
        # Its length never changes: other threads read it while the exchange's task writes.
        self._complete_until = [float("-inf")] * len(ordered)
        self._started_at = float("inf")

    @property
    def gateways_digest(self) -> bytes:
        return self._digest

    @property
    def encoded_ages_size(self) -> int:
        """The size of encoded ages."""
        return AGE_BYTES * len(self._complete_until)

    def complete_until(self, address: Address) -> float:
        """Return the time up to which we hold what a gateway acknowledged."""
        return self._complete_until[self._index_by_address[format_address(address)]]

    def count_fresh(self, now: float) -> int:
        """Return the number of other gateways that are vouched for within `cut_off_s`."""
        oldest = now - self._cut_off_s
        return sum(at >= oldest for at in self._complete_until)

    def is_majority(self, count: int) -> bool:
        return 2 * count > len(self._complete_until)

    def has_majority_since_start(self, now: float) -> bool:
        """Return whether a majority, this one not counted, is vouched for lately and since the start.

        An earlier time, which only ages can give, may precede withdrawals that this process
        acknowledged and then lost in its restart.
        """
        oldest = max(self._started_at, now - self._cut_off_s)
        return self.is_majority(sum(at >= oldest for at in self._complete_until))

    def on_answer(self, address: str, sent_at: float, ages: bytes, gateways_digest: bytes) -> None:
        """Take an answer that is in sync, to a call sent at `sent_at`."""
        # Every call was sent after the start, so the earliest is a bound from above.
        self._started_at = min(self._started_at, sent_at)
        index = self._index_by_address.get(address)
        if index is not None:
            self._advance(index, sent_at)
        if gateways_digest != self._digest or len(ages) != self.encoded_ages_size:
            return
        for index, age in enumerate(struct.unpack(f">{len(self._complete_until)}H", ages)):
            if age != UNKNOWN_AGE:
                self._advance(index, sent_at - age * AGE_UNIT_S)

    def ages(self, now: float) -> bytes:
        """Return how old each time is, rounded up, in sorted address order."""
        ages = [self._age(now - at) for at in self._complete_until]
        if self._own_index is not None:
            ages[self._own_index] = 0
        return struct.pack(f">{len(ages)}H", *ages)

    def _age(self, age_s: float) -> int:
        if age_s > self._cut_off_s:
            return UNKNOWN_AGE
        # One unit more than needed covers the rounding of floating point numbers.
        return min(max(0, math.floor(age_s / AGE_UNIT_S) + 1), UNKNOWN_AGE)

    def _advance(self, index: int, at: float) -> None:
        if index != self._own_index and at > self._complete_until[index]:
            self._complete_until[index] = at
