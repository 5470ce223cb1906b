"""What a soak with silent servers prints: each seed's run, and what is known of its findings."""

import json
import sys

from silence_history import given_up_early, met_gone, outcomes, silences


def evidence(soak, finding):
    """Return what is known of a finding: the caller's view, the servers' and the relay's lines."""
    if not finding.request_id:
        return []
    asked = next(one for one in soak.history.asked if one.request_id == finding.request_id)
    patience_s = soak.history.patience_s(asked)
    lines = [
        f"caller: {asked.path} at {asked.relay}, {'kept' if asked.kept else 'new'} connection,"
        f" {asked.sent_at - soak.began:.3f} to {asked.ended_at - soak.began:.3f} s,"
        f" {patience_s:.1f} s to have, status {asked.status},"
        f" {len(asked.body)} of {len(asked.wanted)} bytes"
    ]
    for held in soak.history.holds(asked):
        ran = f"ran {held.ran_at - soak.began:.3f}" if held.ran_at else "did not run"
        ended = f"{held.ended_at - soak.began:.3f}" if held.ended_at else "-"
        silent = ", ".join(
            f"{place} {begin - soak.began:.3f}-{end - soak.began:.3f}"
            for place, begin, end in held.silences
        )
        lines.append(
            f"server: {held.server}{' (reading)' if held.only_read else ''}"
            f" got {held.arrived_at - soak.began:.3f}, {ran}, {held.end} {ended};"
            f" silent: {silent or 'never'}"
        )
    for name, times in (("told to stop", soak.history.stops), ("killed", soak.history.kills)):
        if asked.relay in times:
            lines.append(f"{asked.relay} {name} {times[asked.relay] - soak.began:.3f}")
    held_up = [
        f"{stall.who} {stall.begin - soak.began:.3f}-{stall.end - soak.began:.3f}"
        for stall in soak.stalls.within(asked.sent_at, asked.ended_at)
    ]
    lines.append(f"held up meanwhile: {', '.join(held_up) or 'nobody'}")
    return lines + [f"log: {line}" for line in _log_lines(soak, finding.request_id)]


def _log_lines(soak, request_id):
    for relay in soak.world.relays:
        for line in relay.log_path.read_text(errors="replace").splitlines():
            if f'"{request_id}"' in line:
                fields = json.loads(line)
                kept = {name: fields[name] for name in fields if name not in ("event", "level")}
                yield f"{relay.name} {json.dumps(kept)}"


def report(soak):
    """Return the lines that describe the seed's run."""
    return [
        f"{soak.traits}",
        f"{outcomes(soak.history)} given up early {len(given_up_early(soak.history))}",
        f"silences of servers, and those in which they were left: {silences(soak.history)}",
        f"faults {dict(soak.faults)} lag {1000 * soak.stalls.lag_s:.0f} ms",
        describe(met_gone(soak.history)),
    ]


def describe(met):
    """Return what requests paid that met a server that was gone and could go elsewhere."""
    first_ms = sorted(met.first_ms)
    text = f"met a server that was gone and could go elsewhere: {met.count}, {len(first_ms)} served whole"
    if not first_ms:
        return text
    p50, p90, p99 = (first_ms[int(share * len(first_ms))] for share in (0.5, 0.9, 0.99))
    soon = sum(1 for each in first_ms if each <= 1000)
    return (
        f"{text}, {soon} of them begun within a second;"
        f" first byte p50 {p50:.0f}, p90 {p90:.0f}, p99 {p99:.0f} ms"
    )


def print_seed(soak, found):
    """Print a seed's run and findings."""
    print(f"seed {soak.seed}: " + "\n  ".join(report(soak)))
    for finding in found:
        print(f"  FOUND seed {soak.seed} {finding.kind} {finding.request_id}: {finding.text}")
        for line in soak.evidence[finding]:
            print(f"    {line}")
    sys.stdout.flush()
