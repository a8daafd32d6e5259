"""Messages for submitting PBS batch scripts to the service and fetching them from it."""

import msgspec


class ScriptRequest(msgspec.Struct, omit_defaults=True):
    """Body of POST /pbs. The script is plain text in `script`, or compressed (zstandard, base64) in `packed`.

    `options` are the command-line options, which override those of the script. `utc_offset_s` is the submitter's
    offset, needed for `-a`. `environment` holds the values of the variables that `-v` lists without a value.
    """

    ref: str
    file: str = "STDIN"
    script: str | None = None
    packed: str | None = None
    options: list[str] = []
    utc_offset_s: int = 0
    environment: dict[str, str] = {}


class ScriptAccepted(msgspec.Struct, omit_defaults=True):
    """Response 201 to POST /pbs; `id` is the job's PBS name. `waived` and `notes` hold one line per entry."""

    ref: str
    status: str
    id: str
    waived: list[str] = []
    notes: list[str] = []


class StoredScript(msgspec.Struct):
    """Response to GET /work/{id}/script. `packed` holds a line of JSON on how to run it and the script."""

    ref: str
    packed: str
