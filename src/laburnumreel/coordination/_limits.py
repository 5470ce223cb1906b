"""Token buckets that hold a customer to its rates, with what other gateways report counted in."""

from typing import NamedTuple

# A bucket holds what its rate gives in this time, so that short bursts pass.
BURST_S = 1.0


class RateLimits(NamedTuple):
    """Limits for one customer. 0 is no limit."""

    requests_per_s: float
    tokens_per_s: float


class TokenBucket:
    """A token bucket that may go into debt.

    A request passes while the level is at least `min_level` and is then charged in full, because its
    real size is only known at its end. In T seconds one bucket of rate r therefore passes at most
    r * (T + BURST_S) plus one request. With n gateways whose reports reach each other within
    d seconds, all together pass at most r * T + n * (r * (BURST_S + d) + one request): for d
    seconds each may spend a full bucket and its refill that the others do not see yet. The debt
    this leaves is charged to every bucket, so the error does not add up over time.
    """

    def __init__(
        self,
        rate: float,
        min_level: float,
        now: float,
        empty: bool = False,
        min_burst: float = 0.0,
    ) -> None:
        self._rate = rate
        self._min_level = min_level
        self._min_burst = min_burst
        self._level = 0.0 if empty else self.burst
        self._updated_at = now

    @property
    def burst(self) -> float:
        return max(self._min_level, self._min_burst, self._rate * BURST_S)

    def level(self, now: float) -> float:
        """Return what the bucket holds; below 0 it is in debt."""
        if now > self._updated_at:
            self._level = min(self.burst, self._level + self._rate * (now - self._updated_at))
            self._updated_at = now
        return self._level

    def set_rate(self, rate: float, now: float) -> None:
        """Fill the bucket at another rate from now on."""
        self.level(now)
        self._rate = rate
        self._level = min(self.burst, self._level)

    def charge(self, amount: float, now: float) -> None:
        """Take an amount out, or put a negative one back."""
        self._level = min(self.burst, self.level(now) - amount)

    def wait_s(self, now: float) -> float:
        """Return the seconds until a request passes, infinite where nothing comes in."""
        missing = self._min_level - self.level(now)
        # A missing billionth is a rounding error of the refill.
        if missing < 1e-9:
            return 0.0
        return missing / self._rate if self._rate > 0 else float("inf")

    def is_full(self, now: float) -> bool:
        return self.level(now) >= self.burst


class RateLimiter:
    """The buckets of all customers that were active lately; a full bucket is forgotten.

    >>> rate_limiter = RateLimiter()
    >>> rate_limiter.charge("hall-a", RateLimits(1.0, 0.0), 1, 100, now=0.0)
    >>> rate_limiter.wait_s("hall-a", RateLimits(1.0, 0.0), now=0.5) > 0.0
    True
    """

    def __init__(self) -> None:
        self._buckets: dict[tuple[str, str, float], TokenBucket] = {}

    def __len__(self) -> int:
        return len(self._buckets)

    def wait_s(self, scope: str, rate_limits: RateLimits, now: float) -> float:
        """Return the seconds until a request of this scope passes; 0 is now.

        A scope names a customer, or a customer in one service.
        """
        return max(
            (bucket.wait_s(now) for bucket in self._existing_buckets(scope, rate_limits)),
            default=0.0,
        )

    def charge(
        self, scope: str, rate_limits: RateLimits, requests: float, tokens: float, now: float
    ) -> None:
        """Charge requests and tokens to a scope; negative amounts give back."""
        for kind, rate, amount in (
            ("requests", rate_limits.requests_per_s, requests),
            ("tokens", rate_limits.tokens_per_s, tokens),
        ):
            if rate > 0:
                key = (scope, kind, rate)
                if key not in self._buckets:
                    self._buckets[key] = TokenBucket(rate, 1.0, now)
                self._buckets[key].charge(amount, now)

    def forget_full(self, now: float) -> None:
        """Drop the buckets whose state equals that of a new one."""
        self._buckets = {
            key: bucket for key, bucket in self._buckets.items() if not bucket.is_full(now)
        }

    def _existing_buckets(self, scope: str, rate_limits: RateLimits) -> list[TokenBucket]:
        keys = (
            (scope, "requests", rate_limits.requests_per_s),
            (scope, "tokens", rate_limits.tokens_per_s),
        )
        return [self._buckets[key] for key in keys if key in self._buckets]
