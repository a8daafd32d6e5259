"""The embeddable scheduler: the daemon's scheduling decisions inside a program, on the program's own machines.

Importing it starts no threads and loads no web server; see `docs/embed.md`.
"""

from tideusher.embed.errors import Closed, Damaged, EmbedError, Forked, Locked, Refused, StorageError
from tideusher.embed.instance import Instance, new_ref, small_job
from tideusher.embed.machines import Started
from tideusher.embed.settings import Card, MachineKind, Settings, load_settings

__all__ = [
    "Card",
    "Closed",
    "Damaged",
    "EmbedError",
    "Forked",
    "Instance",
    "Locked",
    "MachineKind",
    "Refused",
    "Settings",
    "Started",
    "StorageError",
    "load_settings",
    "new_ref",
    "small_job",
]
