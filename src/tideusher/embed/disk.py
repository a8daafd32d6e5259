"""The system calls used for storage, in one class so that tests can inject faults."""

import os


class Disk:
    """File operations. Every method raises OSError as the system call does."""

    def write(self, fd: int, data: bytes) -> None:
        """Writes all of the data, or raises OSError."""
        view = memoryview(data)
        while view:
            written = os.write(fd, view)
            if not written:
                raise OSError("write returned 0 bytes")
            view = view[written:]

    def sync(self, fd: int) -> None:
        """Flushes written data to the disk."""
        os.fdatasync(fd)

    def replace(self, source: str, target: str) -> None:
        """Renames a file, replacing an existing target."""
        os.replace(source, target)

    def remove(self, path: str) -> None:
        """Deletes a file."""
        os.unlink(path)

    def sync_directory(self, path: str) -> None:
        """Flushes the creation, renaming and removal of files in a directory to the disk."""
        fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)
