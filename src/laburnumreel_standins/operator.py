"""Operator of a test deployment: a profiles folder and the command line program."""

import contextlib
import io
import json
import os
from pathlib import Path
from typing import Any

from laburnumreel.ui import cli
from laburnumreel.ui._context import run_command_group
from laburnumreel_standins.caller import MODEL
from laburnumreel_standins.deployment import PEPPER, Deployment, GatewayProcess

PROFILES_FOLDER_FILES = {
    "profiles/chat.ini": "[profile]\nkind = model\ndeadline_s = 120\n",
    "services/models.ini": (
        f"[service]\nprofile = chat\nmodels = {MODEL}\ncustomers = hall-a\n"
        "credential_env = TEST_CREDENTIAL\n"
    ),
    "customers/hall-a.ini": "[customer]\nweight = 1\n",
}


class Operator:
    """Runs the command line program in this process, with the settings of the first gateway."""

    def __init__(self, folder: Path, gateways: list[GatewayProcess]) -> None:
        os.environ["TEST_PEPPER"] = PEPPER
        self.folder = folder
        self._settings = gateways[0].settings_path
        for name, text in PROFILES_FOLDER_FILES.items():
            (folder / name).parent.mkdir(parents=True, exist_ok=True)
            (folder / name).write_text(text)

    def set_weight(self, weight: int) -> None:
        """Change the weight of a customer in the folder, so that `apply` finds a change."""
        (self.folder / "customers/hall-a.ini").write_text(f"[customer]\nweight = {weight}\n")

    def run(self, *arguments: object) -> tuple[int, Any]:
        """Run a command with `--json`; return its exit code and parsed output."""
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = run_command_group(
                cli, ["--settings", str(self._settings), "--json", *map(str, arguments)]
            )
        return code, json.loads(out.getvalue() or err.getvalue())


def start_six_gateways(deployment: Deployment, **sections: str) -> list[GatewayProcess]:
    """Start one engine and six gateways, the number that today's deployment has."""
    deployment.add_engine("--stream-tokens-per-s", "20")
    return deployment.start_gateways(6, **sections)
