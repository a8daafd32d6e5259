"""Stand-ins to try tideusher with, and for its tests. Nothing of a controller imports them."""
