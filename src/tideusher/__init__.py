"""tideusher: a cluster scheduler that ranks teams by charged machine time."""

__version__ = "0.1.0"
