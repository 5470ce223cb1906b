"""Lost and doubled requests of six gateways while one is killed or replaced every 3 seconds."""

import itertools
import json
import random
import signal
import threading
import time
from collections import Counter
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple

from bench._report import Report, Table
from laburnumreel_standins._text import output_text
from laburnumreel_standins.caller import Stream, bearer_headers, call
from laburnumreel_standins.deployment import Deployment, GatewayProcess
from laburnumreel_standins.processes import wait_until

GATEWAYS = 6
ENGINES = 4
CALLERS = 12
RUN_S = 24.0
REPLACE_INTERVAL_S = 3.0
STREAM_TOKENS = 40
MAX_TRIES = 40

TEXT = (
    "Six gateways, four engines, one plain service. Twelve callers send keyed bookings (repeated "
    "at any gateway with the same Idempotency-Key until there is a final answer), bookings without "
    "a key (sent once) and streams, while every 3 s one gateway is killed with SIGKILL, or replaced "
    "by SIGTERM, and started again. The requests recorded by the plain service are the reference: `lost` are "
    "bookings confirmed to the caller that it never ran, `doubled` those that it ran twice, "
    "`false not-run` those refused with `not-run` that it ran, `wrong` are streams that ended with "
    "[DONE] and another text. Goal: none of these four; with planned replacement also no cut one. "
    "`untold` are keyed bookings whose final answer was `idempotency_unknown`."
)


class Outcome(NamedTuple):
    """How one request ended for its caller."""

    kind: str
    booking: str
    result: str


class CallerPool:
    """The callers of one run, each on its own thread, using a list of live gateways."""

    def __init__(self, gateways: list[GatewayProcess], seed: int) -> None:
        self.gateways = gateways
        self.outcomes: list[Outcome] = []
        self._seed = seed
        self._sequence = itertools.count(1)
        self._ends_at = time.monotonic() + RUN_S

    def run(self) -> list[Outcome]:
        with ThreadPoolExecutor(CALLERS, "caller") as executor:
            done = [executor.submit(self._run_caller, number) for number in range(CALLERS)]
            for caller in done:
                caller.result()
        return self.outcomes

    def _run_caller(self, number: int) -> None:
        rng = random.Random(self._seed * 1000 + number)
        while time.monotonic() < self._ends_at:
            booking = f"b{self._seed}-{next(self._sequence)}"
            match rng.randrange(3):
                case 0:
                    result = self._send_keyed(rng, booking)
                    self.outcomes.append(Outcome("keyed", booking, result))
                case 1:
                    result = self._send_unkeyed(rng, booking)
                    self.outcomes.append(Outcome("unkeyed", booking, result))
                case _:
                    result = self._send_stream(rng, booking)
                    self.outcomes.append(Outcome("stream", booking, result))

    def _send_keyed(self, rng: random.Random, booking: str) -> str:
        headers = bearer_headers(Idempotency_Key=booking)
        for _ in range(MAX_TRIES):
            try:
                reply = self._post_order(rng, booking, headers)
            except (OSError, ValueError):
                continue
            except Exception:
                time.sleep(0.1)
                continue
            if reply.status == 201:
                return "answered"
            if reply.kind == "idempotency_unknown":
                return "untold"
            time.sleep(0.1)
        return "no answer"

    def _send_unkeyed(self, rng: random.Random, booking: str) -> str:
        try:
            reply = self._post_order(rng, booking, bearer_headers())
        except Exception:
            return "cut"
        return "answered" if reply.status == 201 else str(reply.run_state)

    def _post_order(self, rng: random.Random, booking: str, headers: dict[str, str]) -> Any:
        address = self._pick_gateway(rng)
        body = {"booking": booking}
        return call(address, "POST", "/orders/new", body, headers, timeout_s=15)

    def _send_stream(self, rng: random.Random, booking: str) -> str:
        prompt = f"contract {booking}"
        try:
            stream = Stream(
                self._pick_gateway(rng), {"prompt": prompt, "max_tokens": STREAM_TOKENS}
            )
            if stream.answer.status != 200:
                state = stream.answer.getheader("X-Run-State")
                stream.close()
                return str(state)
            text, done, error = stream.finish()
        except Exception:
            return "cut"
        if not done:
            return error or "cut"
        return "answered" if text == output_text(prompt, STREAM_TOKENS) else "wrong"

    def _pick_gateway(self, rng: random.Random) -> tuple[str, int]:
        """Choose a gateway that is ready, as the platform's balancer does."""
        for gateway in rng.sample(self.gateways, len(self.gateways)):
            try:
                if call(gateway.admin_address, "GET", "/readyz", timeout_s=1).status == 200:
                    return gateway.caller_address
            except OSError:
                continue
        return rng.choice(self.gateways).caller_address


def run(seeds: Sequence[int]) -> Report:
    """Run each kind of replacement with each seed."""
    rows = []
    for seed in seeds:
        for kind in ("none", "SIGKILL", "SIGTERM"):
            rows.append((kind, seed, *_run(seed, kind)))
    headers = (
        "replacement",
        "seed",
        "replaced",
        "requests",
        "answered",
        "not-run",
        "cut or unknown",
        "untold",
        "lost",
        "doubled",
        "false not-run",
        "wrong",
    )
    return Report(TEXT, [Table("outcomes", headers, rows, "answered")])


def _run(seed: int, kind: str) -> tuple[int, ...]:
    deployment = Deployment()
    try:
        deployment.configure()
        for _ in range(ENGINES):
            deployment.add_engine("--stream-tokens-per-s", "100")
        plain = deployment.add_plain_server()
        gateways = deployment.start_gateways(GATEWAYS)
        for gateway in gateways:
            wait_until(
                lambda at=gateway.caller_address: call(at, "GET", "/orders/ping").status == 200,
                "plain",
            )
        caller_pool = CallerPool(gateways, seed)
        stop = threading.Event()
        with ThreadPoolExecutor(1, "replacer") as executor:
            replacer = executor.submit(_replace_gateways, deployment, gateways, kind, seed, stop)
            outcomes = caller_pool.run()
            stop.set()
            replaced = replacer.result()
        runs = Counter(_bookings(plain.requests))
        return (replaced, *_count_results(outcomes, runs))
    finally:
        deployment.end()


def _replace_gateways(
    deployment: Deployment,
    gateways: list[GatewayProcess],
    kind: str,
    seed: int,
    stop: threading.Event,
) -> int:
    """Replace a random gateway every 3 s until `stop` is set; return how many were replaced."""
    rng = random.Random(seed)
    replaced = 0
    while not stop.wait(REPLACE_INTERVAL_S):
        if kind == "none":
            continue
        index = rng.randrange(len(gateways))
        gateway = gateways[index]
        gateway.process.send_signal(getattr(signal, kind))
        gateway.process.wait()
        gateways[index] = deployment.restart_gateway(gateway)
        replaced += 1
    return replaced


def _bookings(requests: list[tuple[str, str, dict[str, str], bytes]]) -> Iterator[str]:
    for method, _, _, body in list(requests):
        if method == "POST":
            yield json.loads(body)["booking"]


def _count_results(outcomes: list[Outcome], runs: Counter[str]) -> tuple[int, ...]:
    booked = [outcome for outcome in outcomes if outcome.kind != "stream"]
    results = Counter(outcome.result for outcome in outcomes)
    answered = results["answered"]
    not_run = results["not-run"]
    untold = results["untold"]
    wrong = results["wrong"]
    return (
        len(outcomes),
        answered,
        not_run,
        len(outcomes) - answered - not_run - untold - wrong,
        untold,
        sum(outcome.result == "answered" and not runs[outcome.booking] for outcome in booked),
        sum(runs[outcome.booking] > 1 for outcome in booked),
        sum(outcome.result == "not-run" and runs[outcome.booking] > 0 for outcome in booked),
        wrong,
    )
