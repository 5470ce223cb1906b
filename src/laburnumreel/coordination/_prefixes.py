"""Digests of prompt prefixes, which are compared with the prefix caches of engines."""

import hashlib

BLOCK_BYTES = 256
# 512 blocks are 128 KiB of prompt. Hashing more would take the request thread over 0.5 ms.
MAX_BLOCKS = 512


def prompt_prefixes(text: str, max_blocks: int = MAX_BLOCKS) -> tuple[str, ...]:
    """Return the hex digests of the prefixes of `text` that end on a block boundary.

    The shortest prefix comes first. A digest is the SHA-256 of the whole prefix, as engines report
    it. An incomplete last block has no digest.

    >>> len(prompt_prefixes("x" * 700))
    2
    """
    encoded = text.encode()
    digests = []
    hasher = hashlib.sha256()
    for end in range(BLOCK_BYTES, min(len(encoded), max_blocks * BLOCK_BYTES) + 1, BLOCK_BYTES):
        hasher.update(encoded[end - BLOCK_BYTES : end])
        digests.append(hasher.hexdigest())
    return tuple(digests)
