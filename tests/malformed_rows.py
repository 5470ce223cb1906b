"""Malformed rows, as other writers of the store might write them."""

import base64
import json

# The address in entries that are malformed in another field; nothing listens there.
UNUSED_ADDRESS = "127.0.0.1:9"
ENTRY = {
    "Service": "orders",
    "Address": UNUSED_ADDRESS,
    "Zone": "zone-a",
    "Version": "v1",
    "Slots": 4,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Sequence": 1,
    "born": 1_800_000_000_000,
}
# Nested deeper than any JSON parser accepts, and just within the limit of Python's parser.
TOO_DEEP = b"[" * 100_000
NESTED = b"[" * 800 + b"]" * 800
MANY_DIGITS = b"9" * 6000
MALFORMED_VALUES = {
    "deep": TOO_DEEP,
    "deep-object": b'{"a":' * 100_000,
    "nested": NESTED,
    "digits": MANY_DIGITS,
    "no-json": b"{",
    "empty": b"",
    "no-text": b"\xff\xfe",
    "list": b"[]",
    "text": b'"text"',
    "number": b"7",
    "null": b"null",
    "infinity": b"1e999",
    "nan": b"NaN",
}


def malformed_addresses():
    """Return invalid addresses by label; most of them have a colon and digits."""
    return {
        "port-0": "127.0.0.1:0",
        "port-65536": "127.0.0.1:65536",
        "port-long": "127.0.0.1:" + "9" * 4000,
        "port-longer": "127.0.0.1:" + "9" * 6000,
        "port-arabic": "127.0.0.1:\u0663\u0663\u0663\u0663",
        "port-superscript": "127.0.0.1:\u00b2",
        "port-negative": "127.0.0.1:-1",
        "port-spaced": "127.0.0.1: 80",
        "port-none": "127.0.0.1:",
        "host-name": "no-such-host.invalid:80",
        "host-label": "a" * 300 + ":80",
        "host-surrogate": "\ud800:80",
        "host-nul": "127.0.0.1\0:80",
        "host-any": "0.0.0.0:80",
        "host-group": "224.0.0.1:80",
        "host-short": "127.1:80",
        "host-arabic": "127.0.0.\u0661:80",
        "host-v6": "[::1]:80",
        "host-none": ":80",
    }


def malformed_entries():
    """Return malformed values for the `servers` table by label; the label is a valid row key."""
    fields = {
        "slots-huge": {"Slots": 10**400},
        "slots-fraction": {"Slots": 2.5},
        "slots-0": {"Slots": 0},
        "slots-negative": {"Slots": -1},
        "born-huge": {"born": 10**30, "State": "draining"},
        "born-text": {"born": "1"},
        "born-negative": {"born": -1},
        "born-fraction": {"born": 1.5},
        "sequence-huge": {"Sequence": 10**30},
        "sequence-list": {"Sequence": [1]},
        "zone-surrogate": {"Zone": "\ud800"},
        "zone-long": {"Zone": "z" * 100_000},
        "zone-number": {"Zone": 7},
        "service-surrogate": {"Service": "\udfff"},
        "service-object": {"Service": {}},
        "state-list": {"State": ["ready"]},
        "state-other": {"State": "sleeping"},
        "stage-list": {"Stage": ["decode"]},
        "stage-other": {"Stage": "other"},
        "spot-text": {"Spot": "no"},
    }
    fields |= {label: {"Address": address} for label, address in malformed_addresses().items()}
    malformed = {
        label: json.dumps({**ENTRY, **changes}).encode() for label, changes in fields.items()
    }
    malformed |= {
        "slots-digits": json.dumps({**ENTRY, "Slots": 0})
        .encode()
        .replace(b'"Slots": 0', b'"Slots": ' + MANY_DIGITS),
        "nested-field": b'{"Stage": ' + NESTED + b"," + json.dumps(ENTRY).encode()[1:],
    }
    return {**malformed, **MALFORMED_VALUES}


# Names that cannot be sent in a header. Tests use them as keys of valid entries.
MALFORMED_NAMES = (
    "odd\nname",
    "odd\0name",
    "odd\ud800name",
    "odd\u2603name",
    "odd name",
    "odd\x7f",
)


def row(key, value, version=1, encoded=None):
    """Return a row as the store returns it. `encoded` replaces the base64 text of the value."""
    value = base64.b64encode(value).decode() if encoded is None else encoded
    return {"Table": "servers", "part": "", "Key": key, "Ver": version, "Value": value}
