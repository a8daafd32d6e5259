"""Spells the JSON of a submission in one of the many ways that the protocol allows, chosen at random.

Fields come in any order, numbers and texts in any notation, optional fields as null or not at all, and fields that
the protocol does not have hold any JSON. What the protocol's fields mean is the same in every spelling.
"""

import random
from decimal import Decimal
from typing import Any

import msgspec

from tideusher.wire.jobs import JobSpec

#: Fields that may be null or missing.
NULLABLE = ("hulls", "harbor", "due_s")
#: Names of fields that the protocol does not have; some are those of fields beside it, with values invalid for them.
UNKNOWN_NAMES = ("colour", "Ref", "", "\ud800", "häfen", "\x00", "hold", "after", "at_once", "not_before", "name")
#: JSON texts that are no valid value of any field beside the protocol.
UNKNOWN_VALUES = (
    "{}",
    "[[],{}]",
    "true",
    "-1e999",
    "-" + "9" * 5000,
    "[1E+400,-0.0,0e-999]",
    r'"\ud800"',
    r'"\u0000\n"',
    '{"a":{"a":null,"a":[false]}}',
    "[" * 200 + "]" * 200,
    '""',
)
_BLANKS = ("", "", "", " ", "\t", "\r\n", "  ")


def spell(spec: JobSpec, rng: random.Random) -> bytes:
    """Returns a body that submits the job."""
    return spell_fields(msgspec.to_builtins(spec), rng)


def spell_fields(fields: dict[str, Any], rng: random.Random) -> bytes:
    """Returns a body with these fields, by their names on the wire."""
    members = [(name, _spell_value(value, rng)) for name, value in fields.items()]
    members += [(name, "null") for name in NULLABLE if name not in fields and rng.random() < 0.5]
    unused = [name for name in UNKNOWN_NAMES if name not in fields]
    members += [(name, rng.choice(UNKNOWN_VALUES)) for name in rng.sample(unused, rng.choice((0, 0, 1, 3)))]
    rng.shuffle(members)
    spelled = (f"{_blank(rng)}{spell_text(name, rng)}{_blank(rng)}:{value}{_blank(rng)}" for name, value in members)
    return f"{_blank(rng)}{{{','.join(spelled)}}}{_blank(rng)}".encode()


def _blank(rng: random.Random) -> str:
    return rng.choice(_BLANKS)


def _spell_value(value: Any, rng: random.Random) -> str:
    if isinstance(value, bool) or value is None:
        return msgspec.json.encode(value).decode()
    if isinstance(value, int | float):
        return spell_number(value, rng)
    if isinstance(value, str):
        return spell_text(value, rng)
    if isinstance(value, list):
        return "[" + ",".join(_spell_value(one, rng) for one in value) + "]"
    members = (f"{spell_text(name, rng)}:{_spell_value(one, rng)}" for name, one in value.items())
    return "{" + ",".join(members) + "}"


def spell_number(value: float, rng: random.Random) -> str:
    """Returns a notation of the number that reads as the same double, or the same integer."""
    exact = Decimal(repr(value))
    plain = f"{exact:f}"
    notations = [repr(value), plain, f"{exact:e}", f"{exact:E}", plain + ("00" if "." in plain else ".0")]
    if value == int(value):
        notations.append(f"{int(value)}")
    return rng.choice(notations)


def spell_text(text: str, rng: random.Random) -> str:
    """Returns a notation of the text, with some of its characters escaped."""
    escaped = rng.random() < 0.3
    return '"' + "".join(_spell_character(character, escaped and rng.random() < 0.5) for character in text) + '"'


def _spell_character(character: str, escaped: bool) -> str:
    must_escape = character in '"\\' or character < " " or "\ud800" <= character <= "\udfff"
    if not escaped and not must_escape:
        return character
    units = character.encode("utf-16-be", "surrogatepass")
    return "".join(f"\\u{units[at]:02x}{units[at + 1]:02x}" for at in range(0, len(units), 2))
