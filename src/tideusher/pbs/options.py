"""The options of PBS directives and the parser of directive lines and command lines."""

import getopt
import shlex
from collections.abc import Sequence
from dataclasses import dataclass

from tideusher.pbs.refusal import Refusal

#: Options with a value and without, in both PBS dialects.
WITH_VALUE = frozenset("aAcCeFGjJklmMNopPqrRStTuvWw" + "d")
FLAGS = frozenset("fhIVxXz")

_GETOPT = "".join(sorted(FLAGS)) + ":".join(["", *sorted(WITH_VALUE)])[1:] + ":"

COMMAND_LINE = "command line"


@dataclass(frozen=True, slots=True)
class Option:
    """One option as written, `letter` without its dash, and its location."""

    letter: str
    value: str
    file: str
    line: int

    @property
    def directive(self) -> str:
        """The option approximately as the user wrote it."""
        return f"-{self.letter} {self.value}".rstrip()

    def refuse(self, reason: str) -> Refusal:
        """Returns the Refusal of this option, for the caller to raise."""
        return Refusal(self.file, self.line, self.directive, reason)


def split_line(text: str, file: str, line: int) -> list[str]:
    """Splits a directive into words with shell quoting; a word that begins with # starts a comment."""
    if text.endswith("\\"):
        raise Refusal(file, line, text.strip(), "a directive ends with its line; it is not continued")
    try:
        words = shlex.split(text)
    except ValueError:
        raise Refusal(file, line, text.strip(), "a quotation is not closed") from None
    for number, word in enumerate(words):
        if word.startswith("#"):
            return words[:number]
    return words


def parse_words(words: Sequence[str], file: str, line: int = 0) -> list[Option]:
    """Parses words as getopt does.

    `line` 0 stands for a command line: each option then gets its position as the line number. Raises Refusal.
    """
    options, operands = split_operands(words, file, line)
    if operands:
        raise Refusal(file, line, operands[0], "this is not an option: options begin with a dash and one letter")
    return options


def split_operands(words: Sequence[str], file: str, line: int = 0) -> tuple[list[Option], list[str]]:
    """Returns the leading options and the words after them; raises Refusal."""
    try:
        pairs, operands = getopt.getopt(list(words), _GETOPT)
    except getopt.GetoptError as error:
        reason = "the option has no value" if error.opt in WITH_VALUE else "there is no such option"
        raise Refusal(file, line, f"-{error.opt}", reason) from None
    parsed = []
    for number, (option, value) in enumerate(pairs, 1):
        parsed.append(Option(option[1], value, file, line or number))
        if not value and option[1] in WITH_VALUE:
            raise parsed[-1].refuse("the option has no value")
    return parsed, operands
