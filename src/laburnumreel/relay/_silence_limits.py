"""Limits on how long an engine may be silent before its request looks for another one."""

from laburnumreel.relay._cost_model import EnginePlan
from laburnumreel.relay._job import Job

# The search for another engine starts after this many times the route's maximum gap between events,
# and before the first event after this many times its objective. Both are shorter than the time
# after which callers give up a silent stream.
SILENCE_GAP_FACTOR = 5.0
SILENCE_OBJECTIVE_FACTOR = 1.6
MIN_SILENT_S = 0.8
# An engine counts as silent after this many times the expected time.
EXPECTED_TIME_FACTOR = 2.5
# Healthy engines pause for about a second. If an engine that only reads a prompt is silent for
# longer and no other is available, the reading is given up: the request has not run, and its caller
# is told so. A stream that is silent for longer is assigned a slot before new requests.
HEALTHY_SILENCE_S = 1.6


def prompt_read_silence_limit_s(job: Job, plan: EnginePlan) -> float:
    """Return the silence limit in seconds of an engine that reads a prompt for another one."""
    expected_s = EXPECTED_TIME_FACTOR * plan.first_token_ms / 1000
    return min(max(MIN_SILENT_S, expected_s), _remaining_s(job))


def first_event_silence_limit_s(job: Job, plan: EnginePlan, further_sends: int) -> float:
    """Return the silence limit in seconds before the first event of a stream.

    If no other engine may run the request, this is all of its remaining time.
    """
    remaining_s = _remaining_s(job)
    if not job.route.repeatable or further_sends <= 0:
        return remaining_s
    expected_s = EXPECTED_TIME_FACTOR * plan.first_token_ms / 1000
    silent_s = max(MIN_SILENT_S, SILENCE_OBJECTIVE_FACTOR * job.route.objective_s, expected_s)
    return min(silent_s, remaining_s / 2)


def event_gap_silence_limit_s(job: Job) -> float:
    """Return the silence limit in seconds between two events of a stream.

    If no other engine may resume the stream, this is all of the request's remaining time.
    """
    remaining_s = _remaining_s(job)
    if not job.route.resumable or job.remaining_sends <= 0:
        return remaining_s
    return min(remaining_s, max(MIN_SILENT_S, SILENCE_GAP_FACTOR * job.route.gap_s))


def _remaining_s(job: Job) -> float:
    return max(0.01, job.remaining_s)
