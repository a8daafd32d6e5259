"""Time in whole microseconds. Everything that decides takes a Clock, so tests can own time."""

import time


class Clock:
    """The process's clocks: a steady one for intervals, the time of day for records others read."""

    def now_us(self) -> int:
        """Steady time; only differences mean anything."""
        return time.monotonic_ns() // 1000

    def wall_us(self) -> int:
        """Time of day; off by up to the platform's bound."""
        return time.time_ns() // 1000


SECOND_US = 1_000_000


def to_us(seconds: float) -> int:
    """Seconds from the wire as whole microseconds."""
    return round(seconds * SECOND_US)


def to_s(us: int) -> float:
    """Microseconds as seconds for the wire or for people."""
    return us / SECOND_US
