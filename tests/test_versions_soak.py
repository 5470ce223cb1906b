"""A short seeded run of the soak with several software versions, and a test that it finds faults."""

import pytest
from mixed_versions import Stream
from versions_soak import VersionsSoak, run_seed

pytestmark = pytest.mark.processes


@pytest.mark.parametrize(
    ("events", "kinds"),
    [
        ([(1, "v1"), (2, "v1")], []),
        ([(1, "v1"), (2, "v2")], ["versions"]),
        ([(1, "v1"), (3, "v1")], ["order"]),
        ([(1, "v1"), (1, "v1")], ["order"]),
    ],
)
def test_checks_detect_violations(tmp_path, events, kinds):
    soak = VersionsSoak(1, 1.0, tmp_path)
    try:
        stream = Stream("r1")
        stream.events = events
        soak._check(stream)
        assert [finding.kind for finding in soak.findings] == kinds
    finally:
        soak.world.end()


def test_no_stream_holds_two_versions():
    soak = run_seed(3, 15.0)
    assert not soak.findings
    assert soak.outcomes["complete"] > 20 and soak.faults["release"]
