"""The heap of the C library, of which freed memory should return to the system."""

import contextlib
import ctypes

# Parameters of glibc's `mallopt`.
_M_MMAP_THRESHOLD, _M_ARENA_MAX = -3, -8
# Larger blocks are returned to the system when they are freed. Unless it is set, glibc raises this
# threshold to the size of the largest block that was freed, and keeps later blocks of that size.
MAPPED_BLOCK_BYTES = 128 * 1024
# Each arena keeps freed memory of its own. Threads take turns at the interpreter's lock, so that
# more arenas gain nothing.
MAX_ARENAS = 2


def limit_heap() -> None:
    """Have the C library keep little freed memory. Must be called before threads are started.

    Has no effect with a C library other than glibc.
    """
    with contextlib.suppress(AttributeError, OSError):
        mallopt = ctypes.CDLL(None).mallopt
        mallopt(_M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES)
        mallopt(_M_ARENA_MAX, MAX_ARENAS)
