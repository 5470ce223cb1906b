"""Small shared objects of the request threads: places for requests, and credentials."""

import os
import threading
from pathlib import Path

from laburnumreel.core import Log
from laburnumreel.serving._events import CREDENTIAL_MISSING
from laburnumreel.serving._metrics import RUNNING
from laburnumreel.state import Configuration

_log = Log("serving.credentials")


class AdmissionSlots:
    """Places for requests that are admitted or queued. The threads above them answer refusals."""

    def __init__(self, count: int) -> None:
        self._count = count
        self._in_use = 0
        self._lock = threading.Lock()

    @property
    def in_use(self) -> int:
        return self._in_use

    def acquire(self) -> bool:
        """Take a place if there is one."""
        with self._lock:
            if self._in_use >= self._count:
                return False
            self._in_use += 1
        RUNNING.inc()
        return True

    def release(self) -> None:
        """Give a place back."""
        with self._lock:
            self._in_use -= 1
        RUNNING.inc(-1)


class Credentials:
    """The gateway's own credentials towards back ends, by service."""

    def __init__(self) -> None:
        self._by_service: dict[str, str] = {}

    def for_service(self, service: str) -> str:
        """Return a service's credential, or an empty text if it has none."""
        return self._by_service.get(service, "")

    def load(self, configuration: Configuration) -> None:
        """Read the credentials that a configuration names from files or the environment."""
        credentials = {}
        for service in configuration.services.values():
            if service.credential_file:
                try:
                    credentials[service.name] = Path(service.credential_file).read_text().strip()
                except (OSError, UnicodeDecodeError) as error:
                    _log.error(CREDENTIAL_MISSING, service=service.name, error=str(error))
            elif service.credential_env:
                credentials[service.name] = os.environ.get(service.credential_env, "")
                if not credentials[service.name]:
                    _log.error(CREDENTIAL_MISSING, service=service.name, error="not set")
        self._by_service = credentials
