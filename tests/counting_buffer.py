"""A buffer that counts the work on it."""


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
