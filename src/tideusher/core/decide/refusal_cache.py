"""Requests that need no look of their own: one that asked for no more, with the same rights, has just found nothing.

In a flood a thousand jobs of one class wait for the same. Each looked at every machine in each pass: a day of eighty
times a class took a leader more than four hundred seconds of processor time. Pure; whoever keeps one clears it as
soon as a place may have come free.
"""

from collections.abc import Hashable

from tideusher.core.decide.placement import Demand
from tideusher.wire.jobs import JobSpec

#: Of one kind so many different demands are kept, the least ones: jobs of one class differ by a part.
KEPT = 8


def placement_constraints(spec: JobSpec) -> tuple[Hashable, ...]:
    """What decides, beside the amounts, which machines a request may use."""
    return (tuple(spec.types) if spec.types is not None else None, spec.zone, spec.spot, spec.one_zone, spec.shape)


class RefusalCache:
    """What found nothing, by kind of request."""

    def __init__(self) -> None:
        self._known: dict[Hashable, list[tuple[Demand, int]]] = {}

    def clear(self) -> None:
        """A place may have come free: everybody looks again."""
        self._known.clear()

    def refused(self, kind: Hashable, spec: JobSpec, count: int) -> None:
        """Not one place was found for the task, or for a gang not all `count`."""
        known = self._known.setdefault(kind, [])
        asked = Demand(spec.cpus, spec.gpus, spec.ram_gb)
        known[:] = [(d, n) for d, n in known if not (n >= count and asked.fits(d.cpus, d.gpus, d.ram))]
        if len(known) < KEPT:
            known.append((asked, count))

    def refuses(self, kind: Hashable, spec: JobSpec, count: int) -> bool:
        """Has one of this kind that asked for no more found nothing?"""
        known = self._known.get(kind)
        return known is not None and any(
            n <= count and asked.fits(spec.cpus, spec.gpus, spec.ram_gb) for asked, n in known
        )
