"""Command line program `laburnumreel-standin platform|engine|plain|load`."""

import click

from laburnumreel_standins._engine import EngineService
from laburnumreel_standins._engine_model import ROLE_SPEED_FACTORS, EngineCapacity
from laburnumreel_standins._http import run_until_terminated
from laburnumreel_standins._option_types import ADDRESS, Address
from laburnumreel_standins._plain import PlainService
from laburnumreel_standins._platform import PlatformService
from laburnumreel_standins._platform_state import PlatformState
from laburnumreel_standins.load import load

# Threads for reports, orders and faults, in addition to those of running and queued requests.
SPARE_THREADS = 16


_listen_option = click.option(
    "--listen", type=ADDRESS, required=True, help="Address to serve HTTP on."
)


@click.group()
def main() -> None:
    """Stand-ins for the platform, engines and plain services, and a load generator."""


@main.command()
@_listen_option
@click.option("--hosts-lag-s", default=0.0, help="Age of the host list that callers see.")
@click.option("--fence-check/--no-fence-check", default=True, help="Refuse old fencing numbers.")
@click.option("--threads", default=64, help="Calls at a time.")
def platform(listen: Address, hosts_lag_s: float, fence_check: bool, threads: int) -> None:
    """Serve the platform: tables, objects, orders, usage and hosts, all in memory."""
    state = PlatformState(fence_check, hosts_lag_s)
    run_until_terminated(PlatformService(state), *listen, threads)


@main.command()
@_listen_option
@click.option("--models", default="small", help="Models, separated by commas.")
@click.option("--role", type=click.Choice(list(ROLE_SPEED_FACTORS)), default="both")
@click.option("--change-s", default=0.0, help="Seconds that a role change or a load takes.")
@click.option("--prefill-tokens-per-s", default=EngineCapacity().prefill_tokens_per_s)
@click.option("--decode-tokens-per-s", default=EngineCapacity().decode_tokens_per_s)
@click.option("--stream-tokens-per-s", default=EngineCapacity().stream_tokens_per_s)
@click.option("--max-streams", default=EngineCapacity().max_streams)
@click.option("--max-queue", default=EngineCapacity().max_queue)
@click.option("--kv-tokens", default=EngineCapacity().kv_tokens, help="Memory for KV, in tokens.")
def engine(listen: Address, models: str, role: str, change_s: float, **speeds: float) -> None:
    """Serve a model engine with a simple model of time and memory."""
    model_names = tuple(name.strip() for name in models.split(",") if name.strip())
    capacity = EngineCapacity(**speeds)
    service = EngineService(capacity, model_names, role, change_s)
    threads = capacity.max_streams + capacity.max_queue + SPARE_THREADS
    run_until_terminated(service, *listen, threads)


@main.command()
@_listen_option
@click.option("--threads", default=64, help="Requests at a time.")
def plain(listen: Address, threads: int) -> None:
    """Serve a small bookings service."""
    run_until_terminated(PlainService(), *listen, threads)


main.add_command(load)

if __name__ == "__main__":
    main()
