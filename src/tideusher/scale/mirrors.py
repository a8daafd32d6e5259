"""Compares the controllers' mirrors with the state service, from outside: by their own metrics, at one revision."""

from collections.abc import Mapping
from dataclasses import dataclass, field

import gevent
from prometheus_client.parser import text_string_to_metric_families

from tideusher.actors.http import CallFailed, HttpClient
from tideusher.core.model import keys
from tideusher.wire import state

#: Attempts to find a controller at the service's revision, and the pause between two.
ATTEMPTS, PAUSE_S = 20, 0.2
_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class KeyCount:
    """The number of keys at a revision."""

    revision: int
    keys: int


@dataclass(slots=True)
class MirrorCheck:
    """The differences that were found, and the controllers that were never seen at the service's revision."""

    wrong: list[str] = field(default_factory=list)
    not_compared: list[str] = field(default_factory=list)


def check_mirrors(service: str, controllers: Mapping[str, str]) -> MirrorCheck:
    """Compares the numbers of mirrored keys of controllers, given by name and address, with the state service's."""
    check, waiting = MirrorCheck(), dict(controllers)
    for _ in range(ATTEMPTS):
        expected = _stored_keys(service)
        found = {name: _mirrored_keys(address) for name, address in waiting.items()}
        # A mirror may be ahead of its revision by its controller's own writes, but not while nothing is written.
        if expected is not None and _stored_keys(service) == expected:
            for name, mirrored in found.items():
                if mirrored is not None and mirrored.revision == expected.revision:
                    del waiting[name]
                    check.wrong += _difference(name, mirrored, expected)
        if not waiting:
            break
        gevent.sleep(PAUSE_S)
    check.not_compared = sorted(waiting)
    return check


def _difference(name: str, mirrored: KeyCount, expected: KeyCount) -> list[str]:
    if mirrored.keys == expected.keys:
        return []
    found = f"{mirrored.keys} keys instead of {expected.keys} at revision {expected.revision}"
    return [f"the mirror of {name} has {found}"]


def _stored_keys(service: str) -> KeyCount | None:
    """Returns the number of keys of the state service; None if it changed while they were counted."""
    client, count, since, revision = HttpClient(service, _TIMEOUT_S), 0, "", None
    while True:
        try:
            status, answer = client.call("GET", f"/keys?under={keys.PREFIX}&since={since}&most=1000")
        except CallFailed:
            return None
        if status != 200:
            return None
        page = state.decode_items(answer)
        if revision is not None and page.revision != revision:
            return None
        revision, count = page.revision, count + len(page.items)
        if not page.more or not page.items:
            return KeyCount(revision, count)
        since = page.items[-1].key


def _mirrored_keys(controller: str) -> KeyCount | None:
    """Returns the number of mirrored keys by the controller's own metrics; None if it does not answer."""
    try:
        status, answer = HttpClient(controller, _TIMEOUT_S).call("GET", "/metrics")
    except CallFailed:
        return None
    if status != 200:
        return None
    values = {
        sample.name: int(sample.value)
        for family in text_string_to_metric_families(answer.decode())
        for sample in family.samples
        if sample.name in ("tideusher_read_revision", "tideusher_mirrored_keys")
    }
    return KeyCount(values["tideusher_read_revision"], values["tideusher_mirrored_keys"])
