"""Options of PBS directives: which there are, and how a line of them is read."""

import getopt
import shlex
from collections.abc import Sequence
from dataclasses import dataclass

from tideusher.pbs.refusal import Refusal

#: Options with a value, and those without, in both dialects.
WITH_VALUE = frozenset("aAcCeFGjJklmMNopPqrRStTuvWw" + "d")
FLAGS = frozenset("fhIVxXz")

_GETOPT = "".join(sorted(FLAGS)) + ":".join(["", *sorted(WITH_VALUE)])[1:] + ":"

COMMAND_LINE = "command line"


@dataclass(frozen=True, slots=True)
class Option:
    """One option as written: `letter` without its dash, and where it stands."""

    letter: str
    value: str
    file: str
    line: int

    @property
    def directive(self) -> str:
        """As the user wrote it, more or less."""
        return f"-{self.letter} {self.value}".rstrip()

    def refuse(self, reason: str) -> Refusal:
        """This option cannot be honoured."""
        return Refusal(self.file, self.line, self.directive, reason)


def split_line(text: str, file: str, line: int) -> list[str]:
    """The words of a directive, quoted as a shell would; a word that begins with # begins a comment."""
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
    """Read words as getopt does; `line` 0: they are a command line, and are numbered instead."""
    options, operands = split_operands(words, file, line)
    if operands:
        raise Refusal(file, line, operands[0], "this is no option: options begin with a dash and one letter")
    return options


def split_operands(words: Sequence[str], file: str, line: int = 0) -> tuple[list[Option], list[str]]:
    """The options in front, and the words behind them."""
    try:
        pairs, operands = getopt.getopt(list(words), _GETOPT)
    except getopt.GetoptError as error:
        reason = "the option has no value" if error.opt in WITH_VALUE else "there is no such option"
        raise Refusal(file, line, f"-{error.opt}", reason) from None
    found = []
    for number, (option, value) in enumerate(pairs, 1):
        found.append(Option(option[1], value, file, line or number))
        if not value and option[1] in WITH_VALUE:
            raise found[-1].refuse("the option has no value")
    return found, operands
