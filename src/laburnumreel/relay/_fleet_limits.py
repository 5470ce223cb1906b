"""The limits of the listed backend servers, and this host's headroom in them."""

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from laburnumreel.core import Log
from laburnumreel.relay._back_ends import BackEndList, ListedBackEnd, Role
from laburnumreel.relay._events import LIMITED_SEND, LIMITED_SEND_DENIED
from laburnumreel.relay._limited_sends import LimitedSends, LimitedServer
from laburnumreel.relay._metrics import RELAY_LIMITED, RELAY_LIMITED_SENDS
from laburnumreel.relay._peer_update import PeerUpdate
from laburnumreel.relay._server_limits import LimitReport, ServerLimits

_NO_SERVERS: frozenset[str] = frozenset()

_log = Log("relay.dispatcher")


class LimitHeadroom(NamedTuple):
    """The seconds until the next send is within limits, and the allowed sends per second."""

    next_send_s: float
    per_s: float


class LimitsUpdate(NamedTuple):
    """The part of an update about limits.

    `limits` are the limits by backend server, `asked` the requests per second of this host's
    callers by service with limited servers, and `limited_sends` this host's sends by server.
    """

    limits: Mapping[str, LimitReport]
    asked: Mapping[str, float]
    limited_sends: Mapping[str, int]


class FleetLimits:
    """Decides for the dispatcher whether a send to a backend server is within its limit.

    `region_of` returns the region of an availability zone, `demand_per_s` the requests per second
    for a service that come to this host.
    """

    def __init__(
        self,
        host: str,
        region: str,
        region_of: Callable[[str], str],
        back_ends: BackEndList,
        demand_per_s: Callable[[str, float], float],
    ) -> None:
        self._region_of = region_of
        self._back_ends = back_ends
        self._demand_per_s = demand_per_s
        self._limits = ServerLimits()
        self._sends = LimitedSends(host, region)

    @property
    def limited(self) -> frozenset[str]:
        """The names of the backend servers with a limit."""
        return self._limits.limited

    def set_hosts(self, hosts: int) -> None:
        """Set the number of all hosts, including this one and those that send no updates."""
        self._sends.set_hosts(hosts)

    def record_limit(self, back_end: ListedBackEnd, per_s: float, now: float) -> None:
        """Record the limit that a backend server reported in an answer to this host."""
        self._limits.record_limit(back_end, per_s, now)

    def record_limit_ended(self, back_end: ListedBackEnd, now: float) -> None:
        """Record that a backend server with a limit answered without reporting one."""
        self._limits.record_limit_ended(back_end, now)

    def on_update(self, update: PeerUpdate, now: float) -> None:
        """Apply a peer's update."""
        if update.stopping:
            self._sends.forget_peer(update.sender)
        elif self._sends.record_peer(
            update.sender,
            update.boot,
            self._region_of(update.zone),
            update.asked,
            update.limited_sends,
            now,
        ):
            self._limits.resend_all()
        for name, each in update.limits.items():
            self._limits.record_peer_report(name, each, now)

    def forget_peer(self, host: str) -> None:
        """Drop the state of a peer that has timed out."""
        self._sends.forget_peer(host)

    def build_update(self, cross_region: bool, now: float) -> LimitsUpdate:
        """Return what to send now to the peers of this region, or to those of other regions."""
        services = {
            back_end.service
            for name in self._limits.limited
            if (back_end := self._back_ends.get(name)) is not None
        }
        rates = {service: self._demand_per_s(service, now) for service in services}
        asked = {service: per_s for service, per_s in rates.items() if per_s > 0}
        self._sends.set_demand(asked)
        return LimitsUpdate(self._limits.build_update(cross_region, now), asked, self._sends.sent)

    def servers_without_headroom(self, service: str, now: float) -> frozenset[str]:
        """Return the backend servers of a service to which this host may not send now."""
        if not self._limits:
            return _NO_SERVERS
        return frozenset(
            each.back_end
            for each in self._limited_servers(service, now)
            if self._sends.wait_s(each, now) > 0
        )

    def headroom(
        self, service: str, usable: Iterable[ListedBackEnd], now: float
    ) -> LimitHeadroom | None:
        """Return this host's headroom in the limits of some backend servers.

        Returns None if one of them has no limit. Engines that only read prompts are ignored.
        """
        limited = {each.back_end: each for each in self._limited_servers(service, now)}
        next_send_s, per_s = float("inf"), 0.0
        for back_end in usable:
            if back_end.role is Role.PREFILL:
                continue
            server = limited.get(back_end.name)
            if server is None:
                return None
            next_send_s = min(next_send_s, self._sends.wait_s(server, now))
            per_s += self._sends.share(server, now).per_s
        return LimitHeadroom(next_send_s, per_s) if limited else None

    def record_send(self, back_end: ListedBackEnd, request_id: str, now: float) -> bool:
        """Count a request sent to a backend server, and return whether the server has a limit."""
        server = self._find_limited_server(back_end, now)
        if server is None:
            return False
        self._sends.record_send(server, now)
        RELAY_LIMITED_SENDS.inc(outcome="sent")
        share = self._sends.share(server, now)
        _log.info(
            LIMITED_SEND,
            request=request_id,
            back_end=back_end.name,
            service=back_end.service,
            limit_per_s=server.per_s,
            part_per_s=round(share.per_s, 3),
            hosts=share.hosts,
        )
        return True

    def may_call(self, back_end: ListedBackEnd, now: float) -> bool:
        """Return whether a call other than a request may be sent now, and count it if so."""
        server = self._find_limited_server(back_end, now)
        if server is None:
            return True
        if self._sends.wait_s(server, now) > 0:
            RELAY_LIMITED_SENDS.inc(outcome="denied")
            _log.info(LIMITED_SEND_DENIED, back_end=back_end.name, limit_per_s=server.per_s)
            return False
        self._sends.record_send(server, now)
        RELAY_LIMITED_SENDS.inc(outcome="sent")
        return True

    def forget_old(self, now: float) -> None:
        """Drop expired limits and the state of servers without a limit."""
        if self._limits:
            self._limits.forget_old((each.name for each in self._back_ends), now)
            self._sends.keep_only(self._limits.limited)
        RELAY_LIMITED.set(len(self._limits.limited))

    def _limited_servers(self, service: str, now: float) -> list[LimitedServer]:
        """Return the backend servers of a service that have a limit."""
        if not self._limits:
            return []
        listed = [each for each in self._back_ends if each.service == service]
        regions = {self._region_of(each.zone) for each in listed}
        return [
            self._to_limited_server(each, per_s, regions)
            for each in listed
            if (per_s := self._limits.limit_of(each)) is not None
        ]

    def _find_limited_server(self, back_end: ListedBackEnd, now: float) -> LimitedServer | None:
        found = (
            each
            for each in self._limited_servers(back_end.service, now)
            if each.back_end == back_end.name
        )
        return next(found, None)

    def _to_limited_server(
        self, back_end: ListedBackEnd, per_s: float, regions: Collection[str]
    ) -> LimitedServer:
        region = self._region_of(back_end.zone)
        return LimitedServer(back_end.name, back_end.service, region, per_s, regions)
