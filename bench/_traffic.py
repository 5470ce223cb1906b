"""Simulated requests, the two deployments of section 1.5 of the design page, and traffic."""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

BLOCK_TOKENS = 64


class Deployment(NamedTuple):
    """One of the deployments of section 1.5 of the design page."""

    name: str
    zones: tuple[str, ...]
    workers: int = 6
    inter_zone_delay_s: float = 0.005
    report_lag_s: float = 2.0
    prompt_tokens: int = 800
    output_tokens: int = 160
    requests_per_s: float = 80.0


QUETZAL = Deployment("quetzal", ("antigua-a", "xela-a", "puerto-a"))
SEITKALI = Deployment(
    "seitkali",
    ("almaty-a", "astana-a", "shymkent-a"),
    inter_zone_delay_s=0.004,
    output_tokens=240,
    requests_per_s=60.0,
)


@dataclass(eq=False)
class Request:
    """One request and its outcome."""

    request_id: str
    customer: str
    arrival: float
    prompt_tokens: int
    output_tokens: int
    prefixes: tuple[str, ...] = ()
    deadline: float = 1e9
    attempts: int = 0
    submissions: int = 0
    cheap: bool = False
    first_at: float = float("inf")
    done_at: float = float("inf")
    outcome: str = ""
    engine: Any = None

    @property
    def tokens(self) -> int:
        return self.prompt_tokens + self.output_tokens

    def met_goals(self, first_token_s: float, token_gap_s: float) -> bool:
        """Return whether the answer was complete, before its deadline and within both goals."""
        if self.outcome != "done" or self.done_at > self.deadline:
            return False
        gap = (self.done_at - self.first_at) / max(1, self.output_tokens)
        return self.first_at - self.arrival <= first_token_s and gap <= token_gap_s


@dataclass
class Traffic:
    """Poisson arrivals of one customer; `rate` returns requests per second at a given time."""

    customer: str
    rate: Callable[[float], float]
    draw_sizes: Callable[[float, random.Random], tuple[int, int]]
    deadline_s: float = 30.0
    prefix_groups: int = 0
    cheap: bool = False

    def requests(self, until: float, rng: random.Random) -> Iterator[Request]:
        """Yield the requests that arrive before `until`, by thinning at the peak rate."""
        peak = max(self.rate(t) for t in range(int(until) + 1))
        now, number = 0.0, 0
        while peak > 0 and (now := now + rng.expovariate(peak)) < until:
            if rng.random() * peak > self.rate(now):
                continue
            number += 1
            prompt, output = self.draw_sizes(now, rng)
            prefixes: tuple[str, ...] = ()
            if self.prefix_groups:
                group = int(self.prefix_groups * rng.random() ** 2)
                shared = int(prompt * 0.75) // BLOCK_TOKENS
                prefixes = tuple(f"{self.customer}.{group}.{block}" for block in range(shared))
            yield Request(
                f"{self.customer}-{number}",
                self.customer,
                now,
                prompt,
                output,
                prefixes,
                now + self.deadline_s,
                cheap=self.cheap,
            )


def draw_size(mean_tokens: float, rng: random.Random) -> int:
    """Return a random size around a mean, from a quarter of it to about three times."""
    return max(8, int(mean_tokens * (0.25 + 0.75 * rng.expovariate(1.0))))
