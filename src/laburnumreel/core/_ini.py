"""INI files that are validated against a schema, with all errors reported at once."""

import configparser
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, NamedTuple

from expression import Error, Ok, Result


class SettingsError(NamedTuple):
    """An error in one setting: its place, what was found and what is allowed."""

    file: str
    section: str
    key: str
    found: str
    allowed: str

    def __str__(self) -> str:
        location = f"{self.file}: [{self.section}]" if self.section else self.file
        if self.key:
            location += f" {self.key}"
        return f"{location}: found {self.found}, allowed: {self.allowed}"


class Kind(NamedTuple):
    """A type of value: a parser that raises ValueError, and a description of allowed values."""

    parse: Callable[[str], Any]
    allowed: str


class Field(NamedTuple):
    """One key of a section. If it is missing, `default` is used; with `required` it is an error."""

    section: str
    key: str
    kind: Kind
    default: Any
    text: str
    required: bool = False


Values = dict[str, dict[str, Any]]


class _Kinds:
    """The value types that schemas use."""

    text = Kind(lambda raw: _non_empty(raw), "a text that is not empty")
    optional_text = Kind(lambda raw: raw.strip(), "a text")
    names = Kind(
        lambda raw: tuple(part.strip() for part in raw.split(",") if part.strip()),
        "names separated by commas",
    )
    yes_no = Kind(lambda raw: _one_of(raw.lower(), ("yes", "no")) == "yes", "yes or no")
    address = Kind(lambda raw: _parse_address(raw), "HOST:PORT with a port of 0 to 65535")
    addresses = Kind(
        lambda raw: tuple(_parse_address(part.strip()) for part in raw.split(",") if part.strip()),
        "HOST:PORT, separated by commas",
    )
    pairs = Kind(
        lambda raw: tuple(_parse_pair(part) for part in raw.split(",") if part.strip()),
        "NAME=VALUE, separated by commas",
    )

    @staticmethod
    def integer(minimum: int, maximum: int) -> Kind:
        return Kind(
            lambda raw: _check_range(int(raw), minimum, maximum),
            f"a whole number from {minimum} to {maximum}",
        )

    @staticmethod
    def number(minimum: float, maximum: float) -> Kind:
        return Kind(
            lambda raw: _check_range(float(raw), minimum, maximum),
            f"a number from {minimum:g} to {maximum:g}",
        )

    @staticmethod
    def choice(*options: str) -> Kind:
        return Kind(lambda raw: _one_of(raw, options), " or ".join(options))


kinds = _Kinds


class Schema:
    """The sections and keys that an INI file may have.

    >>> schema = Schema([Field("log", "level", kinds.choice("info", "debug"), "info", "detail")])
    >>> schema.parse("[log]\\nlevel = loud\\n", "node.ini").is_error()
    True
    """

    def __init__(self, fields: Iterable[Field]) -> None:
        self._fields = list(fields)
        self._sections: dict[str, dict[str, Field]] = {}
        for field in self._fields:
            self._sections.setdefault(field.section, {})[field.key] = field

    @property
    def fields(self) -> list[Field]:
        return list(self._fields)

    def load(self, path: Path) -> Result[Values, list[SettingsError]]:
        """Read and validate a file. Errors name the file by the path that was given."""
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            return Error([SettingsError(str(path), "", "", str(error), "a readable UTF-8 file")])
        return self.parse(text, str(path))

    def parse(self, text: str, file: str) -> Result[Values, list[SettingsError]]:
        """Validate the text of a file and return its values by section and key, with defaults."""
        parser = configparser.ConfigParser(
            interpolation=None, default_section="", empty_lines_in_values=False
        )
        try:
            parser.read_string(text, source=file)
        except configparser.Error as error:
            found = " ".join(str(error).split())
            return Error([SettingsError(file, "", "", found, "INI sections with key = value")])
        errors = self._find_unknown(parser, file)
        values: Values = {}
        for field in self._fields:
            section = values.setdefault(field.section, {})
            raw = parser.get(field.section, field.key, fallback=None)
            if raw is None:
                if field.required:
                    errors.append(_settings_error(file, field, "nothing"))
                section[field.key] = field.default
                continue
            try:
                section[field.key] = field.kind.parse(raw)
            except ValueError:
                errors.append(_settings_error(file, field, repr(raw)))
        return Error(errors) if errors else Ok(values)

    def _find_unknown(self, parser: configparser.ConfigParser, file: str) -> list[SettingsError]:
        errors = []
        for section in parser.sections():
            if section not in self._sections:
                allowed = "the sections " + ", ".join(sorted(self._sections))
                errors.append(SettingsError(file, section, "", "an unknown section", allowed))
                continue
            for key in parser[section]:
                if key not in self._sections[section]:
                    allowed = "the keys " + ", ".join(sorted(self._sections[section]))
                    errors.append(SettingsError(file, section, key, "an unknown key", allowed))
        return errors


def _settings_error(file: str, field: Field, found: str) -> SettingsError:
    return SettingsError(file, field.section, field.key, found, field.kind.allowed)


def _non_empty(raw: str) -> str:
    if not raw.strip():
        raise ValueError(raw)
    return raw.strip()


def _one_of(raw: str, options: tuple[str, ...]) -> str:
    if raw not in options:
        raise ValueError(raw)
    return raw


def _check_range(value: Any, minimum: float, maximum: float) -> Any:
    if not minimum <= value <= maximum:
        raise ValueError(value)
    return value


def _parse_address(raw: str) -> tuple[str, int]:
    host, _, port = raw.rpartition(":")
    if not host:
        raise ValueError(raw)
    return host, _check_range(int(port), 0, 65535)


def _parse_pair(raw: str) -> tuple[str, str]:
    name, _, value = raw.partition("=")
    return _non_empty(name), _non_empty(value)
