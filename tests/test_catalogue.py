"""Tests that the catalogues in docs/ match the code."""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent

# Run in a separate interpreter, because other tests define events and metrics.
_PRINT_PAGE = """
import sys
sys.path.insert(0, "tools")
import catalogue
sys.stdout.write(catalogue.pages()[sys.argv[1]])
"""


@pytest.mark.parametrize("page", ["logs.md", "metrics.md", "errors.md"])
def test_page_equals_code(page):
    """Guards against events, metrics and errors that the pages lack or describe differently."""
    written = subprocess.run(
        [sys.executable, "-c", _PRINT_PAGE, page],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    ).stdout
    assert (ROOT / "docs" / page).read_text(
        encoding="utf-8"
    ) == written, "run `python tools/catalogue.py`"
