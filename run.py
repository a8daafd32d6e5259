"""Start one controller from a checkout: `python3 run.py --config FILE`.

Dependencies built under target/deps and the sources under src are put on the path here, so the
platform needs no installation step beyond the build command of deploy/service.toml. That command also
compiles the sources into target/pycache: a controller that is killed comes back without compiling
them again. Compiled files that are missing or older than their source are passed over by Python itself.
"""

import importlib
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
#: What the sources import from outside. Loaded first, with the compiled files that lie beside it: the
#: prefix below counts for every import after it is set.
OUTSIDE = (
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
    """Load what is needed, and serve."""
    sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "deps")]
    for name in OUTSIDE:
        importlib.import_module(name)
    prefix, sys.pycache_prefix = sys.pycache_prefix, str(ROOT / "target" / "pycache")
    import tideusher.node  # noqa: F401  (all that a controller runs)
    from tideusher.service import main

    sys.pycache_prefix = prefix
    main(arguments)


if __name__ == "__main__":
    start(sys.argv[1:])
