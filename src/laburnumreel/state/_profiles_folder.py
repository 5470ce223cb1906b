"""Loading and validation of the profiles folder into configuration entries."""

import re
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from laburnumreel.core import Schema, SettingsError
from laburnumreel.state._profiles import (
    CUSTOMER_SCHEMA,
    PROFILE_SCHEMA,
    SERVICE_SCHEMA,
    Customer,
    Profile,
    Service,
    merge_sections,
)

Entries = dict[str, dict[str, Any]]

HTTP_METHODS = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH")
MODEL_PREFIX = "/v1/"
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_ENTRY_KINDS: tuple[tuple[str, str, Schema, Any], ...] = (
    ("profile", "profiles", PROFILE_SCHEMA, Profile),
    ("service", "services", SERVICE_SCHEMA, Service),
    ("customer", "customers", CUSTOMER_SCHEMA, Customer),
)


def load_profiles_folder(folder: Path) -> Result[Entries, list[SettingsError]]:
    """Return the configuration entries of a profiles folder, or all errors found in it."""
    errors: list[SettingsError] = []
    entries: Entries = {}
    files: dict[str, str] = {}
    known_names: dict[str, set[str]] = {}
    if not any((folder / folder_name).is_dir() for _, folder_name, _, _ in _ENTRY_KINDS):
        allowed = "a folder that contains profiles/, services/ and customers/"
        return Error([SettingsError(str(folder), "", "", "none of the expected folders", allowed)])
    for kind, folder_name, schema, _ in _ENTRY_KINDS:
        known_names[kind] = set()
        for path in sorted((folder / folder_name).glob("*.ini")):
            if not _NAME.fullmatch(path.stem):
                allowed = "1 to 63 letters, digits, dots, dashes and underscores"
                errors.append(SettingsError(str(path), "", "", f"the name {path.stem!r}", allowed))
                continue
            known_names[kind].add(path.stem)
            values = schema.load(path)
            if values.is_error():
                errors += values.error
                continue
            name = f"{kind}/{path.stem}"
            files[name] = str(path)
            entries[name] = merge_sections(values.ok)
    errors += _check_references(entries, files, known_names)
    return Error(errors) if errors else Ok(entries)


def _check_references(
    entries: Entries, files: Mapping[str, str], known_names: Mapping[str, set[str]]
) -> list[SettingsError]:
    profiles = {
        name.partition("/")[2]: Profile.from_value(name.partition("/")[2], value)
        for name, value in entries.items()
        if name.startswith("profile/")
    }
    errors = []
    for profile in profiles.values():
        errors += _check_profile(profile, files[f"profile/{profile.name}"])
    model_owners: dict[str, str] = {}
    prefix_owners: dict[str, str] = {}
    for name, value in entries.items():
        if not name.startswith("service/"):
            continue
        service = Service.from_value(name.partition("/")[2], value)
        file = files[name]
        if service.profile not in known_names["profile"]:
            allowed = _describe_choices("the profiles", known_names["profile"])
            errors.append(SettingsError(file, "service", "profile", service.profile, allowed))
        for customer in service.customers:
            if customer != "*" and customer not in known_names["customer"]:
                allowed = _describe_choices("* or the customers", known_names["customer"])
                errors.append(SettingsError(file, "service", "customers", customer, allowed))
        for model in service.models:
            if model in model_owners:
                allowed = f"a model that no other service serves ({model_owners[model]} does)"
                errors.append(SettingsError(file, "service", "models", model, allowed))
            model_owners.setdefault(model, service.name)
        if service.credential_file and service.credential_env:
            found, allowed = "both credential_file and credential_env", "one of the two"
            errors.append(SettingsError(file, "service", "credential_env", found, allowed))
        if service.profile in profiles:
            errors += _check_service(service, profiles[service.profile], file, prefix_owners)
    return errors


def _check_profile(profile: Profile, file: str) -> list[SettingsError]:
    errors = []

    def add(key: str, found: str, allowed: str) -> None:
        errors.append(SettingsError(file, "profile", key, found, allowed))

    for method in profile.idempotent_methods:
        if method not in HTTP_METHODS:
            add("idempotent_methods", method, ", ".join(HTTP_METHODS))
    if profile.kind == "model":
        for key in ("prefix", "open_paths"):
            if getattr(profile, key):
                add(key, str(getattr(profile, key)), "nothing in a model profile")
        return errors
    prefix = profile.prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        add("prefix", repr(prefix), "a path that begins and ends with /")
    elif prefix.startswith(MODEL_PREFIX):
        add("prefix", prefix, f"a path outside {MODEL_PREFIX}, which model services use")
    return errors


def _check_service(
    service: Service, profile: Profile, file: str, prefix_owners: dict[str, str]
) -> list[SettingsError]:
    errors = []
    if profile.kind == "model" and not service.models:
        allowed = "at least one model, as the profile is of kind model"
        errors.append(SettingsError(file, "service", "models", "nothing", allowed))
    if profile.kind == "plain":
        if service.models:
            allowed = "nothing, as the profile is of kind plain"
            found = ", ".join(service.models)
            errors.append(SettingsError(file, "service", "models", found, allowed))
        if profile.prefix in prefix_owners:
            other = prefix_owners[profile.prefix]
            allowed = f"a profile whose prefix no other service has ({other} has it)"
            found = f"{service.profile} with prefix {profile.prefix}"
            errors.append(SettingsError(file, "service", "profile", found, allowed))
        prefix_owners.setdefault(profile.prefix, service.name)
    if service.cheap_share > 0 and profile.cheap_back_ends == "never":
        allowed = f"0, as profile {profile.name} has cheap_back_ends = never"
        found = f"{service.cheap_share:g}"
        errors.append(SettingsError(file, "spend", "cheap_share", found, allowed))
    return errors


def _describe_choices(what: str, names: set[str]) -> str:
    return f"{what} {', '.join(sorted(names)) or '(there are none)'}"
