"""The few calls to the operating system that storage rests on, so that tests can make them fail."""

import os


class Disk:
    """Plain files. Every method raises OSError as the system does."""

    def write(self, fd: int, data: bytes) -> None:
        """All of it, or OSError."""
        view = memoryview(data)
        while view:
            written = os.write(fd, view)
            if not written:
                raise OSError("the system wrote nothing")
            view = view[written:]

    def sync(self, fd: int) -> None:
        """What was written is on the disk."""
        os.fdatasync(fd)

    def replace(self, source: str, target: str) -> None:
        """Rename over what is there."""
        os.replace(source, target)

    def remove(self, path: str) -> None:
        """Delete a file."""
        os.unlink(path)

    def sync_directory(self, path: str) -> None:
        """What was created, renamed and removed in it is on the disk."""
        fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)
