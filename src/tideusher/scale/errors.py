"""What can go wrong with a scale run."""


class ScaleError(Exception):
    """The run cannot be made, or had to be ended early; the text is one line."""
