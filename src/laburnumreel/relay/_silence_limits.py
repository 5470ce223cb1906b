"""For how long an engine may be silent before its request looks for another one."""

from laburnumreel.relay._cost_model import EnginePlan
from laburnumreel.relay._job import Job

# Another engine is looked for after this many of the route's longest pauses, and before the first
# event after this many of its objectives. Both are below the time after which callers give a silent
# stream up.
SILENCE_GAP_FACTOR = 5.0
SILENCE_OBJECTIVE_FACTOR = 1.6
MIN_SILENT_S = 0.8
# What an engine may take longer than was expected before it counts as silent.
EXPECTED_TIME_FACTOR = 2.5
# Sound engines fall silent for about a second. A reading apart that is silent for longer, and for
# which nothing better is to be had, is given up: it has run nothing, which its caller is told. A
# stream that is silent for longer waits for another place before new requests do.
HEALTHY_SILENCE_S = 1.6
# A stream that goes on at another engine may be at the one before for 400 ms by the platform's rules,
# the time for closing that one included.
RESUME_OVERLAP_S = 0.3


def prompt_read_silence_limit_s(job: Job, plan: EnginePlan) -> float:
    """Return the seconds for an engine that reads a prompt for another one."""
    expected_s = EXPECTED_TIME_FACTOR * plan.first_token_ms / 1000
    return min(max(MIN_SILENT_S, expected_s), _remaining_s(job))


def first_event_silence_limit_s(job: Job, plan: EnginePlan, further_sends: int) -> float:
    """Return the seconds for the first event of a stream: all where no other engine may run it."""
    remaining_s = _remaining_s(job)
    if not job.route.repeatable or further_sends <= 0:
        return remaining_s
    expected_s = EXPECTED_TIME_FACTOR * plan.first_token_ms / 1000
    silent_s = max(MIN_SILENT_S, SILENCE_OBJECTIVE_FACTOR * job.route.objective_s, expected_s)
    return min(silent_s, remaining_s / 2)


def event_gap_silence_limit_s(job: Job) -> float:
    """Return the seconds between two events of a stream: all where no other engine may go on."""
    remaining_s = _remaining_s(job)
    if not job.route.resumable or job.remaining_sends <= 0:
        return remaining_s
    return min(remaining_s, max(MIN_SILENT_S, SILENCE_GAP_FACTOR * job.route.gap_s))


def _remaining_s(job: Job) -> float:
    return max(0.01, job.remaining_s)
