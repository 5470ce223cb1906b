"""The task that reads the platform's host list and the engines' reports."""

from laburnumreel.core import Log, Task
from laburnumreel.serving._dispatcher import Dispatcher
from laburnumreel.serving._events import HOSTS_UNREADABLE
from laburnumreel.state import Platform

HOSTS_S = 0.5

_log = Log("serving.watch")


class FleetWatch(Task):
    """Keeps the dispatcher's view of the back ends current."""

    def __init__(self, platform: Platform, dispatcher: Dispatcher) -> None:
        super().__init__("fleet-watch", tick_s=HOSTS_S)
        self._platform = platform
        self._dispatcher = dispatcher
        self._ready = False

    @property
    def ready(self) -> bool:
        """Whether the host list was read at least once."""
        return self._ready

    def tick(self) -> None:
        hosts = self._platform.hosts()
        if hosts.is_error():
            _log.warning(HOSTS_UNREADABLE, error=str(hosts.error))
            return
        self._dispatcher.hosts(hosts.ok)
        self._ready = True
