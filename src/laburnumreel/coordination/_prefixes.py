"""Digests of prompt starts, by which prefix caches are matched."""

import hashlib

BLOCK_BYTES = 256
# 512 blocks are 128 KiB of prompt; hashing more would cost the request thread over 0.5 ms.
MAX_BLOCKS = 512


def prompt_prefixes(text: str, max_blocks: int = MAX_BLOCKS) -> tuple[str, ...]:
    """Return the hex digest of each start of `text` that ends on a block boundary, shortest first.

    A digest is the SHA-256 of the previous digest's bytes and the block, so that equal digests
    mean equal starts. A last block that is not full has no digest.

    >>> len(prompt_prefixes("x" * 700))
    2
    """
    body = text.encode()
    digests = []
    previous = b""
    for end in range(BLOCK_BYTES, min(len(body), max_blocks * BLOCK_BYTES) + 1, BLOCK_BYTES):
        previous = hashlib.sha256(previous + body[end - BLOCK_BYTES : end]).digest()
        digests.append(previous.hex())
    return tuple(digests)
