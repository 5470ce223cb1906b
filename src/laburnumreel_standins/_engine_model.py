"""Time model of an engine: continuous batching with priorities, without sockets or threads."""

from collections import deque
from collections.abc import Callable, Sequence
from typing import NamedTuple

from laburnumreel_standins._prefix_cache import PrefixCache

MAX_STEP_S = 0.005
# After a pause of the process, the model computes at most this time, so that it does not produce
# the tokens of the whole pause at once.
MAX_ADVANCE_S = 1.0
REPORT_INTERVAL_S = 0.1
MAX_KEPT_REPORTS = 600

# Factors by which each role multiplies the speed of prefill and of decode.
ROLE_SPEED_FACTORS = {"both": (1.0, 1.0), "prefill": (1.5, 0.5), "decode": (0.5, 1.5)}


class EngineCapacity(NamedTuple):
    """Speeds and limits of an engine.

    `decode_tokens_per_s` is the total of all streams; `stream_tokens_per_s` is the maximum of any
    single stream. `kv_tokens` is the memory for KV, in tokens.
    """

    prefill_tokens_per_s: float = 20_000.0
    decode_tokens_per_s: float = 3_200.0
    stream_tokens_per_s: float = 50.0
    max_streams: int = 64
    max_queue: int = 128
    kv_tokens: int = 400_000


class LoadSnapshot(NamedTuple):
    """Load of an engine at one time, as its load report gives it."""

    at: float
    queued_prefill_tokens: int
    decode_streams: int
    max_streams: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    kv_free_tokens: int


class Progress(NamedTuple):
    """Progress of a request: the number of tokens so far, and how the request ended.

    `end` is "" while the request is running, then "done", "cancelled" or "interrupted".
    """

    tokens: int
    end: str
    cached_tokens: int


class Job:
    """One run of a request on an engine.

    `on_progress` is called with the progress after each step that produced tokens, and at the end.
    """

    def __init__(
        self,
        request_id: str,
        prompt_tokens: int,
        prefixes: Sequence[str],
        output_tokens: int,
        on_progress: Callable[[Progress], None],
        priority: int = 0,
        resume_from: int = 0,
    ) -> None:
        self.request_id = request_id
        self.prompt_tokens = prompt_tokens
        self.prefixes = prefixes
        self.output_tokens = output_tokens
        self.priority = priority
        self.produced = min(resume_from, output_tokens)
        self.remaining_prefill = float(prompt_tokens + self.produced)
        self.cached_tokens = 0
        self.token_credit = 0.0
        self.end = ""
        self._on_progress = on_progress

    @property
    def kv_tokens(self) -> int:
        return self.prompt_tokens + self.produced

    def report_progress(self) -> None:
        self._on_progress(Progress(self.produced, self.end, self.cached_tokens))


class EngineModel:
    """Queue, batch and prefix cache of an engine.

    One stream is prefilled at a time, in the order of the priorities, highest first. All decoding
    streams share the decode speed evenly. The prefixes of a prompt are cached at the end of its
    prefill. Times are in seconds.

    >>> model = EngineModel(EngineCapacity(), now=0.0)
    >>> progress = []
    >>> model.submit(Job("a", 100, (), 3, progress.append))
    True
    >>> model.advance(0.5)
    >>> progress[-1]
    Progress(tokens=3, end='done', cached_tokens=0)
    """

    def __init__(self, capacity: EngineCapacity, now: float, role: str = "both") -> None:
        self.capacity = capacity
        self.role = role
        self.lag_s = 0.0
        self.cache = PrefixCache(capacity.kv_tokens)
        self._now = now
        self._queue: list[Job] = []
        self._batch: list[Job] = []
        self._reports: deque[LoadSnapshot] = deque(maxlen=MAX_KEPT_REPORTS)
        self._next_report_at = now

    @property
    def now(self) -> float:
        return self._now

    @property
    def running(self) -> int:
        """The number of requests that have not ended."""
        return len(self._queue) + len(self._batch)

    @property
    def prefill_tokens_per_s(self) -> float:
        return self.capacity.prefill_tokens_per_s * ROLE_SPEED_FACTORS[self.role][0]

    @property
    def decode_tokens_per_s(self) -> float:
        return self.capacity.decode_tokens_per_s * ROLE_SPEED_FACTORS[self.role][1]

    def set_stream_rate(self, tokens_per_s: float) -> None:
        """Set the capacity so that each stream of a full batch decodes at this rate."""
        total = tokens_per_s * self.capacity.max_streams
        self.capacity = self.capacity._replace(
            decode_tokens_per_s=total, stream_tokens_per_s=tokens_per_s
        )

    def submit(self, job: Job) -> bool:
        """Queue a request. Return False if the queue is full."""
        if len(self._queue) >= self.capacity.max_queue:
            return False
        self._queue.append(job)
        self._fill_batch()
        return True

    def cancel(self, request_id: str) -> int:
        """Cancel all runs of a request and return their number."""
        jobs = [job for job in self._queue + self._batch if job.request_id == request_id]
        for job in jobs:
            self._end_job(job, "cancelled")
        return len(jobs)

    def cancel_job(self, job: Job) -> None:
        """Cancel one run, unless it has already ended."""
        if not job.end:
            self._end_job(job, "cancelled")

    def interrupt_all(self) -> int:
        """Interrupt all requests, without their final events, and return their number."""
        jobs = self._queue + self._batch
        for job in jobs:
            self._end_job(job, "interrupted")
        return len(jobs)

    def advance(self, now: float) -> None:
        """Compute the work up to `now`. Time before the last `MAX_ADVANCE_S` seconds is skipped."""
        self._now = max(self._now, now - MAX_ADVANCE_S)
        while self._now < now:
            step = min(MAX_STEP_S, now - self._now)
            self._now += step
            if self._batch:
                self._prefill(step)
                self._decode(step)
        if now >= self._next_report_at:
            self._next_report_at = now + REPORT_INTERVAL_S
            self._reports.append(self.report())

    def report(self) -> LoadSnapshot:
        """Return the current load."""
        used = sum(job.kv_tokens for job in self._batch)
        return LoadSnapshot(
            self._now,
            round(sum(job.remaining_prefill for job in self._queue + self._batch)),
            len(self._batch),
            self.capacity.max_streams,
            self.prefill_tokens_per_s,
            self.decode_tokens_per_s,
            self.cache.free_tokens(used),
        )

    def lagged_report(self) -> LoadSnapshot:
        """Return the newest report that is at least `lag_s` old, else the oldest one."""
        if self.lag_s <= 0 or not self._reports:
            return self.report()
        report_time = self._now - self.lag_s
        for report in reversed(self._reports):
            if report.at <= report_time:
                return report
        return self._reports[0]

    def _fill_batch(self) -> None:
        while self._queue and len(self._batch) < self.capacity.max_streams:
            # `max` returns the first maximum, so that jobs of equal priority keep their order.
            job = max(self._queue, key=lambda queued: queued.priority)
            self._queue.remove(job)
            job.cached_tokens = min(self.cache.cached_tokens(job.prefixes), job.prompt_tokens)
            job.remaining_prefill -= job.cached_tokens
            self._batch.append(job)

    def _prefill(self, step: float) -> None:
        budget = self.prefill_tokens_per_s * step
        waiting = [job for job in self._batch if job.remaining_prefill > 0 or not job.token_credit]
        for job in sorted(waiting, key=lambda waiter: -waiter.priority):
            spent = min(budget, job.remaining_prefill)
            job.remaining_prefill -= spent
            budget -= spent
            if job.remaining_prefill > 0:
                return
            # The end of the prefill produces the first token.
            job.token_credit = 1.0
            self.cache.store(job.prefixes, self._now)

    def _decode(self, step: float) -> None:
        decoding = [job for job in self._batch if job.token_credit]
        if not decoding:
            return
        stream_share = self.decode_tokens_per_s / len(decoding)
        rate = min(self.capacity.stream_tokens_per_s, stream_share)
        for job in decoding:
            whole_tokens = int(job.token_credit)
            if whole_tokens:
                job.produced = min(job.produced + whole_tokens, job.output_tokens)
                # Stay above 0: a credit of 0 marks a job whose prefill has not ended.
                job.token_credit = max(job.token_credit - whole_tokens, 1e-9)
                if job.produced >= job.output_tokens:
                    self._end_job(job, "done")
                else:
                    job.report_progress()
            job.token_credit += rate * step
        self.cache.evict_for(sum(job.kv_tokens for job in self._batch), self._now)

    def _end_job(self, job: Job, end: str) -> None:
        job.end = end
        for jobs in (self._queue, self._batch):
            if job in jobs:
                jobs.remove(job)
        job.report_progress()
        self._fill_batch()
