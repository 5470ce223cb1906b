"""Metrics in aioprometheus' registry, and a catalogue from which the docs are checked."""

import threading
from collections.abc import Sequence
from typing import NamedTuple

from aioprometheus import Counter, Gauge, Histogram, Registry, render

_registry = Registry()
# aioprometheus is designed for one event loop; it reads and updates values without a lock.
_lock = threading.Lock()


class Metric(NamedTuple):
    """A defined metric: its name, type, label names, help text and collector."""

    name: str
    type: str
    labels: tuple[str, ...]
    text: str
    collector: Counter | Gauge | Histogram

    def inc(self, amount: float = 1, **labels: str) -> None:
        """Add to a counter or gauge."""
        with _lock:
            self.collector.add(labels, amount)

    def set(self, value: float, **labels: str) -> None:
        """Set a gauge."""
        with _lock:
            self.collector.set(labels, value)

    def observe(self, value: float, **labels: str) -> None:
        """Add an observation to a histogram."""
        with _lock:
            self.collector.add(labels, value)

    def value(self, **labels: str) -> float:
        """Return the current value of a counter or gauge, 0 before the first update."""
        with _lock:
            try:
                return self.collector.get(labels)
            except KeyError:
                return 0


_catalogue: dict[str, Metric] = {}


def define_counter(name: str, text: str, labels: Sequence[str] = ()) -> Metric:
    """Define a counter. Its name ends in `_total`."""
    return _define(
        Metric(name, "counter", tuple(labels), text, Counter(name, text, registry=_registry))
    )


def define_gauge(name: str, text: str, labels: Sequence[str] = ()) -> Metric:
    """Define a gauge."""
    return _define(
        Metric(name, "gauge", tuple(labels), text, Gauge(name, text, registry=_registry))
    )


def define_histogram(
    name: str, text: str, buckets: Sequence[float], labels: Sequence[str] = ()
) -> Metric:
    """Define a histogram with the given upper bounds of its buckets."""
    collector = Histogram(name, text, registry=_registry, buckets=list(buckets))
    return _define(Metric(name, "histogram", tuple(labels), text, collector))


def metrics() -> list[Metric]:
    """Return all defined metrics, sorted by name."""
    return [_catalogue[name] for name in sorted(_catalogue)]


def render_metrics() -> bytes:
    """Return all values in the Prometheus text format."""
    with _lock:
        body, _ = render(_registry, ["text/plain"])
    return body


def _define(metric: Metric) -> Metric:
    _catalogue[metric.name] = metric
    return metric
