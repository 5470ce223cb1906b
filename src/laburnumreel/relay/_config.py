"""The configuration of a relay: routes, services and customers, as one version."""

import hashlib
import hmac
import secrets
from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import NamedTuple


class RouteKind(StrEnum):
    """How often a request on a route may run."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class Share(NamedTuple):
    """A service of a route and its weight."""

    service: str
    weight: float


class Route(NamedTuple):
    """A host and path prefix, and how its requests are served.

    Times are in seconds. `objective_s` is the maximum time to the first byte of an answer that is
    on time, `gap_s` the maximum pause between two events of a stream that is on time. `priority` 0
    is the most urgent. `attempts` is the number of backend servers that a request may be sent to.
    Streams of a `resumable` route may be continued by another backend server. A `public` route
    needs no key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[Share, ...]
    timeout_s: float
    objective_s: float
    gap_s: float
    priority: int
    attempts: int
    public: bool
    resumable: bool

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable


class EngineTraits(NamedTuple):
    """The capabilities of the engines of a service.

    `kv_tokens` is the KV memory of one engine in tokens of `kv_token_bytes` each, and
    `link_bytes_per_s` the rate at which engines copy it. An engine keeps a prompt's copy for
    `copy_keep_s` seconds. A change of role makes an engine unavailable for `switch_s` seconds.
    """

    slots: int
    kv_tokens: int
    kv_token_bytes: int
    link_bytes_per_s: float
    copy_keep_s: float
    switch_s: float


class Scaling(NamedTuple):
    """The limits of backend servers of a service per availability zone, and their prices.

    `cheap_price` is the price of a cheap backend server as a share of a dedicated one's, which is
    given in `zone_prices`. A new backend server serves `boot_s` seconds after its order.
    """

    min_count: int
    max_count: int
    boot_s: float
    cheap_price: float | None
    zone_prices: Mapping[str, float]


class RelayService(NamedTuple):
    """A group of backend servers that serve the same requests."""

    name: str
    max_connections: int
    engine: EngineTraits | None = None
    scaling: Scaling | None = None


class RelayCustomer(NamedTuple):
    """A customer and its keys. Its priority, if set, overrides that of a route."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


class CallerLimits(NamedTuple):
    """Limits of caller connections. Sizes are in bytes, times in seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    idle_s: float = 15.0


class RelayConfig(NamedTuple):
    """One version of the whole configuration.

    `customers` is None if the configuration does not speak of customers, so that no request needs a
    key. Where it is empty, nobody has a key: only public routes are served. `customer_problems`
    describes customers and keys that could not be read, and are left out.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, RelayService] = {}
    customers: tuple[RelayCustomer, ...] | None = None
    limits: CallerLimits = CallerLimits()
    customer_problems: tuple[str, ...] = ()


class RouteTable:
    """Lookup of routes by host and path, and of customers by key.

    Keys are stored as digests with a random secret of this process.

    >>> route = Route("r", "a.example", "/quotes/", RouteKind.IDEMPOTENT, (), 1, 1, 0, 0, 1, 0, 0)
    >>> table = RouteTable(RelayConfig(1, routes=(route,)))
    >>> table.route("a.example", "/quotes/7").name
    'r'
    >>> table.route("a.example", "/other") is None
    True
    """

    def __init__(self, config: RelayConfig) -> None:
        self._config = config
        self._secret = secrets.token_bytes(16)
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(config.routes, key=lambda route: -len(route.prefix)):
            self._by_host.setdefault(route.host.lower(), []).append(route)
        self._customers = {
            self._digest(key): customer
            for customer in config.customers or ()
            for key in customer.keys
        }

    @property
    def config(self) -> RelayConfig:
        return self._config

    @property
    def version(self) -> int:
        return self._config.version

    @property
    def needs_keys(self) -> bool:
        """Whether routes that are not public need a key."""
        return self._config.customers is not None

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of the path, or None."""
        routes = self._by_host.get(host.lower())
        if routes is None:
            routes = self._by_host.get(host.lower().partition(":")[0], ())
        return next((route for route in routes if path.startswith(route.prefix)), None)

    def customer(self, key: str) -> RelayCustomer | None:
        """Return the customer that holds a key, or None."""
        return self._customers.get(self._digest(key))

    def _digest(self, key: str) -> bytes:
        return hmac.new(self._secret, key.encode("utf-8", "replace"), hashlib.sha256).digest()


def pick_share(shares: Iterable[Share], draw: float) -> str:
    """Return the service for a random number from 0 to 1, according to the weights.

    >>> pick_share([Share("old", 90), Share("new", 10)], 0.95)
    'new'
    """
    shares = [share for share in shares if share.weight > 0] or list(shares)
    remaining = draw * sum(share.weight for share in shares)
    for share in shares:
        remaining -= share.weight
        if remaining < 0:
            return share.service
    return shares[-1].service
