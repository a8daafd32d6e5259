"""Messages of the state service."""

from collections.abc import Callable
from typing import Any

import msgspec

from tideusher.wire.decoding import decoder


class Guard(msgspec.Struct):
    """A condition of a transaction: the key has this stamp (0: it does not exist)."""

    key: str
    stamp: int


class Put(msgspec.Struct, omit_defaults=True):
    """Set a key, optionally bound to a lease."""

    key: str = msgspec.field(name="set")
    value: Any = None
    lease: int | None = msgspec.field(name="mooring", default=None)


class Delete(msgspec.Struct):
    """Remove a key."""

    key: str = msgspec.field(name="remove")


Write = Put | Delete


class Txn(msgspec.Struct):
    """An atomic compare-and-write."""

    guards: list[Guard]
    writes: list[Put | Delete] = []


class TxnDone(msgspec.Struct):
    """200 of a transaction."""

    revision: int = msgspec.field(name="tide")


class TxnFailed(msgspec.Struct):
    """409 of a transaction."""

    failed: list[str]
    revision: int = msgspec.field(name="tide", default=0)


class Item(msgspec.Struct):
    """A key with its value."""

    key: str
    value: Any
    stamp: int


class Items(msgspec.Struct):
    """A page of a prefix read."""

    items: list[Item]
    revision: int = msgspec.field(name="tide")
    more: bool = msgspec.field(name="truncated", default=False)


class Event(msgspec.Struct):
    """One change seen by a watch: a put or a removal."""

    stamp: int
    put: str | None = msgspec.field(name="set", default=None)
    value: Any = None
    removed: str | None = msgspec.field(name="remove", default=None)


class Changes(msgspec.Struct):
    """The answer of a watch."""

    revision: int = msgspec.field(name="tide")
    events: list[Event] = msgspec.field(name="log", default_factory=list)


class Lease(msgspec.Struct):
    """The answer of POST /holds."""

    id: int = msgspec.field(name="mooring")


class LeaseRequest(msgspec.Struct):
    """POST /holds."""

    ttl_ms: int


decode_txn_done: Callable[[bytes], TxnDone] = decoder(TxnDone)
decode_txn_failed: Callable[[bytes], TxnFailed] = decoder(TxnFailed)
decode_items: Callable[[bytes], Items] = decoder(Items)
decode_changes: Callable[[bytes], Changes] = decoder(Changes)
decode_lease: Callable[[bytes], Lease] = decoder(Lease)
encode = msgspec.json.Encoder().encode
