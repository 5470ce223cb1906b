"""Generic building blocks, independent of serving: clocks, tasks, settings, logs, metrics, HTTP."""

from laburnumreel.core._answer_memory import (
    ANSWER_SHARE,
    ROOM_WAIT_S,
    SMALL_ANSWER_BYTES,
    AnswerMemory,
    HeldAnswer,
    HeldBody,
    split_pieces,
)
from laburnumreel.core._clock import Clock, ManualClock, SystemClock
from laburnumreel.core._heap import limit_heap
from laburnumreel.core._http import StrictResponse
from laburnumreel.core._ini import Field, Schema, SettingsError, Values, kinds
from laburnumreel.core._log_settings import LOG_FIELDS, LogSettings
from laburnumreel.core._logs import Event, Log, define_event, events, setup_logs
from laburnumreel.core._metrics import (
    Metric,
    define_counter,
    define_gauge,
    define_histogram,
    metrics,
    render_metrics,
)
from laburnumreel.core._request_memory import (
    SMALL_REQUEST_BYTES,
    HeldRequest,
    RequestMemory,
)
from laburnumreel.core._signals import SignalQueue
from laburnumreel.core._task import Task, TaskStoppedError

__all__ = [
    "ANSWER_SHARE",
    "LOG_FIELDS",
    "ROOM_WAIT_S",
    "SMALL_ANSWER_BYTES",
    "SMALL_REQUEST_BYTES",
    "AnswerMemory",
    "HeldAnswer",
    "HeldBody",
    "HeldRequest",
    "RequestMemory",
    "LogSettings",
    "Clock",
    "Event",
    "Field",
    "Log",
    "ManualClock",
    "Metric",
    "Schema",
    "SettingsError",
    "SignalQueue",
    "StrictResponse",
    "SystemClock",
    "Task",
    "TaskStoppedError",
    "Values",
    "define_counter",
    "define_event",
    "define_gauge",
    "define_histogram",
    "events",
    "kinds",
    "limit_heap",
    "metrics",
    "render_metrics",
    "setup_logs",
    "split_pieces",
]
