"""What can go wrong with an embedded instance."""


class EmbedError(Exception):
    """Base of all errors of `tideusher.embed`; the text is one line."""


class StorageError(EmbedError):
    """The directory did not take a write. Nothing that it was asked is acknowledged; reopen the instance."""


class Locked(StorageError):
    """Another instance, in this process or another, has the directory."""


class Damaged(StorageError):
    """What is stored is not what was written; the text names the file and the place."""


class Closed(EmbedError):
    """The instance is closed."""


class Forked(EmbedError):
    """This process is a child of the one that opened the instance; it must open one of its own."""


class Refused(EmbedError):
    """The job is malformed or can never run; the text says why."""
