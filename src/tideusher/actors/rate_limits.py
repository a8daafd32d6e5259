"""Rates of requests: a token bucket that bounds what we send, and an average of what we would send."""

from math import exp

from tideusher.clock import SECOND_US, Clock


class TokenBucket:
    """A token bucket. Its burst is at least one second's worth, as the service itself counts."""

    def __init__(self, rate: float, clock: Clock, burst: float = 0.0) -> None:
        self._clock = clock
        self._rate, self._burst = rate, max(rate, burst)
        self._tokens, self._at_us = self._burst, clock.now_us()

    def set(self, rate: float, burst: float = 0.0) -> None:
        """Changes the rate and the burst from now on."""
        self._refill()
        self._rate, self._burst = rate, max(rate, burst)

    def wait_s(self, amount: float, before: float = 0.0) -> float:
        """Takes the amount and returns how long to wait before using it, in seconds.

        `before`: tokens already taken by others that wait and let this request go first.
        """
        self._refill()
        self._tokens -= amount
        return max(0.0, -(self._tokens + before) / self._rate)

    def _refill(self) -> None:
        now_us = self._clock.now_us()
        self._tokens = min(self._burst, self._tokens + self._rate * (now_us - self._at_us) / SECOND_US)
        self._at_us = now_us

    def refund(self, amount: float) -> None:
        """Returns tokens that were taken and will not be used."""
        self._tokens += amount

    def drain(self) -> None:
        """Empties the bucket after a 429: the service counts fewer tokens left than we do."""
        self._refill()
        self._tokens = min(self._tokens, 0.0)


class DemandRate:
    """Demand in units a second, averaged over about the last second."""

    def __init__(self, clock: Clock) -> None:
        self._clock, self._tokens, self._at_us = clock, 0.0, clock.now_us()

    def add(self, amount: float) -> None:
        """Adds new demand."""
        self._tokens = self.rate() + amount

    def rate(self) -> float:
        """Returns the demand a second; older demand decays, to a third after one second."""
        now_us = self._clock.now_us()
        self._tokens *= exp((self._at_us - now_us) / SECOND_US)
        self._at_us = now_us
        return self._tokens
