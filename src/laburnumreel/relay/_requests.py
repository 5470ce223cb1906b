"""Protocol-independent types of requests, prompts and answers."""

from collections.abc import Callable
from typing import Literal, NamedTuple

from laburnumreel.relay._back_ends import Address, ListedBackEnd

# Maximum tokens of a prompt, of a part of it, and of its answer. The work of many prompts at one
# engine still fits into the datagrams between hosts.
MAX_TOKENS = 1_000_000_000

Headers = tuple[tuple[str, str], ...]


class PromptPart(NamedTuple):
    """A part of a prompt that other prompts may share as a prefix, and its length in tokens."""

    name: str
    tokens: int


class Prompt(NamedTuple):
    """A prompt as an ordered list of parts; the last one belongs to the request or its session."""

    model: str
    parts: tuple[PromptPart, ...]
    input_tokens: int
    max_output_tokens: int

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """The parts that prompts of other sessions may share as a prefix."""
        return self.parts[:-1]


class RelayRequest(NamedTuple):
    """A request from a caller.

    `headers` are the headers to forward, without hop-by-hop headers and those that
    the system sets itself. `caller_timeout_s` is how long the caller waits in total,
    counted from `arrived_at` on the process clock. `is_caller_gone` returns whether the
    caller has closed its connection. `queued_s` is how long the completely received
    request waited for a thread. `resume_after` is the id of the last event that the caller has
    of a stream that it takes up, and `resumes` the id of its request that began the stream.
    `is_forwarded` tells whether another host has passed the request on to this one.
    """

    request_id: str
    method: str
    target: str
    host: str
    path: str
    headers: Headers
    body: bytes | None
    key: str | None
    caller_timeout_s: float | None
    prompt: Prompt | None
    resume_after: str | None
    arrived_at: float
    is_caller_gone: Callable[[], bool] = lambda: False
    queued_s: float = 0.0
    resumes: str | None = None
    is_forwarded: bool = False


class PromptCopy(NamedTuple):
    """A prompt that an engine has read and keeps for another engine to take over once."""

    address: Address
    handle: str
    tokens: int


class Dispatch(NamedTuple):
    """A request as it is sent to one backend server.

    `deadline_s` is the remaining time in seconds that the caller waits. `only_read` asks
    an engine to read the prompt and keep it; `prompt_copy` refers to a prompt read by
    another engine. `resume_after` is the id of the last event that the caller has
    received. `is_limited` tells whether the backend server had a request limit when it was
    chosen.
    """

    request: RelayRequest
    back_end: ListedBackEnd
    customer: str
    deadline_s: float
    priority: int | None = None
    only_read: bool = False
    prompt_copy: PromptCopy | None = None
    resume_after: str | None = None
    is_limited: bool = False


class SelfReport(NamedTuple):
    """What a backend server reports about itself in any answer.

    A report in an answer that may belong to an earlier request is outdated and is ignored.

    `leaving` means that the backend server will stop soon. For `full_s` seconds it accepts no more
    requests from this host. `limit_per_s` is the number of requests per second that it accepts from
    all hosts together, NaN if it names a limit that can't be parsed, None if it names none.
    """

    leaving: bool = False
    full_s: float | None = None
    limit_per_s: float | None = None


class Verdict(NamedTuple):
    """The interpretation of the head of a backend server's answer.

    `not_run` means that the backend server states that it did not run the request.
    `names_request` tells whether the answer carries the id of the request; an answer without it
    may also belong to an earlier request on the connection. `other_incarnation` means
    that another backend server has the address. `genuine` is False for a success
    without the mark that only the backend server can set, and for a status that
    promises that the request did not run without a statement of the backend server to
    that effect.
    """

    outcome: Literal["success", "failure", "refused"]
    not_run: bool = False
    names_request: bool = True
    other_incarnation: bool = False
    genuine: bool = True
    retry_after_s: float | None = None
