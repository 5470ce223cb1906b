"""Choice of the back end for a request: the candidate with the lowest cost in milliseconds."""

import random
from collections.abc import Sequence
from typing import NamedTuple

from laburnumreel.coordination._back_ends import BackEnd
from laburnumreel.coordination._prefixes import BLOCK_BYTES

BYTES_PER_OUTPUT_TOKEN = 4


class Costs(NamedTuple):
    """Costs of the disadvantages of a back end, in milliseconds.

    `token_gap_ms` is the goal for the time between tokens. `load_ms` is the cost of a full engine
    within that goal; it spreads requests before any goal is missed. `plain_request_ms` is the
    expected time of a plain request. `cross_region_ms_per_kb` is the price of a kilobyte sent
    between regions. `memory_ms` is the cost of an engine whose free KV memory does not suffice for
    the request.
    """

    token_gap_ms: float = 32.0
    load_ms: float = 40.0
    plain_request_ms: float = 20.0
    zone_ms: float = 2.0
    region_ms: float = 12.0
    cross_region_ms_per_kb: float = 0.2
    memory_ms: float = 500.0


class RoutingRequest(NamedTuple):
    """A request as routing sees it. `prefixes` are the digests of its prompt, shortest first.

    `parts` are the digests of the parts of its prompt that other prompts may share. `software` is
    the version of the back end that began its stream, or None if any may generate.
    """

    request_id: str
    service: str
    customer: str
    model: str
    prompt_tokens: int
    prompt_bytes: int
    output_tokens: int
    prefixes: tuple[str, ...]
    priority: int
    parts: tuple[str, ...] = ()
    software: str | None = None


class RoutingChoice(NamedTuple):
    """The chosen back end, its cost, and the prompt tokens that are not in its cache."""

    back_end: BackEnd
    cost_ms: float
    prefill_tokens: int


class Router:
    """Chooses the back end with the lowest cost; ties are broken at random.

    The cost is the expected time to the first token, plus the time by which the token gap goal is
    missed over the whole response, plus prices for distance and bytes sent between regions.

    >>> Router("xela-a", "xela", random.Random(1)).choose(
    ...     RoutingRequest("r1", "orders", "hall-a", "", 0, 0, 0, (), 0), []
    ... ) is None
    True
    """

    def __init__(
        self, zone: str, region: str, random: random.Random, costs: Costs | None = None
    ) -> None:
        self._zone = zone
        self._region = region
        self._random = random
        self._costs = costs or Costs()

    def choose(
        self, request: RoutingRequest, candidates: Sequence[BackEnd]
    ) -> RoutingChoice | None:
        """Return the best candidate for a request, or None if there are no candidates."""
        best: list[RoutingChoice] = []
        for back_end in candidates:
            choice = self._evaluate(request, back_end)
            if not best or choice.cost_ms < best[0].cost_ms:
                best = [choice]
            elif choice.cost_ms == best[0].cost_ms:
                best.append(choice)
        return self._random.choice(best) if best else None

    def cost(self, request: RoutingRequest, back_end: BackEnd) -> float:
        """Return the cost of running a request on a back end, in milliseconds."""
        return self._evaluate(request, back_end).cost_ms

    def _evaluate(self, request: RoutingRequest, back_end: BackEnd) -> RoutingChoice:
        distance_ms = self._distance_ms(request, back_end)
        if back_end.kind == "plain":
            load = back_end.unreported_requests * self._costs.plain_request_ms
            return RoutingChoice(back_end, distance_ms + load, 0)
        prefill = request.prompt_tokens - cached_tokens(request, back_end)
        cost = (
            distance_ms + self._prefill_ms(prefill, back_end) + self._decode_ms(request, back_end)
        )
        if back_end.kv_free_tokens < prefill + request.output_tokens:
            cost += self._costs.memory_ms
        return RoutingChoice(back_end, cost, prefill)

    def _distance_ms(self, request: RoutingRequest, back_end: BackEnd) -> float:
        if back_end.zone == self._zone:
            return 0.0
        if back_end.region == self._region:
            return self._costs.zone_ms
        size = request.prompt_bytes + request.output_tokens * BYTES_PER_OUTPUT_TOKEN
        return self._costs.region_ms + size / 1000 * self._costs.cross_region_ms_per_kb

    def _prefill_ms(self, prefill: int, back_end: BackEnd) -> float:
        queued = back_end.queued_prefill_tokens + back_end.unreported_prefill_tokens
        return 1000 * (queued + prefill) / max(1.0, back_end.prefill_tokens_per_s)

    def _decode_ms(self, request: RoutingRequest, back_end: BackEnd) -> float:
        if not request.output_tokens:
            return 0.0
        streams = back_end.decode_streams + back_end.unreported_requests + 1
        slots = max(1, back_end.max_streams)
        gap_ms = 1000 * min(streams, slots) / max(1.0, back_end.decode_tokens_per_s)
        late_ms = request.output_tokens * max(0.0, gap_ms - self._costs.token_gap_ms)
        # Streams beyond the slots of an engine are queued until one of its streams ends.
        queue_ms = max(0, streams - slots) * request.output_tokens * gap_ms / slots
        return late_ms + queue_ms + self._costs.load_ms * min(1.0, streams / slots)


def cached_tokens(request: RoutingRequest, back_end: BackEnd) -> int:
    """Return the estimated number of prompt tokens in the back end's prefix cache."""
    if not request.prompt_bytes:
        return 0
    for blocks in range(len(request.prefixes), 0, -1):
        if request.prefixes[blocks - 1] in back_end.cached_prefixes:
            share = min(1.0, blocks * BLOCK_BYTES / request.prompt_bytes)
            return int(request.prompt_tokens * share)
    return 0
