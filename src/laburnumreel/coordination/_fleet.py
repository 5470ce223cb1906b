"""The back ends that a gateway knows.

Their state comes from the host list, delayed load and cache reports, the requests in flight at this
gateway and its peers, and drain marks.
"""

import math
from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

from laburnumreel.coordination._back_ends import BackEnd, Drain, LoadReport
from laburnumreel.state import Host

# Reports are some seconds old. A send within this time before a report's arrival counts as not
# included in it: counting a send twice for a short time is safer than a burst to one back end.
REPORT_LAG_S = 2.0
# A peer's in-flight requests are no longer counted after this time; two exchange rounds may fail.
PEER_WORK_TTL_S = 3.0
# How long the first report of a newly listed engine is awaited.
FIRST_REPORT_WAIT_S = 3.0
MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 15.0
# A back end that has not failed for this long after its backoff starts at the first backoff again.
FAILURE_RESET_S = 30.0
# Maximum digests kept for one engine; 4096 blocks are 1 MiB of prompt text.
MAX_PREFIXES = 4096
PLAIN_REQUESTS_PER_WORKER = 16


class _InFlightRequest(NamedTuple):
    at: float
    prefill_tokens: int


class _BackEndState:
    """State of one back end."""

    def __init__(self, host: Host, listed_at: float) -> None:
        self.host = host
        self.listed_at = listed_at
        self.report: LoadReport | None = None
        self.covers_until = float("-inf")
        self.clock_offset = float("inf")
        self.in_flight: dict[str, _InFlightRequest] = {}
        self.finished_at: list[float] = []
        self.prefixes: dict[str, None] = {}
        self.frozen_prefixes_cache: frozenset[str] | None = frozenset()
        self.failures = 0
        self.backoff_until = 0.0

    def on_report(self, report: LoadReport, now: float) -> None:
        if self.report is not None and report.at < self.report.at:
            self.clock_offset = float("inf")
        # The smallest clock difference comes from the report with the smallest delay.
        self.clock_offset = min(self.clock_offset, now - report.at)
        self.report = report
        self.covers_until = report.at + self.clock_offset - REPORT_LAG_S
        self.finished_at = [at for at in self.finished_at if at > self.covers_until]

    def unreported(self) -> list[_InFlightRequest]:
        return [request for request in self.in_flight.values() if request.at > self.covers_until]

    def backlog(self, now: float) -> tuple[int, int]:
        """Return the reported and the unreported prefill tokens that are still queued.

        Models the engine as one queue that is served at the reported speed.
        """
        if self.report is None:
            return 0, sum(request.prefill_tokens for request in self.in_flight.values())
        speed = self.report.prefill_tokens_per_s
        reported = float(self.report.queued_prefill_tokens)
        unreported = 0.0
        at = self.covers_until
        for request in [*self.unreported(), _InFlightRequest(now, 0)]:
            done = speed * max(0.0, request.at - at)
            at = max(at, request.at)
            unreported = max(0.0, unreported - max(0.0, done - reported))
            reported = max(0.0, reported - done)
            unreported += request.prefill_tokens
        return int(reported), int(unreported)

    def frozen_prefixes(self) -> frozenset[str]:
        if self.frozen_prefixes_cache is None:
            self.frozen_prefixes_cache = frozenset(self.prefixes)
        return self.frozen_prefixes_cache


class Fleet:
    """The back ends that a gateway knows.

    While updates from all `gateways` (this one included) are recent, an engine's requests are the
    ones that the gateways have in flight, and its prefill queue is the prompts without a first
    token. These figures are half a second old, whereas reports are several seconds old. Otherwise
    the last report is used, plus the sends that it cannot include.

    >>> fleet = Fleet()
    >>> host = Host("w1", "127.0.0.1:80", "xela-a", "xela", "orders", "plain", False, "live")
    >>> fleet.on_hosts([host], now=0.0)
    >>> [back_end.address for back_end in fleet.candidates("orders", "", now=0.0, cheap=False)]
    [('127.0.0.1', 80)]
    """

    def __init__(self, gateways: int = 1) -> None:
        self._gateway_count = gateways
        self._reports_first_tokens = False
        self._entries: dict[str, _BackEndState] = {}
        self._services: dict[str, list[_BackEndState]] = {}
        self._peers: dict[str, tuple[float, dict[str, tuple[int, int]]]] = {}
        self._drains: dict[str, Drain] = {}

    @property
    def names(self) -> tuple[str, ...]:
        return tuple(self._entries)

    def addresses(self, kind: str = "engine") -> dict[str, tuple[str, int]]:
        """Return the addresses of the listed back ends of a kind, by name."""
        return {
            name: _address(entry.host.address)
            for name, entry in self._entries.items()
            if entry.host.kind == kind
        }

    @property
    def leaving(self) -> frozenset[str]:
        """The names of the listed back ends that are not live."""
        return frozenset(
            name for name, entry in self._entries.items() if entry.host.state != "live"
        )

    def identity(self, name: str) -> str:
        """Return the identity of a listed back end, or its name if it is not listed."""
        entry = self._entries.get(name)
        return name if entry is None else entry.host.identity

    def on_hosts(self, hosts: Sequence[Host], now: float) -> None:
        """Apply the platform's host list. Back ends that are no longer listed are removed.

        Of several hosts with the same name, such as a server and its successor, one is used.
        """
        entries: dict[str, _BackEndState] = {}
        for host in self._choose_by_name(hosts):
            previous = self._entries.get(host.name)
            if previous is None or previous.host.address != host.address:
                previous = _BackEndState(host, now)
            previous.host = host
            entries[host.name] = previous
        self._entries = entries
        self._services = {}
        for entry in entries.values():
            self._services.setdefault(entry.host.service, []).append(entry)
        self._drains = {name: drain for name, drain in self._drains.items() if drain.until > now}

    def on_load(self, name: str, report: LoadReport, now: float) -> bool:
        """Record a load report that arrived at `now`, and return whether it is the engine's first."""
        entry = self._entries.get(name)
        if entry is None:
            return False
        is_first = entry.report is None
        entry.on_report(report, now)
        return is_first

    def first_report_due_at(self, service: str, now: float, cheap: bool) -> float | None:
        """Return until when the first report of a newly listed engine of a service is awaited.

        None if a usable back end has reported or needs no report, or if none is newly listed.
        """
        due_at = -math.inf
        for entry in self._services.get(service, ()):
            if not self._is_usable(entry, now, cheap):
                continue
            if entry.host.kind != "engine" or entry.report is not None:
                return None
            due_at = max(due_at, entry.listed_at + FIRST_REPORT_WAIT_S)
        return due_at if now < due_at else None

    def on_cache_events(
        self, name: str, stored: Sequence[str], evicted: Sequence[str], gap: bool
    ) -> None:
        """Record cache events. A gap discards older prefixes, as evictions may have been missed."""
        entry = self._entries.get(name)
        if entry is None:
            return
        if gap:
            entry.prefixes.clear()
        for prefix in evicted:
            entry.prefixes.pop(prefix, None)
        self._store_prefixes(entry, stored)

    def on_sent(
        self,
        name: str,
        request_id: str,
        prefill_tokens: int,
        now: float,
        prefixes: Sequence[str] = (),
    ) -> None:
        """Record a request that is being sent.

        `prefixes` count as cached from now on, because the engine's event arrives seconds later.
        """
        entry = self._entries.get(name)
        if entry is not None:
            entry.in_flight[request_id] = _InFlightRequest(now, prefill_tokens)
            self._store_prefixes(entry, prefixes)

    def on_first_token(self, name: str, request_id: str, now: float) -> None:
        """Record the first token of a request, which shows that its prompt has been processed."""
        entry = self._entries.get(name)
        if entry is not None and request_id in entry.in_flight:
            self._reports_first_tokens = True
            entry.in_flight[request_id] = entry.in_flight[request_id]._replace(prefill_tokens=0)

    def on_finished(self, name: str, request_id: str, now: float) -> None:
        """Record the end of a request, whatever its outcome."""
        entry = self._entries.get(name)
        if entry is None:
            return
        request = entry.in_flight.pop(request_id, None)
        if request is not None and request.at <= entry.covers_until:
            entry.finished_at.append(now)

    def on_peer_work(self, peer: str, work: Mapping[str, tuple[int, int]], now: float) -> None:
        """Record a peer's `local_work`: requests and prefill tokens by back end."""
        self._peers[peer] = (now, dict(work))
        self._peers = {
            name: item for name, item in self._peers.items() if now - item[0] <= PEER_WORK_TTL_S
        }

    def on_drain(self, target: str, reason: str, until: float) -> None:
        """Send no new requests to a back end or a whole zone before `until`.

        `target` is a back end's name or identity, or the name of a zone. Of several marks for a
        target, the one that ends last applies.
        """
        previous = self._drains.get(target)
        if previous is None or previous.until < until:
            self._drains[target] = Drain(target, reason, until)

    def on_failed(self, name: str, now: float) -> None:
        """Put a back end in backoff after a connection or response failure.

        The backoff doubles with each further failure, up to `MAX_BACKOFF_S`.
        """
        entry = self._entries.get(name)
        if entry is None or now < entry.backoff_until:
            return
        if now - entry.backoff_until > FAILURE_RESET_S:
            entry.failures = 0
        entry.failures += 1
        backoff_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** min(entry.failures - 1, 10))
        entry.backoff_until = now + backoff_s

    def drains(self, now: float) -> list[Drain]:
        """Return the drain marks in force, to be sent to the peers."""
        return [drain for drain in self._drains.values() if drain.until > now]

    def local_work(self) -> dict[str, tuple[int, int]]:
        """Return the requests and prefill tokens in flight by back end, to be sent to the peers.

        Prefill tokens are those of the requests without a first token. A gateway that is not
        informed of first tokens returns the prompts that the load report cannot include;
        otherwise each prompt would count as queued until its response ends.
        """
        work = {}
        for name, entry in self._entries.items():
            if entry.in_flight:
                queued = (
                    entry.in_flight.values() if self._reports_first_tokens else entry.unreported()
                )
                work[name] = (
                    len(entry.in_flight),
                    sum(request.prefill_tokens for request in queued),
                )
        return work

    def capacity(
        self,
        service: str,
        now: float,
        cheap: bool,
        gateways: int = 1,
        token_gap_s: float = math.inf,
    ) -> int:
        """Return how many requests of a service this gateway may run at once.

        This is an equal share per gateway, rounded up, of the streams for which the usable back
        ends have slots and which they can decode within the token gap goal `token_gap_s`.
        """
        total = 0.0
        for entry in self._services.get(service, ()):
            if not self._is_usable(entry, now, cheap):
                continue
            if entry.host.kind == "plain":
                total += PLAIN_REQUESTS_PER_WORKER
            elif entry.report is not None:
                in_time = max(1.0, entry.report.decode_tokens_per_s * token_gap_s)
                total += min(entry.report.max_streams, in_time)
        return math.ceil(total / max(1, gateways))

    def candidates(
        self, service: str, model: str, now: float, cheap: bool, exclude: Collection[str] = ()
    ) -> list[BackEnd]:
        """Return the back ends that may receive a request of the service now.

        Engines without a report are returned only if there are no other candidates.
        """
        usable = [
            entry
            for entry in self._services.get(service, ())
            if entry.host.name not in exclude and self._is_usable(entry, now, cheap)
        ]
        suitable = [
            entry
            for entry in usable
            if entry.host.kind == "plain" or (entry.report and model in entry.report.models)
        ]
        if not suitable:
            suitable = [entry for entry in usable if entry.report is None]
        peers = self._peer_work(now)
        heard_peers = sum(now - at <= PEER_WORK_TTL_S for at, _ in self._peers.values())
        all_peers_heard = heard_peers + 1 >= self._gateway_count
        return [
            _back_end(
                entry,
                peers.get(entry.host.name, (0, 0)),
                all_peers_heard,
                all_peers_heard and self._reports_first_tokens,
                now,
            )
            for entry in suitable
        ]

    def _choose_by_name(self, hosts: Sequence[Host]) -> Collection[Host]:
        """Return one host of each name: a live one if possible, and the one in use if it is live."""
        chosen: dict[str, Host] = {}
        for host in hosts:
            other = chosen.get(host.name)
            if other is None or self._preference(host) > self._preference(other):
                chosen[host.name] = host
        return chosen.values()

    def _preference(self, host: Host) -> tuple[bool, bool]:
        entry = self._entries.get(host.name)
        return host.state == "live", entry is not None and entry.host.address == host.address

    def _is_usable(self, entry: _BackEndState, now: float, cheap: bool) -> bool:
        host = entry.host
        if host.state != "live" or now < entry.backoff_until or (host.cheap and not cheap):
            return False
        if entry.report is not None and entry.report.draining:
            return False
        marks = (self._drains.get(target) for target in (host.name, host.identity, host.zone))
        return not any(mark is not None and mark.until > now for mark in marks)

    def _peer_work(self, now: float) -> dict[str, tuple[int, int]]:
        total: dict[str, tuple[int, int]] = {}
        for at, work in self._peers.values():
            if now - at > PEER_WORK_TTL_S:
                continue
            for name, (requests, tokens) in work.items():
                previous = total.get(name, (0, 0))
                total[name] = (previous[0] + requests, previous[1] + tokens)
        return total

    def _store_prefixes(self, entry: _BackEndState, prefixes: Sequence[str]) -> None:
        for prefix in prefixes:
            entry.prefixes.pop(prefix, None)
            entry.prefixes[prefix] = None
        while len(entry.prefixes) > MAX_PREFIXES:
            del entry.prefixes[next(iter(entry.prefixes))]
        entry.frozen_prefixes_cache = None


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def _back_end(
    entry: _BackEndState, peers: tuple[int, int], all_requests: bool, all_prompts: bool, now: float
) -> BackEnd:
    """Return a back end as routing sees it.

    `all_requests` means that the requests in flight of all gateways are known, `all_prompts` that
    their first tokens are known, too.
    """
    host, report = entry.host, entry.report
    streams = max(0, report.decode_streams - len(entry.finished_at)) if report else 0
    in_flight_count = len(entry.in_flight) + peers[0]
    # In-flight counts include requests that wait for a slot, which reports do not. Without recent
    # counts from all gateways, only the report shows the others' requests; use the larger figure.
    unreported_requests = in_flight_count - streams
    if not all_requests:
        unreported_requests = max(len(entry.unreported()), unreported_requests)
    if all_prompts:
        reported, unreported = 0, sum(
            request.prefill_tokens for request in entry.in_flight.values()
        )
    else:
        reported, unreported = entry.backlog(now)
    return BackEnd(
        name=host.name,
        address=_address(host.address),
        zone=host.zone,
        region=host.region,
        service=host.service,
        kind=host.kind,
        cheap=host.cheap,
        role=report.role if report else "both",
        models=report.models if report else (),
        queued_prefill_tokens=reported,
        decode_streams=streams,
        max_streams=report.max_streams if report else 0,
        prefill_tokens_per_s=report.prefill_tokens_per_s if report else 0.0,
        decode_tokens_per_s=report.decode_tokens_per_s if report else 0.0,
        kv_free_tokens=report.kv_free_tokens if report else 0,
        unreported_requests=unreported_requests,
        unreported_prefill_tokens=unreported + peers[1],
        cached_prefixes=entry.frozen_prefixes(),
        software=host.software,
    )
