"""Generates docs/logs.md, docs/metrics.md and docs/errors.md from the code.

Run `python tools/catalogue.py` after a change to an event, a metric or an error kind;
`tests/test_catalogue.py` fails if the pages differ from the code.
"""

import importlib
import pkgutil
import sys
from pathlib import Path

import laburnumreel
from laburnumreel.core import events, metrics
from laburnumreel.state import ERROR_ANSWERS

DOCS = Path(__file__).resolve().parent.parent / "docs"

LOGS_HEAD = """# Log events

Each log line is JSON (or console text, see `[log] format`) with `number`, `name`, `event` (the
text), `level`, `timestamp` and the fields of the event. Numbers go by layer: 1xx process and
settings, 2xx transport, 3xx protocol, 4xx coordination, 5xx state. Keys and other secrets are
never logged. The table is written from the code by `tools/catalogue.py`.

| number | name | text |
| --- | --- | --- |
"""

METRICS_HEAD = """# Metrics

Both processes serve these at `/metrics` on their admin address, in the Prometheus text format. No
label holds a customer's data. The table is written from the code by `tools/catalogue.py`; what to
do about a counter that grows is in [OPERATIONS.md](OPERATIONS.md).

| name | type | labels | meaning |
| --- | --- | --- | --- |
"""

ERRORS_HEAD = """# Errors

Every refusal and failure has one kind of this closed list. It is sent as `X-Error-Kind` and as
`error.code` in the body. `X-Run-State` says what is known of the request's execution: `not-run` is
a promise that no back end ran it and that it is safe to send again; `ran` means that a back end
ran it; `unknown` means that it may have run. The column gives the state where nothing more is
known of the single request. `Retry-After` is in whole seconds.

A stream that has begun has its status already; its error comes as a last
`data: {"error": {...}}` event without `data: [DONE]`, and the connection closes.

The table is written from the code by `tools/catalogue.py`.

| kind | status | type | run state | `Retry-After` | message |
| --- | --- | --- | --- | --- | --- |
"""


def import_all() -> None:
    """Import every module of the product, so that all events and metrics are registered."""
    for module in pkgutil.walk_packages(laburnumreel.__path__, "laburnumreel."):
        if ".gen" not in module.name and not module.name.endswith(".__main__"):
            importlib.import_module(module.name)


def pages() -> dict[str, str]:
    """Return the text of each page, by file name."""
    import_all()
    log_rows = [f"| {event.number} | {event.name} | {event.text} |\n" for event in events()]
    metric_rows = [
        f"| {metric.name} | {metric.type} | {', '.join(metric.labels) or '-'} | {metric.text} |\n"
        for metric in metrics()
    ]
    error_rows = [
        f"| `{kind}` | {answer.status} | {answer.type} | {answer.run_state} "
        f"| {'yes' if answer.is_retryable else 'no'} | {answer.message} |\n"
        for kind, answer in ERROR_ANSWERS.items()
    ]
    return {
        "logs.md": LOGS_HEAD + "".join(log_rows),
        "metrics.md": METRICS_HEAD + "".join(metric_rows),
        "errors.md": ERRORS_HEAD + "".join(error_rows),
    }


def main() -> int:
    for name, text in pages().items():
        (DOCS / name).write_text(text, encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
