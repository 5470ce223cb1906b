"""Processes whose request threads get the processor late."""

_ON_START = """
import os, pathlib, time
from waitress.channel import HTTPChannel

slow = pathlib.Path(os.environ["SLOW_FILE"])
service = HTTPChannel.service

def service_late(channel):
    if slow.exists():
        slow.with_suffix(".read").touch()
        time.sleep(1.5)
    service(channel)

HTTPChannel.service = service_late
"""


class SlowThreads:
    """Delays the threads of requests in the processes that are started from now on."""

    def __init__(self, folder, monkeypatch):
        self._file = folder / "slow"
        (folder / "sitecustomize.py").write_text(_ON_START)
        monkeypatch.setenv("PYTHONPATH", str(folder))
        monkeypatch.setenv("SLOW_FILE", str(self._file))

    def slow_down(self):
        """Delay the requests that are read from now on."""
        self._file.touch()

    def have_request(self):
        """Return whether a request that is delayed has been read."""
        return self._file.with_suffix(".read").exists()
