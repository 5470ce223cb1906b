"""Buffers that count the work on them."""


class CountingBuffer(bytearray):
    """A buffer that counts the bytes that are searched and copied in it."""

    count = 0

    def find(self, mark, start=0):
        found = super().find(mark, start)
        CountingBuffer.count += (len(self) if found < 0 else found + len(mark)) - start
        return found

    def __getitem__(self, index):
        part = super().__getitem__(index)
        CountingBuffer.count += len(part)
        return CountingBuffer(part)


class CountingBytes(bytes):
    """Bytes that count what is searched and copied of them, and of what is made from them."""

    count = 0

    def find(self, mark, start=0):
        found = super().find(mark, start)
        CountingBytes.count += (len(self) if found < 0 else found + len(mark)) - start
        return found

    def __getitem__(self, index):
        part = super().__getitem__(index)
        if isinstance(part, int):
            return part
        CountingBytes.count += len(part)
        return CountingBytes(part)

    def __radd__(self, other):
        if isinstance(other, bytearray):
            return NotImplemented
        return CountingBytes(bytes(other) + bytes(self))
