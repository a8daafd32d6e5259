"""Messages of the state service, a transactional key-value store with leases and watches."""

from collections.abc import Callable
from typing import Any

import msgspec

from tideusher.wire.decoding import decoder


class Guard(msgspec.Struct):
    """A precondition of a transaction: the key has this stamp (0: the key does not exist)."""

    key: str
    stamp: int


class Put(msgspec.Struct, omit_defaults=True):
    """Sets a key, optionally bound to a lease."""

    key: str = msgspec.field(name="set")
    value: Any = None
    lease: int | None = msgspec.field(name="mooring", default=None)


class Delete(msgspec.Struct):
    """Removes a key."""

    key: str = msgspec.field(name="remove")


Write = Put | Delete


class Txn(msgspec.Struct):
    """An atomic compare-and-write: all writes are applied if all guards hold, else none."""

    guards: list[Guard]
    writes: list[Put | Delete] = []


class TxnDone(msgspec.Struct):
    """Response 200 to a transaction: it was applied."""

    revision: int = msgspec.field(name="tide")


class TxnFailed(msgspec.Struct):
    """Response 409 to a transaction: guards failed and nothing was written."""

    failed: list[str]
    revision: int = msgspec.field(name="tide", default=0)


class Item(msgspec.Struct):
    """A key with its value and the stamp of its last change."""

    key: str
    value: Any
    stamp: int


class Items(msgspec.Struct):
    """One page of a read by key prefix."""

    items: list[Item]
    revision: int = msgspec.field(name="tide")
    more: bool = msgspec.field(name="truncated", default=False)


class Event(msgspec.Struct):
    """One change reported by a watch: a put or a removal."""

    stamp: int
    put: str | None = msgspec.field(name="set", default=None)
    value: Any = None
    removed: str | None = msgspec.field(name="remove", default=None)


class Changes(msgspec.Struct):
    """Response to a watch request."""

    revision: int = msgspec.field(name="tide")
    events: list[Event] = msgspec.field(name="log", default_factory=list)


class Lease(msgspec.Struct):
    """Response to POST /holds: a lease was granted."""

    id: int = msgspec.field(name="mooring")


class LeaseRequest(msgspec.Struct):
    """Body of POST /holds: requests a lease."""

    ttl_ms: int


decode_txn_done: Callable[[bytes], TxnDone] = decoder(TxnDone)
decode_txn_failed: Callable[[bytes], TxnFailed] = decoder(TxnFailed)
decode_items: Callable[[bytes], Items] = decoder(Items)
decode_changes: Callable[[bytes], Changes] = decoder(Changes)
decode_lease: Callable[[bytes], Lease] = decoder(Lease)
encode = msgspec.json.Encoder().encode
