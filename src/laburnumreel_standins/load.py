"""Open-loop load generator that sends a seeded trace to gateways or engines."""

import http.client
import itertools
import json
import time
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple

import click

from laburnumreel_standins._option_types import ADDRESS, Address
from laburnumreel_standins._summary import RequestRecord, percentile, summary_table
from laburnumreel_standins._text import output_text
from laburnumreel_standins._trace import Arrival, Flood, MeanLengths, TracePlan, make_trace

# An open loop needs a free thread for each arrival, even if earlier requests are still waiting.
MAX_THREADS = 512


class Target(NamedTuple):
    """Destination of the requests, and how they are sent.

    `keys` has the keys by customer; requests of a customer without a key have no Authorization
    header. `timeout_s` limits each wait for data.
    """

    addresses: tuple[Address, ...]
    model: str
    keys: Mapping[str, str]
    timeout_s: float
    chat: bool = False


class LoadRun:
    """Run of a trace against a target.

    The addresses of the target are used in turn. `on_record` is called with the record of each
    request, on the thread of the request.
    """

    def __init__(
        self, target: Target, trace: Sequence[Arrival], on_record: Callable[[RequestRecord], None]
    ) -> None:
        self._target = target
        self._trace = trace
        self._on_record = on_record
        self._addresses = itertools.cycle(target.addresses)
        self._started_at = 0.0

    def run(self) -> list[RequestRecord]:
        """Send each request at its planned time; return the records after all have ended."""
        self._started_at = time.monotonic()
        futures = []
        with ThreadPoolExecutor(MAX_THREADS, thread_name_prefix="load") as executor:
            for arrival in self._trace:
                time.sleep(max(0.0, self._started_at + arrival.at - time.monotonic()))
                futures.append(executor.submit(self._send_one, arrival, next(self._addresses)))
            return [future.result() for future in futures]

    def _send_one(self, arrival: Arrival, address: Address) -> RequestRecord:
        request = _LoadRequest(self._target, arrival, address)
        sent_at = time.monotonic()
        request.run()
        record = request.record(self._started_at, sent_at)
        self._on_record(record)
        return record


class _LoadRequest:
    """One streamed request on a new connection, whose answer is checked."""

    def __init__(self, target: Target, arrival: Arrival, address: Address) -> None:
        self._target = target
        self._arrival = arrival
        self._connection = http.client.HTTPConnection(*address, timeout=target.timeout_s)
        self._token_times: list[float] = []
        self._pieces: list[str] = []
        self._status = 0
        self._request_id = ""
        self._run_state = ""
        self._error = ""

    def run(self) -> None:
        try:
            self._error = self._send()
        except TimeoutError:
            self._error = "timeout"
        except (OSError, http.client.HTTPException, ValueError):
            self._error = "broken" if self._connection.sock or self._status else "connect"
        finally:
            self._connection.close()

    def record(self, started_at: float, sent_at: float) -> RequestRecord:
        times = self._token_times
        gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
        return RequestRecord(
            self._arrival.number,
            self._request_id,
            self._arrival.customer,
            self._arrival.prompt_tokens,
            self._arrival.output_tokens,
            round(self._arrival.at, 4),
            round(sent_at - started_at, 4),
            round(times[0] - sent_at, 4) if times else None,
            round(percentile(gaps, 0.95), 4) if gaps else None,
            round(time.monotonic() - sent_at, 4),
            len(times),
            self._status,
            self._error,
            self._run_state,
        )

    def _send(self) -> str:
        self._connection.connect()
        path = "/v1/chat/completions" if self._target.chat else "/v1/completions"
        self._connection.request("POST", path, json.dumps(self._body()), self._headers())
        answer = self._connection.getresponse()
        self._status = answer.status
        self._request_id = answer.headers.get("X-Request-Id", "")
        self._run_state = answer.headers.get("X-Run-State", "")
        if answer.status != 200:
            answer.read()
            return answer.headers.get("X-Error-Kind", f"status_{answer.status}")
        return self._read_stream(answer)

    def _read_stream(self, answer: http.client.HTTPResponse) -> str:
        is_done = False
        while line := answer.readline():
            if not line.startswith(b"data: "):
                continue
            payload = line[6:].strip()
            if payload == b"[DONE]":
                is_done = True
                continue
            error = self._process_chunk(json.loads(payload))
            if error:
                return error
        if not is_done:
            return "incomplete"
        arrival = self._arrival
        expected = output_text(self._prompt_text(), arrival.output_tokens)
        return "" if "".join(self._pieces) == expected else "wrong"

    def _process_chunk(self, chunk: dict[str, Any]) -> str:
        if "error" in chunk:
            return str(chunk["error"].get("code") or "error")
        for choice in chunk["choices"]:
            text = choice["delta"].get("content") if self._target.chat else choice["text"]
            if text:
                self._token_times.append(time.monotonic())
                self._pieces.append(text)
        return ""

    def _body(self) -> dict[str, Any]:
        body = {
            "model": self._target.model,
            "max_tokens": self._arrival.output_tokens,
            "stream": True,
        }
        if self._target.chat:
            return {**body, "messages": [{"role": "user", "content": self._arrival.prompt}]}
        return {**body, "prompt": self._arrival.prompt}

    def _prompt_text(self) -> str:
        prompt = self._arrival.prompt
        return f"user\n{prompt}\n" if self._target.chat else prompt

    def _headers(self) -> dict[str, str]:
        headers = {"Content-Type": "application/json"}
        key = self._target.keys.get(self._arrival.customer)
        if key:
            headers["Authorization"] = f"Bearer {key}"
        return headers


def read_keys(path: Path) -> dict[str, str]:
    """Return the keys by customer from a file with lines CUSTOMER KEY."""
    keys = {}
    for line in path.read_text(encoding="utf-8").splitlines():
        if line.strip():
            customer, key = line.split()
            keys[customer] = key
    return keys


@click.command()
@click.option("--target", "targets", type=ADDRESS, multiple=True, required=True)
@click.option("--model", default="small")
@click.option("--keys", type=click.Path(path_type=Path), help="File of lines CUSTOMER KEY.")
@click.option("--customers", default="a,b,c,d", help="Without --keys: names, largest first.")
@click.option("--chat/--completions", default=False)
@click.option("--seconds", default=30.0, help="Length of the trace.")
@click.option("--rate", default=10.0, help="Requests a second, of all customers.")
@click.option("--seed", default=1)
@click.option("--prompt-tokens", default=200, help="Mean length.")
@click.option("--output-tokens", default=60, help="Mean length.")
@click.option("--swing-at", default=float("inf"), help="Second at which the mix changes.")
@click.option("--swing-prompt-tokens", default=1600, help="Mean length from then on.")
@click.option("--swing-output-tokens", default=20, help="Mean length from then on.")
@click.option("--flood-customer", default="", help="A customer that floods for a while.")
@click.option("--flood-at", default=5.0)
@click.option("--flood-s", default=10.0)
@click.option("--flood-rate", default=50.0, help="Its requests a second beyond --rate.")
@click.option("--shared", default=0.5, help="Share of a prompt that a customer's requests share.")
@click.option("--timeout-s", default=60.0, help="Longest silence before a request is given up.")
@click.option("--out", type=click.File("w", lazy=False), help="File for a JSON line a request.")
def load(
    targets: tuple[Address, ...],
    model: str,
    keys: Path | None,
    customers: str,
    chat: bool,
    seed: int,
    out: Any,
    timeout_s: float,
    **options: Any,
) -> None:
    """Send a seeded trace of requests and print a summary."""
    keys_by_customer = read_keys(keys) if keys else {}
    names = tuple(keys_by_customer) or tuple(name.strip() for name in customers.split(","))
    plan = _make_plan(names, **options)
    target = Target(targets, model, keys_by_customer, timeout_s, chat)

    def write_record(record: RequestRecord) -> None:
        if out is not None:
            # One write per line, so that lines of different threads are not interleaved.
            out.write(json.dumps(record._asdict()) + "\n")

    records = LoadRun(target, make_trace(plan, seed), write_record).run()
    click.echo(summary_table(records, plan.seconds))


def _make_plan(customers: tuple[str, ...], **options: Any) -> TracePlan:
    flood = None
    if options["flood_customer"]:
        flood = Flood(
            options["flood_customer"],
            options["flood_at"],
            options["flood_s"],
            options["flood_rate"],
        )
    return TracePlan(
        options["seconds"],
        options["rate"],
        customers,
        MeanLengths(options["prompt_tokens"], options["output_tokens"]),
        MeanLengths(options["swing_prompt_tokens"], options["swing_output_tokens"]),
        options["swing_at"],
        flood,
        options["shared"],
    )
