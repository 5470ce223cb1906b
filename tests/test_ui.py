"""Tests of the command line with the stand-in of the platform."""

import json
import threading

import pytest

from laburnumreel.coordination import read_base, write_change
from laburnumreel.state import HttpPlatform, PlatformError
from laburnumreel.ui import _config, cli
from laburnumreel.ui._context import run_command_group
from laburnumreel_standins.processes import Process, fresh_host

SETTINGS = """
[node]
name = ops
zone = antigua-a
region = antigua
[platform]
address = {host}:9000
[peers]
gateways = {host}:7001, {host}:7002
[keys]
pepper_env = TEST_PEPPER
"""


@pytest.fixture
def folder(tmp_path):
    for subfolder in ("profiles", "services", "customers"):
        (tmp_path / subfolder).mkdir()
    (tmp_path / "profiles/quotes.ini").write_text("[profile]\nkind = model\n")
    service = "[service]\nprofile = quotes\nmodels = m\ncustomers = *\n"
    (tmp_path / "services/quotes.ini").write_text(service)
    (tmp_path / "customers/hall.ini").write_text("[customer]\nweight = 2\n")
    return tmp_path


@pytest.fixture
def host():
    return fresh_host()


@pytest.fixture
def platform(host):
    process = Process("laburnumreel_standins.main", "platform", "--listen", f"{host}:9000")
    process.wait_until_listening(host, 9000)
    yield HttpPlatform((host, 9000))
    process.end()


@pytest.fixture
def run(tmp_path, host, monkeypatch, capsys):
    """Return a function that runs a command and returns exit code, JSON result and JSON error."""
    monkeypatch.setenv("TEST_PEPPER", "pepper")
    file = tmp_path / "node.ini"
    file.write_text(SETTINGS.format(host=host))

    def run_command(*arguments):
        capsys.readouterr()
        code = run_command_group(cli, ["--settings", str(file), *map(str, arguments), "--json"])
        out, err = capsys.readouterr()
        return code, json.loads(out) if out else None, json.loads(err) if err else None

    return run_command


@pytest.mark.processes
def test_configuration_commands_from_check_to_rollforward(run, folder, platform):
    """Guards against commands that disagree about the current configuration."""
    assert run("config", "check", folder)[0] == 0
    assert run("config", "diff", folder)[1]["puts"].keys() == {
        "profile/quotes",
        "service/quotes",
        "customer/hall",
    }
    assert run("config", "apply", folder, "--expect", 0)[1]["version"] == 1
    assert run("config", "apply", folder)[1]["changed"] is False
    granted = run("key", "grant", "hall", "--name", "till")[1]
    assert granted["version"] == 2 and len(granted["key"]) > 30
    (folder / "customers/agency.ini").write_text("[customer]\n")
    assert run("config", "apply", folder)[1]["version"] == 3
    code, _, error = run("config", "apply", folder, "--expect", 1)
    assert code == 4 and error["version"] == 3
    rolled_forward = run("config", "rollforward", 1)[1]
    assert rolled_forward["version"] == 4 and rolled_forward["deletes"] == ["customer/agency"]
    entries = run("config", "show")[1]["entries"]
    assert f"key/{granted['digest']}" in entries and "customer/agency" not in entries
    assert granted["key"] not in json.dumps(entries)
    key_file = folder / "key"
    key_file.write_text(granted["key"] + "\n")
    withdrawn = run("key", "withdraw", "--key-file", str(key_file))[1]
    assert withdrawn["stored"] and withdrawn["confirmed"] == 0
    assert [row["state"] for row in run("key", "list")[1]["keys"]] == ["withdrawn"]
    assert run("config", "rollforward", 2)[0] == 0
    assert [row["state"] for row in run("key", "list")[1]["keys"]] == ["withdrawn"]
    for command in ("lease", "order", "fleet"):
        assert run(command, "list")[0] == 0


@pytest.mark.processes
def test_second_of_two_concurrent_applies_fails_and_names_the_winner(
    run, folder, platform, monkeypatch
):
    """Guards against an apply that overwrites a concurrent change of another operator."""
    assert run("config", "apply", folder)[0] == 0
    read = _config.read_base

    def read_before_rival_write(_):
        base = read(platform)
        rival_change = base.ok.configuration.next_change(
            "rival#1", {"customer/hall": {"weight": 9.0, "tokens_per_s": 0, "requests_per_s": 0}}
        )
        assert write_change(platform, base.ok, rival_change).is_ok()
        return base

    monkeypatch.setattr(_config, "read_base", read_before_rival_write)
    (folder / "customers/hall.ini").write_text("[customer]\nweight = 3\n")
    code, _, error = run("config", "apply", folder)
    assert code == 4 and error["winner"] == "rival#1" and error["both"] == ["customer/hall"]
    assert read(platform).ok.configuration.customers["hall"].weight == 9.0


@pytest.mark.processes
def test_concurrent_key_grants_all_take_effect(run, folder, platform, tmp_path):
    """Guards against a key grant that is lost to a concurrent change."""
    assert run("config", "apply", folder)[0] == 0
    codes = []
    arguments = ["--settings", str(tmp_path / "node.ini"), "key", "grant", "hall"]
    threads = [
        threading.Thread(target=lambda: codes.append(run_command_group(cli, arguments)))
        for _ in range(4)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert codes == [0] * 4
    assert len(run("key", "list")[1]["keys"]) == 4


@pytest.mark.processes
def test_wait_timeout_names_the_missing_gateways(run, folder, platform, host):
    """Guards against reporting success before all gateways have the version."""
    code, _, error = run("config", "apply", folder, "--wait", "--timeout", 0.5)
    assert code == 5 and error["not_in_force"] == [f"{host}:7001", f"{host}:7002"]


def test_user_errors_have_exit_codes_and_no_traceback(run, folder):
    """Guards against tracebacks, and against failures that scripts can't tell apart by exit code."""
    assert run("config", "apply", folder)[0] == 3
    assert run("status")[0] == 3
    assert run("config", "bogus")[0] == 1
    assert run("--settings", "nowhere.ini", "status")[0] == 1
    assert run("key", "withdraw")[0] == 1
    assert run("key", "withdraw", "lr-x")[0] == 1
    assert run("key", "withdraw", "--digest", "ab" * 32)[0] == 3
    (folder / "customers/hall.ini").write_text("[customer]\nweight = much\n")
    code, _, error = run("config", "check", folder)
    assert code == 2
    assert error["errors"][0]["found"] == "'much'"


class AnswerLosingPlatform:
    """A platform that loses the answers to transactions; `takes_effect` says which take effect."""

    def __init__(self, platform, takes_effect):
        self._platform = platform
        self._takes_effect = list(takes_effect)

    def __getattr__(self, name):
        return getattr(self._platform, name)

    def transact(self, checks, writes):
        if not self._takes_effect:
            return self._platform.transact(checks, writes)
        if self._takes_effect.pop(0):
            self._platform.transact(checks, writes)
        return HttpPlatform(("127.0.0.1", 1)).hosts().map_error(lambda _: PlatformError("lost"))


@pytest.mark.processes
@pytest.mark.parametrize("takes_effect", [[True], [False], [False, True, False], [True] * 9])
def test_transaction_with_lost_answer_is_read_back(platform, takes_effect):
    """Guards against a change that is applied twice, or reported as lost although it was applied."""
    base = read_base(platform).ok
    change = base.configuration.next_change("ana#1", {"customer/hall": {"weight": 1.0}})
    answer_losing_platform = AnswerLosingPlatform(platform, takes_effect)
    written = write_change(answer_losing_platform, base, change, sleep=lambda _: None)
    if len(takes_effect) < 5:
        assert written.ok == change
    else:
        assert written.error.kind == "unknown"
    assert read_base(platform).ok.configuration.version == 1
