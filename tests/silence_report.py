"""Reports of a soak with stalling servers: summaries of seeds, and evidence for findings."""

import json
import sys

from log_lines import read_log_lines
from silence_history import (
    count_outcomes,
    count_silences,
    find_early_failures,
    get_dead_server_stats,
)


def collect_evidence(soak, finding):
    """Return the evidence for a finding: records of caller and servers, and relay log lines."""
    if not finding.request_id:
        return []
    record = next(one for one in soak.history.requests if one.request_id == finding.request_id)
    give_up_after_s = soak.history.give_up_after_s(record)
    lines = [
        f"caller: {record.path} at {record.relay}, {'kept' if record.is_reused else 'new'} connection,"
        f" {record.sent_at - soak.started_at:.3f} to {record.ended_at - soak.started_at:.3f} s,"
        f" {give_up_after_s:.1f} s allowed, status {record.status},"
        f" {len(record.body)} of {len(record.expected_body)} bytes"
    ]
    for send in soak.history.find_sends(record):
        ran = f"ran {send.ran_at - soak.started_at:.3f}" if send.ran_at else "did not run"
        ended = f"{send.ended_at - soak.started_at:.3f}" if send.ended_at else "-"
        silent = ", ".join(
            f"{place} {begin - soak.started_at:.3f}-{end - soak.started_at:.3f}"
            for place, begin, end in send.silences
        )
        lines.append(
            f"server: {send.server}{' (reading)' if send.is_prefill else ''}"
            f" received {send.arrived_at - soak.started_at:.3f}, {ran}, {send.end} {ended};"
            f" silent: {silent or 'never'}"
        )
    for name, times in (
        ("told to stop", soak.history.stop_times),
        ("killed", soak.history.kill_times),
    ):
        if record.relay in times:
            lines.append(f"{record.relay} {name} {times[record.relay] - soak.started_at:.3f}")
    stalled = [
        f"{stall.process_name} {stall.begin - soak.started_at:.3f}-{stall.end - soak.started_at:.3f}"
        for stall in soak.stall_detector.find_overlapping(record.sent_at, record.ended_at)
    ]
    lines.append(f"stalled meanwhile: {', '.join(stalled) or 'nobody'}")
    return lines + [f"log: {line}" for line in _log_lines(soak, finding.request_id)]


def _log_lines(soak, request_id):
    for relay in soak.world.relays:
        for fields in read_log_lines(relay.log_path):
            if f'"{request_id}"' in json.dumps(fields):
                shown_fields = {
                    name: fields[name] for name in fields if name not in ("event", "level")
                }
                yield f"{relay.name} {json.dumps(shown_fields)}"


def summarize(soak):
    """Return the lines that summarize the run of a seed."""
    return [
        f"{soak.parameters}",
        f"{count_outcomes(soak.history)} given up early {len(find_early_failures(soak.history))}",
        f"stalls of servers, and those during which the relay left: {count_silences(soak.history)}",
        f"faults {dict(soak.faults)} lag {1000 * soak.stall_detector.max_lag_s:.0f} ms",
        format_stats(get_dead_server_stats(soak.history)),
    ]


def format_stats(stats):
    """Describe the time to first byte of requests with failover that met a dead server."""
    first_byte_ms = sorted(stats.first_byte_ms)
    text = f"met a dead server, failover allowed: {stats.count}, {len(first_byte_ms)} served completely"
    if not first_byte_ms:
        return text
    p50, p90, p99 = (first_byte_ms[int(share * len(first_byte_ms))] for share in (0.5, 0.9, 0.99))
    within_1_s = sum(1 for each in first_byte_ms if each <= 1000)
    return (
        f"{text}, {within_1_s} of them started within 1 s;"
        f" first byte p50 {p50:.0f}, p90 {p90:.0f}, p99 {p99:.0f} ms"
    )


def print_seed(soak, findings):
    """Print the summary and findings of a seed."""
    print(f"seed {soak.seed}: " + "\n  ".join(summarize(soak)))
    for finding in findings:
        print(f"  FOUND seed {soak.seed} {finding.kind} {finding.request_id}: {finding.text}")
        for line in soak.evidence[finding]:
            print(f"    {line}")
    sys.stdout.flush()
