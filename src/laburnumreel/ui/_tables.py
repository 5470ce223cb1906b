"""The tables of docs/configuration.md, made from the schemas.

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

# Why a key exists or has its default, by "schema.section.key".
REASONS: dict[str, str] = {
    "settings.node.name": "Names the holder of leases and usage rows.",
    "settings.node.zone": "Routing prefers near back ends.",
    "settings.node.region": "Traffic between regions is slow and paid by volume.",
    "settings.listen.callers": "Only the load balancer needs to reach it.",
    "settings.listen.admin": "Health and metrics stay off the callers' port.",
    "settings.listen.peers": "Must be the address that `[peers] gateways` has for this node.",
    "settings.listen.coordinator_admin": "The coordinator is a process of its own.",
    "settings.listen.coordinator_peers": "Must be the address in `[peers] coordinators`.",
    "settings.platform.address": "All durable state is there.",
    "settings.platform.timeout_s": "A slow store must not hold up a poll for longer.",
    "settings.platform.token_file": "A file, so that the token is in no command line.",
    "settings.peers.gateways": "A majority of these replaces the store while it is down.",
    "settings.peers.coordinators": "They exchange news but do not count for the majority.",
    "settings.peers.exchange_s": "Several exchanges must fit into `cut_off_s`.",
    "settings.peers.cut_off_s": "Bounds how long a withdrawn key works on a node that is cut off; a "
    "third of it, at most 1 s, is the time between reads of the store.",
    "settings.threads.callers": "waitress holds a thread for each running request.",
    "settings.threads.reserve": "A full node still refuses at once.",
    "settings.log.format": "JSON for collectors, console for people.",
    "settings.log.level": "Debug is for finding faults.",
    "settings.keys.pepper_file": "Without the pepper, stored digests cannot be tried offline.",
    "settings.keys.pepper_env": "For hosts that inject secrets as variables.",
    "settings.usage.window_s": "The platform accepts one report for each window.",
    "settings.usage.flush_s": "A killed gateway loses at most this plus one flush.",
    "settings.usage.shards": "Windows can be sealed in parallel.",
    "settings.usage.grace_s": "Late flushes still count in their window.",
    "settings.lease.term_s": "A successor waits this long after a holder died.",
    "settings.lease.margin_s": "Covers delays between a holder's stop and its last bytes.",
    "settings.stop.notice_s": "The load balancer must see that the node is not ready.",
    "settings.stop.grace_s": "Longer than every deadline; it only guards against a fault.",
    "profile.profile.kind": "Model services speak the OpenAI interface, plain ones any HTTP.",
    "profile.profile.prefix": "The longest prefix that fits decides the service.",
    "profile.profile.open_paths": "Every other route needs a key.",
    "profile.profile.idempotent_methods": "Only these are tried again after a lost answer.",
    "profile.profile.resumable": "A lost stream goes on elsewhere after its last token.",
    "profile.profile.deadline_s": "What cannot be answered in time is refused at once.",
    "profile.profile.first_token_s": "The goal that role changes and routing work towards.",
    "profile.profile.token_gap_s": "The goal for decode load.",
    "profile.profile.silence_s": "Open connections can go silent for good; sound servers pause for a second.",
    "profile.profile.priority": "Engines run higher priorities first.",
    "profile.profile.cheap_back_ends": "They are reclaimed with a few seconds' notice.",
    "profile.profile.max_body_bytes": "Bounds the memory of a running request.",
    "profile.profile.max_tokens": "Bounds how long one request can hold an engine.",
    "profile.limits.queue": "One customer must not fill the queue of all.",
    "profile.limits.tokens_per_s": "Unlimited: the fair queue shares what there is.",
    "profile.limits.requests_per_s": "Unlimited: the fair queue shares what there is.",
    "profile.limits.weight": "Equal shares unless a deployment says otherwise.",
    "profile.limits.retry_ratio": "Retries must not multiply the load of an outage.",
    "profile.limits.retry_minimum": "A service with little traffic can still retry.",
    "service.service.profile": "How the service's work is treated.",
    "service.service.models": "A request names its model, and a model has one service.",
    "service.service.customers": "No default, so that nobody is let in by omission.",
    "service.service.workers": "The total that the coordinator keeps ordered.",
    "service.service.credential_file": "Back ends see the gateway's credential, no caller's key.",
    "service.service.credential_env": "For hosts that inject secrets as variables.",
    "service.roles.prefill_min": "A mix swing must not take the last prefill engine.",
    "service.roles.decode_min": "Running streams need decode engines.",
    "service.roles.zone_limit": "A changing engine serves nothing for seconds.",
    "service.roles.change_s": "A change must gain more than these seconds cost.",
    "service.spend.cheap_share": "None, unless losing them harms nobody.",
    "service.spend.zones": "Where the coordinator may order.",
    "service.spend.spare_zone": "The loss of any one zone leaves the promised service.",
    "customer.customer.weight": "Equal shares unless contracts differ.",
    "customer.customer.tokens_per_s": "Unlimited: the fair queue shares what there is.",
    "customer.customer.requests_per_s": "Unlimited: the fair queue shares what there is.",
    "relay.host.name": "Names the holder of the lease and the host's row; unique at a time.",
    "relay.host.zone": "Placement prefers near back ends.",
    "relay.host.region": "Traffic between regions is slow and paid by volume.",
    "relay.host.regions": "Tells distances to back ends and peers.",
    "relay.listen.callers": "The balancer forwards callers there.",
    "relay.listen.readiness": "The balancer asks there; a port of its own answers while callers' threads are busy.",
    "relay.listen.admin": "Health and metrics stay off the callers' port.",
    "relay.listen.peers": "Hosts tell their load several times a second; a lost datagram does no harm.",
    "relay.store.address": "All that lasts is there.",
    "relay.store.writes_per_s": "What the platform publishes; a host keeps to its share of four fifths of it.",
    "relay.store.reads_per_s": "What the platform publishes; a host keeps to its share of four fifths of it.",
    "relay.duties.address": "Only the holder of the lease calls it.",
    "relay.retry.ratio": "Retries must not multiply the load of an outage.",
    "relay.retry.slack": "A service with little traffic can still retry.",
    "relay.retry.window_s": "The budget slides over this time.",
    "relay.lease.term_s": "A successor waits this long; longer than the three seconds in which two holders must not take turns.",
    "relay.lease.margin_s": "Covers delays between a holder's stop and its last bytes.",
    "relay.usage.window_s": "The platform takes one report for each window.",
    "relay.usage.late_s": "A window is fixed well before, and given up at twice this time.",
    "relay.stop.grace_s": "What still runs shortly before is cut, so that the process ends by itself.",
    "relay.threads.callers": "waitress holds a thread for each running request; a host serves some tens at once.",
    "relay.peers.interval_s": "News must be younger than most requests are long.",
    "relay.log.format": "JSON for collectors, console for people.",
    "relay.log.level": "Debug is for finding faults.",
}

_TABLE_BLOCK = re.compile(r"<!-- table (\w+) -->\n.*?<!-- end -->", re.DOTALL)


def format_schema_table(name: str) -> str:
    """Return one schema as a Markdown table."""
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
    """Return the page with every table made anew."""
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
