"""The first tokens of an answer, by which an engine that begins it anew is recognised."""

from collections import deque

# How many tokens are kept and compared, and the fewest different ones that tell anything.
MAX_COMPARED_TOKENS = 8
MIN_DISTINCT_TOKENS = 3


class RepeatDetector:
    """Tells whether a resumed stream repeats the beginning of the answer.

    Its tokens are held back while they are those of the beginning. A text that has said its
    beginning again before may do so once more, and is not judged.

    >>> detector = RepeatDetector()
    >>> for token in ("one", "two", "three", "four"):
    ...     detector.add(token)
    >>> detector.resume()
    >>> [detector.matches_next(token) for token in ("one", "two", "six")]
    [True, True, False]
    >>> detector.is_repeated
    False
    >>> detector.resume()
    >>> [detector.matches_next(token) for token in ("one", "two", "three", "four")]
    [True, True, True, True]
    >>> detector.is_repeated
    True
    """

    def __init__(self) -> None:
        self._first_tokens: list[str] = []
        self._last_tokens: deque[str] = deque(maxlen=MAX_COMPARED_TOKENS)
        self._is_recurring = False
        # The number of tokens that agree since the stream was resumed; None once one did not.
        self._matched_count: int | None = None

    @property
    def is_distinctive(self) -> bool:
        """Whether enough is known of the beginning to recognise it."""
        return len(set(self._first_tokens)) >= MIN_DISTINCT_TOKENS and not self._is_recurring

    @property
    def is_repeated(self) -> bool:
        """Whether all tokens that are kept have come again."""
        return self._matched_count is not None and self._matched_count == len(self._first_tokens)

    def add(self, token: str) -> None:
        """Take a token that goes to the caller."""
        self._last_tokens.append(token)
        if len(self._first_tokens) < MAX_COMPARED_TOKENS:
            self._first_tokens.append(token)
        elif token == self._first_tokens[-1] and list(self._last_tokens) == self._first_tokens:
            self._is_recurring = True

    def resume(self) -> None:
        """Compare the tokens of another engine from now on."""
        self._matched_count = 0 if self.is_distinctive else None

    def matches_next(self, token: str) -> bool:
        """Return whether the tokens up to this one are those of the beginning."""
        if self._matched_count is None:
            return False
        if (
            self._matched_count < len(self._first_tokens)
            and token == self._first_tokens[self._matched_count]
        ):
            self._matched_count += 1
            return True
        self._matched_count = None
        return False
