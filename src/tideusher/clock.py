"""Time in whole microseconds. Code that makes decisions takes a Clock, so that tests can control time."""

import time


class Clock:
    """The process's clocks: monotonic time for intervals, wall-clock time for records that others read."""

    def now_us(self) -> int:
        """Returns the monotonic time; only differences are meaningful."""
        return time.monotonic_ns() // 1000

    def wall_us(self) -> int:
        """Returns the wall-clock time, which may be off by up to the platform's bound (`clock_off_ms`)."""
        return time.time_ns() // 1000


SECOND_US = 1_000_000


def to_us(seconds: float) -> int:
    """Converts seconds, as used on the wire, to whole microseconds."""
    return round(seconds * SECOND_US)


def to_s(us: int) -> float:
    """Converts microseconds to seconds, for the wire or for display."""
    return us / SECOND_US
