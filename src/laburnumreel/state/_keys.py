"""API keys of callers: their digests, and the set of withdrawn keys, which only grows."""

import hashlib
import hmac
import secrets
from collections.abc import Iterable

KEY_PREFIX = "lr-"
KEY_BYTES = 24


def new_key() -> str:
    """Return a new random API key."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def key_digest(key: str, pepper: bytes) -> str:
    """Return the hex HMAC-SHA-256 of a key. Keys are only stored and compared in this form."""
    return hmac.new(pepper, key.encode(), hashlib.sha256).hexdigest()


class WithdrawnKeys:
    """An immutable set of withdrawn key digests.

    The digest of the set is the XOR of the SHA-256 of its members, so that two nodes can check in
    constant time whether their sets are equal.
    """

    def __init__(self, members: Iterable[str] = ()) -> None:
        self._members = frozenset(members)
        self._digest = 0
        for member in self._members:
            self._digest ^= _hash(member)

    @property
    def digest(self) -> str:
        return f"{self._digest:064x}"

    def __contains__(self, digest: str) -> bool:
        return digest in self._members

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self):
        return iter(sorted(self._members))

    def added_since(self, older: "WithdrawnKeys") -> list[str]:
        """Return the members that are not in `older`, sorted."""
        return sorted(self._members - older._members)

    def with_members(self, members: Iterable[str]) -> "WithdrawnKeys":
        """Return the union with `members`, or this set itself if it contains all of them."""
        added = frozenset(members) - self._members
        if not added:
            return self
        union = WithdrawnKeys()
        union._members = self._members | added
        union._digest = self._digest
        for member in added:
            union._digest ^= _hash(member)
        return union


def _hash(member: str) -> int:
    return int.from_bytes(hashlib.sha256(member.encode()).digest())
