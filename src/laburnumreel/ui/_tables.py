"""Generation of the tables in docs/configuration.md from the schemas.

`python -m laburnumreel.ui._tables docs/configuration.md` rewrites them in place.
"""

import re
import sys
from pathlib import Path

from laburnumreel.core import Field, Schema
from laburnumreel.relay import RELAY_SCHEMA
from laburnumreel.state import (
    CUSTOMER_SCHEMA,
    PROFILE_SCHEMA,
    SERVICE_SCHEMA,
    SETTINGS_SCHEMA,
)

SCHEMAS: dict[str, Schema] = {
    "settings": SETTINGS_SCHEMA,
    "profile": PROFILE_SCHEMA,
    "service": SERVICE_SCHEMA,
    "customer": CUSTOMER_SCHEMA,
    "relay": RELAY_SCHEMA,
}

# Why a key exists or has its default, by "schema.section.key"; the last column of the tables.
REASONS: dict[str, str] = {
    "settings.node.name": "Identifies the holder of leases and the writer of usage rows.",
    "settings.node.zone": "Routing prefers nearby back ends.",
    "settings.node.region": "Traffic between regions is slow and charged by volume.",
    "settings.listen.callers": "Only the load balancer needs to reach it.",
    "settings.listen.admin": "Health checks and metrics are not exposed on the callers' port.",
    "settings.listen.peers": "Must be the address listed for this node in `[peers] gateways`.",
    "settings.listen.coordinator_admin": "The coordinator is a separate process.",
    "settings.listen.coordinator_peers": "Must be the address listed in `[peers] coordinators`.",
    "settings.platform.address": "The platform stores all durable state.",
    "settings.platform.timeout_s": "Bounds how long a slow store can delay a poll.",
    "settings.platform.token_file": "A file, so that the token does not appear on a command line.",
    "settings.peers.gateways": "A majority of these replaces the store while it is down.",
    "settings.peers.coordinators": "They exchange updates but do not count towards the majority.",
    "settings.peers.exchange_s": "Several exchanges must fit into `cut_off_s`.",
    "settings.peers.cut_off_s": "Bounds how long a withdrawn key works on an isolated node; the "
    "interval between reads of the store is a third of it, at most 1 s.",
    "settings.threads.callers": "waitress uses one thread for each running request.",
    "settings.threads.reserve": "Allows a full node to refuse requests immediately.",
    "settings.memory.host_mb": "The outcome of an answer that finds no memory is recorded as unknown.",
    "settings.log.format": "JSON for log collectors, console for people.",
    "settings.log.level": "Use debug for troubleshooting.",
    "settings.keys.pepper_file": "Without the pepper, keys cannot be guessed offline from stored digests.",
    "settings.keys.pepper_env": "For hosts that provide secrets as environment variables.",
    "settings.usage.window_s": "The platform accepts one report for each window.",
    "settings.usage.flush_s": "A killed gateway loses at most the usage of this time plus one flush.",
    "settings.usage.shards": "Allows windows to be sealed in parallel.",
    "settings.usage.grace_s": "Late flushes are still counted in their window.",
    "settings.lease.term_s": "A successor waits this long after the holder has died.",
    "settings.lease.margin_s": "Covers the delay between the holder's stop and its last bytes on the network.",
    "settings.stop.notice_s": "The load balancer needs this time to notice that the node is not ready.",
    "settings.stop.grace_s": "Longer than every request deadline; a limit in case of a fault.",
    "profile.profile.kind": "Model services provide the OpenAI interface, plain services any HTTP interface.",
    "profile.profile.prefix": "The longest matching prefix selects the service.",
    "profile.profile.open_paths": "Every other route requires a key.",
    "profile.profile.idempotent_methods": "Only these are retried after a lost answer.",
    "profile.profile.resumable": "An interrupted stream continues on another back end after its last token.",
    "profile.profile.deadline_s": "A request that cannot be answered in time is refused immediately.",
    "profile.profile.first_token_s": "The target of role changes and routing.",
    "profile.profile.token_gap_s": "The target for decode load.",
    "profile.profile.silence_s": "Open connections can go silent permanently; healthy servers may pause for a second.",
    "profile.profile.priority": "Engines run requests of higher priority first.",
    "profile.profile.cheap_back_ends": "Cheap back ends are reclaimed with a few seconds' notice.",
    "profile.profile.max_body_bytes": "Bounds the memory of a running request.",
    "profile.profile.max_tokens": "Bounds how long one request can occupy an engine.",
    "profile.limits.queue": "One customer must not fill the shared queue.",
    "profile.limits.tokens_per_s": "Unlimited: the fair queue divides the available capacity.",
    "profile.limits.requests_per_s": "Unlimited: the fair queue divides the available capacity.",
    "profile.limits.weight": "Equal shares by default.",
    "profile.limits.retry_ratio": "Retries must not multiply the load during an outage.",
    "profile.limits.retry_minimum": "Allows a service with little traffic to retry.",
    "service.service.profile": "Selects how the service's requests are handled.",
    "service.service.models": "A request names its model, and each model belongs to one service.",
    "service.service.customers": "No default, so that no customer gains access by omission.",
    "service.service.workers": "The total number that the coordinator orders.",
    "service.service.credential_file": "Back ends receive the gateway's credential, never a caller's key.",
    "service.service.credential_env": "For hosts that provide secrets as environment variables.",
    "service.roles.prefill_min": "A change of the request mix must not remove the last prefill engine.",
    "service.roles.decode_min": "Running streams need decode engines.",
    "service.roles.zone_limit": "An engine that changes its role serves no requests for several seconds.",
    "service.roles.change_s": "A role change must gain more than these seconds cost.",
    "service.spend.cheap_share": "None, unless their loss is harmless.",
    "service.spend.zones": "Availability zones where the coordinator may order backend servers.",
    "service.spend.spare_zone": "The promised service is kept when any one availability zone is lost.",
    "customer.customer.weight": "Equal shares unless contracts differ.",
    "customer.customer.tokens_per_s": "Unlimited: the fair queue divides the available capacity.",
    "customer.customer.requests_per_s": "Unlimited: the fair queue divides the available capacity.",
    "relay.host.name": "Identifies the lease holder and the host's row; no two running hosts may share it.",
    "relay.host.zone": "Placement prefers nearby back ends.",
    "relay.host.region": "Traffic between regions is slow and charged by volume.",
    "relay.host.regions": "Determines the distance to back ends and peers.",
    "relay.listen.callers": "The load balancer forwards callers' requests to it.",
    "relay.listen.readiness": "The load balancer checks it; a separate port answers while all callers' threads are busy.",
    "relay.listen.admin": "Health checks and metrics are not exposed on the callers' port.",
    "relay.listen.streams": "Hosts ask each other which software began a stream; the port is the same on all hosts.",
    "relay.listen.forwarded": "Hosts that lose their links to all servers pass requests on to others; callers must not reach it.",
    "relay.listen.peers": "Hosts send their load several times a second; a lost datagram is harmless.",
    "relay.store.address": "The store holds all durable state.",
    "relay.store.writes_per_s": "The limit that the platform publishes; each host uses at most its share of four fifths of it.",
    "relay.store.reads_per_s": "The limit that the platform publishes; each host uses at most its share of four fifths of it.",
    "relay.back_ends.drain_ms": (
        "Each host polls the table before its view is older than seven tenths of this. A shorter time costs more calls to the store."
    ),
    "relay.back_ends.heartbeat_ms": (
        "A server whose entry is overwritten by an older one gets no new work if it has not written again after 1.25 times this."
    ),
    "relay.duties.address": "Only the lease holder calls it.",
    "relay.retry.ratio": "Retries must not multiply the load during an outage.",
    "relay.retry.slack": "Allows a service with little traffic to retry.",
    "relay.retry.window_s": "The length of the budget's sliding window.",
    "relay.lease.term_s": "A successor waits this long; longer than the three seconds in which two holders must not alternate.",
    "relay.lease.margin_s": "Covers the delay between the holder's stop and its last bytes on the network.",
    "relay.usage.window_s": "The platform accepts one report for each window.",
    "relay.usage.late_s": "The counts of a window are final well before this time; after twice this time it is abandoned.",
    "relay.stop.grace_s": "Requests that still run shortly before the end are aborted, so that the process exits by itself.",
    "relay.threads.callers": "waitress uses one thread for each running request; a host serves several tens at a time. A service with more than an equal share leaves an eighth for other services.",
    "relay.memory.host_mb": "All answers together hold at most an eighth; see Memory for answers.",
    "relay.peers.interval_s": "Updates must be more recent than the duration of most requests.",
    "relay.log.format": "JSON for log collectors, console for people.",
    "relay.log.level": "Use debug for troubleshooting.",
}

_TABLE_BLOCK = re.compile(r"<!-- table (\w+) -->\n.*?<!-- end -->", re.DOTALL)


def format_schema_table(name: str) -> str:
    """Return the Markdown table of a schema."""
    lines = ["| section | key | default | allowed | meaning | reason |", "| --- " * 6 + "|"]
    for field in SCHEMAS[name].fields:
        reason = REASONS[f"{name}.{field.section}.{field.key}"]
        cells = (
            f"`[{field.section}]`",
            f"`{field.key}`",
            _format_default(field),
            field.kind.allowed,
            field.text,
            reason,
        )
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines) + "\n"


def update_tables(page: str) -> str:
    """Return the page with every table regenerated."""
    return _TABLE_BLOCK.sub(
        lambda m: f"<!-- table {m[1]} -->\n{format_schema_table(m[1])}<!-- end -->", page
    )


def _format_default(field: Field) -> str:
    if field.required:
        return "required"
    value = field.default
    if value is None or value == "" or value == ():
        return "none"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, tuple):
        last_is_port = len(value) == 2 and isinstance(value[1], int)
        return f"{value[0]}:{value[1]}" if last_is_port else ", ".join(value)
    return f"{value:g}" if isinstance(value, float) else str(value)


if __name__ == "__main__":
    path = Path(sys.argv[1])
    path.write_text(update_tables(path.read_text(encoding="utf-8")), encoding="utf-8")
