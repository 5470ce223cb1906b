"""What engines keep of prompts, as far as this host can tell."""

from collections import OrderedDict
from collections.abc import Callable, Iterable

from laburnumreel.relay._placement import home_of
from laburnumreel.relay._requests import Prompt

# An engine's least recently used parts yield. A part that this host has not seen used for this long
# is no longer counted on, unless the engine is the part's home.
REMEMBER_S = 10.0
# Bounds the memory of what was read where, for each engine.
MOST_PARTS = 4096


class PromptMemory:
    """Where the starts of prompts are kept.

    A part's home is the same on all hosts, so that each part is read at one engine whichever host
    its prompts come to. Besides, this host remembers where it had parts read itself.

    >>> prompt = Prompt("m", (Part("a", 100), Part("own", 10)), 110, 20)
    >>> memory = PromptMemory()
    >>> memory.used("e1", prompt, now=0.0)
    >>> memory.kept_tokens("e1", prompt, [], now=1.0)
    100
    """

    def __init__(self) -> None:
        self._used: dict[str, OrderedDict[str, float]] = {}

    def used(self, engine: str, prompt: Prompt, now: float) -> None:
        """Count that an engine holds a prompt's shared parts now."""
        used = self._used.setdefault(engine, OrderedDict())
        for part in prompt.shared:
            used[part.name] = now
            used.move_to_end(part.name)
        while len(used) > MOST_PARTS:
            used.popitem(last=False)

    def kept_tokens(
        self, engine: str, prompt: Prompt, engines_of_role: Iterable[str], now: float
    ) -> int:
        """Return how many tokens of a prompt's start an engine is expected to keep."""
        used = self._used.get(engine, {})
        kept, engines = 0, list(engines_of_role)
        for part in prompt.shared:
            kept += part.tokens
            if now - used.get(part.name, float("-inf")) > REMEMBER_S:
                break
        else:
            return kept
        shared = prompt.shared
        if shared and home_of(shared[-1].name, engines) == engine:
            return sum(part.tokens for part in shared)
        return kept - part.tokens if shared else 0

    def restarted(self, engine: str) -> None:
        """Forget an engine that has lost its memory."""
        self._used.pop(engine, None)

    def keep_only(self, known: Callable[[str], bool]) -> None:
        """Forget the engines that are not known any more."""
        for engine in [engine for engine in self._used if not known(engine)]:
            del self._used[engine]
