"""Tests that names of the platform occur only in the adapter, and that the adapter stays small."""

import re
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
ADAPTER = ROOT / "platform" / "laburnumreel_platform"
# Names of headers, calls and fields of the platform's protocol that have no meaning elsewhere.
WIRE_NAMES = [
    "Token-Usage",
    "Prefix-Hash",
    "Expect-Instance",
    "Response-Signature",
    "Not-Executed",
    "Serving-Stage",
    "Kv-Source",
    "Kv-Hold",
    "Kv-Backup",
    "Pin-Ms",
    "Tenant-Id",
    "Model-Id",
    "Deadline-Ms",
    "Length-Hint",
    "Weight-Versions",
    "Fencing-Token",
    "Lease-Holder",
    "Instance-Id",
    "Request-Priority",
    "MaxAttempts",
    "RouteType",
    "TrafficSplit",
    "TargetLatencyMs",
    "GapAimMs",
    "TimeoutMs",
    "ApiKeys",
    "ColdRemainingMs",
    "DesiredCount",
    "WindowId",
    "Precondition",
    "rows-tx",
    "rows-get",
    "rows-feed",
    "kv-handle",
    "/v1/readiness",
    "/v1/order",
    "LABURNUMREEL_BOOT",
]


def product_files():
    return [path for path in (ROOT / "src").rglob("*.py") if "/gen/" not in path.as_posix()]


def test_platform_names_occur_only_in_the_adapter():
    found = {
        f"{path.relative_to(ROOT)}: {name}"
        for path in product_files()
        for name in WIRE_NAMES
        # The product has headers of its own with similar endings, such as X-Deadline-Ms.
        if re.search(
            rf"(?<![\w-]){re.escape(name)}", path.read_text(encoding="utf-8"), re.IGNORECASE
        )
    }
    assert not found
    used = "".join(path.read_text(encoding="utf-8") for path in ADAPTER.glob("*.py")).lower()
    assert [name for name in WIRE_NAMES if name.lower() in used]


def test_adapter_is_under_a_tenth_of_the_code():
    def lines(paths):
        return sum(len(path.read_text(encoding="utf-8").splitlines()) for path in paths)

    relay = [path for path in product_files() if "/relay/" in path.as_posix()]
    assert lines(ADAPTER.glob("*.py")) < lines(product_files()) / 10
    assert lines(ADAPTER.glob("*.py")) < lines(relay) / 4


def test_adapter_has_no_retries_timers_or_randomness():
    """Guards against retries, timers and randomness that belong in the product."""
    for path in ADAPTER.glob("*.py"):
        text = path.read_text(encoding="utf-8")
        assert not re.search(r"^(import|from) (time|random|threading|select)\b", text, re.M), path


def test_deployed_pins_match_the_tested_ones():
    pinned = set((ROOT / "requirements.txt").read_text().split())
    deployed = set((ROOT / "requirements-run.txt").read_text().split())
    assert deployed <= pinned
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    wanted = {re.match(r"[\w-]+", name)[0].lower() for name in project["dependencies"]}
    assert wanted <= {pin.partition("==")[0].lower() for pin in deployed}


def test_deploy_file_names_existing_files():
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    role = deploy["roles"]["relay"]
    assert role["serves"] == ["front"] and (ROOT / role["template"]).is_file()
    assert role["run"].split()[-1] == ADAPTER.name
