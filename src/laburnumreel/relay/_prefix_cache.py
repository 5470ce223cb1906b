"""The prompt prefixes that engines are expected to have cached."""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping

from laburnumreel.relay._requests import Prompt

# Engines evict the least recently used parts. A part that no host is known to have used at an
# engine for this long is no longer expected to be cached there.
PREFIX_TTL_S = 12.0
# The working set changes slowly and is recomputed at this interval.
WORKING_SET_INTERVAL_S = 1.0
# Maximum number of parts that are remembered for each engine.
MAX_PARTS = 4096
NEVER = float("-inf")


class PrefixCacheIndex:
    """Index of the prompt prefixes that each engine has cached.

    It is built from the requests that this host and its peers sent, because engines report their
    cache contents late and incompletely.

    >>> from laburnumreel.relay._requests import PromptPart
    >>> prompt = Prompt("m", (PromptPart("a", 100), PromptPart("own", 10)), 110, 20)
    >>> memory = PrefixCacheIndex()
    >>> memory.record_prompt("e1", prompt, now=0.0)
    >>> memory.cached_tokens("e1", prompt, now=1.0), memory.cached_tokens("e2", prompt, now=1.0)
    (100, 0)
    >>> memory.take_unsent()
    {'e1': ('a',)}
    """

    def __init__(self) -> None:
        self._used_at: dict[str, OrderedDict[str, float]] = {}
        # The sizes in tokens of parts in requests at this host.
        self._sizes: OrderedDict[str, int] = OrderedDict()
        self._working_set_tokens = 0
        self._working_set_at = float("-inf")
        # Parts by engine that were not yet sent to peers nearby (False) and far away (True),
        # the oldest first.
        self._unsent: dict[bool, dict[str, dict[str, None]]] = {False: {}, True: {}}

    def record_prompt(self, engine: str, prompt: Prompt, now: float) -> None:
        """Record that an engine now caches the shared parts of a prompt."""
        parts = [part.name for part in prompt.shared]
        for part in prompt.shared:
            self._sizes[part.name] = part.tokens
            self._sizes.move_to_end(part.name)
        while len(self._sizes) > MAX_PARTS:
            self._sizes.popitem(last=False)
        self._mark_used(engine, parts, now)
        for unsent in self._unsent.values():
            pending = unsent.setdefault(engine, {})
            pending.update(dict.fromkeys(parts))
            while len(pending) > MAX_PARTS:
                del pending[next(iter(pending))]

    def add_peer_prefixes(self, kept: Mapping[str, Iterable[str]], now: float) -> None:
        """Record the parts that a peer sent to engines."""
        for engine, parts in kept.items():
            self._mark_used(engine, parts, now)

    def take_unsent(self, cross_region: bool = False) -> dict[str, tuple[str, ...]]:
        """Return the parts by engine that were sent since the last call for the same peers.

        `cross_region` selects the peers in other regions.
        """
        unsent, self._unsent[cross_region] = self._unsent[cross_region], {}
        return {engine: tuple(parts) for engine, parts in unsent.items() if parts}

    def cached_tokens(self, engine: str, prompt: Prompt, now: float) -> int:
        """Return how many tokens of a prompt's prefix an engine is expected to have cached."""
        used_at = self._used_at.get(engine, {})
        kept = 0
        for part in prompt.shared:
            if now - used_at.get(part.name, NEVER) > PREFIX_TTL_S:
                break
            kept += part.tokens
        return kept

    def cached_prefixes(
        self, engines: Iterable[str], prompt: Prompt, now: float
    ) -> list[tuple[str, int]]:
        """Return the engines that should have a prefix of a prompt cached, with its tokens."""
        if not prompt.shared:
            return []
        first = prompt.shared[0].name
        return [
            (engine, self.cached_tokens(engine, prompt, now))
            for engine in engines
            if (used_at := self._used_at.get(engine)) is not None
            and now - used_at.get(first, NEVER) <= PREFIX_TTL_S
        ]

    def working_set_tokens(self, now: float) -> int:
        """Return the approximate tokens of all shared parts that any host used recently.

        Parts whose size is unknown to this host count as the mean of the others.
        """
        if now - self._working_set_at < WORKING_SET_INTERVAL_S:
            return self._working_set_tokens
        parts = {
            part
            for used_at in self._used_at.values()
            for part, at in used_at.items()
            if now - at <= PREFIX_TTL_S
        }
        known = [self._sizes[part] for part in parts if part in self._sizes]
        mean = sum(known) / len(known) if known else 0
        self._working_set_tokens = round(sum(known) + mean * (len(parts) - len(known)))
        self._working_set_at = now
        return self._working_set_tokens

    def on_restart(self, engine: str) -> None:
        """Forget the cached parts of an engine that has restarted."""
        self._used_at.pop(engine, None)

    def keep_only(self, is_known: Callable[[str], bool]) -> None:
        """Forget the engines that are no longer known."""
        for engines in (self._used_at, *self._unsent.values()):
            for engine in [engine for engine in engines if not is_known(engine)]:
                del engines[engine]

    def _mark_used(self, engine: str, parts: Iterable[str], now: float) -> None:
        used_at = self._used_at.setdefault(engine, OrderedDict())
        for part in parts:
            used_at[part] = now
            used_at.move_to_end(part)
        while len(used_at) > MAX_PARTS:
            used_at.popitem(last=False)
