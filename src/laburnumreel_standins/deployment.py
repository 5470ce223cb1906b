"""Test deployment of real processes: platform, engines, plain servers and gateways."""

import contextlib
import signal
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

from laburnumreel.coordination._store_sync import withdrawal_rows
from laburnumreel.state import (
    CUSTOMER_SCHEMA,
    PROFILE_SCHEMA,
    SERVICE_SCHEMA,
    Check,
    Configuration,
    HttpPlatform,
    Write,
    key_digest,
    merge_sections,
)
from laburnumreel_standins.caller import KEY, MODEL, call, last_answers
from laburnumreel_standins.plain_server import PlainServer
from laburnumreel_standins.processes import Process, free_port, fresh_host, wait_until

PEPPER = "test-pepper"
OTHER_KEY = "lr-test-key-of-hall-b"
CREDENTIAL = "gateway-credential"

Address = tuple[str, int]


# Number of log lines of each gateway that the report of a failed test shows.
MAX_SHOWN_LOG_LINES = 20


class GatewayProcess(NamedTuple):
    """Process, addresses and settings file of a gateway.

    `caller_address` is the address for callers, `admin_address` the one for administration, and
    `addresses` has all addresses by their settings key. `settings_path` is the settings file.
    """

    process: Process
    caller_address: Address
    admin_address: Address
    name: str
    settings_path: Path
    addresses: dict[str, Address]

    @property
    def last_log_lines(self) -> str:
        try:
            return "\n".join(self.process.output.splitlines()[-MAX_SHOWN_LOG_LINES:])
        except FileNotFoundError:
            return "no log: the test has ended the process"

    def metric(self, name: str, **labels: str) -> float:
        """Return the sum of all series of a metric that have these labels."""
        total = 0.0
        for line in call(self.admin_address, "GET", "/metrics").body.decode().splitlines():
            if line.startswith((f"{name}{{", f"{name} ")) and all(
                f'{label}="{value}"' in line for label, value in labels.items()
            ):
                total += float(line.rpartition(" ")[2])
        return total


class Deployment:
    """Processes of a test, with their platform and configuration.

    `end` kills all of them. `hosts` is the host list that `set_hosts` sends to the platform.
    """

    def __init__(self) -> None:
        self._processes: list[Process] = []
        self._plain_servers: list[PlainServer] = []
        self._gateways: list[GatewayProcess] = []
        last_answers.clear()
        self._folder = tempfile.TemporaryDirectory(prefix="laburnumreel-test-")
        self._configuration = Configuration()
        self.hosts: list[dict[str, Any]] = []
        self.engines: dict[str, tuple[Process, Address]] = {}
        host = fresh_host()
        self.platform_address: Address = (host, free_port(host))
        self._platform_process = self.start(
            "laburnumreel_standins.main",
            "platform",
            "--listen",
            "{}:{}".format(*self.platform_address),
        )
        self._platform_process.wait_until_listening(*self.platform_address)
        self.platform = HttpPlatform(self.platform_address)

    def start(self, module: str, *arguments: str, env: dict[str, str] | None = None) -> Process:
        process = Process(module, *arguments, env=env)
        self._processes.append(process)
        return process

    @contextlib.contextmanager
    def suspended_platform(self) -> Iterator[None]:
        """Suspend the platform, so that calls to it hang."""
        self._platform_process.send_signal(signal.SIGSTOP)
        try:
            yield
        finally:
            self._platform_process.send_signal(signal.SIGCONT)

    def add_engine(self, *options: str, zone: str = "zone-a", **fields: Any) -> str:
        """Start an engine, add it to the host list and return its name.

        `options` are command line options; `fields` override fields of the host.
        """
        host = fresh_host()
        address = (host, free_port(host))
        name = f"engine-{len(self.hosts)}"
        process = self.start(
            "laburnumreel_standins.main",
            "engine",
            "--listen",
            f"{address[0]}:{address[1]}",
            "--models",
            MODEL,
            *options,
        )
        process.wait_until_listening(*address)
        self.engines[name] = (process, address)
        self._add_host(name, address, "models", "engine", zone, fields)
        return name

    def add_plain_server(self, zone: str = "zone-a") -> PlainServer:
        """Start a plain server in this process and add it to the host list."""
        server = PlainServer()
        self._plain_servers.append(server)
        self._add_host(f"plain-{len(self.hosts)}", server.address, "orders", "plain", zone, {})
        return server

    def set_hosts(self) -> None:
        call(self.platform_address, "POST", "/standin/hosts", {"hosts": self.hosts})

    def configure(self, **overrides: dict[str, Any]) -> None:
        """Store a configuration with one model service, one plain service and two customers.

        An override names an entry, with `__` for `/`, and the fields to change.
        """
        values = {
            "profile/chat": _config_value(PROFILE_SCHEMA, "[profile]\nkind = model\n"),
            "profile/orders": _config_value(
                PROFILE_SCHEMA,
                "[profile]\nkind = plain\nprefix = /orders/\nopen_paths = ping\n",
            ),
            "service/models": _config_value(
                SERVICE_SCHEMA,
                f"[service]\nprofile = chat\nmodels = {MODEL}\ncustomers = hall-a\n"
                "credential_env = TEST_CREDENTIAL\n",
            ),
            "service/orders": _config_value(
                SERVICE_SCHEMA,
                "[service]\nprofile = orders\ncustomers = *\ncredential_env = TEST_CREDENTIAL\n",
            ),
            "customer/hall-a": _config_value(CUSTOMER_SCHEMA, ""),
            "customer/hall-b": _config_value(CUSTOMER_SCHEMA, ""),
            f"key/{key_digest(KEY, PEPPER.encode())}": {"customer": "hall-a"},
            f"key/{key_digest(OTHER_KEY, PEPPER.encode())}": {"customer": "hall-b"},
        }
        for name, fields in overrides.items():
            values[name.replace("__", "/")].update(fields)
        self.apply(values)

    def apply(self, entries: dict[str, dict[str, Any]]) -> None:
        """Store a configuration change that sets these entries."""
        change = self._configuration.next_change("test", entries)
        before = self._configuration.version
        head = self.platform.read("config_head", "head").ok
        self._configuration = self._configuration.apply(change).ok
        head_value = {"version": change.version, "digest": change.digest}
        outcome = self.platform.transact(
            [Check("config_head", "head", head.version if before else 0)],
            [
                Write("config_head", "head", head_value),
                Write("config_change", f"{change.version:012d}", change.to_value()),
            ],
        )
        assert outcome.is_ok(), outcome

    def withdraw_key(self, key: str) -> None:
        log = self.platform.scan("withdrawn_log").ok.rows
        digest = key_digest(key, PEPPER.encode())
        assert self.platform.transact(*withdrawal_rows([digest], len(log) + 1, {})).is_ok()

    def write_settings(self, name: str, **sections: str) -> tuple[Path, dict[str, Address]]:
        """Write the settings file of a node; return its path and addresses by settings key."""
        host = fresh_host()
        names = ("callers", "admin", "peers", "coordinator_admin", "coordinator_peers")
        addresses: dict[str, Address] = {}
        for listen in names:
            # `free_port` may give the same port twice while nothing listens on it.
            while (port := free_port(host)) in [taken for _, taken in addresses.values()]:
                continue
            addresses[listen] = (host, port)
        lines = {
            "node": f"name = {name}\nzone = zone-a\nregion = region-a\n",
            "listen": "".join(f"{key} = {h}:{p}\n" for key, (h, p) in addresses.items()),
            "platform": "address = {}:{}\n".format(*self.platform_address),
            "peers": "gateways = {}:{}\nexchange_s = 0.2\n".format(*addresses["peers"]),
            "threads": "callers = 96\nreserve = 8\n",
            "keys": "pepper_env = TEST_PEPPER\n",
            "usage": "flush_s = 0.2\n",
            "stop": "notice_s = 0.3\ngrace_s = 60\n",
        }
        # An override replaces only the keys that it names.
        for section, text in sections.items():
            named = {line.partition("=")[0].strip() for line in text.splitlines()}
            kept_lines = [
                line
                for line in lines.get(section, "").splitlines(keepends=True)
                if line.partition("=")[0].strip() not in named
            ]
            lines[section] = "".join(kept_lines) + text
        path = Path(self._folder.name) / f"{name}.ini"
        path.write_text("".join(f"[{section}]\n{text}" for section, text in lines.items()))
        return path, addresses

    def start_gateway(
        self, name: str = "node-1", ready: bool = True, **sections: str
    ) -> GatewayProcess:
        """Write the settings of a gateway and start it. Wait until it is ready if `ready`."""
        path, addresses = self.write_settings(name, **sections)
        return self.run_gateway(name, path, addresses, ready)

    def start_gateways(self, count: int, **sections: str) -> list[GatewayProcess]:
        """Start gateways that are peers of each other, and wait until all are ready."""
        files = [self.write_settings(f"node-{number + 1}", **sections) for number in range(count)]
        peers = ", ".join("{}:{}".format(*addresses["peers"]) for _, addresses in files)
        gateways = []
        for number, (path, addresses) in enumerate(files):
            lines = [
                f"gateways = {peers}" if line.startswith("gateways = ") else line
                for line in path.read_text().splitlines()
            ]
            path.write_text("\n".join(lines))
            gateways.append(self.run_gateway(f"node-{number + 1}", path, addresses))
        return gateways

    def restart_gateway(self, gateway: GatewayProcess) -> GatewayProcess:
        """Start an ended gateway again, with the same settings."""
        return self.run_gateway(gateway.name, gateway.settings_path, gateway.addresses)

    def run_gateway(
        self, name: str, path: Path, addresses: dict[str, Address], ready: bool = True
    ) -> GatewayProcess:
        env = {"TEST_PEPPER": PEPPER, "TEST_CREDENTIAL": CREDENTIAL}
        process = self.start("laburnumreel.daemon", "--config", str(path), "gateway", env=env)
        gateway = GatewayProcess(
            process, addresses["callers"], addresses["admin"], name, path, addresses
        )
        self._gateways.append(gateway)
        process.wait_until_listening(*gateway.caller_address).wait_until_listening(
            *gateway.admin_address
        )
        if ready:
            wait_until(
                lambda: call(gateway.admin_address, "GET", "/readyz").status == 200,
                f"{name} to be ready",
            )
        return gateway

    def engine_state(self, name: str) -> dict[str, Any]:
        return call(self.engines[name][1], "GET", "/standin/state").json

    def engine_faults(self, name: str, **faults: Any) -> None:
        reply = call(self.engines[name][1], "POST", "/standin/faults", faults)
        assert reply.status == 200, reply

    def platform_faults(self, **faults: Any) -> None:
        reply = call(self.platform_address, "POST", "/standin/faults", faults)
        assert reply.status == 200, reply

    def count_stored_requests(self) -> int:
        """Return the number of requests in all usage deltas in the store."""
        return sum(
            figures["requests"]
            for value in self.usage_deltas()
            for figures in value["customers"].values()
        )

    def usage_deltas(self) -> list[dict[str, Any]]:
        """Return the values of all usage deltas in the store."""
        return [row.value for row in self.platform.scan("usage_delta").ok.rows]

    def evidence(self) -> dict[str, str]:
        """Return the texts that the report of a failed test shows, by title."""
        logs = {f"log of {gateway.name}": gateway.last_log_lines for gateway in self._gateways}
        return {"last answers": "\n".join(last_answers), **logs}

    def end(self) -> None:
        for process in self._processes:
            if process.exit_code is None:
                process.send_signal(signal.SIGCONT)
            process.end()
        for server in self._plain_servers:
            server.end()
        self._folder.cleanup()

    def _add_host(
        self,
        name: str,
        address: Address,
        service: str,
        kind: str,
        zone: str,
        fields: dict[str, Any],
    ) -> None:
        host = {
            "name": name,
            "address": f"{address[0]}:{address[1]}",
            "zone": zone,
            "region": "region-a",
            "service": service,
            "kind": kind,
        }
        self.hosts.append({**host, **fields})
        self.set_hosts()


def _config_value(schema: Any, text: str) -> dict[str, Any]:
    return merge_sections(schema.parse(text, "test.ini").ok)
