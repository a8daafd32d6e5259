"""Reads scripts: finds the directive lines and parses their options."""

import re
from collections.abc import Sequence
from dataclasses import dataclass

from tideusher.pbs.options import COMMAND_LINE, Option, parse_words, split_line
from tideusher.pbs.refusal import Refusal, printable

PREFIX = "#PBS"
#: Bytes of a script. Longer ones are refused: they would not fit a job's record even if compressed.
MAX_SCRIPT = 1 << 20
_BOM = b"\xef\xbb\xbf"


@dataclass(frozen=True, slots=True)
class Script:
    """A parsed script. `options` are the options of the directives in order, then those of the command line."""

    file: str
    text: bytes
    options: list[Option]
    #: Warnings for the user, one line each; they do not refuse the script.
    notes: list[str]


def read_script(text: bytes, file: str = "STDIN", arguments: Sequence[str] = ()) -> Script:
    """Reads a script's directives, and the command-line options that override them.

    Directives must precede the first command, which is the first line that is not empty and does not begin with #
    or a colon. Later ones are ignored, with a note. Raises Refusal.
    """
    command_line = parse_words(arguments, COMMAND_LINE)
    prefix = next((option.value for option in reversed(command_line) if option.letter == "C"), PREFIX)
    if not prefix.isprintable() or prefix != prefix.strip():
        raise Refusal(COMMAND_LINE, 1, f"-C {prefix}", "a prefix must be printable and have no blanks around it")
    if len(text) > MAX_SCRIPT:
        raise Refusal(file, 0, "", f"the script has {len(text)} bytes; {MAX_SCRIPT} are possible")
    if b"\0" in text:
        raise Refusal(file, text.count(b"\n", 0, text.index(b"\0")) + 1, "", "a NUL byte: this is no script")
    options: list[Option] = []
    notes: list[str] = []
    first_command = 0
    body = text.removeprefix(_BOM)
    for number, raw in enumerate(re.split(rb"\r\n|\n|\r", body), 1):
        line = raw.decode("utf-8", "surrogateescape").strip(" \t\f\v")
        if line.startswith(prefix):
            rest = line[len(prefix) :]
            if first_command:
                location = f"{printable(file)}:{number}: {printable(line)}"
                notes.append(f"{location}: ignored, as it stands after the first command in line {first_command}")
                continue
            options += _parse_directive(rest, file, number, line)
        elif line and not line.startswith(("#", ":")):
            first_command = first_command or number
    if not first_command:
        raise Refusal(file, 0, "", "the script has no command")
    return Script(file, text, options + [option for option in command_line if option.letter != "C"], notes)


def _parse_directive(rest: str, file: str, number: int, line: str) -> list[Option]:
    try:
        rest.encode()
    except UnicodeEncodeError:
        raise Refusal(file, number, line, "the directive is not UTF-8") from None
    if rest and not rest[0].isspace():
        raise Refusal(file, number, line, "a directive must have a blank after its prefix")
    options = parse_words(split_line(rest, file, number), file, number)
    for option in options:
        if option.letter == "C":
            raise option.refuse("the prefix can be set on the command line only")
    return options
