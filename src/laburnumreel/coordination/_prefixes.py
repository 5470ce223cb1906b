"""Digests of prompt starts, by which prefix caches are matched."""

import hashlib

BLOCK_BYTES = 256
# 512 blocks are 128 KiB of prompt; hashing more would cost the request thread over 0.5 ms.
MAX_BLOCKS = 512


def prompt_prefixes(text: str, max_blocks: int = MAX_BLOCKS) -> tuple[str, ...]:
    """Return the hex digest of each start of `text` that ends on a block boundary, shortest first.

    A digest is the SHA-256 of the whole start, as engines report it. A last block that is not full
    has no digest.

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
