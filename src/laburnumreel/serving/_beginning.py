"""The first tokens of an answer, by which an engine that begins it anew is recognised."""

from collections import deque

# How many tokens are kept and compared, and the fewest different ones that tell anything.
KEPT_TOKENS = 8
MIN_TOKENS = 3


class Beginning:
    """Tells whether a resumed stream repeats the beginning of the answer.

    Its tokens are held back while they are those of the beginning. A text that has said its
    beginning again before may do so once more, and is not judged.

    >>> beginning = Beginning()
    >>> for token in ("one", "two", "three", "four"):
    ...     beginning.add(token)
    >>> beginning.resume()
    >>> [beginning.may_repeat(token) for token in ("one", "two", "six")]
    [True, True, False]
    >>> beginning.is_repeated
    False
    >>> beginning.resume()
    >>> [beginning.may_repeat(token) for token in ("one", "two", "three", "four")]
    [True, True, True, True]
    >>> beginning.is_repeated
    True
    """

    def __init__(self) -> None:
        self._first: list[str] = []
        self._last: deque[str] = deque(maxlen=KEPT_TOKENS)
        self._recurs = False
        # The number of tokens that agree since the stream was resumed; None once one did not.
        self._agreeing: int | None = None

    @property
    def tells(self) -> bool:
        """Whether enough is known of the beginning to recognise it."""
        return len(set(self._first)) >= MIN_TOKENS and not self._recurs

    @property
    def is_repeated(self) -> bool:
        """Whether all tokens that are kept have come again."""
        return self._agreeing is not None and self._agreeing == len(self._first)

    def add(self, token: str) -> None:
        """Take a token that goes to the caller."""
        self._last.append(token)
        if len(self._first) < KEPT_TOKENS:
            self._first.append(token)
        elif token == self._first[-1] and list(self._last) == self._first:
            self._recurs = True

    def resume(self) -> None:
        """Compare the tokens of another engine from now on."""
        self._agreeing = 0 if self.tells else None

    def may_repeat(self, token: str) -> bool:
        """Return whether the tokens up to this one are those of the beginning."""
        if self._agreeing is None:
            return False
        if self._agreeing < len(self._first) and token == self._first[self._agreeing]:
            self._agreeing += 1
            return True
        self._agreeing = None
        return False
