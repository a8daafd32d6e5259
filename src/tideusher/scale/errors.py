"""Errors of scale runs."""


class ScaleError(Exception):
    """The run cannot be started, or had to be ended early; the message is one line."""
