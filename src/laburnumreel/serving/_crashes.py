"""Crashes of back ends, and the requests that ran there at the time."""

import socket
from collections.abc import Mapping

from laburnumreel.coordination import Quarantine
from laburnumreel.core import Log
from laburnumreel.serving._events import BACK_END_CRASHED

# The first to lose its answer may have ended this long before the crash is certain.
LOST_S = 1.0
CRASH_CHECK_S = 0.5
ENDING_S = 0.05

_log = Log("serving.crashes")


class Crashes:
    """Counts each crash once against the requests that ran at the back end.

    `knows_all` says that no other gateway sends requests to the same back ends.
    """

    def __init__(self, quarantine: Quarantine, knows_all: bool) -> None:
        self._quarantine = quarantine
        self._knows_all = knows_all
        # By back end and request id: what lost its answer lately, and what ran at the crash.
        self._lost: dict[str, dict[str, tuple[float, str]]] = {}
        self._victims: dict[str, dict[str, str]] = {}

    def lost(self, back_end: str, request_id: str, digest: str, now: float) -> None:
        """Count a request that lost its answer, before it is known whether the back end crashed."""
        self._lost.setdefault(back_end, {})[request_id] = (now, digest)

    def crashed(
        self,
        back_end: str,
        request_id: str,
        progressed: bool,
        running: Mapping[str, str],
        now: float,
    ) -> set[str]:
        """Count a crash that a request met; return the digests that it newly quarantined."""
        if request_id in self._victims.get(back_end, {}):
            return set()
        lost = self._lost.pop(back_end, {})
        victims = {name: digest for name, (at, digest) in lost.items() if now - at < LOST_S}
        victims |= running
        self._victims[back_end] = victims
        alone = self._knows_all and not progressed
        held = self._quarantine.record_crash(victims.values(), alone, now)
        _log.warning(
            BACK_END_CRASHED, back_end=back_end, requests=len(victims), quarantined=len(held)
        )
        return held

    def is_held(self, back_end: str, request_id: str, now: float) -> bool:
        """Return whether a request that ran at a crash is quarantined."""
        digest = self._victims.get(back_end, {}).get(request_id, "")
        return self._quarantine.remaining_quarantine_s(digest, now) is not None

    def forget(self, now: float) -> None:
        """Forget losses that are too old to belong to a crash."""
        self._lost = {
            name: lost
            for name, lost in self._lost.items()
            if any(now - at < LOST_S for at, _ in lost.values())
        }


def has_crashed(address: tuple[str, int]) -> bool:
    """Return whether no process serves the address: a back end that crashed, not a lost path.

    A process that is just ending may still take the connection, but closes it at once.
    """
    try:
        with socket.create_connection(address, CRASH_CHECK_S) as probe:
            probe.settimeout(ENDING_S)
            probe.recv(1)
            return True
    except (ConnectionRefusedError, ConnectionResetError):
        return True
    except OSError:
        return False
