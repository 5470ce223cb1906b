"""Demonstrates the whole path on loopback: stand-ins, gateway, coordinator, operator and caller.

Run it with `make demo`. It uses free ports, removes its files and stops all processes at the end.
"""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path
from typing import Any

EXAMPLES = Path(__file__).resolve().parent
HOST = "127.0.0.1"
TIMEOUT_S = 60.0
ZONES = ("antigua-a", "xela-a", "puerto-a")


def main() -> int:
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="laburnumreel-")))
        demo = Demo(folder, stack)
        demo.start_platform_and_back_ends()
        demo.start_node()
        key = demo.apply_profiles_and_grant_key()
        demo.quote_contract(key)
        demo.book_twice(key)
        demo.print_usage()
        demo.stop_node()
    print_step("done")
    return 0


class Demo:
    """The processes of the demonstration and their ports."""

    def __init__(self, folder: Path, stack: ExitStack) -> None:
        self._folder = folder
        self._stack = stack
        self._ports = free_ports(8)
        names = ("platform", "callers", "admin", "peers", "c_admin", "c_peers", "engine", "plain")
        self._port_by_name = dict(zip(names, self._ports, strict=True))
        self._node_processes: list[subprocess.Popen] = []

    def start_platform_and_back_ends(self) -> None:
        print_step("starting the stand-ins for the platform, one engine and one plain service")
        self._start_stand_in("platform", "platform")
        self._start_stand_in("engine", "engine", "--models", "quotes-large")
        self._start_stand_in("plain", "plain")
        for port in ("platform", "engine", "plain"):
            wait_for(
                lambda port=port: is_listening(self._port_by_name[port]), f"the {port} stand-in"
            )
        hosts = [
            self._host_entry("engine-1", "engine", "contract-quoting", "engine"),
            self._host_entry("orders-1", "plain", "orders", "plain"),
        ]
        call_json("POST", self._port_by_name["platform"], "/standin/hosts", {"hosts": hosts})

    def start_node(self) -> None:
        print_step("starting laburnumreeld gateway and laburnumreeld coordinator")
        settings = self._folder / "node.ini"
        settings.write_text(
            f"""
[node]
name = demo-1
zone = {ZONES[0]}
region = antigua
[listen]
callers = {HOST}:{self._port_by_name["callers"]}
admin = {HOST}:{self._port_by_name["admin"]}
peers = {HOST}:{self._port_by_name["peers"]}
coordinator_admin = {HOST}:{self._port_by_name["c_admin"]}
coordinator_peers = {HOST}:{self._port_by_name["c_peers"]}
[platform]
address = {HOST}:{self._port_by_name["platform"]}
[peers]
gateways = {HOST}:{self._port_by_name["peers"]}
coordinators = {HOST}:{self._port_by_name["c_peers"]}
[keys]
pepper_env = LABURNUMREEL_PEPPER
[usage]
window_s = 2
grace_s = 1
""",
            encoding="utf-8",
        )
        for role in ("gateway", "coordinator"):
            self._node_processes.append(
                self._start(role, "laburnumreel.daemon", "--config", settings, role)
            )

    def apply_profiles_and_grant_key(self) -> str:
        print_step("operator: laburnumreel config check, config apply, key grant")
        self._run_operator_command("config", "check", EXAMPLES / "fundas-quetzal")
        self._run_operator_command("config", "apply", EXAMPLES / "fundas-quetzal", "--wait")
        granted = json.loads(self._run_operator_command("--json", "key", "grant", "hall-antigua"))
        key = granted["key"]
        wait_for(
            lambda: self._list_models(key) == ["quotes-large"], "the key and the model to be usable"
        )
        return key

    def quote_contract(self, key: str) -> None:
        print_step("caller: requests a streamed quote for examples/contract.txt")
        body = {
            "model": "quotes-large",
            "stream": True,
            "max_tokens": 40,
            "messages": [{"role": "user", "content": (EXAMPLES / "contract.txt").read_text()}],
        }
        connection = http.client.HTTPConnection(
            HOST, self._port_by_name["callers"], timeout=TIMEOUT_S
        )
        connection.request(
            "POST", "/v1/chat/completions", json.dumps(body), {"Authorization": f"Bearer {key}"}
        )
        answer = connection.getresponse()
        require(answer.status == 200, f"the quote request returned status {answer.status}")
        has_final_event = False
        while line := answer.readline():
            event = line.decode().strip().removeprefix("data: ")
            if event == "[DONE]":
                has_final_event = True
            elif event:
                for choice in json.loads(event).get("choices", []):
                    print(choice.get("delta", {}).get("content") or "", end="", flush=True)
        print()
        connection.close()
        require(has_final_event, "the stream ended without its final event")

    def book_twice(self, key: str) -> None:
        print_step("caller: books, then repeats the booking with the same Idempotency-Key")
        headers = {"Authorization": f"Bearer {key}", "Idempotency-Key": "salon-los-volcanes-1"}
        booking = {"hall": "Salon Los Volcanes", "covers": 168}
        answers = [
            call_json("POST", self._port_by_name["callers"], "/orders/bookings", booking, headers)
            for _ in range(2)
        ]
        for status, answer in answers:
            print(f"   {status} {json.dumps(answer)}")
        require(answers[0] == answers[1], "the two answers differ")
        _, state = call_json("GET", self._port_by_name["plain"], "/standin/state")
        require(len(state["bookings"]) == 1, f"the booking ran {len(state['bookings'])} times")
        print("   the plain service ran the booking once")

    def print_usage(self) -> None:
        print_step("platform: accepted usage reports, one per customer and window")

        def accepted_reports() -> list[Any]:
            _, state = call_json("GET", self._port_by_name["platform"], "/standin/state")
            return [report for report in state["usage_history"] if report["accepted"]]

        wait_for(
            lambda: sum(report["figures"]["requests"] for report in accepted_reports()) >= 2,
            "the usage reports",
        )
        for report in accepted_reports():
            print(f"   {report['customer']} {report['window']} {json.dumps(report['figures'])}")

    def stop_node(self) -> None:
        print_step("stopping both processes with SIGTERM")
        for process in self._node_processes:
            process.send_signal(signal.SIGTERM)
        codes = [process.wait(TIMEOUT_S) for process in self._node_processes]
        require(codes == [0, 0], f"the processes exited with the codes {codes}")

    def _list_models(self, key: str) -> list[str]:
        try:
            status, answer = call_json(
                "GET",
                self._port_by_name["callers"],
                "/v1/models",
                None,
                {"Authorization": f"Bearer {key}"},
            )
        except OSError:
            return []
        return [model["id"] for model in answer["data"]] if status == 200 else []

    def _run_operator_command(self, *arguments: Any) -> str:
        command = [sys.executable, "-m", "laburnumreel.ui", "--settings", self._folder / "node.ini"]
        result = subprocess.run(
            [*command, *arguments], env=environment(), capture_output=True, text=True, check=False
        )
        require(result.returncode == 0, f"{arguments} failed: {result.stdout}{result.stderr}")
        return result.stdout

    def _start_stand_in(self, kind: str, name: str, *arguments: Any) -> None:
        address = f"{HOST}:{self._port_by_name[name]}"
        self._start(name, "laburnumreel_standins.main", kind, "--listen", address, *arguments)

    def _start(self, name: str, module: str, *arguments: Any) -> subprocess.Popen:
        log = self._stack.enter_context((self._folder / f"{name}.log").open("wb"))
        command = [sys.executable, "-m", module, *map(str, arguments)]
        process = subprocess.Popen(command, env=environment(), stdout=log, stderr=log)
        self._stack.callback(stop_process, process)
        return process

    def _host_entry(self, name: str, port: str, service: str, kind: str) -> dict[str, Any]:
        return {
            "name": name,
            "address": f"{HOST}:{self._port_by_name[port]}",
            "zone": ZONES[0],
            "region": "antigua",
            "service": service,
            "kind": kind,
            "cheap": False,
            "state": "live",
        }


def environment() -> dict[str, str]:
    secrets = (
        "LABURNUMREEL_PEPPER",
        "LABURNUMREEL_MODEL_CREDENTIAL",
        "LABURNUMREEL_PLAIN_CREDENTIAL",
    )
    return {**os.environ, **dict.fromkeys(secrets, "demo-only")}


def stop_process(process: subprocess.Popen) -> None:
    if process.poll() is None:
        process.terminate()
        try:
            process.wait(10)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def free_ports(count: int) -> list[int]:
    with ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((HOST, 0))
        return [probe.getsockname()[1] for probe in probes]


def is_listening(port: int) -> bool:
    with socket.socket() as probe:
        return probe.connect_ex((HOST, port)) == 0


def call_json(
    method: str, port: int, path: str, body: Any = None, headers: dict[str, str] | None = None
) -> tuple[int, Any]:
    connection = http.client.HTTPConnection(HOST, port, timeout=TIMEOUT_S)
    try:
        connection.request(
            method,
            path,
            None if body is None else json.dumps(body),
            {"Content-Type": "application/json", **(headers or {})},
        )
        answer = connection.getresponse()
        return answer.status, json.loads(answer.read() or b"null")
    finally:
        connection.close()


def wait_for(condition: Callable[[], Any], description: str) -> None:
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        require(
            time.monotonic() < deadline,
            f"timed out after {TIMEOUT_S:g} s waiting for {description}",
        )
        time.sleep(0.1)


def require(condition: bool, message: str) -> None:
    if not condition:
        raise SystemExit(f"demo failed: {message}")


def print_step(text: str) -> None:
    print(f"== {text}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
