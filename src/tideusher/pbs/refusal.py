"""Why a script is refused: one line that names the place and the directive."""

MAX_SHOWN = 200


def shown(text: str) -> str:
    """Text of a user as part of one line of ours: no control characters, not endless."""
    safe = "".join(c if c.isprintable() else c.encode("unicode_escape", "backslashreplace").decode() for c in text)
    return safe if len(safe) <= MAX_SHOWN else safe[: MAX_SHOWN - 3] + "..."


class Refusal(ValueError):
    """The script cannot be honoured. `str()` is `FILE:LINE: -X value: reason`.

    `file` and `line` tell where the directive stands; of an option of the command line `file` is
    "command line" and `line` its position there, from 1. Line 0 is the script as a whole.
    """

    def __init__(self, file: str, line: int, directive: str, reason: str) -> None:
        self.file, self.line, self.directive, self.reason = file, line, directive, reason
        subject = f"{shown(directive)}: " if directive else ""
        super().__init__(f"{shown(file)}:{line}: {subject}{shown(reason)}")
