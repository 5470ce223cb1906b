"""Seeded request traces for the load generator."""

import math
import random
from collections.abc import Iterator
from typing import NamedTuple

from laburnumreel_standins._text import BYTES_PER_TOKEN

# Standard deviation of the logarithm of the lengths.
LENGTH_SIGMA = 0.5
MAX_LENGTH_FACTOR = 4.0


class MeanLengths(NamedTuple):
    """Mean lengths of prompts and outputs, in tokens."""

    prompt_tokens: int
    output_tokens: int


class Flood(NamedTuple):
    """Period in which one customer sends `rate` additional requests per second.

    `at` is the start in seconds since the start of the trace.
    """

    customer: str
    at: float
    duration_s: float
    rate: float


class TracePlan(NamedTuple):
    """Parameters of a trace.

    `seconds` is its length and `rate` the requests per second of all customers, which share it by
    Zipf's law, the first customer most. The lengths follow `lengths`, and after
    `lengths_change_at` seconds `later_lengths`. `shared_fraction` is the fraction of a prompt that all
    requests of a customer have in common.
    """

    seconds: float
    rate: float
    customers: tuple[str, ...]
    lengths: MeanLengths
    later_lengths: MeanLengths | None = None
    lengths_change_at: float = math.inf
    flood: Flood | None = None
    shared_fraction: float = 0.5


class Arrival(NamedTuple):
    """One request of a trace, to be sent `at` seconds after its start."""

    number: int
    at: float
    customer: str
    prompt: str
    prompt_tokens: int
    output_tokens: int


def make_trace(plan: TracePlan, seed: int) -> list[Arrival]:
    """Return the arrivals in the order of their times. The same seed gives the same trace."""
    generator = random.Random(seed)
    weights = [1 / (rank + 1) for rank in range(len(plan.customers))]
    arrival_times = [
        (at, generator.choices(plan.customers, weights)[0])
        for at in _poisson_arrivals(generator, plan.rate, 0.0, plan.seconds)
    ]
    if plan.flood is not None:
        flood = plan.flood
        end = min(plan.seconds, flood.at + flood.duration_s)
        arrival_times += [
            (at, flood.customer) for at in _poisson_arrivals(generator, flood.rate, flood.at, end)
        ]
    arrivals = []
    for number, (at, customer) in enumerate(sorted(arrival_times)):
        has_changed = plan.later_lengths is not None and at >= plan.lengths_change_at
        lengths = plan.later_lengths if has_changed else plan.lengths
        prompt_tokens = _draw_length(generator, lengths.prompt_tokens)
        output_tokens = _draw_length(generator, lengths.output_tokens)
        prompt = _make_prompt(seed, number, customer, prompt_tokens, plan.shared_fraction)
        arrivals.append(Arrival(number, at, customer, prompt, prompt_tokens, output_tokens))
    return arrivals


def _poisson_arrivals(
    generator: random.Random, rate: float, start: float, end: float
) -> Iterator[float]:
    at = start
    while rate > 0:
        at += generator.expovariate(rate)
        if at >= end:
            return
        yield at


def _draw_length(generator: random.Random, mean: int) -> int:
    # The mean of a lognormal distribution is exp(mu + sigma**2 / 2).
    mu = math.log(mean) - LENGTH_SIGMA**2 / 2
    return max(1, round(min(generator.lognormvariate(mu, LENGTH_SIGMA), MAX_LENGTH_FACTOR * mean)))


def _make_prompt(seed: int, number: int, customer: str, tokens: int, shared_fraction: float) -> str:
    size = tokens * BYTES_PER_TOKEN
    shared_text = f"{customer}: answer from the following contract. " * (size // 32 + 1)
    head = shared_text[: int(size * shared_fraction)]
    # Starts with the full number, so that short prompts of one customer differ as well.
    number_prefix = f"{number};"
    own_text = f"{number_prefix} question of trace {seed}; " * (size // 16 + 1)
    return head + own_text[: max(len(number_prefix), size - len(head))]
