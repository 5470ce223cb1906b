"""The checks of a request before it may run: key, route, body and customer."""

import hashlib
from collections.abc import Mapping
from typing import Any, NamedTuple

from laburnumreel.protocol import (
    ModelRequest,
    find_key,
    headers_from_environ,
    is_safe_target,
    parse_model_request,
    parse_target,
    token_limit,
)
from laburnumreel.serving._dependencies import GatewayDependencies
from laburnumreel.serving._job import RequestFailedError
from laburnumreel.state import (
    Configuration,
    ErrorKind,
    Profile,
    Refusal,
    Service,
    key_digest,
)

MODEL_PATHS = {"/v1/chat/completions": True, "/v1/completions": False}
MODELS_PATH = "/v1/models"
PLAIN_METHODS = ("GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE")
ANONYMOUS_CUSTOMER = ""


class Caller(NamedTuple):
    """The sender of a request. On a route open to all, `customer` is empty and `digest` is None."""

    key: str | None
    digest: str | None
    customer: str


class IncomingRequest(NamedTuple):
    """A received request, with the configuration that it is served under."""

    request_id: str
    method: str
    path: str
    raw_path: str
    query: str
    headers: dict[str, str]
    environ: Mapping[str, Any]
    configuration: Configuration
    arrived_at: float

    @classmethod
    def from_environ(
        cls, environ: Mapping[str, Any], request_id: str, configuration: Configuration, now: float
    ) -> "IncomingRequest":
        path = environ["PATH_INFO"]
        # The gateway serves one host, so that of an absolute target does not matter.
        parsed = parse_target(environ["REQUEST_URI"])
        if parsed.is_error() or not is_safe_target(path, parsed.ok.path):
            raise RequestFailedError(Refusal(ErrorKind.BAD_REQUEST, "The path is malformed."))
        return cls(
            request_id,
            environ["REQUEST_METHOD"],
            path,
            parsed.ok.path,
            parsed.ok.query.removeprefix("?"),
            headers_from_environ(environ),
            environ,
            configuration,
            now,
        )

    def body(self, profile: Profile) -> bytes:
        """Return the whole body, which waitress has already read.

        Raises RequestFailedError if it is larger than the profile allows.
        """
        body = self.environ["wsgi.input"].read()
        if len(body) > profile.max_body_bytes:
            detail = f"At most {profile.max_body_bytes} bytes are allowed."
            raise RequestFailedError(Refusal(ErrorKind.BODY_TOO_LARGE, detail))
        return body


def authenticate(
    deps: GatewayDependencies, incoming: IncomingRequest, open_to_all: bool = False
) -> Caller:
    """Return the caller, after checking that its key is known, verifiable and not withdrawn.

    Raises RequestFailedError if the check fails.
    """
    key_result = find_key(incoming.headers)
    if open_to_all:
        return Caller(key_result.ok if key_result.is_ok() else None, None, ANONYMOUS_CUSTOMER)
    if key_result.is_error():
        raise RequestFailedError(key_result.error)
    key = key_result.ok
    if key is None:
        raise RequestFailedError(Refusal(ErrorKind.MISSING_KEY))
    digest = key_digest(key, deps.pepper)
    check_key(deps, digest)
    customer = incoming.configuration.customer_of(digest)
    if customer is None:
        raise RequestFailedError(Refusal(ErrorKind.UNKNOWN_KEY))
    return Caller(key, digest, customer)


def check_key(deps: GatewayDependencies, digest: str | None) -> None:
    """Refuse a withdrawn key, or every key while withdrawals cannot be received.

    Called on arrival and again after the wait for admission, because the process may have been
    paused in between.
    """
    if digest is None:
        return
    if not deps.are_keys_verifiable(deps.clock.now()):
        raise RequestFailedError(Refusal(ErrorKind.KEYS_UNVERIFIABLE))
    if digest in deps.config.withdrawn:
        raise RequestFailedError(Refusal(ErrorKind.WITHDRAWN_KEY))


def check_customer(service: Service, caller: Caller, open_to_all: bool = False) -> None:
    """Refuse a customer that is not allowed to use the service."""
    if not open_to_all and not service.serves(caller.customer):
        raise RequestFailedError(Refusal(ErrorKind.NOT_ALLOWED))


def check_model_request(
    incoming: IncomingRequest, caller: Caller, chat: bool
) -> tuple[ModelRequest, bytes, Service, Profile]:
    """Return the parsed and the raw body of a model request, its service and its profile."""
    configuration = incoming.configuration
    raw_body = incoming.environ["wsgi.input"].read()
    parsed = parse_model_request(raw_body, chat)
    if parsed.is_error():
        raise RequestFailedError(parsed.error)
    request = parsed.ok
    service = configuration.models.get(request.model)
    profile = service and configuration.profiles.get(service.profile)
    if service is None or profile is None:
        raise RequestFailedError(Refusal(ErrorKind.UNKNOWN_MODEL))
    check_customer(service, caller)
    if len(raw_body) > profile.max_body_bytes:
        detail = f"At most {profile.max_body_bytes} bytes are allowed."
        raise RequestFailedError(Refusal(ErrorKind.BODY_TOO_LARGE, detail))
    limit = token_limit(request)
    if limit is not None and limit > profile.max_tokens:
        detail = f"max_tokens must be at most {profile.max_tokens}."
        raise RequestFailedError(Refusal(ErrorKind.BAD_REQUEST, detail))
    return request, raw_body, service, profile


def body_digest(service: str, method: str, target: str, body: bytes) -> str:
    """Return the digest that identifies a request in the quarantine."""
    head = f"{service} {method} {target}\n".encode("utf-8", "replace")
    return hashlib.sha256(head + body).hexdigest()
