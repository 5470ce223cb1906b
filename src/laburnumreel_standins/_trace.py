"""Seeded traces of requests for the load generator."""

import math
import random
from collections.abc import Iterator
from typing import NamedTuple

from laburnumreel_standins._text import BYTES_PER_TOKEN

# Spread of the lengths: the standard deviation of their logarithm.
LENGTH_SIGMA = 0.5
MAX_LENGTH_FACTOR = 4.0


class Mix(NamedTuple):
    """Mean lengths in tokens."""

    prompt_tokens: int
    output_tokens: int


class Flood(NamedTuple):
    """A customer that sends `rate` more requests a second for a while. Times are in seconds."""

    customer: str
    at: float
    duration_s: float
    rate: float


class TracePlan(NamedTuple):
    """What a trace is made from. Customers share the rate by Zipf's law, the first one most.

    The mix changes from `mix` to `swing` at `swing_at` seconds. `shared` is the share of a prompt
    that is the same for all requests of a customer.
    """

    seconds: float
    rate: float
    customers: tuple[str, ...]
    mix: Mix
    swing: Mix | None = None
    swing_at: float = math.inf
    flood: Flood | None = None
    shared: float = 0.5


class Arrival(NamedTuple):
    """One request of a trace."""

    number: int
    at: float
    customer: str
    prompt: str
    prompt_tokens: int
    output_tokens: int


def make_trace(plan: TracePlan, seed: int) -> list[Arrival]:
    """Return the arrivals in the order of their times; a seed gives the same trace each time."""
    generator = random.Random(seed)
    weights = [1 / (rank + 1) for rank in range(len(plan.customers))]
    starts = [
        (at, generator.choices(plan.customers, weights)[0])
        for at in _poisson(generator, plan.rate, 0.0, plan.seconds)
    ]
    if plan.flood is not None:
        flood = plan.flood
        end = min(plan.seconds, flood.at + flood.duration_s)
        starts += [(at, flood.customer) for at in _poisson(generator, flood.rate, flood.at, end)]
    arrivals = []
    for number, (at, customer) in enumerate(sorted(starts)):
        swung = plan.swing is not None and at >= plan.swing_at
        mix = plan.swing if swung else plan.mix
        prompt_tokens = _length(generator, mix.prompt_tokens)
        output_tokens = _length(generator, mix.output_tokens)
        prompt = _prompt(seed, number, customer, prompt_tokens, plan.shared)
        arrivals.append(Arrival(number, at, customer, prompt, prompt_tokens, output_tokens))
    return arrivals


def _poisson(generator: random.Random, rate: float, start: float, end: float) -> Iterator[float]:
    at = start
    while rate > 0:
        at += generator.expovariate(rate)
        if at >= end:
            return
        yield at


def _length(generator: random.Random, mean: int) -> int:
    # The mean of a lognormal distribution is exp(mu + sigma**2 / 2).
    mu = math.log(mean) - LENGTH_SIGMA**2 / 2
    return max(1, round(min(generator.lognormvariate(mu, LENGTH_SIGMA), MAX_LENGTH_FACTOR * mean)))


def _prompt(seed: int, number: int, customer: str, tokens: int, shared: float) -> str:
    size = tokens * BYTES_PER_TOKEN
    common = f"{customer}: answer from the following contract. " * (size // 32 + 1)
    head = common[: int(size * shared)]
    # The number comes first and whole, so that short prompts of one customer differ too.
    mark = f"{number};"
    own = f"{mark} question of trace {seed}; " * (size // 16 + 1)
    return head + own[: max(len(mark), size - len(head))]
