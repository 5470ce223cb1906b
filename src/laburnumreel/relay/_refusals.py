"""Refusals of requests that get no backend server, with the time after which to retry."""

import random

from laburnumreel.relay._assignments import PlacementRequest
from laburnumreel.relay._fleet_state import FleetState
from laburnumreel.relay._metrics import RELAY_LIMITED_SENDS
from laburnumreel.relay._waiting import MAX_RETRY_S, MIN_RETRY_S, RETRY_SPREAD, retry_after_s
from laburnumreel.state import ErrorKind, Refusal

# Retry delay if there is no backend server at all. By then the directory may list one, a restart
# may have finished, or another host may have one.
NO_BACK_END_RETRY_S = 0.5
# If all backend servers are full, the retries of refused callers are spread over this share of the
# delay.
FULL_JITTER_SHARE = 0.2


class RefusalFactory:
    """Creates refusals from the host's view of the backend servers; retry delays have jitter."""

    def __init__(self, beliefs: FleetState, rng: random.Random) -> None:
        self._beliefs = beliefs
        self._rng = rng

    def no_slot(self, ahead: int, per_s: float, detail: str) -> Refusal:
        """Return the refusal of a request for which no slot becomes free in time.

        `ahead` requests wait for slots, of which `per_s` become free each second.
        """
        delay_s = retry_after_s(ahead, per_s, self._rng)
        return Refusal(ErrorKind.DEADLINE_UNMEETABLE, detail, retry_after_s=delay_s)

    def deadline_missed(self, first_token_ms: float, late_s: float) -> Refusal:
        """Return the refusal of a request whose first token would be `late_s` too late."""
        detail = f"the first token is expected in {first_token_ms:.0f} ms"
        delay_s = self._add_jitter(max(MIN_RETRY_S, late_s))
        return Refusal(ErrorKind.DEADLINE_UNMEETABLE, detail, retry_after_s=delay_s)

    def no_back_end(self, order: PlacementRequest, now: float) -> Refusal:
        """Return the refusal of a request that has no backend server, or only full ones."""
        untried = order._replace(excluded=frozenset())
        if order.software is not None and not self._beliefs.has_listed(untried, now):
            detail = f"no back end of service {order.service} has software {order.software!r}"
            return Refusal(ErrorKind.STREAM_NOT_RESUMABLE, detail)
        full_s = self._beliefs.seconds_until_accepting(order.service, now)
        if full_s is not None:
            detail = f"all back ends of service {order.service} said that they are full"
            delay_s = full_s * (1 + FULL_JITTER_SHARE * self._rng.random())
            return Refusal(ErrorKind.NO_BACK_END, detail, retry_after_s=delay_s)
        detail = f"service {order.service} has no usable back end"
        delay_s = NO_BACK_END_RETRY_S * (1 + self._rng.random())
        return Refusal(ErrorKind.NO_BACK_END, detail, retry_after_s=delay_s)

    def held(self, order: PlacementRequest, now: float) -> Refusal | None:
        """Return the refusal of a request with a part that crashes backend servers, or None."""
        token = order.token if order.is_first_run else ""
        reason = self._beliefs.crash_evidence.held("", order.parts, token, now)
        if reason is None:
            return None
        return Refusal(ErrorKind.CRASHES_BACK_ENDS, reason.detail, reason.remaining_s)

    def over_limits(self, order: PlacementRequest, ahead: int, now: float) -> Refusal | None:
        """Return the refusal of a request that the backend servers' limits do not admit in time.

        Returns None if they do, or if a server has no limit. `ahead` requests wait for the same
        capacity. A host without a share of any limit refuses at once, as other hosts have it.
        """
        room = self._beliefs.limit_room(order, now)
        if room is None:
            return None
        wait_s = room.next_send_s + ahead / room.per_s if room.per_s > 0 else float("inf")
        if now + wait_s <= order.waiting.expires_at:
            return None
        RELAY_LIMITED_SENDS.inc(outcome="refused")
        detail = f"all back ends of service {order.service} named limits, which have no room"
        if room.per_s <= 0:
            detail += " for this host"
            return Refusal(
                ErrorKind.NO_BACK_END, detail, retry_after_s=self._add_jitter(NO_BACK_END_RETRY_S)
            )
        detail += f" for {wait_s:.1f} s"
        delay_s = self._add_jitter(min(wait_s, MAX_RETRY_S))
        return Refusal(ErrorKind.NO_BACK_END, detail, retry_after_s=delay_s)

    def _add_jitter(self, seconds: float) -> float:
        return seconds * (1 + RETRY_SPREAD * self._rng.random())
