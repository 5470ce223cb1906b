"""Planning of engine roles by prefill and decode demand and the cost of a role change."""

import math
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from laburnumreel.state import Profile, Service

# Factors of an engine's prefill and decode speed in each role.
ROLE_SPEEDS: Mapping[str, tuple[float, float]] = {
    "both": (1.0, 1.0),
    "prefill": (1.5, 0.5),
    "decode": (0.5, 1.5),
}
# The short mean shows a change of the mix within seconds. The long mean prevents role changes
# because of a burst of a few seconds.
SHORT_MEAN_S, LONG_MEAN_S = 6.0, 15.0
# Responses are counted when they end, so the first seconds show too little decode demand.
WARM_UP_S = 15.0
SHORT_HORIZON_S, LONG_HORIZON_S = 20.0, 40.0
# Queues grow without bound near full load, so demand above this share of the speed is not served.
USABLE_SHARE = 0.95
# The gain must exceed the loss by this factor, because both are estimates.
GAIN_FACTOR = 1.5
# A longer drain is abandoned, because the streams last longer than the change of the mix.
MAX_DRAIN_S = 60.0


class EngineView(NamedTuple):
    """An engine as its last load report shows it. The speeds are those in its current role."""

    name: str
    zone: str
    role: str
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    max_streams: int
    streams: int
    queued_prefill_tokens: int


class RoleChange(NamedTuple):
    """A drained engine and the role to order for it."""

    name: str
    role: str


class RolePlan(NamedTuple):
    """The engines to drain, and those for which a role is to be ordered now."""

    drain: tuple[str, ...] = ()
    change: tuple[RoleChange, ...] = ()


class _PendingChange:
    def __init__(self, view: EngineView, role: str, since: float) -> None:
        self.view = view
        self.role = role
        self.since = since
        self.is_ordered = False


class MeanRates:
    """Exponentially weighted means of two rates with the time constant `time_s`."""

    def __init__(self, time_s: float) -> None:
        self._time_s = time_s
        self._weight = 0.0
        self.rates = (0.0, 0.0)

    def add(self, rates: tuple[float, float], duration_s: float) -> None:
        decay = math.exp(-duration_s / self._time_s)
        # Normalize by the weight so far, so that the means do not start at 0 in a new coordinator.
        weight = self._weight * decay + (1 - decay)
        share = (1 - decay) / weight
        self._weight = weight
        self.rates = tuple(
            old + share * (new - old) for old, new in zip(self.rates, rates, strict=True)
        )


class RolePlanner:
    """Plans the roles of one service's engines.

    A role change first drains the engine, so that no request is interrupted, and is ordered when
    the engine has no more requests. The remaining engines must have slots and speed for all running
    streams at the token gap goal.

    >>> planner = RolePlanner(1, 1, zone_limit=1, change_s=5.0, token_gap_s=0.032)
    >>> planner.plan([], now=0.0)
    RolePlan(drain=(), change=())
    """

    def __init__(
        self,
        prefill_min: int,
        decode_min: int,
        zone_limit: int,
        change_s: float,
        token_gap_s: float,
    ) -> None:
        self._minimum = {"prefill": prefill_min, "decode": decode_min}
        self._zone_limit = zone_limit
        self._change_s = change_s
        self._token_gap_s = token_gap_s
        self._short_mean, self._long_mean = MeanRates(SHORT_MEAN_S), MeanRates(LONG_MEAN_S)
        self._observed_at: float | None = None
        self._first_observed_at = math.inf
        self._pending: dict[str, _PendingChange] = {}
        self._mean_drain_s = 5.0

    @classmethod
    def from_service(cls, service: Service, profile: Profile) -> "RolePlanner":
        return cls(
            service.prefill_min,
            service.decode_min,
            service.zone_limit,
            service.change_s,
            profile.token_gap_s,
        )

    @property
    def demand(self) -> tuple[float, float]:
        """The short mean of the demand in prefill and decode tokens per second."""
        return self._short_mean.rates

    def observe(self, prefill_tokens: float, decode_tokens: float, now: float) -> None:
        """Record the prompt and output tokens that callers requested since the last call."""
        if self._observed_at is not None and now > self._observed_at:
            elapsed_s = now - self._observed_at
            rates = (prefill_tokens / elapsed_s, decode_tokens / elapsed_s)
            self._short_mean.add(rates, elapsed_s)
            self._long_mean.add(rates, elapsed_s)
        self._observed_at = now
        self._first_observed_at = min(self._first_observed_at, now)

    def plan(self, engines: Sequence[EngineView], now: float) -> RolePlan:
        """Return the engines to drain and to change now.

        Must be called with every round of load reports.
        """
        self._update_pending(engines, now)
        is_warm = now - self._first_observed_at >= WARM_UP_S
        chosen = self._best_change(engines) if is_warm else None
        if chosen is not None:
            view = next(each for each in engines if each.name == chosen.name)
            self._pending[chosen.name] = _PendingChange(view, chosen.role, now)
        changes = []
        for engine in engines:
            pending = self._pending.get(engine.name)
            is_drained = not engine.streams and not engine.queued_prefill_tokens
            # Reports lag, so an engine counts as drained only 2 s after the drain began.
            if pending and (pending.is_ordered or (is_drained and now - pending.since >= 2.0)):
                if not pending.is_ordered:
                    self._mean_drain_s += 0.3 * (now - pending.since - self._mean_drain_s)
                pending.is_ordered = True
                changes.append(RoleChange(engine.name, pending.role))
        return RolePlan(tuple(self._pending), tuple(changes))

    def _update_pending(self, engines: Sequence[EngineView], now: float) -> None:
        views = {engine.name: engine for engine in engines}
        for name, pending in list(self._pending.items()):
            view = views.get(name)
            # An engine sends no report while it changes its role, so keep it for some time.
            timeout_s = MAX_DRAIN_S + (self._change_s if pending.is_ordered else 0.0)
            if now - pending.since > timeout_s or (view and view.role == pending.role):
                del self._pending[name]
            elif view:
                pending.view = view

    def _best_change(self, engines: Sequence[EngineView]) -> RoleChange | None:
        staying = [engine for engine in engines if engine.name not in self._pending]
        # Engines with a pending change count in their new role.
        after = [*staying, *(_with_role(item.view, item.role) for item in self._pending.values())]
        best, best_gain = None, 0.0
        for engine in sorted(staying, key=lambda each: each.streams):
            if not self._can_drain(engine, staying, engines):
                continue
            others = [each for each in after if each.name != engine.name]
            for role in ROLE_SPEEDS:
                if role == engine.role or not self._keeps_minimum(others, role):
                    continue
                changed = [*others, _with_role(engine, role)]
                gain = self._gain(after, changed) - GAIN_FACTOR * self._loss(after, others)
                if gain > best_gain + 1e-9:
                    best, best_gain = RoleChange(engine.name, role), gain
        return best

    def _can_drain(
        self, engine: EngineView, staying: Sequence[EngineView], engines: Sequence[EngineView]
    ) -> bool:
        zones = [pending.view.zone for pending in self._pending.values()]
        if zones.count(engine.zone) >= self._zone_limit:
            return False
        remaining = [each for each in staying if each.name != engine.name]
        streams = sum(each.streams for each in engines)
        speed = sum(each.decode_tokens_per_s for each in remaining)
        slots = sum(each.max_streams for each in remaining)
        return slots >= streams and speed * self._token_gap_s >= streams

    def _keeps_minimum(self, others: Iterable[EngineView], role: str) -> bool:
        roles = [*(each.role for each in others), role]
        return all(
            sum(each in (kind, "both") for each in roles) >= minimum
            for kind, minimum in self._minimum.items()
        )

    def _gain(self, before: Sequence[EngineView], after: Sequence[EngineView]) -> float:
        """Return the seconds of full service that the change gains over the horizon."""
        short = _served_share(after, self._short_mean.rates) - _served_share(
            before, self._short_mean.rates
        )
        long = _served_share(after, self._long_mean.rates) - _served_share(
            before, self._long_mean.rates
        )
        return SHORT_HORIZON_S * short + (LONG_HORIZON_S - SHORT_HORIZON_S) * long

    def _loss(self, before: Sequence[EngineView], without: Sequence[EngineView]) -> float:
        """Return the seconds of full service lost while the engine drains and changes."""
        lost = _served_share(before, self._short_mean.rates) - _served_share(
            without, self._short_mean.rates
        )
        # A draining engine still serves its streams, so about half of its service is lost.
        return lost * (self._change_s + 0.5 * self._mean_drain_s)


def _with_role(engine: EngineView, role: str) -> EngineView:
    current_speeds, new_speeds = ROLE_SPEEDS.get(engine.role, (1.0, 1.0)), ROLE_SPEEDS[role]
    return engine._replace(
        role=role,
        prefill_tokens_per_s=engine.prefill_tokens_per_s * new_speeds[0] / current_speeds[0],
        decode_tokens_per_s=engine.decode_tokens_per_s * new_speeds[1] / current_speeds[1],
    )


def _served_share(engines: Sequence[EngineView], demand: tuple[float, float]) -> float:
    """Return the share of the demand that the engines serve.

    The prompt and the output of a request are processed by the same engine, so each engine is
    limited by the scarcer of its two speeds. Spare decode speed of one engine does not help with
    the prompts of another.
    """
    prefill, decode = (max(wanted, 1e-9) for wanted in demand)
    total = sum(
        min(each.prefill_tokens_per_s / prefill, each.decode_tokens_per_s / decode)
        for each in engines
    )
    return min(1.0, USABLE_SHARE * total)
