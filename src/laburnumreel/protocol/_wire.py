"""Conversion between thrift structs and the values of the coordination layer."""

import json
import re
from collections.abc import Mapping, Sequence
from typing import Any

from laburnumreel.coordination import (
    BrokenRequest,
    ClaimState,
    CrashReport,
    DrainMark,
    ExchangeMessage,
    HeldPartStatus,
    NodeStatus,
    NodeUpdate,
    QuarantineEntry,
)
from laburnumreel.protocol._prompt_parts import PART_DIGEST_BYTES
from laburnumreel.protocol.gen.node import ttypes
from laburnumreel.state import Change, Configuration

_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
_MS_PER_S = 1000
_MAX_I32 = (1 << 31) - 1
_MAX_I64 = (1 << 63) - 1


class WireError(ValueError):
    """A message from another process is malformed."""


def exchange_to_wire(message: ExchangeMessage) -> ttypes.Exchange:
    update = message.update
    return ttypes.Exchange(
        sender=message.sender,
        role=message.role,
        boot=message.boot,
        address=message.address,
        config_version=message.config_version,
        config_digest=message.config_digest,
        withdrawn=list(message.withdrawn),
        withdrawn_count=message.withdrawn_count,
        withdrawn_digest=message.withdrawn_digest,
        drains=[
            ttypes.DrainMark(mark.target, mark.reason, _to_ms(mark.remaining_s))
            for mark in update.drains
        ],
        quarantines=[
            ttypes.QuarantineEntry(entry.digest, _to_ms(entry.remaining_s))
            for entry in update.quarantines
        ],
        in_flight=[
            ttypes.BackEndWork(name, _clamp_i32(requests), _clamp_i64(tokens))
            for name, (requests, tokens) in update.in_flight.items()
        ],
        received=[
            ttypes.ServiceReceived(customer, _clamp_i64(tokens), _clamp_i32(requests))
            for customer, (tokens, requests) in update.received.items()
        ],
        wants_all_withdrawn=message.wants_all_withdrawn,
        stopping=message.stopping,
        ages=message.ages or None,
        gateways_digest=message.gateways_digest or None,
        held_parts=_part_times_to_wire(update.held_parts),
        answered_parts=_part_times_to_wire(update.answered_parts),
        crash_reports=[
            ttypes.CrashReport(
                report.back_end,
                _to_ms(report.age_s),
                [
                    ttypes.BrokenRequest(bytes.fromhex(each.request), _parts_to_wire(each.parts))
                    for each in report.requests
                ],
            )
            for report in update.crash_reports
        ],
    )


def exchange_from_wire(wire: ttypes.Exchange) -> ExchangeMessage:
    """Return the message. Raises WireError if a field is missing or a digest is malformed."""
    _require_fields(wire, "sender", "role", "boot", "address", "config_version", "config_digest")
    _require_fields(wire, "withdrawn", "withdrawn_count", "withdrawn_digest")
    return ExchangeMessage(
        sender=wire.sender,
        role=wire.role,
        boot=wire.boot,
        address=wire.address,
        config_version=wire.config_version,
        config_digest=digest_from_wire(wire.config_digest),
        withdrawn=tuple(digest_from_wire(digest) for digest in wire.withdrawn),
        withdrawn_count=wire.withdrawn_count,
        withdrawn_digest=digest_from_wire(wire.withdrawn_digest),
        update=_update_from_wire(wire),
        wants_all_withdrawn=bool(wire.wants_all_withdrawn),
        stopping=bool(wire.stopping),
        ages=wire.ages or b"",
        gateways_digest=wire.gateways_digest or b"",
    )


def digest_from_wire(digest: str | None) -> str:
    """Return the digest, a hex SHA-256. Raises WireError if it is none."""
    if digest is None or not _DIGEST_PATTERN.fullmatch(digest):
        raise WireError(f"not a digest: {digest!r:.80}")
    return digest


def change_to_wire(change: Change) -> ttypes.Change:
    body = json.dumps(change.to_value(), sort_keys=True, separators=(",", ":"))
    return ttypes.Change(change.version, body.encode())


def change_from_wire(wire: ttypes.Change) -> Change:
    """Return the change. Raises WireError if it is malformed or has another version."""
    _require_fields(wire, "version", "body")
    try:
        change = Change.from_value(json.loads(wire.body))
    except (ValueError, KeyError, TypeError) as error:
        raise WireError(f"not a change: {error!r}") from error
    if change.version != wire.version or not isinstance(change.puts, dict):
        raise WireError(f"not the change of version {wire.version}")
    return change


def snapshot_to_wire(configuration: Configuration) -> ttypes.Snapshot:
    return ttypes.Snapshot(configuration.version, configuration.to_bytes())


def snapshot_from_wire(wire: ttypes.Snapshot) -> Configuration:
    """Return the configuration. Raises WireError if it is malformed or has another version."""
    _require_fields(wire, "version", "body")
    try:
        configuration = Configuration.from_bytes(wire.body)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise WireError(f"not a configuration: {error!r}") from error
    if configuration.version != wire.version:
        raise WireError(f"not the configuration of version {wire.version}")
    return configuration


def status_to_wire(status: NodeStatus) -> ttypes.NodeStatus:
    return ttypes.NodeStatus(**{**status._asdict(), "leases": list(status.leases)})


def status_from_wire(wire: ttypes.NodeStatus) -> NodeStatus:
    fields = {name: getattr(wire, name) for name in NodeStatus._fields}
    if any(value is None for value in fields.values()):
        raise WireError("a status lacks fields")
    return NodeStatus(**{**fields, "leases": tuple(wire.leases)})


def claim_state_to_wire(state: ClaimState) -> ttypes.ClaimState:
    return ttypes.ClaimState(state.boot, state.running)


def claim_state_from_wire(wire: ttypes.ClaimState) -> ClaimState:
    _require_fields(wire, "boot", "running")
    return ClaimState(wire.boot, wire.running)


def held_part_to_wire(held: HeldPartStatus) -> ttypes.HeldPart:
    return ttypes.HeldPart(
        bytes.fromhex(held.part),
        _to_ms(held.held_s),
        _to_ms(held.remaining_s),
        list(held.back_ends),
        _clamp_i32(held.requests),
    )


def held_part_from_wire(wire: ttypes.HeldPart) -> HeldPartStatus:
    _require_fields(wire, "part", "held_ms", "remaining_ms", "back_ends", "requests")
    return HeldPartStatus(
        part_from_wire(wire.part),
        wire.held_ms / _MS_PER_S,
        wire.remaining_ms / _MS_PER_S,
        tuple(wire.back_ends),
        wire.requests,
    )


def _update_from_wire(wire: ttypes.Exchange) -> NodeUpdate:
    for items in (
        wire.drains,
        wire.quarantines,
        wire.in_flight,
        wire.received,
        wire.held_parts,
        wire.answered_parts,
        wire.crash_reports,
    ):
        for item in items or ():
            _require_fields(item, *(spec[2] for spec in item.thrift_spec if spec))
    return NodeUpdate(
        tuple(
            DrainMark(mark.target, mark.reason, mark.remaining_ms / _MS_PER_S)
            for mark in wire.drains or ()
        ),
        tuple(
            QuarantineEntry(entry.digest, entry.remaining_ms / _MS_PER_S)
            for entry in wire.quarantines or ()
        ),
        {work.back_end: (work.requests, work.prefill_tokens) for work in wire.in_flight or ()},
        {item.customer: (item.tokens, item.requests) for item in wire.received or ()},
        _part_times_from_wire(wire.held_parts),
        tuple(_crash_report_from_wire(report) for report in wire.crash_reports or ()),
        _part_times_from_wire(wire.answered_parts),
    )


def _part_times_to_wire(seconds: Mapping[str, float]) -> list[ttypes.PartTime]:
    return [ttypes.PartTime(bytes.fromhex(part), _to_ms(each)) for part, each in seconds.items()]


def _part_times_from_wire(wire: list[ttypes.PartTime] | None) -> dict[str, float]:
    return {part_from_wire(each.part): max(0, each.ms) / _MS_PER_S for each in wire or ()}


def _parts_to_wire(parts: Sequence[str]) -> bytes:
    return b"".join(map(bytes.fromhex, parts))


def part_from_wire(part: bytes) -> str:
    """Return the digest of a part of prompts. Raises WireError if it is none."""
    if len(part) != PART_DIGEST_BYTES:
        raise WireError(f"not the digest of a part: {part!r:.80}")
    return part.hex()


def _crash_report_from_wire(wire: ttypes.CrashReport) -> CrashReport:
    for each in wire.requests:
        _require_fields(each, "request", "parts")
    return CrashReport(
        wire.back_end,
        max(0, wire.age_ms) / _MS_PER_S,
        tuple(
            BrokenRequest(part_from_wire(each.request), _parts_from_wire(each.parts))
            for each in wire.requests
        ),
    )


def _parts_from_wire(parts: bytes) -> tuple[str, ...]:
    starts = range(0, len(parts), PART_DIGEST_BYTES)
    return tuple(part_from_wire(parts[at : at + PART_DIGEST_BYTES]) for at in starts)


def _require_fields(wire: Any, *names: str) -> None:
    for name in names:
        if getattr(wire, name) is None:
            raise WireError(f"{type(wire).__name__} lacks {name}")


def _to_ms(seconds: float) -> int:
    return _clamp_i32(round(seconds * _MS_PER_S))


def _clamp_i32(value: int) -> int:
    return max(0, min(value, _MAX_I32))


def _clamp_i64(value: int) -> int:
    return max(0, min(value, _MAX_I64))
