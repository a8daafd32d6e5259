"""Exceptions of embedded instances."""


class EmbedError(Exception):
    """Base of all errors of `tideusher.embed`; the message is a single line."""


class StorageError(EmbedError):
    """A write to the directory failed. No pending request is acknowledged; reopen the instance."""


class Locked(StorageError):
    """Another instance, in this process or another one, has the directory open."""


class Damaged(StorageError):
    """Stored data is corrupted; the message names the file and the position."""


class Closed(EmbedError):
    """The instance is closed."""


class Forked(EmbedError):
    """This process is a child of the one that opened the instance; it must open its own."""


class Refused(EmbedError):
    """The job is malformed or can never run; the message gives the reason."""
