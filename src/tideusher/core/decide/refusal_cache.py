"""Caches requests that found no capacity, to skip requests with the same constraints and no smaller demand. Pure.

Under heavy load a thousand jobs of one class wait for the same machines. When each of them checked every machine in
each pass, a day with eighty times a class's load took a leader more than four hundred seconds of processor time. The
owner clears the cache as soon as capacity may have become free.
"""

from collections.abc import Hashable

from tideusher.core.decide.placement import Demand
from tideusher.wire.jobs import JobSpec

#: The demands kept per kind of request, the smallest ones: jobs of one class differ somewhat.
DEMANDS_KEPT = 8


def placement_constraints(spec: JobSpec) -> tuple[Hashable, ...]:
    """Returns what decides, beside the demand, which machines a request may use."""
    return (tuple(spec.types) if spec.types is not None else None, spec.zone, spec.spot, spec.one_zone, spec.shape)


class RefusalCache:
    """The demands that found no capacity, by kind of request."""

    def __init__(self) -> None:
        self._refused_demands: dict[Hashable, list[tuple[Demand, int]]] = {}

    def clear(self) -> None:
        """Forget all refusals because capacity may have become free."""
        self._refused_demands.clear()

    def refused(self, kind: Hashable, spec: JobSpec, count: int) -> None:
        """Record that no place was found for a single task or, for a gang, not for all `count`."""
        demands = self._refused_demands.setdefault(kind, [])
        demand = Demand(spec.cpus, spec.gpus, spec.ram_gb)
        demands[:] = [
            (other, other_count)
            for other, other_count in demands
            if not (other_count >= count and demand.fits(other.cpus, other.gpus, other.ram))
        ]
        if len(demands) < DEMANDS_KEPT:
            demands.append((demand, count))

    def refuses(self, kind: Hashable, spec: JobSpec, count: int) -> bool:
        """True if a request of this kind with no larger demand has found no capacity."""
        demands = self._refused_demands.get(kind)
        return demands is not None and any(
            other_count <= count and demand.fits(spec.cpus, spec.gpus, spec.ram_gb) for demand, other_count in demands
        )
