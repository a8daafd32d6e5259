"""Starts one controller from a checkout: `python3 run.py --config FILE`.

Adds the dependencies built under target/deps and the sources under src to the path, so the platform
needs no installation step beyond the build command of deploy/service.toml. That command also compiles
the sources into target/pycache: a controller that is killed restarts without compiling them again.
Python itself ignores compiled files that are missing or older than their source.
"""

import importlib
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
#: Modules from outside this project that the sources import. They are loaded first, with the compiled files beside
#: them, since the cache prefix that `start` sets applies to every import after it.
EXTERNAL_MODULES = (
    "argparse",
    "bisect",
    "dataclasses",
    "gevent",
    "gevent.event",
    "gevent.pywsgi",
    "gevent.queue",
    "gevent.server",
    "http.client",
    "itertools",
    "logging",
    "math",
    "msgspec",
    "random",
    "statistics",
    "tomllib",
    "typing",
    "zlib",
)


def start(arguments: list[str]) -> None:
    """Loads the controller's modules and serves."""
    sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "deps")]
    for name in EXTERNAL_MODULES:
        importlib.import_module(name)
    prefix, sys.pycache_prefix = sys.pycache_prefix, str(ROOT / "target" / "pycache")
    import tideusher.node  # noqa: F401  (loads all modules of a controller)
    from tideusher.service import main

    sys.pycache_prefix = prefix
    main(arguments)


if __name__ == "__main__":
    start(sys.argv[1:])
