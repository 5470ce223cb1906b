"""Detection of engines that restart an answer instead of resuming it."""

from collections import deque

# Number of first tokens that are compared, and how many of them must differ for a valid comparison.
MAX_COMPARED_TOKENS = 8
MIN_DISTINCT_TOKENS = 3


class RepeatDetector:
    """Detects a resumed stream that repeats the first tokens of the answer.

    The caller of this class holds back the tokens of a resumed stream while they match. A text
    that has already repeated its first tokens may do so again, and is not checked.

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
        # The number of tokens that matched since the stream was resumed; None after a mismatch.
        self._matched_count: int | None = None

    @property
    def is_distinctive(self) -> bool:
        """Whether the first tokens suffice to recognise a restart."""
        return len(set(self._first_tokens)) >= MIN_DISTINCT_TOKENS and not self._is_recurring

    @property
    def is_repeated(self) -> bool:
        """Whether the resumed stream has repeated all stored first tokens."""
        return self._matched_count is not None and self._matched_count == len(self._first_tokens)

    def add(self, token: str) -> None:
        """Add a token that is sent to the caller."""
        self._last_tokens.append(token)
        if len(self._first_tokens) < MAX_COMPARED_TOKENS:
            self._first_tokens.append(token)
        elif token == self._first_tokens[-1] and list(self._last_tokens) == self._first_tokens:
            self._is_recurring = True

    def resume(self) -> None:
        """Start to compare the tokens of another engine."""
        self._matched_count = 0 if self.is_distinctive else None

    def matches_next(self, token: str) -> bool:
        """Return whether all tokens since `resume`, including this one, match the first tokens."""
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
