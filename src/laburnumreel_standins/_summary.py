"""Records of the requests of the load generator, and their summary table."""

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

# Latency objectives in seconds, promised to callers for 95 of 100 requests.
FIRST_TOKEN_OBJECTIVE_S = 0.31
TOKEN_GAP_OBJECTIVE_S = 0.032


class RequestRecord(NamedTuple):
    """Outcome of one request.

    Times are in seconds: `planned_at` and `sent_at` since the start of the run, the others since
    the request was sent. `error` is empty for a complete answer. Otherwise it is the error kind of
    the gateway, or "connect", "broken", "timeout", "incomplete" or "wrong" (the text is not the
    expected answer to the prompt).
    """

    number: int
    request_id: str
    customer: str
    prompt_tokens: int
    output_tokens: int
    planned_at: float
    sent_at: float
    first_s: float | None
    gap_p95_s: float | None
    end_s: float
    tokens: int
    status: int
    error: str
    run_state: str


def percentile(values: Iterable[float], fraction: float) -> float | None:
    """Return the least value that at least a `fraction` of the values do not exceed.

    >>> percentile([3.0, 1.0, 2.0, 4.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    return ordered[max(0, math.ceil(fraction * len(ordered)) - 1)] if ordered else None


def meets_objectives(
    record: RequestRecord,
    first_s: float = FIRST_TOKEN_OBJECTIVE_S,
    gap_s: float = TOKEN_GAP_OBJECTIVE_S,
) -> bool:
    """Return whether the answer to a request was complete and met both latency objectives."""
    return (
        not record.error
        and record.first_s is not None
        and record.first_s <= first_s
        and (record.gap_p95_s or 0.0) <= gap_s
    )


def summary_table(records: Sequence[RequestRecord], seconds: float) -> str:
    """Return a table with one line for each customer and one for all requests.

    `seconds` is the length of the run.
    """
    lines = [
        f"{'customer':<14}{'sent':>7}{'done':>7}{'good':>7}{'good %':>8}{'refused':>9}{'failed':>8}"
        f"{'first p50':>11}{'first p95':>11}{'gap p95':>9}{'tokens/s':>10}"
    ]
    customers = sorted({record.customer for record in records})
    for customer in customers:
        customer_records = [record for record in records if record.customer == customer]
        lines.append(_format_line(customer, customer_records, seconds))
    lines.append(_format_line("all", records, seconds))
    errors = Counter(record.error for record in records if record.error)
    lines += [f"{count:>7}  {error}" for error, count in errors.most_common()]
    lateness_p99_s = percentile((record.sent_at - record.planned_at for record in records), 0.99)
    lines.append(f"sent later than planned, p99: {_fmt_s(lateness_p99_s)} s")
    return "\n".join(lines)


def _format_line(name: str, records: Sequence[RequestRecord], seconds: float) -> str:
    done = [record for record in records if not record.error]
    good = sum(1 for record in records if meets_objectives(record))
    refused = sum(1 for record in records if record.error and record.run_state == "not-run")
    firsts = [record.first_s for record in done if record.first_s is not None]
    gaps = [record.gap_p95_s for record in done if record.gap_p95_s is not None]
    rate = sum(record.tokens for record in records) / seconds
    return (
        f"{name:<14}{len(records):>7}{len(done):>7}{good:>7}"
        f"{100 * good / max(1, len(records)):>8.1f}{refused:>9}"
        f"{len(records) - len(done) - refused:>8}{_fmt_s(percentile(firsts, 0.5)):>11}"
        f"{_fmt_s(percentile(firsts, 0.95)):>11}{_fmt_s(percentile(gaps, 0.95)):>9}{rate:>10.1f}"
    )


def _fmt_s(value: float | None) -> str:
    return "-" if value is None else f"{value:.4f}"
