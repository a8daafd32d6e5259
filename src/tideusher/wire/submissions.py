"""Reads the body of a submission.

The protocol alone says which bodies are sound: a number may be written in any way, and fields that the protocol
does not have may have any name and any value. A field of ours beside the protocol counts if its value is valid for
it; with any other value it is a field that we do not know, and is ignored.
"""

import sys
from functools import cache
from typing import TYPE_CHECKING, Any, NoReturn, get_type_hints

import msgspec

from tideusher.wire.jobs import AMOUNTS, EXTENSION_CHECKS, MAX_BODY, InvalidJob, JobSpec, check_amount, check_job

#: Fields that only matter with the setting `jobs.conditions`; without it they are not known.
CONDITIONS = ("hold", "not_before", "after", "at_once", "limit_s")
#: Digits of an integer that is read as such, less than the largest double has; a longer one is read as a double.
MAX_INTEGER_DIGITS = 300

if TYPE_CHECKING:
    from json import JSONDecoder

_FIELDS = {field.encode_name: field.name for field in msgspec.structs.fields(JobSpec)}
_TYPES = get_type_hints(JobSpec)
_AMOUNTS = {field.name: field for field in AMOUNTS}
_decoder: msgspec.json.Decoder[JobSpec] = msgspec.json.Decoder(JobSpec)


class Submission(msgspec.Struct, frozen=True):
    """A valid submission, and the fields beside the protocol that were ignored."""

    spec: JobSpec
    ignored: tuple[str, ...] = ()


def parse_job(body: bytes) -> JobSpec:
    """Decodes a submission; raises InvalidJob also for an invalid value of a field beside the protocol."""
    _check_body(body)
    try:
        return check_job(_decoder.decode(body))
    except RecursionError:
        raise InvalidJob("it is nested too deeply") from None
    except msgspec.DecodeError:
        pass
    spec, problems = _read_fields(body)
    for problem in problems:
        raise problem
    return spec


def parse_submission(body: bytes, conditions: bool) -> Submission:
    """Decodes a submission; raises InvalidJob if it is malformed by the protocol.

    `conditions`: whether jobs with conditions are accepted.
    """
    _check_body(body)
    ignored: list[str] = []
    try:
        spec = check_job(_decoder.decode(body))
    except RecursionError:  # permanent, as a retry would fail the same way
        raise InvalidJob("it is nested too deeply") from None
    except (msgspec.DecodeError, InvalidJob):
        spec, problems = _read_fields(body)
        ignored += [problem.field for problem in problems]
    if not conditions and spec.has_extensions and spec.conditional:
        unknown = [name for name in CONDITIONS if getattr(spec, name) is not None]
        spec = msgspec.structs.replace(spec, **dict.fromkeys(unknown, None))
        ignored += unknown
    return Submission(spec, tuple(sorted(ignored)) if ignored else ())


def _check_body(body: bytes) -> None:
    if len(body) > MAX_BODY:
        raise InvalidJob("the body is over 64 KiB")
    try:
        body.decode()
    except UnicodeDecodeError:
        raise InvalidJob("the body is not JSON: it is not UTF-8") from None


def _read_fields(body: bytes) -> tuple[JobSpec, list[InvalidJob]]:
    """Reads field by field; returns the job without invalid fields beside the protocol, and what is wrong there."""
    raw = _decode_object(body)
    protocol = {name: _value_of(name, raw[name]) for name in _FIELDS if name in raw and name not in EXTENSION_CHECKS}
    try:
        spec = check_job(msgspec.convert(protocol, JobSpec))
    except msgspec.ValidationError as error:
        raise InvalidJob(str(error), _field_of(error)) from None
    problems: list[InvalidJob] = []
    for name in EXTENSION_CHECKS:
        try:
            spec = _with_extension(spec, name, raw.get(name))
        except (msgspec.ValidationError, UnicodeEncodeError, InvalidJob) as error:
            problems.append(InvalidJob(str(error) if isinstance(error, InvalidJob) else f"{name}: {error}", name))
    return spec, problems


def _with_extension(spec: JobSpec, name: str, raw: Any) -> JobSpec:
    """Returns the job with a field beside the protocol; raises ValidationError, UnicodeEncodeError or InvalidJob."""
    if raw is None:
        return spec
    value = msgspec.convert(raw if isinstance(raw, str) else _value_of(name, raw), _TYPES[_FIELDS[name]])
    if name in _AMOUNTS:
        check_amount(_AMOUNTS[name], value)
    changed = msgspec.structs.replace(spec, **{_FIELDS[name]: value})
    EXTENSION_CHECKS[name](changed)
    return changed


def _field_of(error: msgspec.ValidationError) -> str:
    """Returns the field that a decoder's message names; empty if it names none."""
    _, _, path = str(error).rpartition("`$.")
    missing = str(error).partition("missing required field `")[2]
    return (path or missing).partition("`")[0].partition("[")[0]


def _decode_object(body: bytes) -> dict[str, Any]:
    try:
        raw = _json_decoder().decode(body.decode())
    except RecursionError:
        raise InvalidJob("it is nested too deeply") from None
    except InvalidJob:
        raise
    except ValueError as error:
        raise InvalidJob(f"the body is not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise InvalidJob("the body is not an object")
    return raw


def _value_of(name: str, value: Any) -> Any:
    """Returns a field's value as the decoder of JobSpec expects it."""
    if isinstance(value, str):
        return _encodable(value)
    if isinstance(value, list) and name == "hulls":
        return [_encodable(one) if isinstance(one, str) else one for one in value]
    if isinstance(value, bool) or not isinstance(value, int | float):
        return value
    if name in _AMOUNTS:
        return min(float(value), sys.float_info.max)
    return int(value) if isinstance(value, float) and value.is_integer() else value


def _encodable(text: str) -> str:
    """Returns the text with U+FFFD for half a surrogate pair, which JSON can escape and UTF-8 cannot write."""
    return text.encode("utf-16", "surrogatepass").decode("utf-16", "replace")


def _integer(digits: str) -> int | float:
    return int(digits) if len(digits) <= MAX_INTEGER_DIGITS else float(digits)


def _no_constant(name: str) -> NoReturn:
    raise InvalidJob(f"the body is not JSON: {name}")


@cache
def _json_decoder() -> "JSONDecoder":
    from json import JSONDecoder  # imported with the first body that needs it, not at each start

    return JSONDecoder(parse_int=_integer, parse_constant=_no_constant)
