"""Messages of the cloud's rental API."""

import sys
from collections.abc import Callable

import msgspec

from tideusher.wire.amounts import DURATION, IMAGE, PRICE, RESOURCE
from tideusher.wire.decoding import decoder

BOOTING, UP, FAILED = "booting", "running", "failed"
MAX_MACHINES_PER_RENTAL = 50
MAX_MACHINES_PER_RETURN = 100
MAX_MACHINES_PER_PAGE = 500


_CAPACITIES = ("cpus", "gpus", "ram_gb")
_TYPE_AMOUNTS = {
    "cpus": RESOURCE,
    "gpus": RESOURCE,
    "ram_gb": RESOURCE,
    "cache_gb": IMAGE,
    "fetch_gb_per_s": IMAGE,
    "price": PRICE,
    "spot_price": PRICE,
    "boot_s": DURATION,
}


class MachineType(msgspec.Struct):
    """One entry of GET /machine_types. Prices are per hour."""

    name: str = msgspec.field(name="sku")
    cpus: float = msgspec.field(name="cores")
    gpus: float = 0.0
    ram_gb: float = 0.0
    cache_gb: float = msgspec.field(name="local_gb", default=0.0)
    fetch_gb_per_s: float = 1.0
    price: float = 0.0
    spot_price: float = msgspec.field(name="market_price", default=0.0)
    boot_s: float = 0.0
    zones: list[str] = msgspec.field(name="harbors", default_factory=list)


def computable_type(kind: MachineType) -> MachineType | None:
    """Returns the machine type with the amounts that decisions count with; None if an amount is no number from 0 on.

    What a machine has is never rounded up: a task that is placed on more than there is would be refused there.
    """
    nearest = {name: bounds.clamp(getattr(kind, name)) for name, bounds in _TYPE_AMOUNTS.items()}
    if any(not 0 <= getattr(kind, name) <= sys.float_info.max for name in _TYPE_AMOUNTS):
        return None
    capacity = {name: nearest[name] if nearest[name] <= getattr(kind, name) else 0.0 for name in _CAPACITIES}
    return msgspec.structs.replace(kind, **{**nearest, **capacity})


class MachineTypes(msgspec.Struct):
    """Response to GET /machine_types."""

    types: list[MachineType] = msgspec.field(name="hulls")


class RentRequest(msgspec.Struct):
    """Body of POST /rentals. No node may ever reuse a rental name."""

    name: str = msgspec.field(name="charter")
    type: str = msgspec.field(name="hull")
    zone: str = msgspec.field(name="harbor")
    spot: bool = msgspec.field(name="loaned")
    count: int


class MachineNames(msgspec.Struct):
    """Names of machines: the response to POST /rentals and the body of POST /rentals/return."""

    machines: list[str] = msgspec.field(name="berths")


class ListedMachine(msgspec.Struct):
    """One machine of GET /rentals; the list lags behind the actual state."""

    name: str = msgspec.field(name="ref")
    address: str = msgspec.field(name="addr")
    type: str = msgspec.field(name="hull")
    zone: str = msgspec.field(name="harbor")
    spot: bool = msgspec.field(name="loaned")
    status: str
    age_s: float = msgspec.field(name="held_s")


class MachineList(msgspec.Struct):
    """One page of GET /rentals."""

    machines: list[ListedMachine] = msgspec.field(name="berths")
    more: bool = msgspec.field(name="truncated", default=False)


decode_types: Callable[[bytes], MachineTypes] = decoder(MachineTypes)
decode_rented: Callable[[bytes], MachineNames] = decoder(MachineNames)
decode_list: Callable[[bytes], MachineList] = decoder(MachineList)
encode = msgspec.json.Encoder().encode
