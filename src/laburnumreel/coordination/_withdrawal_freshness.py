"""Age of what this process knows of each gateway's withdrawals, directly or through others."""

import hashlib
import math
import struct
from collections.abc import Iterable

from laburnumreel.coordination._messages import Address, format_address

AGE_UNIT_S = 0.02
# Encodes an age that is unknown or longer than `cut_off_s`.
UNKNOWN_AGE = 65535
AGE_BYTES = 2
GATEWAYS_DIGEST_BYTES = 8


class WithdrawalFreshness:
    """Per gateway, a time before which all withdrawals that it acknowledged are known here.

    Times are on our clock and come from answers to our own calls. An answer was composed after its
    call was sent at t, so one that is in sync proves that we hold what its sender acknowledged
    before t. Each age in it proves the same for another gateway up to t less the age. That is never
    later than the time which the sender itself has for that gateway.
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
        # Never resized: other threads read it while the task of the exchange writes.
        self._complete_until = [float("-inf")] * len(ordered)
        self._started_at = float("inf")

    @property
    def gateways_digest(self) -> bytes:
        return self._digest

    @property
    def encoded_ages_size(self) -> int:
        """The size of the encoded ages in bytes."""
        return AGE_BYTES * len(self._complete_until)

    def complete_until(self, address: Address) -> float:
        """Return the time before which all that a gateway acknowledged is known here."""
        return self._complete_until[self._index_by_address[format_address(address)]]

    def count_fresh(self, now: float) -> int:
        """Return the number of other gateways whose time is within the last `cut_off_s`."""
        oldest = now - self._cut_off_s
        return sum(at >= oldest for at in self._complete_until)

    def is_majority(self, count: int) -> bool:
        return 2 * count > len(self._complete_until)

    def has_majority_since_start(self, now: float) -> bool:
        """Return whether a majority has times within `cut_off_s` and after our start.

        This gateway does not count. A time before our start, which only ages can give, does not
        cover withdrawals that this process acknowledged and then lost when it was restarted.
        """
        oldest = max(self._started_at, now - self._cut_off_s)
        return self.is_majority(sum(at >= oldest for at in self._complete_until))

    def on_answer(self, address: str, sent_at: float, ages: bytes, gateways_digest: bytes) -> None:
        """Record an answer that is in sync, to a call sent at `sent_at`."""
        # Every call was sent after the start, so the earliest one is an upper bound of the start.
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
        """Return the encoded age of each time, rounded up, in sorted address order."""
        ages = [self._age(now - at) for at in self._complete_until]
        if self._own_index is not None:
            ages[self._own_index] = 0
        return struct.pack(f">{len(ages)}H", *ages)

    def _age(self, age_s: float) -> int:
        if age_s > self._cut_off_s:
            return UNKNOWN_AGE
        # Rounding up by a whole unit also covers floating-point rounding errors.
        return min(max(0, math.floor(age_s / AGE_UNIT_S) + 1), UNKNOWN_AGE)

    def _advance(self, index: int, at: float) -> None:
        if index != self._own_index and at > self._complete_until[index]:
            self._complete_until[index] = at
