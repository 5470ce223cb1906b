"""What engines keep of prompts, as far as the hosts can tell."""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping

from laburnumreel.relay._requests import Prompt

# An engine's least recently used parts yield. A part that no host is known to have used there for
# this long is no longer counted on.
PREFIX_TTL_S = 12.0
# The working set changes slowly and is added up this often.
WORKING_SET_INTERVAL_S = 1.0
# Bounds the memory of what was used where, for each engine.
MAX_PARTS = 4096
NEVER = float("-inf")


class PrefixCacheIndex:
    """Where the starts of prompts are kept, by what this host and its peers had read there.

    Engines tell late and with gaps what they keep; the hosts know it from what they send.

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
        # The sizes of parts that requests at this host had.
        self._sizes: OrderedDict[str, int] = OrderedDict()
        self._working_set_tokens = 0
        self._working_set_at = float("-inf")
        # What peers nearby and far were not told yet: parts by engine, the oldest first.
        self._unsent: dict[bool, dict[str, dict[str, None]]] = {False: {}, True: {}}

    def record_prompt(self, engine: str, prompt: Prompt, now: float) -> None:
        """Count that an engine holds a prompt's shared parts now."""
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
        """Take the parts that a peer had engines get."""
        for engine, parts in kept.items():
            self._mark_used(engine, parts, now)

    def take_unsent(self, cross_region: bool = False) -> dict[str, tuple[str, ...]]:
        """Return what this host had engines get since the last call for the same peers."""
        unsent, self._unsent[cross_region] = self._unsent[cross_region], {}
        return {engine: tuple(parts) for engine, parts in unsent.items() if parts}

    def cached_tokens(self, engine: str, prompt: Prompt, now: float) -> int:
        """Return how many tokens of a prompt's start an engine is expected to keep."""
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
        """Return the engines that are expected to keep a start of a prompt, with its tokens."""
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
        """Return the tokens of all shared parts that any host had read lately, about.

        Parts whose size this host has not met count as the mean of the others.
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
        """Forget an engine that has lost its memory."""
        self._used_at.pop(engine, None)

    def keep_only(self, is_known: Callable[[str], bool]) -> None:
        """Forget the engines that are not known any more."""
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
