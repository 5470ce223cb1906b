"""The orders that the configuration requires: pure functions of configuration, hosts and loads."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from laburnumreel.coordination._fleet import LoadReport
from laburnumreel.state import Configuration, Host, Target, WantedOrder


class Capacity(NamedTuple):
    """The wanted number of back ends of a kind for a service in a zone."""

    zone: str
    service: str
    kind: str
    count: int


def capacity_orders(capacities: Sequence[Capacity]) -> list[WantedOrder]:
    """Return the orders to the zones for these numbers."""
    return [
        WantedOrder(
            Target.zone(capacity.zone, capacity.service, capacity.kind),
            "count",
            {"count": capacity.count},
        )
        for capacity in capacities
    ]


def model_orders(
    configuration: Configuration, hosts: Sequence[Host], reports: Mapping[str, LoadReport]
) -> list[WantedOrder]:
    """Return the orders that load each service's models on its engines.

    An engine without a report gets no order, because its loaded models are not known.
    """
    wanted = []
    for host in hosts:
        service = configuration.services.get(host.service)
        report = reports.get(host.name)
        if service is None or report is None or host.kind != "engine" or host.state != "live":
            continue
        for model in service.models:
            if model not in report.models:
                target = Target.engine(host.name)
                wanted.append(WantedOrder(target, "load", {"model": model}))
    return wanted
