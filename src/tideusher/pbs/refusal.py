"""The error of a script that is refused: one line that names the location and the directive."""

#: Characters of a user's text that a message quotes.
MAX_QUOTED = 200


def printable(text: str) -> str:
    """Returns a user's text for use in a one-line message: control characters escaped, length limited."""
    safe = "".join(c if c.isprintable() else c.encode("unicode_escape", "backslashreplace").decode() for c in text)
    return safe if len(safe) <= MAX_QUOTED else safe[: MAX_QUOTED - 3] + "..."


class Refusal(ValueError):
    """The script is refused. `str()` is `FILE:LINE: -X value: reason`.

    `file` and `line` are the location of the directive. For an option of the command line, `file` is
    "command line" and `line` its position there, from 1. Line 0 stands for the script as a whole.
    """

    def __init__(self, file: str, line: int, directive: str, reason: str) -> None:
        self.file, self.line, self.directive, self.reason = file, line, directive, reason
        subject = f"{printable(directive)}: " if directive else ""
        super().__init__(f"{printable(file)}:{line}: {subject}{printable(reason)}")
