"""Requests as a relay sees them, whatever protocol they came by."""

from collections.abc import Callable
from typing import Literal, NamedTuple

from laburnumreel.relay._back_ends import Address, ListedBackEnd

# Tokens that a prompt, a part of it or its answer may have. Work of many prompts at one engine still fits
# into the datagrams between hosts.
MAX_TOKENS = 1_000_000_000

Headers = tuple[tuple[str, str], ...]


class PromptPart(NamedTuple):
    """A part of a prompt that other prompts may begin with too, and its length in tokens."""

    name: str
    tokens: int


class Prompt(NamedTuple):
    """A prompt by its parts in order; the last one belongs to the request or its session."""

    model: str
    parts: tuple[PromptPart, ...]
    input_tokens: int
    max_output_tokens: int

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """The parts that prompts of other sessions begin with too."""
        return self.parts[:-1]


class RelayRequest(NamedTuple):
    """A request of a caller.

    `headers` are those that are passed on: none that only concerns the connection, none that the
    system sets itself. `caller_timeout_s` is how long the caller waits in all, counted from `arrived_at`
    on the process' clock. `is_caller_gone` tells whether the caller has closed its connection. `queued_s` is
    how long the request, read whole, waited for a thread.
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


class PromptCopy(NamedTuple):
    """A prompt that an engine has read and keeps for another engine to take over, once."""

    address: Address
    handle: str
    tokens: int


class Dispatch(NamedTuple):
    """A request as it is sent to one backend server.

    `deadline_s` is what is left of the caller's patience. `only_read` asks an engine to read the
    prompt and keep it; `prompt_copy` names a prompt read elsewhere. `resume_after` is the id of the
    last event that the caller has. `is_limited` is whether the backend server had a limit as it was chosen.
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
    """What a backend server says of itself in any answer, whatever the answer is to.

    One in an answer that may belong to an earlier request is old, and is not heeded.

    `leaving` means that it ends soon. For `full_s` seconds it wants nothing more from this host.
    `limit_per_s` are the requests a second that it takes from all hosts together, NaN where it names
    a limit that can't be read, and None where it names none.
    """

    leaving: bool = False
    full_s: float | None = None
    limit_per_s: float | None = None


class Verdict(NamedTuple):
    """What the head of a backend server's answer says.

    `not_run` is the backend server's word that it did not run the request. `names_request` is whether the
    answer names the request; one that doesn't may also answer an earlier request on the
    connection. `other_incarnation` means that another backend server has the address. `genuine` is whether a success bears the
    mark that only the backend server can give, and a status that promises that the request did not
    run the backend server's word for it.
    """

    outcome: Literal["success", "failure", "refused"]
    not_run: bool = False
    names_request: bool = True
    other_incarnation: bool = False
    genuine: bool = True
    retry_after_s: float | None = None
