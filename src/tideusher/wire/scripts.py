"""Batch scripts as they are sent to the service, and as they are fetched from it."""

import msgspec


class ScriptRequest(msgspec.Struct, omit_defaults=True):
    """POST /pbs. The script is plain in `script`, or packed (zstandard, base64) in `packed`.

    `options` are those of the command line, which override the script's. `utc_offset_s` is the submitter's,
    for `-a`; `environment` has the values of the variables that `-v` only names.
    """

    ref: str
    file: str = "STDIN"
    script: str | None = None
    packed: str | None = None
    options: list[str] = []
    utc_offset_s: int = 0
    environment: dict[str, str] = {}


class ScriptAccepted(msgspec.Struct, omit_defaults=True):
    """201 of POST /pbs; `id` is the job's PBS name. Waived directives and notes are a line each."""

    ref: str
    status: str
    id: str
    waived: list[str] = []
    notes: list[str] = []


class StoredScript(msgspec.Struct):
    """GET /work/{id}/script: one line of JSON on how to run it and the script's bytes, packed."""

    ref: str
    packed: str
