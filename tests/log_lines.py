"""Reads the log of a process that may still be writing it."""

import json


def read_log_lines(path):
    """Return the log lines of a file as objects; other text, such as tracebacks, is left out.

    The text after the last newline is not completely written yet, and is left for the next read.
    Raises JSONDecodeError for a complete log line that is not valid JSON.
    """
    complete_text = path.read_bytes().decode(errors="replace").rpartition("\n")[0]
    return [json.loads(line) for line in complete_text.split("\n") if line.startswith("{")]
