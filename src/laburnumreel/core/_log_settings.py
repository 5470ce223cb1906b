"""The log settings that all programs share."""

from typing import NamedTuple

from laburnumreel.core._ini import Field, kinds


class LogSettings(NamedTuple):
    """The format of log lines and the minimum level that is written."""

    format: str
    level: str


LOG_FIELDS = (
    Field("log", "format", kinds.choice("json", "console"), "json", "how logs are written"),
    Field(
        "log",
        "level",
        kinds.choice("debug", "info", "warning", "error"),
        "info",
        "least level that is written",
    ),
)
