"""What engines keep of prompts, as far as the hosts can tell."""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping

from laburnumreel.relay._requests import Prompt

# An engine's least recently used parts yield. A part that no host is known to have used there for
# this long is no longer counted on.
REMEMBER_S = 12.0
# The working set changes slowly and is added up this often.
WORKING_SET_EVERY_S = 1.0
# Bounds the memory of what was used where, for each engine.
MOST_PARTS = 4096
NEVER = float("-inf")


class PromptMemory:
    """Where the starts of prompts are kept, by what this host and its peers had read there.

    Engines tell late and with gaps what they keep; the hosts know it from what they send.

    >>> from laburnumreel.relay._requests import Part
    >>> prompt = Prompt("m", (Part("a", 100), Part("own", 10)), 110, 20)
    >>> memory = PromptMemory()
    >>> memory.used("e1", prompt, now=0.0)
    >>> memory.kept_tokens("e1", prompt, now=1.0), memory.kept_tokens("e2", prompt, now=1.0)
    (100, 0)
    >>> memory.take_news()
    {'e1': ('a',)}
    """

    def __init__(self) -> None:
        self._used: dict[str, OrderedDict[str, float]] = {}
        # The sizes of parts that requests at this host had.
        self._sizes: OrderedDict[str, int] = OrderedDict()
        self._working_set = 0
        self._working_set_at = float("-inf")
        # What peers nearby and far were not told yet: parts by engine, the oldest first.
        self._untold: dict[bool, dict[str, dict[str, None]]] = {False: {}, True: {}}

    def used(self, engine: str, prompt: Prompt, now: float) -> None:
        """Count that an engine holds a prompt's shared parts now."""
        parts = [part.name for part in prompt.shared]
        for part in prompt.shared:
            self._sizes[part.name] = part.tokens
            self._sizes.move_to_end(part.name)
        while len(self._sizes) > MOST_PARTS:
            self._sizes.popitem(last=False)
        self._count(engine, parts, now)
        for untold in self._untold.values():
            told_next = untold.setdefault(engine, {})
            told_next.update(dict.fromkeys(parts))
            while len(told_next) > MOST_PARTS:
                del told_next[next(iter(told_next))]

    def peer(self, kept: Mapping[str, Iterable[str]], now: float) -> None:
        """Take the parts that a peer had engines get."""
        for engine, parts in kept.items():
            self._count(engine, parts, now)

    def take_news(self, far: bool = False) -> dict[str, tuple[str, ...]]:
        """Return what this host had engines get since the last call for the same peers."""
        untold, self._untold[far] = self._untold[far], {}
        return {engine: tuple(parts) for engine, parts in untold.items() if parts}

    def kept_tokens(self, engine: str, prompt: Prompt, now: float) -> int:
        """Return how many tokens of a prompt's start an engine is expected to keep."""
        used = self._used.get(engine, {})
        kept = 0
        for part in prompt.shared:
            if now - used.get(part.name, NEVER) > REMEMBER_S:
                break
            kept += part.tokens
        return kept

    def kept(self, engines: Iterable[str], prompt: Prompt, now: float) -> list[tuple[str, int]]:
        """Return the engines that are expected to keep a start of a prompt, with its tokens."""
        if not prompt.shared:
            return []
        first = prompt.shared[0].name
        return [
            (engine, self.kept_tokens(engine, prompt, now))
            for engine in engines
            if (used := self._used.get(engine)) is not None
            and now - used.get(first, NEVER) <= REMEMBER_S
        ]

    def working_set(self, now: float) -> int:
        """Return the tokens of all shared parts that any host had read lately, about.

        Parts whose size this host has not met count as the mean of the others.
        """
        if now - self._working_set_at < WORKING_SET_EVERY_S:
            return self._working_set
        parts = {
            part
            for used in self._used.values()
            for part, at in used.items()
            if now - at <= REMEMBER_S
        }
        known = [self._sizes[part] for part in parts if part in self._sizes]
        mean = sum(known) / len(known) if known else 0
        self._working_set = round(sum(known) + mean * (len(parts) - len(known)))
        self._working_set_at = now
        return self._working_set

    def restarted(self, engine: str) -> None:
        """Forget an engine that has lost its memory."""
        self._used.pop(engine, None)

    def keep_only(self, known: Callable[[str], bool]) -> None:
        """Forget the engines that are not known any more."""
        for engines in (self._used, *self._untold.values()):
            for engine in [engine for engine in engines if not known(engine)]:
                del engines[engine]

    def _count(self, engine: str, parts: Iterable[str], now: float) -> None:
        used = self._used.setdefault(engine, OrderedDict())
        for part in parts:
            used[part] = now
            used.move_to_end(part)
        while len(used) > MOST_PARTS:
            used.popitem(last=False)
