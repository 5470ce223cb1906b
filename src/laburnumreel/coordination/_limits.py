"""Rate limits of customers as token buckets, which also count what other gateways report."""

from typing import NamedTuple

# Size of a bucket in seconds of its rate, so that short bursts pass.
BURST_S = 1.0


class RateLimits(NamedTuple):
    """Rate limits of one customer. 0 means no limit."""

    requests_per_s: float
    tokens_per_s: float


class TokenBucket:
    """A token bucket whose level may become negative.

    A request passes while the level is at least `min_level`. It is then charged in full, because
    its actual size is only known at its end. In T seconds a bucket of rate r therefore passes at
    most r * (T + BURST_S) plus one request. With n gateways whose reports reach each other within d
    seconds, all together pass at most r * T + n * (r * (BURST_S + d) + one request): for d seconds
    each may use a full bucket and its refill before the others know. The resulting debt is charged
    to all buckets, so the error does not accumulate.
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
        """Return the level at `now`; it is negative while the bucket is in debt."""
        if now > self._updated_at:
            self._level = min(self.burst, self._level + self._rate * (now - self._updated_at))
            self._updated_at = now
        return self._level

    def set_rate(self, rate: float, now: float) -> None:
        """Change the refill rate from now on."""
        self.level(now)
        self._rate = rate
        self._level = min(self.burst, self._level)

    def charge(self, amount: float, now: float) -> None:
        """Subtract an amount from the level. A negative amount is a refund."""
        self._level = min(self.burst, self.level(now) - amount)

    def wait_s(self, now: float) -> float:
        """Return the seconds until a request passes; infinite if the rate is 0."""
        missing = self._min_level - self.level(now)
        # Less than a billionth is a rounding error of the refill.
        if missing < 1e-9:
            return 0.0
        return missing / self._rate if self._rate > 0 else float("inf")

    def is_full(self, now: float) -> bool:
        return self.level(now) >= self.burst


class RateLimiter:
    """Token buckets of all recently active customers. Full buckets can be dropped.

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
        """Return the seconds until a request of a scope passes; 0 means now.

        A scope names a customer, or a customer in one service.
        """
        return max(
            (bucket.wait_s(now) for bucket in self._existing_buckets(scope, rate_limits)),
            default=0.0,
        )

    def charge(
        self, scope: str, rate_limits: RateLimits, requests: float, tokens: float, now: float
    ) -> None:
        """Charge requests and tokens to a scope. Negative amounts are refunds."""
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
        """Drop the full buckets, whose state equals that of a new one."""
        self._buckets = {
            key: bucket for key, bucket in self._buckets.items() if not bucket.is_full(now)
        }

    def _existing_buckets(self, scope: str, rate_limits: RateLimits) -> list[TokenBucket]:
        keys = (
            (scope, "requests", rate_limits.requests_per_s),
            (scope, "tokens", rate_limits.tokens_per_s),
        )
        return [self._buckets[key] for key in keys if key in self._buckets]
