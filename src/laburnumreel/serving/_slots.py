"""Shared objects of the request threads: request slots and back-end credentials."""

import os
import threading
from pathlib import Path

from laburnumreel.core import Log
from laburnumreel.serving._events import CREDENTIAL_MISSING
from laburnumreel.serving._metrics import RUNNING
from laburnumreel.state import Configuration

_log = Log("serving.credentials")


class AdmissionSlots:
    """A bounded number of slots for requests that are admitted or queued.

    The server has more threads than slots; the others answer refusals.
    """

    def __init__(self, count: int) -> None:
        self._count = count
        self._in_use = 0
        self._lock = threading.Lock()

    @property
    def in_use(self) -> int:
        return self._in_use

    def acquire(self) -> bool:
        """Acquire a slot and return True, or return False if none is free."""
        with self._lock:
            if self._in_use >= self._count:
                return False
            self._in_use += 1
        RUNNING.inc()
        return True

    def release(self) -> None:
        """Release a slot."""
        with self._lock:
            self._in_use -= 1
        RUNNING.inc(-1)


class Credentials:
    """The credentials that the gateway sends to back ends, by service."""

    def __init__(self) -> None:
        self._by_service: dict[str, str] = {}

    def for_service(self, service: str) -> str:
        """Return the credential of a service, or an empty string if it has none."""
        return self._by_service.get(service, "")

    def load(self, configuration: Configuration) -> None:
        """Read the credentials of a configuration from files or environment variables.

        A credential that cannot be read is logged and left empty.
        """
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
